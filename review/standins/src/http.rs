//! HTTP/1.1 on blocking sockets, as much as the stand-ins need.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;

/// A request that was read.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    /// Path without the query.
    pub path: String,
    pub query: String,
    /// Headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    /// Value of a header; empty if it is missing.
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map_or("", |(_, v)| v)
    }

    /// Value of a query parameter.
    pub fn param(&self, name: &str) -> Option<&str> {
        let mut pairs = self.query.split('&').filter_map(|p| p.split_once('='));
        pairs.find(|(n, _)| *n == name).map(|(_, v)| v)
    }
}

/// Bytes of a connection that were read ahead.
pub struct Reader {
    stream: TcpStream,
    buf: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buf: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<bool> {
        let mut chunk = vec![0; 64 << 10];
        let read = self.stream.read(&mut chunk)?;
        self.buf.extend_from_slice(&chunk[..read]);
        Ok(read > 0)
    }

    /// Reads up to a blank line; `None` at the end of the connection.
    pub fn head(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(at) = self.buf.windows(4).position(|w| w == b"\r\n\r\n") {
                let head: Vec<u8> = self.buf.drain(..at + 4).collect();
                return Ok(Some(String::from_utf8_lossy(&head).into_owned()));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    /// Reads exactly so many bytes.
    pub fn exact(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buf.len() < length {
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buf.drain(..length).collect())
    }

    /// Reads a request; `None` at the end of the connection.
    pub fn request(&mut self) -> io::Result<Option<Request>> {
        let Some(head) = self.head()? else {
            return Ok(None);
        };
        let mut lines = head.lines();
        let mut first = lines.next().unwrap_or_default().split(' ');
        let method = first.next().unwrap_or_default().to_owned();
        let target = first.next().unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let mut request = Request {
            method,
            path: path.to_owned(),
            query: query.to_owned(),
            headers: headers(lines),
            body: Vec::new(),
        };
        let length = request.header("content-length").parse().unwrap_or(0);
        request.body = self.exact(length)?;
        Ok(Some(request))
    }
}

fn headers<'a>(lines: impl Iterator<Item = &'a str>) -> Vec<(String, String)> {
    let pairs = lines.filter_map(|l| l.split_once(':'));
    pairs
        .map(|(n, v)| (n.to_ascii_lowercase(), v.trim().to_owned()))
        .collect()
}

/// Status and headers of an answer's head.
pub fn parse_head(head: &str) -> (u16, Vec<(String, String)>) {
    let mut lines = head.lines();
    let status = lines.next().unwrap_or_default().split(' ').nth(1);
    (
        status.and_then(|s| s.parse().ok()).unwrap_or(0),
        headers(lines),
    )
}

/// Writes an answer with a length.
pub fn respond(stream: &mut TcpStream, status: u16, extra: &str, body: &[u8]) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 {status} Status\r\n{extra}Content-Length: {}\r\n\r\n",
        body.len()
    );
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Serves connections, each in a thread of its own.
pub fn serve(
    listener: TcpListener,
    handle: impl Fn(TcpStream, SocketAddr) + Send + Sync + 'static,
) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let handle = Arc::clone(&handle);
            thread::spawn(move || {
                if let Ok(peer) = stream.peer_addr() {
                    handle(stream, peer);
                }
            });
        }
    });
}

/// Sends a GET on a new connection and returns the status; 0 if there is none.
pub fn get_status(address: SocketAddr, path: &str) -> u16 {
    let ask = || -> io::Result<u16> {
        let mut stream = TcpStream::connect(address)?;
        let text = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\n\r\n");
        stream.write_all(text.as_bytes())?;
        let head = Reader::new(stream).head()?.unwrap_or_default();
        Ok(parse_head(&head).0)
    };
    ask().unwrap_or(0)
}
