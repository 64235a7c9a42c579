//! A small HTTP/1.1 server with a thread for each connection.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

#[derive(Clone)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, value)| value.as_str())
    }
}

pub type Handler = Arc<dyn Fn(&Request) -> (u16, String) + Send + Sync>;

/// A listener that can be closed with all its connections.
pub struct Server {
    address: SocketAddr,
    closed: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    pub fn start(address: SocketAddr, handler: Handler) -> std::io::Result<Server> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let closed = Arc::new(AtomicBool::new(false));
        let streams: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let (ends, open) = (Arc::clone(&closed), Arc::clone(&streams));
        thread::spawn(move || {
            for stream in listener.incoming() {
                if ends.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else {
                    thread::sleep(Duration::from_millis(10));
                    continue;
                };
                let _ = stream.set_nodelay(true);
                if let Ok(clone) = stream.try_clone() {
                    open.lock().unwrap().push(clone);
                }
                let handler = Arc::clone(&handler);
                let ends = Arc::clone(&ends);
                thread::spawn(move || serve(stream, &handler, &ends));
            }
        });
        Ok(Server {
            address,
            closed,
            streams,
        })
    }

    /// Ends the process that listens, as others see it: its listener and its connections are gone.
    pub fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        // The listener ends with its next connection.
        let _ = TcpStream::connect(self.address);
    }
}

pub fn read_request(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<Request> {
    loop {
        if let Some(end) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buf[..end]).into_owned();
            let mut lines = head.split("\r\n");
            let mut first = lines.next()?.split(' ');
            let (method, path) = (first.next()?.to_owned(), first.next()?.to_owned());
            let pairs = lines.filter_map(|l| l.split_once(':'));
            let headers: Vec<(String, String)> = pairs
                .map(|(n, v)| (n.to_ascii_lowercase(), v.trim().to_owned()))
                .collect();
            let length = headers.iter().find(|h| h.0 == "content-length");
            let length: usize = length.map_or(0, |h| h.1.parse().unwrap_or(0));
            if buf.len() >= end + 4 + length {
                let body = buf[end + 4..end + 4 + length].to_vec();
                buf.drain(..end + 4 + length);
                return Some(Request {
                    method,
                    path,
                    headers,
                    body,
                });
            }
        }
        let mut chunk = [0; 16_384];
        match stream.read(&mut chunk) {
            Ok(read) if read > 0 => buf.extend_from_slice(&chunk[..read]),
            _ => return None,
        }
    }
}

fn serve(mut stream: TcpStream, handler: &Handler, closed: &AtomicBool) {
    let mut buf = Vec::new();
    while let Some(request) = read_request(&mut stream, &mut buf) {
        let (status, body) = handler(&request);
        if closed.load(Ordering::SeqCst) || status == 0 {
            return;
        }
        let answer = format!(
            "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}
