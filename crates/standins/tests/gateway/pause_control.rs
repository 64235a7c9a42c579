//! Gateways that limit streams in flight by the pauses that they observe.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use eelgrasshold_net::gateway::{GatewayHost, GatewayOptions};
use eelgrasshold_standins::users::{Answer, Replica, Reply};
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use super::cluster::{Cluster, TIMEOUT, config, request, send};

const REPLICAS: usize = 3;
/// Streams that are sent before the limit is known.
const STREAMS: usize = 12;
/// Pause of their six events, several times the target.
const PAUSE: Duration = Duration::from_millis(400);
/// Time after which the gateway has observed enough pauses; the streams end after six.
const OBSERVED: Duration = Duration::from_millis(1_800);
/// Time in which a request that does not wait reaches a replica.
const SEND_TIME: Duration = Duration::from_millis(150);
const LIMIT_MS: u64 = 8_000;
/// Longest time of a shutdown.
const SHUTDOWN_TIME: Duration = Duration::from_secs(7);
/// Longest time for which a waiting request may keep the gateway from other work.
const MAX_DELAY: Duration = Duration::from_millis(200);

/// Replicas behind a gateway with the limit.
struct Limited {
    cluster: Cluster,
    address: SocketAddr,
    began: Instant,
}

fn stream(id: &str) -> String {
    let text = request("POST", "/stream/x", id);
    text.replace("X-Deadline-Ms: 2500", &format!("X-Deadline-Ms: {LIMIT_MS}"))
}

fn ask(address: SocketAddr, id: &str) -> JoinHandle<Answer> {
    let text = stream(id);
    tokio::spawn(async move { send(address, &text).await })
}

/// Asks for a stream on a connection that the test may close.
async fn open(address: SocketAddr, id: &str) -> TcpStream {
    let mut connection = TcpStream::connect(address).await.unwrap();
    connection.write_all(stream(id).as_bytes()).await.unwrap();
    connection
}

fn is_whole(answer: &Answer) -> bool {
    answer.status == 200 && answer.complete && answer.events() == [1, 2, 3, 4, 5, 6]
}

impl Limited {
    async fn start() -> Self {
        let mut cluster = Cluster::start(0, 0).await;
        let mut cfg = config(2);
        for route in cfg["routes"].as_array_mut().unwrap() {
            route["timeout_ms"] = LIMIT_MS.into();
        }
        cfg["services"][0]["engine"] = json!({ "slots": 64 });
        cluster.store.put("config", "main", cfg);
        for n in 0..REPLICAS {
            let id = format!("i-{n}");
            let replica = Replica::start(&id).await.unwrap();
            let mut entry = replica.registry_entry("drafts", false);
            entry["slots"] = 64.into();
            cluster.store.put("servers", &id, entry);
            cluster.replicas.push(replica);
        }
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let platform = format!("http://{}", cluster.store.address());
        let options = GatewayOptions::builder("edge-0", &platform)
            .place("north", "north-1")
            .peers(any, Vec::new())
            .first_start(true)
            .pause_control(true)
            .build();
        let gateway = GatewayHost::start(options).await.unwrap();
        let address = gateway.callers_address();
        cluster.gateways.push(gateway);
        cluster
            .wait_until(|| async { cluster.resolved_addresses(0).await.len() == 1 })
            .await;
        cluster
            .wait_until(|| async {
                let text = request("GET", "/safe/x", "probe");
                send(address, &text).await.status == 200
            })
            .await;
        for replica in &cluster.replicas {
            replica.queue_replies(vec![Reply::Paced(PAUSE); STREAMS]);
        }
        Self {
            cluster,
            address,
            began: Instant::now(),
        }
    }

    fn arrived(&self, id: &str) -> bool {
        let mut arrivals = self.cluster.replicas.iter().flat_map(Replica::arrivals);
        arrivals.any(|a| a.header("x-request-id") == id)
    }

    /// Waits until the gateway limits its streams; later ones are answered without pauses.
    async fn wait_for_limit(&self) {
        tokio::time::sleep_until((self.began + OBSERVED).into()).await;
        for replica in &self.cluster.replicas {
            replica.clear_replies();
        }
    }

    fn ask_for_streams(&self) -> Vec<JoinHandle<Answer>> {
        (0..STREAMS)
            .map(|n| ask(self.address, &format!("first-{n}")))
            .collect()
    }
}

async fn all(calls: Vec<JoinHandle<Answer>>) -> Vec<Answer> {
    let mut answers = Vec::new();
    for call in calls {
        answers.push(call.await.unwrap());
    }
    answers
}

// Guards against requests that are sent although the limit is reached, or that are not woken when streams end.
#[tokio::test]
async fn requests_wait_for_the_limit_and_are_woken() {
    let limited = Limited::start().await;
    let first = limited.ask_for_streams();
    limited.wait_for_limit().await;
    let later = vec![ask(limited.address, "w-0"), ask(limited.address, "w-1")];
    tokio::time::sleep(SEND_TIME).await;
    assert!(
        !limited.arrived("w-0") && !limited.arrived("w-1"),
        "no wait"
    );
    let answers = all(later).await;
    assert!(answers.iter().all(is_whole), "{answers:?}");
    let answers = all(first).await;
    assert!(answers.iter().all(is_whole), "{answers:?}");
}

