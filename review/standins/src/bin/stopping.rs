//! A gateway gets SIGTERM while it serves. Callers on kept channels send requests 2 s later, which is
//! before its listener closes, and read their answers over its link of 40 Mbit/s, the smallest of the
//! sheets. Judges whether every answer arrives whole.

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
use socket2::{Domain, Socket, Type};

/// Bytes a second of the gateway's link, which all callers share: 40 Mbit/s.
const LINK: f64 = 5e6;
const CALLERS: usize = 4;
const ANSWER: usize = 4_000_000;
const GRACE: f64 = 8.0;

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
        config(3, &[route("/ledger/", "safe", 8_000)], &["key-1"]),
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
    // Kept channels, each with an answered request before.
    let mut channels = Vec::new();
    for n in 0..CALLERS {
        let Ok(mut stream) = connect(all[0].front) else {
            not_run("can't connect")
        };
        let got = ask(&mut stream, &link, &format!("first-{n}"), 800);
        if got.status != 200 || got.body != 800 {
            not_run("a first request isn't served");
        }
        channels.push(stream);
    }
    if trouble() {
        record::say("SIGTERM to edge-0");
        gateways[0].signal("TERM");
    }
    let stopped = Instant::now();
    thread::sleep(Duration::from_millis(2_700));
    let asking = channels.into_iter().enumerate().map(|(n, mut stream)| {
        let link = Arc::clone(&link);
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(100 * n as u64));
            let sent = Instant::now();
            let got = ask(&mut stream, &link, &format!("late-{n}"), ANSWER);
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
        let ran = replicas.iter().any(|r| {
            r.runs
                .lock()
                .unwrap()
                .iter()
                .any(|run| run.request == format!("late-{n}"))
        });
        record::say(&format!(
            "late-{n}: run {ran}, status {}, {} of {} bytes, {:.2} s after it was sent, {:.2} s after \
             the signal{}{}",
            got.status,
            got.body,
            got.length,
            took.as_secs_f64(),
            at.as_secs_f64(),
            if got.error.is_empty() { "" } else { ": " },
            got.error
        ));
        // Past seven tenths of the time limit, or near the end of the grace, it would not count.
        let counts = ran && took.as_secs_f64() < 5.6 && at.as_secs_f64() < GRACE * 5.0 / 6.0;
        lost += u32::from(!whole && counts);
    }
    let end = Instant::now() + Duration::from_secs(5);
    while trouble() && Instant::now() < end {
        if let Some(status) = gateways[0].ended() {
            record::say(&format!(
                "edge-0 has ended by {:.2} s: {status}",
                stopped.elapsed().as_secs_f64()
            ));
            break;
        }
        thread::sleep(Duration::from_millis(50));
    }
    drop(gateways);
    daemon::end_all();
    record::say(&format!(
        "{lost} requests were run, and their channels ended without a whole answer"
    ));
    std::process::exit(i32::from(lost > 0));
}
