//! The open channels of two gateways to the store go silent while the replicas of a service are replaced;
//! new channels work. Half a second later, a replica leaves: its entry is removed. Judges whether that
//! replica gets requests too late, from a gateway that is in touch again.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use eelgrasshold_review::daemon::{self, Daemon};
use eelgrasshold_review::gateway::{Replica, config, listen_on, route, settings, wait_ready};
use eelgrasshold_review::http::{Reader, parse_head};
use eelgrasshold_review::proxy::Proxy;
use eelgrasshold_review::store::Store;
use eelgrasshold_review::{loopback, not_run, record, trouble, unix_ms};

const REPLICAS: usize = 8;
const CALLERS: usize = 6;
/// `stable_window_ms` and `drain_ms`.
const STABLE: Duration = Duration::from_millis(3_000);
const DRAIN: Duration = Duration::from_millis(2_000);
/// Allowance of the judge for its own measurement.
const MARGIN: Duration = Duration::from_millis(20);

/// When each request was sent by its caller.
type Sent = Arc<Mutex<Vec<(String, Instant, usize, u16)>>>;

/// Sends requests on a kept channel until the end.
fn call(front: SocketAddr, gateway: usize, caller: usize, sent: &Sent, ends: &AtomicBool) {
    let mut n = 0;
    while !ends.load(Ordering::SeqCst) {
        let Ok(mut stream) = TcpStream::connect(front) else {
            return;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(3)));
        let Ok(copy) = stream.try_clone() else { return };
        let mut reader = Reader::new(copy);
        while !ends.load(Ordering::SeqCst) {
            n += 1;
            let id = format!("g{gateway}-c{caller}-{n}");
            let text = format!(
                "GET /ledger/lot/800 HTTP/1.1\r\nHost: fair.example\r\nX-Request-Id: {id}\r\n\
                 X-Deadline-Ms: 2500\r\nApi-Key: key-1\r\n\r\n"
            );
            let at = Instant::now();
            record::line(&format!("caller sends {id} to edge-{gateway}"));
            if stream.write_all(text.as_bytes()).is_err() {
                break;
            }
            let Ok(Some(head)) = reader.head() else { break };
            let (status, headers) = parse_head(&head);
            let length = headers.iter().find(|(n, _)| n == "content-length");
            let length = length.and_then(|(_, v)| v.parse().ok()).unwrap_or(0);
            record::line(&format!("caller gets {status} for {id}"));
            sent.lock().unwrap().push((id, at, gateway, status));
            if reader.exact(length).is_err() {
                break;
            }
            thread::sleep(Duration::from_millis(20));
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
    store.put(
        "config",
        "main",
        config(3, &[route("/ledger/", "safe", 1_200)], &["key-1"]),
    );
    let start = |id: &str| Replica::start(id, Duration::from_millis(30));
    let replicas: Vec<Replica> = (0..REPLICAS).map(|n| start(&format!("i-{n}"))).collect();
    for replica in &replicas {
        store.put("servers", &replica.id, replica.entry("ready", 0));
    }
    let proxies = [Proxy::start(store.address), Proxy::start(store.address)];
    let mut gateways: Vec<Daemon> = (0..2)
        .map(|n| {
            Daemon::start(
                &format!("edge-{n}"),
                &settings(n, &all, proxies[n].address, true),
            )
        })
        .collect();
    wait_ready(&mut gateways, &all);
    let sent: Sent = Arc::default();
    let ends = Arc::new(AtomicBool::new(false));
    for caller in 0..CALLERS {
        let (sent, ends) = (Arc::clone(&sent), Arc::clone(&ends));
        let gateway = caller % 2;
        let front = all[gateway].front;
        thread::spawn(move || call(front, gateway, caller, &sent, &ends));
    }
    thread::sleep(Duration::from_secs(4));
    // A release: a new replica starts, then the old one drains, and its entry goes 2.5 s later.
    let (released, released_store) = (replicas[1..5].to_vec(), store.clone());
    let release = thread::spawn(move || {
        let mut new = Vec::new();
        for old in released {
            let replica = Replica::start(&format!("{}-new", old.id), Duration::from_millis(30));
            released_store.put("servers", &replica.id, replica.entry("ready", 300));
            let store = released_store.clone();
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(400));
                store.put("servers", &old.id, old.entry("draining", 0));
                record::line(&format!("{} reports that it drains", old.id));
                thread::sleep(Duration::from_millis(2_500));
                store.delete("servers", &old.id);
            });
            new.push(replica);
            thread::sleep(Duration::from_millis(810));
        }
        new
    });
    // In the middle of the release, just after a watch was answered; with ANY_MOMENT at a moment that has
    // nothing to do with it.
    thread::sleep(Duration::from_millis(3_200));
    let from = Instant::now();
    let any_moment = std::env::var("ANY_MOMENT").is_ok();
    while !any_moment && !proxies[0].answered_at().is_some_and(|at| at > from) {
        if from.elapsed() > Duration::from_secs(10) {
            not_run("no watch is answered");
        }
        thread::sleep(Duration::from_millis(2));
    }
    let pause = if any_moment { unix_ms() % 600 } else { 20 };
    thread::sleep(Duration::from_millis(pause));
    let silent_at = Instant::now();
    if trouble() {
        proxies.iter().for_each(Proxy::silence);
        record::say("the open channels to the store go silent");
    }
    thread::sleep(Duration::from_millis(500));
    let leaves = &replicas[0];
    store.delete("servers", &leaves.id);
    let left_at = Instant::now();
    record::say(&format!(
        "the store has removed the entry of {}, which goes on for a while",
        leaves.id
    ));
    thread::sleep(Duration::from_secs(7));
    ends.store(true, Ordering::SeqCst);
    thread::sleep(Duration::from_millis(300));
    let in_touch = silent_at + STABLE;
    let too_late = (left_at + DRAIN).max(in_touch) + MARGIN;
    let sent = sent.lock().unwrap();
    let served = sent.iter().filter(|s| s.3 == 200).count();
    let mut late = Vec::new();
    for run in leaves.runs.lock().unwrap().iter() {
        let request = sent.iter().find(|s| s.0 == run.request);
        if let Some((id, at, gateway, _)) =
            request.filter(|s| s.1 > in_touch + MARGIN && run.at > too_late)
        {
            late.push(format!(
                "{id}: sent to edge-{gateway} {:.3} s after the silence began, reaches {} {:.3} s after \
                 its entry was removed",
                (*at - silent_at).as_secs_f64(), leaves.id, (run.at - left_at).as_secs_f64()
            ));
        }
    }
    let _ = release.join();
    drop(gateways);
    daemon::end_all();
    late.iter().for_each(|l| record::say(l));
    record::say(&format!(
        "{} requests, {served} served; {} reach a replica too late",
        sent.len(),
        late.len()
    ));
    if served * 10 < sent.len() * 9 {
        not_run("too few requests were served");
    }
    std::process::exit(i32::from(!late.is_empty()));
}
