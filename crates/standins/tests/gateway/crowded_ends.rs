//! Replicas that end under a request while they have many others in flight.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};

use super::cluster::{Cluster, request, send};

const REPLICAS: usize = 3;
/// Time for which a replica is down after its end.
const DOWN_TIME: Duration = Duration::from_millis(500);
/// Time between two requests that replicas keep without an answer.
const INTERVAL: Duration = Duration::from_millis(5);
/// Time between two repetitions of the fatal request.
const FATAL_INTERVAL: Duration = Duration::from_millis(1_500);
/// Time after the third end until the fatal request has to be refused.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Times that it may reach replicas after that.
const MAX_LATE_ARRIVALS: usize = 3;
/// Requests in flight at a replica from which on it counts as crowded.
const CROWD: usize = 32;
const LENGTH: Duration = Duration::from_secs(20);

/// When replicas ended, with the number of other requests that each had in flight.
type Ends = Arc<Mutex<Vec<(Instant, usize)>>>;

async fn head_of(stream: &mut TcpStream) -> String {
    let mut head = Vec::new();
    while !head.windows(4).any(|w| w == b"\r\n\r\n") {
        match stream.read_buf(&mut head).await {
            Ok(read) if read > 0 => {}
            _ => break,
        }
    }
    String::from_utf8_lossy(&head).into_owned()
}

/// Runs a replica that keeps all requests without an answer and ends under a fatal one. As when a process
/// ends, its connections are closed from the oldest on.
async fn run(listener: TcpListener, address: SocketAddr, ends: Ends) {
    let mut listener = listener;
    loop {
        let mut held = Vec::new();
        let last = loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            if head_of(&mut stream).await.contains("/fatal") {
                break stream;
            }
            held.push(stream);
        };
        ends.lock().unwrap().push((Instant::now(), held.len()));
        drop(listener);
        held.into_iter().for_each(drop);
        drop(last);
        tokio::time::sleep(DOWN_TIME).await;
        listener = TcpListener::bind(address).await.unwrap();
    }
}

// Guards against ends under a repeated request that are not counted among those of many others in flight.
#[tokio::test]
async fn a_request_that_ends_crowded_replicas_is_refused_when_it_comes_again() {
    let cluster = Cluster::start(0, 1).await;
    let ends = Ends::default();
    for n in 0..REPLICAS {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let entry = json!({
            "service": "drafts", "addr": address.to_string(), "zone": "north-1", "version": "v1",
            "slots": 64, "state": "ready", "cold_left_ms": 0, "seq": 1,
        });
        cluster.store.put("servers", &format!("i-{n}"), entry);
        tokio::spawn(run(listener, address, Arc::clone(&ends)));
    }
    let address = cluster.gateways[0].callers_address();
    let started = Instant::now();
    let mut fatal_at = started + SETTLE_TIME;
    for n in 0.. {
        let now = Instant::now();
        if now >= started + LENGTH {
            break;
        }
        let text = request("GET", &format!("/unsafe/{n}"), &format!("r-{n}"));
        tokio::spawn(async move { send(address, &text).await });
        if now >= fatal_at {
            fatal_at = now + FATAL_INTERVAL;
            let text = request("GET", "/unsafe/fatal", &format!("f-{n}"));
            tokio::spawn(async move { send(address, &text).await });
        }
        tokio::time::sleep(INTERVAL).await;
    }
    let ends = ends.lock().unwrap().clone();
    assert!(ends.len() >= 3, "{} ends", ends.len());
    let late = ends.iter().filter(|(at, _)| *at > ends[2].0 + SETTLE_TIME);
    let late = late.count();
    let in_flight: Vec<usize> = ends.iter().map(|(_, held)| *held).collect();
    assert!(
        in_flight[..3].iter().all(|n| *n > CROWD),
        "requests in flight: {in_flight:?}"
    );
    assert!(
        late <= MAX_LATE_ARRIVALS,
        "{late} late arrivals, {} ends; requests in flight: {in_flight:?}",
        ends.len()
    );
}
