//! A gateway gets SIGTERM. Callers on kept channels ask it for streams of 4.6 s while it still takes
//! requests. Judges whether every stream that it passes on is whole.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use eelgrasshold_review::daemon::{self, Daemon};
use eelgrasshold_review::gateway::{Replica, config, listen_on, route, settings, wait_ready};
use eelgrasshold_review::http::parse_head;
use eelgrasshold_review::store::Store;
use eelgrasshold_review::{loopback, not_run, record, trouble};
use serde_json::json;

const CALLERS: usize = 4;
/// The longest stream of the site file: 66 events, here in 4.6 s.
const EVENTS: usize = 66;
const PAUSE_MS: u64 = 70;
/// When the streams are asked for, after the signal.
const ASKED_AFTER: Duration = Duration::from_millis(3_200);

/// Reads a stream to its end; returns the status, the number of events and whether it is whole.
fn stream(channel: &mut TcpStream, id: &str, events: usize) -> (u16, usize, bool) {
    let text = format!(
        "POST /draft/{events}/{PAUSE_MS} HTTP/1.1\r\nHost: fair.example\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: 8000\r\nApi-Key: key-1\r\nContent-Length: 0\r\n\r\n"
    );
    record::line(&format!("caller sends {id}"));
    let (mut bytes, mut chunk) = (Vec::new(), [0; 16 << 10]);
    let mut read = channel.write_all(text.as_bytes()).map(|()| 1);
    while read.as_ref().is_ok_and(|r| *r > 0) && !bytes.ends_with(b"\r\n0\r\n\r\n") {
        read = channel.read(&mut chunk);
        bytes.extend_from_slice(&chunk[..read.as_ref().map_or(0, |r| *r)]);
        if !bytes.windows(4).any(|w| w == b"\r\n\r\n") {
            continue;
        }
        let text = String::from_utf8_lossy(&bytes);
        if !text
            .to_ascii_lowercase()
            .contains("transfer-encoding: chunked")
        {
            // A refusal in one piece.
            return (parse_head(&text).0, 0, false);
        }
    }
    let text = String::from_utf8_lossy(&bytes);
    (
        parse_head(&text).0,
        text.matches("\nid: ").count(),
        bytes.ends_with(b"\r\n0\r\n\r\n"),
    )
}

/// Opens kept channels, each with an answered request.
fn channels(front: SocketAddr) -> Vec<TcpStream> {
    let open = |n| {
        let Ok(mut channel) = TcpStream::connect(front) else {
            not_run("can't connect")
        };
        if stream(&mut channel, &format!("first-{n}"), 3) != (200, 3, true) {
            not_run("a first request isn't served");
        }
        channel
    };
    (0..CALLERS).map(open).collect()
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
    let replicas: Vec<Replica> = (0..3)
        .map(|n| Replica::start(&format!("i-{n}"), Duration::from_millis(30)))
        .collect();
    for replica in &replicas {
        store.put("servers", &replica.id, replica.entry("ready", 0));
    }
    let mut gateways: Vec<Daemon> = (0..2)
        .map(|n| {
            Daemon::start(
                &format!("edge-{n}"),
                &settings(n, &all, store.address, true),
            )
        })
        .collect();
    wait_ready(&mut gateways, &all);
    thread::sleep(Duration::from_secs(2));
    let channels = channels(all[0].front);
    if trouble() {
        record::say("SIGTERM to edge-0");
        gateways[0].signal("TERM");
    }
    let stopped = Instant::now();
    thread::sleep(ASKED_AFTER);
    let asking = channels.into_iter().enumerate().map(|(n, mut channel)| {
        thread::spawn(move || {
            let sent = Instant::now();
            let id = format!("late-{n}");
            (stream(&mut channel, &id, EVENTS), id, sent, Instant::now())
        })
    });
    let asking: Vec<_> = asking.collect();
    let mut lost = 0;
    for asked in asking {
        let Ok(((status, events, whole), id, sent, ended)) = asked.join() else {
            not_run("a caller failed")
        };
        let ran = replicas
            .iter()
            .any(|r| r.runs.lock().unwrap().iter().any(|run| run.request == id));
        record::say(&format!(
            "{id}: sent {:.2} s after the signal, run {ran}, status {status}, {events} of {EVENTS} events, \
             whole {whole}, ends {:.2} s after the signal",
            (sent - stopped).as_secs_f64(),
            (ended - stopped).as_secs_f64()
        ));
        // One that is sent no later than 3 s after the signal would not count, nor one that ends at its
        // time limit.
        let counts = ran
            && sent - stopped > Duration::from_secs(3)
            && ended - sent < Duration::from_millis(7_900);
        lost += u32::from(!whole && counts);
    }
    drop(gateways);
    daemon::end_all();
    record::say(&format!("{lost} streams were passed on, run and cut"));
    std::process::exit(i32::from(lost > 0));
}
