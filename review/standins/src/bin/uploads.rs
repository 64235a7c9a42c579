//! Callers ask two gateways for streams with bodies of 4 MB, which is within `max_body_bytes` of the sheet.
//! In a burst there are 1.7 times as many callers for 3 s. The platform kills a process whose memory is over
//! `memory_mb`, and starts it again. Judges whether that happens three times at both machines.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use eelgrasshold_review::daemon::{self, Daemon};
use eelgrasshold_review::gateway::{Replica, config, listen_on, route, settings, wait_ready};
use eelgrasshold_review::http::parse_head;
use eelgrasshold_review::store::Store;
use eelgrasshold_review::{loopback, not_run, record, trouble};
use serde_json::json;

const BODY: usize = 4_000_000;
const MEMORY_MB: u64 = 260;
/// Callers of each gateway.
const CALLERS: usize = 40;
const BURST: f64 = 1.7;
const BURSTS_AT: [f64; 4] = [10.0, 22.0, 34.0, 46.0];
const BURST_TIME: f64 = 3.0;
const LENGTH: f64 = 56.0;
/// Bytes a second of each gateway's link: 1,000 Mbit/s.
const LINK: f64 = 125e6;
const CHUNK: usize = 64 << 10;

/// The link of a gateway, which its callers share.
struct Link {
    free_at: Mutex<Instant>,
    /// The longest time for which a packet waited there.
    longest: Mutex<Duration>,
}

impl Link {
    fn new() -> Self {
        Self {
            free_at: Mutex::new(Instant::now()),
            longest: Mutex::default(),
        }
    }

    /// Passes bytes; returns when they have passed.
    fn pass(&self, bytes: usize) {
        let now = Instant::now();
        let until = {
            let mut free_at = self.free_at.lock().unwrap();
            *free_at = (*free_at).max(now) + Duration::from_secs_f64(bytes as f64 / LINK);
            *free_at
        };
        let mut longest = self.longest.lock().unwrap();
        *longest = (*longest).max(until - now);
        drop(longest);
        thread::sleep(until.saturating_duration_since(Instant::now()));
    }
}

/// Sends a request and reads its answer; returns the status and whether the answer is whole.
fn upload(front: SocketAddr, link: &Link, id: &str, body: &[u8]) -> std::io::Result<(u16, bool)> {
    let mut stream = TcpStream::connect(front)?;
    stream.set_read_timeout(Some(Duration::from_secs(9)))?;
    stream.set_write_timeout(Some(Duration::from_secs(9)))?;
    let head = format!(
        "POST /draft/10/30 HTTP/1.1\r\nHost: fair.example\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: 8000\r\nApi-Key: key-1\r\nContent-Length: {BODY}\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    for chunk in body.chunks(CHUNK) {
        link.pass(chunk.len());
        stream.write_all(chunk)?;
    }
    let (mut answer, mut chunk) = (Vec::new(), [0; 4_096]);
    loop {
        let read = stream.read(&mut chunk)?;
        answer.extend_from_slice(&chunk[..read]);
        let whole = answer.ends_with(b"\r\n0\r\n\r\n");
        if whole || read == 0 || !answer.starts_with(b"HTTP/1.1 200") {
            return Ok((parse_head(&String::from_utf8_lossy(&answer)).0, whole));
        }
    }
}

