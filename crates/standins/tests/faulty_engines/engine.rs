//! An engine or plain service that answers each request with bytes of the test.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

/// What happens after the bytes of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The connection stays open.
    Keep,
    /// It closes in order.
    Close,
    /// It is reset.
    Reset,
}

/// A scripted answer; `{id}` in its bytes stands for the id of the request.
#[derive(Clone, Debug)]
pub struct Script {
    pub bytes: String,
    pub end: End,
}

/// Scripts of several engines: the next request to any of them takes the next one.
#[derive(Clone, Debug, Default)]
pub struct Scripts {
    queue: Arc<Mutex<VecDeque<Script>>>,
    /// Paths of the requests that took a script.
    requests: Arc<Mutex<Vec<String>>>,
    /// Connections that carried such a request.
    connections: Arc<AtomicUsize>,
}

impl Scripts {
    pub fn push(&self, bytes: &str, end: End) {
        let script = Script {
            bytes: bytes.to_owned(),
            end,
        };
        lock(&self.queue).push_back(script);
    }

    /// Number of connections that carried requests so far.
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }

    /// Paths of the requests so far.
    pub fn requests(&self) -> Vec<String> {
        lock(&self.requests).clone()
    }
}

fn lock<T>(of: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Starts an engine; aborting its task stops it.
pub async fn start(scripts: Scripts) -> (SocketAddr, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let task = tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, scripts.clone()));
        }
    });
    (address, task)
}

async fn serve(mut stream: TcpStream, scripts: Scripts) {
    let mut is_used = false;
    while let Some((path, id)) = read_request(&mut stream).await {
        let script = lock(&scripts.queue).pop_front();
        let Some(script) = script else {
            return;
        };
        if !is_used {
            is_used = true;
            scripts.connections.fetch_add(1, Ordering::Relaxed);
        }
        lock(&scripts.requests).push(path);
        let bytes = script.bytes.replace("{id}", &id);
        if stream.write_all(bytes.as_bytes()).await.is_err() {
            return;
        }
        match script.end {
            End::Keep => {}
            End::Close => return,
            End::Reset => {
                if let Err(error) = stream.set_zero_linger() {
                    log::debug!("can't reset a connection: {error}");
                }
                // The bytes before the reset have to be read.
                tokio::time::sleep(std::time::Duration::from_millis(50)).await;
                return;
            }
        }
    }
}

/// Reads a request with its body; returns its path and id.
pub async fn read_request(stream: &mut TcpStream) -> Option<(String, String)> {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n\r\n") {
        bytes.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8_lossy(&bytes).to_ascii_lowercase();
    let header = |name: &str| {
        let value = head.lines().find_map(|l| l.strip_prefix(name));
        value.unwrap_or_default().trim().to_owned()
    };
    let length: usize = header("content-length:").parse().unwrap_or(0);
    stream.read_exact(&mut vec![0; length]).await.ok()?;
    let path = head.split(' ').nth(1).unwrap_or_default().to_owned();
    Some((path, header("x-request-id:")))
}
