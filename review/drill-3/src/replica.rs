//! A stand-in of a replica of a plain service. It can end as a crashed process does: all of its channels and its
//! listener close, and it is back after some seconds, under the same id.

use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::http::{Request, read_request, write_answer};
use crate::record::Record;

/// What a replica does with a request that it takes.
#[derive(Clone, Copy, Debug)]
pub enum Act {
    /// Works for this time and answers 200.
    Work(Duration),
    /// Works for this time and crashes, whether its caller is still there or not.
    Crash(Duration),
}

pub struct Replica {
    pub id: String,
    pub address: SocketAddr,
    pub service: String,
    slots: usize,
    running: AtomicUsize,
    up: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
    act: Box<dyn Fn(&Request) -> Act + Send + Sync>,
    /// Number of starts, which `born` tells apart.
    starts: AtomicUsize,
    record: Arc<Record>,
}

/// Time after which a crashed replica is back.
pub const DOWN: Duration = Duration::from_secs(2);

impl Replica {
    pub fn start(
        id: &str,
        service: &str,
        slots: usize,
        record: &Arc<Record>,
        act: impl Fn(&Request) -> Act + Send + Sync + 'static,
    ) -> Arc<Self> {
        let address = crate::ports::free();
        let listener = TcpListener::bind(address).expect("a port for a replica");
        let replica = Arc::new(Self {
            id: id.to_owned(),
            address,
            service: service.to_owned(),
            slots,
            running: AtomicUsize::new(0),
            up: AtomicBool::new(true),
            streams: Mutex::default(),
            act: Box::new(act),
            starts: AtomicUsize::new(1),
            record: Arc::clone(record),
        });
        let serving = Arc::clone(&replica);
        std::thread::spawn(move || serving.run(listener));
        replica
    }

    /// Entry in the store, with the time for which the replica is still cold.
    pub fn entry(&self, cold_left_ms: u64) -> String {
        let born = 1_791_000_000_000 + self.starts.load(Ordering::SeqCst);
        format!(
            "{{\"service\":\"{}\",\"addr\":\"{}\",\"zone\":\"z-a\",\"version\":\"v1\",\"slots\":{},\
             \"state\":\"ready\",\"cold_left_ms\":{cold_left_ms},\"seq\":1,\"born\":{born}}}",
            self.service, self.address, self.slots
        )
    }

    fn run(self: Arc<Self>, listener: TcpListener) {
        let mut listener = Some(listener);
        loop {
            let bound = listener
                .take()
                .or_else(|| TcpListener::bind(self.address).ok());
            let Some(bound) = bound else {
                std::thread::sleep(Duration::from_millis(20));
                continue;
            };
            bound.set_nonblocking(true).expect("a listener");
            self.up.store(true, Ordering::SeqCst);
            self.record.line(&format!("replica {} listens", self.id));
            while self.up.load(Ordering::SeqCst) {
                match bound.accept() {
                    Ok((stream, _)) => self.take(stream),
                    Err(_) => std::thread::sleep(Duration::from_millis(2)),
                }
            }
            drop(bound);
            std::thread::sleep(DOWN);
            self.starts.fetch_add(1, Ordering::SeqCst);
        }
    }

    fn take(self: &Arc<Self>, stream: TcpStream) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        if let Ok(copy) = stream.try_clone() {
            self.streams.lock().expect("the streams").push(copy);
        }
        let replica = Arc::clone(self);
        std::thread::spawn(move || replica.serve(stream));
    }

    pub fn is_up(&self) -> bool {
        self.up.load(Ordering::SeqCst)
    }

    /// Ends the process; it is back after [`DOWN`].
    pub fn crash(&self) {
        self.up.store(false, Ordering::SeqCst);
        for stream in self.streams.lock().expect("the streams").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut buf = Vec::new();
        while let Ok(Some(request)) = read_request(&mut stream, &mut buf) {
            if !self.up.load(Ordering::SeqCst) || self.answer(&mut stream, &request).is_err() {
                break;
            }
        }
        let _ = stream.shutdown(Shutdown::Both);
    }

    fn answer(&self, stream: &mut TcpStream, request: &Request) -> std::io::Result<()> {
        let id = request.header("x-request-id").to_owned();
        if request.header("x-expect-instance") != self.id {
            let headers = [("X-Request-Id", id.as_str()), ("X-Not-Executed", "1")];
            return write_answer(stream, 421, &headers, b"");
        }
        let running = self.running.fetch_add(1, Ordering::SeqCst);
        let runs = running < self.slots;
        self.record.arrival(&id, &self.id, &request.target, runs);
        let done = if runs {
            self.run_request(stream, request, &id)
        } else {
            let headers = [("X-Request-Id", id.as_str()), ("X-Not-Executed", "1")];
            write_answer(stream, 503, &headers, b"")
        };
        self.running.fetch_sub(1, Ordering::SeqCst);
        done
    }

    fn run_request(
        &self,
        stream: &mut TcpStream,
        request: &Request,
        id: &str,
    ) -> std::io::Result<()> {
        match (self.act)(request) {
            Act::Work(time) => {
                std::thread::sleep(time);
                let body = format!("{} ran {id}", self.id);
                let headers = [("X-Request-Id", id), ("X-Signature", "3e1b.07")];
                write_answer(stream, 200, &headers, body.as_bytes())
            }
            Act::Crash(time) => {
                std::thread::sleep(time);
                self.record
                    .line(&format!("replica {} crashes under {id}", self.id));
                self.record.crash();
                self.crash();
                Err(std::io::Error::other("crashed"))
            }
        }
    }
}
