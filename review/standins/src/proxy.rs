//! A proxy before the platform's store whose open channels can go silent, while new ones work.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::{http, not_run};

#[derive(Default)]
struct Shared {
    /// Number of channels that were opened.
    opened: AtomicU64,
    /// Channels with a lower number are silent.
    silent_below: AtomicU64,
    /// When a watch of the replicas was last answered.
    answered_at: Mutex<Option<Instant>>,
}

/// A running proxy; clones share it.
#[derive(Clone)]
pub struct Proxy {
    shared: Arc<Shared>,
    pub address: SocketAddr,
}

impl Proxy {
    /// Starts a proxy before `target`.
    pub fn start(target: SocketAddr) -> Self {
        let Ok(listener) = TcpListener::bind("127.0.0.1:0") else {
            not_run("the proxy can't listen")
        };
        let Ok(address) = listener.local_addr() else {
            not_run("no address")
        };
        let proxy = Self {
            shared: Arc::default(),
            address,
        };
        let shared = Arc::clone(&proxy.shared);
        http::serve(listener, move |from, _| {
            let number = shared.opened.fetch_add(1, Ordering::SeqCst);
            let Ok(to) = TcpStream::connect(target) else {
                return;
            };
            let _ = to.set_nodelay(true);
            let watches = Arc::new(AtomicBool::new(false));
            let (Ok(from2), Ok(to2)) = (from.try_clone(), to.try_clone()) else {
                return;
            };
            let (up, up_watches) = (Arc::clone(&shared), Arc::clone(&watches));
            let upward = thread::spawn(move || {
                pump(&up, number, from, to, |bytes| {
                    let text = String::from_utf8_lossy(bytes);
                    up_watches.store(text.contains("/objects/servers?watch="), Ordering::SeqCst);
                });
            });
            pump(&shared, number, to2, from2, |_| {
                if watches.load(Ordering::SeqCst) {
                    *shared.answered_at.lock().unwrap() = Some(Instant::now());
                }
            });
            let _ = upward.join();
        });
        proxy
    }

    /// Makes all open channels silent for good, without a reset.
    pub fn silence(&self) {
        let opened = self.shared.opened.load(Ordering::SeqCst);
        self.shared.silent_below.store(opened, Ordering::SeqCst);
    }

    /// When a watch of the replicas was last answered.
    pub fn answered_at(&self) -> Option<Instant> {
        *self.shared.answered_at.lock().unwrap()
    }
}

/// Passes bytes on until the channel ends or goes silent. A silent channel stays open.
fn pump(shared: &Shared, number: u64, mut from: TcpStream, mut to: TcpStream, see: impl Fn(&[u8])) {
    let mut chunk = [0; 32 << 10];
    loop {
        let read = from.read(&mut chunk).unwrap_or(0);
        if number < shared.silent_below.load(Ordering::SeqCst) {
            // What arrives is lost. Only the end of the test ends the channel.
            thread::sleep(Duration::from_secs(60));
            return;
        }
        if read == 0 || to.write_all(&chunk[..read]).is_err() {
            let _ = to.shutdown(Shutdown::Both);
            return;
        }
        see(&chunk[..read]);
    }
}
