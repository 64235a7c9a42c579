//! Requests at a gateway in its graceful shutdown.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use eelgrasshold_net::host::Drained;
use eelgrasshold_standins::users::{Answer, Reply};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use super::cluster::{Cluster, TIMEOUT, config, read_answer, request, send};

/// Time limit of the routes.
const LIMIT_MS: u64 = 8_000;
/// A moment at which the gateway can't be sure of a long answer; it ends 6 s after its shutdown began.
const LATE: Duration = Duration::from_millis(3_200);
/// A moment that leaves most of the shutdown.
const EARLY: Duration = Duration::from_secs(1);
/// Pause of streams of six events that end when asked for early, but not when asked for late.
const SLOW: Duration = Duration::from_millis(560);

/// A gateway that shuts down, and when that began.
struct Stopping {
    cluster: Cluster,
    address: SocketAddr,
    began: Instant,
    closing: JoinHandle<Drained>,
}

impl Stopping {
    /// Begins to close one of two gateways. Connections to it may be opened before.
    fn begin(mut cluster: Cluster) -> Self {
        let leaving = cluster.gateways.remove(0);
        let address = leaving.callers_address();
        let closing = tokio::spawn(leaving.close(std::future::pending()));
        Self {
            cluster,
            address,
            began: Instant::now(),
            closing,
        }
    }

    async fn wait(&self, time: Duration) {
        tokio::time::sleep_until((self.began + time).into()).await;
    }

    /// Sends a request some time after the shutdown began.
    async fn ask(&self, after: Duration, text: &str) -> Answer {
        self.wait(after).await;
        send(self.address, text).await
    }

    async fn close(self) {
        self.closing.await.unwrap();
    }
}

/// Replicas and two gateways, with long time limits of all routes.
async fn cluster() -> Cluster {
    let cluster = Cluster::start(2, 2).await;
    let mut cfg = config(2);
    for route in cfg["routes"].as_array_mut().unwrap() {
        route["timeout_ms"] = LIMIT_MS.into();
    }
    cluster.store.put("config", "main", cfg);
    tokio::time::sleep(Duration::from_millis(300)).await;
    cluster
}

/// A request for a stream with a time limit.
fn stream(id: &str, limit_ms: u64) -> String {
    let text = request("POST", "/stream/x", id);
    text.replace("X-Deadline-Ms: 2500", &format!("X-Deadline-Ms: {limit_ms}"))
}

fn slow_streams(cluster: &Cluster) {
    for replica in &cluster.replicas {
        replica.queue_replies(vec![Reply::Paced(SLOW); 4]);
    }
}

// Guards against streams that a stopping host takes, passes on and cuts when it ends.
#[tokio::test]
async fn a_stream_that_a_stopping_host_cannot_end_is_refused_before_it_is_passed_on() {
    let cluster = cluster().await;
    slow_streams(&cluster);
    let stopping = Stopping::begin(cluster);
    stopping.wait(LATE).await;
    let asked = Instant::now();
    let answer = stopping.ask(LATE, &stream("late", LIMIT_MS)).await;
    assert_eq!((answer.status, answer.complete), (503, true), "{answer:?}");
    assert!(asked.elapsed() < Duration::from_millis(200), "held");
    assert!(!answer.header("retry-after").is_empty(), "{answer:?}");
    assert_eq!(stopping.cluster.runs("late"), 0);
    stopping.close().await;
}

// Guards against sound streams that a stopping host refuses although it can end them.
#[tokio::test]
async fn streams_that_a_stopping_host_can_end_are_served() {
    let cluster = cluster().await;
    slow_streams(&cluster);
    let stopping = Stopping::begin(cluster);
    let early = stopping.ask(EARLY, &stream("early", LIMIT_MS)).await;
    let events = early.events().len();
    assert_eq!((early.status, early.complete, events), (200, true, 6));
    for replica in &stopping.cluster.replicas {
        replica.clear_replies();
    }
    stopping.close().await;

    let stopping = Stopping::begin(self::cluster().await);
    let short = stopping.ask(LATE, &stream("short", 2_000)).await;
    let events = short.events().len();
    assert_eq!((short.status, short.complete, events), (200, true, 6));
    let plain = stream("plain", LIMIT_MS).replace("/stream/", "/safe/");
    let plain = send(stopping.address, &plain).await;
    assert_eq!((plain.status, plain.complete), (200, true), "{plain:?}");
    stopping.close().await;
}

// Guards against a request that is taken early, but whose body comes when the stopping host can no longer
// end it.
#[tokio::test]
async fn a_request_whose_body_comes_late_in_a_planned_stop_is_refused() {
    let cluster = cluster().await;
    slow_streams(&cluster);
    let stopping = Stopping::begin(cluster);
    let mut connection = TcpStream::connect(stopping.address).await.unwrap();
    stopping.wait(Duration::from_millis(600)).await;
    let text = stream("slow-body", LIMIT_MS).replace("Content-Length: 0", "Content-Length: 4");
    connection.write_all(text.as_bytes()).await.unwrap();
    stopping.wait(Duration::from_millis(2_200)).await;
    connection.write_all(b"wool").await.unwrap();
    let answer = tokio::time::timeout(TIMEOUT, read_answer(&mut connection)).await;
    let answer = answer.unwrap();
    assert_eq!((answer.status, answer.complete), (503, true), "{answer:?}");
    assert_eq!(stopping.cluster.runs("slow-body"), 0);
    stopping.close().await;
}

// Guards against a request that waits for the end of a pause of upstreams until the stopping host can no
// longer end it, instead of being refused at once.
#[tokio::test]
async fn a_request_that_would_wait_too_long_at_a_stopping_host_is_refused_at_once() {
    let cluster = cluster().await;
    let until = Instant::now() + Duration::from_millis(2_200);
    for replica in &cluster.replicas {
        replica.pause_until(until);
    }
    let stopping = Stopping::begin(cluster);
    let first = stopping
        .ask(Duration::ZERO, &stream("first", LIMIT_MS))
        .await;
    assert!(first.status >= 500, "{first:?}");
    stopping.wait(Duration::from_millis(1_750)).await;
    let asked = Instant::now();
    let answer = send(stopping.address, &stream("waits", LIMIT_MS)).await;
    assert_eq!((answer.status, answer.complete), (503, true), "{answer:?}");
    assert!(asked.elapsed() < Duration::from_millis(200), "held");
    assert_eq!(stopping.cluster.runs("waits"), 0);
    stopping.close().await;
}