// Guards against callers that left and still take a turn, or whose streams still hold places that others wait for.
#[tokio::test]
async fn callers_that_leave_give_up_their_places() {
    let limited = Limited::start().await;
    let mut first = Vec::new();
    for n in 0..STREAMS {
        first.push(open(limited.address, &format!("first-{n}")).await);
    }
    limited.wait_for_limit().await;
    let leaving = open(limited.address, "leaves").await;
    tokio::time::sleep(SEND_TIME).await;
    drop(leaving);
    let later = ask(limited.address, "stays");
    tokio::time::sleep(SEND_TIME).await;
    assert!(!limited.arrived("stays"), "no wait");
    let left = Instant::now();
    first.truncate(2);
    let answer = later.await.unwrap();
    assert!(is_whole(&answer), "{answer:?}");
    let streams_end = limited.began + 6 * PAUSE;
    assert!(
        Instant::now() < streams_end,
        "woken {:?} after the others left",
        left.elapsed()
    );
    tokio::time::sleep(SEND_TIME).await;
    assert!(!limited.arrived("leaves"), "sent for a caller that left");
}

// Guards against a shutdown that lasts until the callers of waiting requests leave, or that leaves them without an
// answer.
#[tokio::test]
async fn a_shutdown_while_requests_wait_ends_in_time() {
    let mut limited = Limited::start().await;
    let first = limited.ask_for_streams();
    limited.wait_for_limit().await;
    let later: Vec<JoinHandle<Answer>> = (0..4)
        .map(|n| ask(limited.address, &format!("w-{n}")))
        .collect();
    tokio::time::sleep(SEND_TIME).await;
    assert!(!limited.arrived("w-0"), "no wait");
    let leaving = limited.cluster.gateways.remove(0);
    let began = Instant::now();
    let closing = leaving.close(std::future::pending());
    tokio::time::timeout(TIMEOUT, closing).await.unwrap();
    assert!(began.elapsed() < SHUTDOWN_TIME, "{:?}", began.elapsed());
    let answers = all(first).await;
    assert!(answers.iter().all(is_whole), "{answers:?}");
    for (n, answer) in all(later).await.iter().enumerate() {
        let is_refused = answer.status == 503 && answer.complete;
        assert!(is_whole(answer) || is_refused, "{answer:?}");
        let runs = limited.cluster.runs(&format!("w-{n}"));
        assert_eq!(runs, usize::from(!is_refused), "{answer:?}");
    }
}

// Guards against a stream that breaks and has to wait for a turn again behind requests that have not begun.
#[tokio::test]
async fn a_stream_that_breaks_is_resumed_while_others_wait() {
    let limited = Limited::start().await;
    for replica in &limited.cluster.replicas {
        replica.end_before_head_at("fatal", Duration::from_secs(5));
    }
    let first = limited.ask_for_streams();
    limited.wait_for_limit().await;
    let later = ask(limited.address, "waits");
    tokio::time::sleep(SEND_TIME).await;
    assert!(!limited.arrived("waits"), "no wait");
    let fatal = send(limited.address, &request("POST", "/unsafe/fatal", "fatal")).await;
    assert!(fatal.status >= 500, "{fatal:?}");
    let ends: usize = limited
        .cluster
        .replicas
        .iter()
        .map(|r| r.ends().len())
        .sum();
    assert_eq!(ends, 1);
    let answers = all(first).await;
    assert!(answers.iter().all(is_whole), "{answers:?}");
    let resumed = limited.cluster.replicas.iter().flat_map(Replica::arrivals);
    let resumed = resumed.filter(|a| !a.header("last-event-id").is_empty());
    assert!(resumed.count() > 0, "no stream broke");
    let answer = later.await.unwrap();
    assert!(is_whole(&answer), "{answer:?}");
}

// Guards against a request that has a place and waits for upstreams without giving way to other tasks.
#[tokio::test]
async fn a_wait_for_paused_upstreams_does_not_keep_the_gateway_busy() {
    let limited = Limited::start().await;
    let until = Instant::now() + Duration::from_millis(600);
    for replica in &limited.cluster.replicas {
        replica.clear_replies();
        replica.pause_until(until);
    }
    // The first ones find the replicas paused; the last one has tried none of them and waits.
    for n in 0..2 * REPLICAS {
        ask(limited.address, &format!("probe-{n}"));
    }
    let address = limited.address;
    let waiting = tokio::spawn(async move {
        tokio::time::sleep(SEND_TIME).await;
        send(address, &stream("waits")).await
    });
    let mut longest = Duration::ZERO;
    while Instant::now() < until {
        let slept = Instant::now();
        tokio::time::sleep(Duration::from_millis(10)).await;
        longest = longest.max(slept.elapsed());
    }
    assert!(longest < MAX_DELAY, "other tasks waited {longest:?}");
    let answer = waiting.await.unwrap();
    assert!(is_whole(&answer), "{answer:?}");
    assert_eq!(limited.cluster.runs("waits"), 1);
}
