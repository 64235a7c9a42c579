//! Two gateways get SIGTERM, one after the other, and end up to 8 s later. Callers on kept channels send
//! requests while the gateways still take them: streams of 4.5 s to one, and requests with long answers to
//! the other, whose link has 40 Mbit/s, the smallest of the sheets. Judges whether every answer is whole.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use eelgrasshold_review::daemon::{self, Daemon};
use eelgrasshold_review::gateway::{Replica, config, listen_on, route, settings, wait_ready};
use eelgrasshold_review::http::parse_head;
use eelgrasshold_review::store::Store;
use eelgrasshold_review::{loopback, not_run, record, trouble};
use serde_json::json;
use socket2::{Domain, Socket, Type};

/// Bytes a second of the gateway's link, which all callers share: 40 Mbit/s.
const LINK: f64 = 5e6;
const CALLERS: usize = 4;
const ANSWER: usize = 4_000_000;
const GRACE: f64 = 8.0;
/// A stream: 100 events in 4.5 s.
const EVENTS: usize = 100;
const PAUSE_MS: u64 = 45;

/// The link: each read waits until its bytes have passed.
struct Link(Mutex<Instant>);

impl Link {
    fn pass(&self, bytes: usize) {
        let until = {
            let mut free_at = self.0.lock().unwrap();
            *free_at =
                (*free_at).max(Instant::now()) + Duration::from_secs_f64(bytes as f64 / LINK);
            *free_at
        };
        thread::sleep(until.saturating_duration_since(Instant::now()));
    }
}

/// Opens a channel with the segments of an ordinary network. Those of loopback are 64 KB long, and the
/// system then buffers whole answers of some megabytes for a sender.
fn connect(address: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_tcp_mss(1_448)?;
    socket.set_recv_buffer_size(16 << 10)?;
    socket.connect(&address.into())?;
    Ok(socket.into())
}

/// What a caller got: the status, and how much of the body of which length.
struct Got {
    status: u16,
    length: usize,
    body: usize,
    error: String,
}

fn ask(stream: &mut TcpStream, link: &Link, id: &str, length: usize) -> Got {
    let mut got = Got {
        status: 0,
        length: 0,
        body: 0,
        error: String::new(),
    };
    let text = format!(
        "GET /ledger/catalogue/{length} HTTP/1.1\r\nHost: fair.example\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: 8000\r\nApi-Key: key-1\r\n\r\n"
    );
    record::line(&format!("caller sends {id}"));
    if let Err(error) = stream.write_all(text.as_bytes()) {
        got.error = error.to_string();
        return got;
    }
    let mut bytes = Vec::new();
    let mut chunk = [0; 16 << 10];
    loop {
        match stream.read(&mut chunk) {
            Ok(0) => got.error = "the channel was closed".to_owned(),
            Ok(read) => {
                bytes.extend_from_slice(&chunk[..read]);
                link.pass(read);
            }
            Err(error) => got.error = error.to_string(),
        }
        if let Some(at) = bytes.windows(4).position(|w| w == b"\r\n\r\n") {
            let (status, headers) = parse_head(&String::from_utf8_lossy(&bytes[..at]));
            let length = headers.iter().find(|(n, _)| n == "content-length");
            got.status = status;
            got.length = length.and_then(|(_, v)| v.parse().ok()).unwrap_or(0);
            got.body = bytes.len() - at - 4;
        }
        if !got.error.is_empty() || (got.status > 0 && got.body >= got.length) {
            return got;
        }
    }
}