fn main() {
    record::open(
        &std::env::args()
            .nth(1)
            .unwrap_or_else(|| not_run("no path of a record")),
    );
    let ips = [loopback(10), loopback(11)];
    let all = listen_on(&ips);
    let store = Store::start();
    let mut drafts = route("/draft/", "stream", 8_000);
    drafts["resumable"] = json!(true);
    drafts["target_latency_ms"] = json!(400);
    drafts["gap_target_ms"] = json!(120);
    store.put("config", "main", config(3, &[drafts], &["key-1"]));
    for n in 0..6 {
        let replica = Replica::start(&format!("i-{n}"), Duration::from_millis(30));
        store.put("servers", &replica.id, replica.entry("ready", 0));
    }
    let start = |n: usize, first| {
        Daemon::start(
            &format!("edge-{n}"),
            &settings(n, &all, store.address, first),
        )
    };
    let mut gateways: Vec<Daemon> = (0..2).map(|n| start(n, true)).collect();
    wait_ready(&mut gateways, &all);
    let ends = Arc::new(AtomicBool::new(false));
    let allowed = Arc::new(AtomicUsize::new(CALLERS));
    let counts: Arc<Mutex<[u64; 3]>> = Arc::default();
    let body: Arc<Vec<u8>> = Arc::new((0..BODY).map(|n| b'a' + (n % 26) as u8).collect());
    let most = (CALLERS as f64 * BURST) as usize;
    let mut links = Vec::new();
    for gateway in 0..2 {
        let link = Arc::new(Link::new());
        links.push(Arc::clone(&link));
        for caller in 0..most {
            let (link, ends, body) = (Arc::clone(&link), Arc::clone(&ends), Arc::clone(&body));
            let (allowed, counts) = (Arc::clone(&allowed), Arc::clone(&counts));
            let front = all[gateway].front;
            thread::spawn(move || {
                let mut n = 0;
                // The usual callers don't come together.
                thread::sleep(Duration::from_millis(60 * caller as u64));
                while !ends.load(Ordering::SeqCst) {
                    if caller >= allowed.load(Ordering::SeqCst) {
                        thread::sleep(Duration::from_millis(10));
                        continue;
                    }
                    n += 1;
                    let id = format!("g{gateway}-c{caller}-{n}");
                    record::line(&format!("caller sends {id}"));
                    let status = upload(front, &link, &id, &body);
                    record::line(&format!("caller gets {status:?} for {id}"));
                    let kind = match status {
                        Ok((200, true)) => 0,
                        Ok((status, _)) if status > 0 && status != 200 => 1,
                        _ => 2,
                    };
                    counts.lock().unwrap()[kind] += 1;
                    thread::sleep(Duration::from_millis(500));
                }
            });
        }
    }
    let mut kills = [0; 2];
    let mut peaks = [0; 2];
    let mut down_since: [Option<Instant>; 2] = [None; 2];
    while record::seconds() < LENGTH {
        thread::sleep(Duration::from_millis(20));
        let at = record::seconds();
        let in_burst = BURSTS_AT
            .iter()
            .any(|b| (*b..*b + BURST_TIME).contains(&at));
        let now = if trouble() && in_burst { most } else { CALLERS };
        if allowed.swap(now, Ordering::SeqCst) != now {
            record::say(&format!(
                "{now} callers at each gateway; peaks of memory so far {peaks:?} MB"
            ));
        }
        for n in 0..2 {
            if let Some(since) = down_since[n] {
                if since.elapsed() > Duration::from_secs(1) {
                    gateways[n] = start(n, false);
                    down_since[n] = None;
                }
                continue;
            }
            if let Some(status) = gateways[n].ended() {
                not_run(&format!("edge-{n} ended: {status}"));
            }
            let memory = gateways[n].resident() >> 20;
            peaks[n] = peaks[n].max(memory);
            if memory > MEMORY_MB {
                gateways[n].kill();
                kills[n] += 1;
                down_since[n] = Some(Instant::now());
                record::say(&format!("edge-{n} uses {memory} MB; the platform kills it"));
            }
        }
    }
    ends.store(true, Ordering::SeqCst);
    drop(gateways);
    daemon::end_all();
    let [served, refused, lost] = *counts.lock().unwrap();
    record::say(&format!(
        "{served} requests served, {refused} with another answer, {lost} without one"
    ));
    record::say(&format!(
        "peaks of memory {peaks:?} MB, killed {kills:?} times"
    ));
    let longest = links
        .iter()
        .map(|l| *l.longest.lock().unwrap())
        .max()
        .unwrap_or_default();
    record::say(&format!(
        "longest wait of a packet at a link {:.3} s",
        longest.as_secs_f64()
    ));
    // Machines at whose links packets wait for over half a second count as slowed.
    if longest > Duration::from_millis(500) {
        not_run("the links were choked");
    }
    if served == 0 {
        not_run("nothing was served");
    }
    std::process::exit(i32::from(kills.iter().all(|k| *k >= 3)));
}