/// Reads a stream to its end; returns the status, the number of events and whether it is whole.
fn stream(channel: &mut TcpStream, id: &str) -> (u16, usize, bool) {
    let text = format!(
        "POST /draft/{EVENTS}/{PAUSE_MS} HTTP/1.1\r\nHost: fair.example\r\nX-Request-Id: {id}\r\n\
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
fn channels(front: SocketAddr, link: &Link, name: &str) -> Vec<TcpStream> {
    let open = |n| {
        let Ok(mut channel) = connect(front) else {
            not_run("can't connect")
        };
        let got = ask(&mut channel, link, &format!("{name}-first-{n}"), 800);
        if got.status != 200 || got.body != 800 {
            not_run("a first request isn't served");
        }
        channel
    };
    (0..CALLERS).map(open).collect()
}

/// Streams that a gateway takes 3.2 s after its SIGTERM. Returns how many were run and cut.
fn streams(gateway: &Daemon, front: SocketAddr, replicas: &[Replica], link: &Link) -> u32 {
    let channels = channels(front, link, "stream");
    if trouble() {
        record::say("SIGTERM to edge-0");
        gateway.signal("TERM");
    }
    let stopped = Instant::now();
    thread::sleep(Duration::from_millis(3_200));
    let asking = channels.into_iter().enumerate().map(|(n, mut channel)| {
        thread::spawn(move || {
            let sent = Instant::now();
            let id = format!("stream-{n}");
            (stream(&mut channel, &id), id, sent, stopped.elapsed())
        })
    });
    let asking: Vec<_> = asking.collect();
    let mut lost = 0;
    for asked in asking {
        let Ok(((status, events, whole), id, sent, at)) = asked.join() else {
            not_run("a caller failed")
        };
        let ran = has_run(replicas, &id);
        record::say(&format!(
            "{id}: sent {:.2} s after the signal, run {ran}, status {status}, {events} of {EVENTS} events, \
             whole {whole}, ends {:.2} s after the signal",
            (sent - stopped).as_secs_f64(),
            at.as_secs_f64()
        ));
        // One that is sent no later than 3 s after the signal would not count, nor one that ends at its
        // time limit.
        let counts =
            ran && sent - stopped > Duration::from_secs(3) && sent.elapsed().as_secs_f64() < 7.9;
        lost += u32::from(!whole && counts);
    }
    lost
}

fn has_run(replicas: &[Replica], id: &str) -> bool {
    replicas
        .iter()
        .any(|r| r.runs.lock().unwrap().iter().any(|run| run.request == id))
}

/// Long answers that a gateway takes 2.7 s after its SIGTERM. Returns how many were run and cut.
fn answers(gateway: &mut Daemon, front: SocketAddr, replicas: &[Replica], link: &Arc<Link>) -> u32 {
    let channels = channels(front, link, "answer");
    if trouble() {
        record::say("SIGTERM to edge-1");
        gateway.signal("TERM");
    }
    let stopped = Instant::now();
    thread::sleep(Duration::from_millis(2_700));
    let asking = channels.into_iter().enumerate().map(|(n, mut channel)| {
        let link = Arc::clone(link);
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(100 * n as u64));
            let sent = Instant::now();
            let got = ask(&mut channel, &link, &format!("answer-{n}"), ANSWER);
            (n, got, sent.elapsed(), stopped.elapsed())
        })
    });
    let asking: Vec<_> = asking.collect();
    let mut lost = 0;
    for asked in asking {
        let Ok((n, got, took, at)) = asked.join() else {
            not_run("a caller failed")
        };
        let whole = got.status == 200 && got.body == ANSWER;
        let ran = has_run(replicas, &format!("answer-{n}"));
        record::say(&format!(
            "answer-{n}: run {ran}, status {}, {} of {} bytes, ends {:.2} s after it was sent and {:.2} s \
             after the signal{}{}",
            got.status,
            got.body,
            got.length,
            took.as_secs_f64(),
            at.as_secs_f64(),
            if got.error.is_empty() { "" } else { ": " },
            got.error
        ));
        // Near its time limit or the end of the grace it would not count.
        let counts = ran && took.as_secs_f64() < 5.6 && at.as_secs_f64() < GRACE * 5.0 / 6.0;
        lost += u32::from(!whole && counts);
    }
    if let Some(status) = gateway.ended() {
        record::say(&format!("edge-1 has ended: {status}"));
    }
    lost
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
    store.put(
        "config",
        "main",
        config(3, &[route("/ledger/", "safe", 8_000), drafts], &["key-1"]),
    );
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
    let link = Arc::new(Link(Mutex::new(Instant::now())));
    let streams = streams(&gateways[0], all[0].front, &replicas, &link);
    record::say(&format!("{streams} streams were run and cut"));
    thread::sleep(Duration::from_secs(4));
    let answers = answers(&mut gateways[1], all[1].front, &replicas, &link);
    record::say(&format!("{answers} long answers were run and cut"));
    drop(gateways);
    daemon::end_all();
    std::process::exit(i32::from(streams + answers > 0));
}
