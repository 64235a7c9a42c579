//! Requests that end each replica which begins to answer them.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use eelgrasshold_net::gateway::GatewayHost;
use eelgrasshold_standins::users::Replica;
use futures::future::join_all;

use super::cluster::{Cluster, request, send};

/// Ends of replicas under requests with something in common before these have to be recognized.
const MAX_ENDS: usize = 5;
/// Time after these ends until all hosts have to refuse such requests.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Requests that may reach replicas after that.
const MAX_LATE_ARRIVALS: usize = 3;
/// Time for which a replica is down after its end.
const DOWN_TIME: Duration = Duration::from_millis(250);
/// Time between two requests of one kind to each gateway.
const INTERVAL: Duration = Duration::from_millis(60);

/// The part of a prompt that ends replicas.
const FATAL_PART: &str = "bad5eed";
/// First parts of prompts.
const FIRST_PARTS: [&str; 5] = ["a1", "a2", "a3", "a4", "a5"];

static NEXT_REQUEST: AtomicUsize = AtomicUsize::new(0);

/// A request for a stream with the parts of its prompt; no two are alike.
fn stream_request(parts: &[&str]) -> String {
    let n = NEXT_REQUEST.fetch_add(1, Ordering::Relaxed);
    let shared: Vec<String> = parts.iter().map(|p| format!("{p}:40")).collect();
    let text = request("POST", &format!("/stream/{n}"), &format!("r-{n}"));
    let header = format!(
        "\r\nX-Prefix-Hash: {},own{n}:200\r\nHost:",
        shared.join(",")
    );
    text.replacen("\r\nHost:", &header, 1)
}

/// Requests of a span of time: those that end replicas are sent without waiting for their answers.
struct Traffic<'a> {
    cluster: &'a Cluster,
    gateways: Vec<&'a GatewayHost>,
}

impl Traffic<'_> {
    /// Sends a fatal request and sound ones to each gateway at regular intervals. Returns the number
    /// of sound requests and of those that were answered whole.
    async fn run(&self, time: Duration, fatal: impl Fn() -> String) -> (usize, usize) {
        let until = Instant::now() + time;
        let mut calls = Vec::new();
        for round in 0.. {
            if Instant::now() >= until {
                break;
            }
            for (n, gateway) in self.gateways.iter().enumerate() {
                let address = gateway.callers_address();
                let text = fatal();
                tokio::spawn(async move { send(address, &text).await });
                let first = FIRST_PARTS[(round + n) % FIRST_PARTS.len()];
                for second in ["b1", "b2"] {
                    let text = stream_request(&[first, second]);
                    calls.push(tokio::spawn(async move { send(address, &text).await }));
                }
            }
            tokio::time::sleep(INTERVAL).await;
        }
        let answers = join_all(calls).await;
        let sent = answers.len();
        let whole = |a: &Result<_, _>| matches!(a, Ok(a) if whole_answer(a));
        (sent, answers.iter().filter(|a| whole(a)).count())
    }

    fn ends(&self) -> usize {
        self.cluster.replicas.iter().map(|r| r.ends().len()).sum()
    }

    /// Requests with a marker that reached replicas.
    fn fatal_arrivals(&self, marker: &str) -> usize {
        let arrivals = self.cluster.replicas.iter().flat_map(Replica::arrivals);
        arrivals
            .filter(|a| a.path.contains(marker) || a.header("x-prefix-hash").contains(marker))
            .count()
    }
}

fn whole_answer(answer: &super::cluster::Answer) -> bool {
    answer.status == 200 && answer.complete
}

fn fatal_stream() -> String {
    let n = NEXT_REQUEST.load(Ordering::Relaxed);
    stream_request(&[FIRST_PARTS[n % FIRST_PARTS.len()], FATAL_PART, "c1"])
}

/// The same plain request each time, but for its id.
fn fatal_plain() -> String {
    let n = NEXT_REQUEST.fetch_add(1, Ordering::Relaxed);
    request("GET", "/safe/fatal?x=1", &format!("r-{n}"))
}

/// The same, but sent once only.
fn fatal_unrepeated() -> String {
    let n = NEXT_REQUEST.fetch_add(1, Ordering::Relaxed);
    request("GET", "/unsafe/fatal", &format!("r-{n}"))
}

async fn cluster(gateways: usize, marker: &str) -> Cluster {
    let cluster = Cluster::start(4, gateways).await;
    for replica in &cluster.replicas {
        replica.end_at(marker, DOWN_TIME);
    }
    cluster
}

// Guards against one part of a prompt that ends replica after replica, in requests at every host of
// which no two are alike, and against sound requests with the same other parts that are refused.
#[tokio::test]
async fn a_part_that_ends_replicas_is_refused_at_every_host_and_sound_requests_are_served() {
    let cluster = cluster(3, FATAL_PART).await;
    let traffic = Traffic {
        cluster: &cluster,
        gateways: cluster.gateways.iter().collect(),
    };
    let started = Instant::now();
    while traffic.ends() < MAX_ENDS && started.elapsed() < Duration::from_secs(4) {
        traffic.run(INTERVAL, fatal_stream).await;
    }
    traffic.run(SETTLE_TIME, fatal_stream).await;
    let (arrivals, ends) = (traffic.fatal_arrivals(FATAL_PART), traffic.ends());
    let (sent, whole) = traffic.run(Duration::from_secs(2), fatal_stream).await;
    let late = traffic.fatal_arrivals(FATAL_PART) - arrivals;
    assert!(
        late <= MAX_LATE_ARRIVALS,
        "{late} arrivals after {ends} ends"
    );
    assert!(
        whole * 10 >= sent * 9,
        "{whole} of {sent} sound requests answered"
    );
}

// Guards against one request that its caller repeats and that ends each replica which runs it.
#[tokio::test]
async fn a_request_that_ends_replicas_is_refused_when_it_comes_again() {
    let cluster = cluster(3, "fatal").await;
    let traffic = Traffic {
        cluster: &cluster,
        gateways: cluster.gateways.iter().collect(),
    };
    traffic.run(SETTLE_TIME, fatal_plain).await;
    let arrivals = traffic.fatal_arrivals("fatal");
    let (sent, whole) = traffic.run(Duration::from_secs(1), fatal_plain).await;
    let late = traffic.fatal_arrivals("fatal") - arrivals;
    assert!(late <= MAX_LATE_ARRIVALS, "{late} arrivals");
    assert!(
        whole * 10 >= sent * 9,
        "{whole} of {sent} sound requests answered"
    );
}

// Guards against a request that ends all replicas of a small plain service, and all of them once more when
// they are back. Such a replica ends before the head of its answer.
#[tokio::test]
async fn a_request_that_ended_all_of_a_plain_service_does_not_end_it_again() {
    const REPLICAS: usize = 3;
    let cluster = Cluster::start(REPLICAS, 3).await;
    for replica in &cluster.replicas {
        replica.end_before_head_at("fatal", SETTLE_TIME + Duration::from_millis(500));
    }
    let traffic = Traffic {
        cluster: &cluster,
        gateways: cluster.gateways.iter().collect(),
    };
    while traffic.ends() < REPLICAS {
        traffic.run(INTERVAL, fatal_plain).await;
    }
    traffic.run(SETTLE_TIME, fatal_plain).await;
    let arrivals = traffic.fatal_arrivals("fatal");
    traffic.run(Duration::from_secs(1), fatal_plain).await;
    let late = traffic.fatal_arrivals("fatal") - arrivals;
    assert!(late <= MAX_LATE_ARRIVALS, "{late} arrivals");
    let (sent, whole) = traffic.run(Duration::from_secs(1), fatal_plain).await;
    assert!(
        whole * 10 >= sent * 9,
        "{whole} of {sent} sound requests answered"
    );
}

// Guards against a part that is forgotten when all hosts are started anew at once.
#[tokio::test]
async fn a_part_that_ends_replicas_is_refused_after_a_restart_of_all_hosts() {
    let mut cluster = cluster(2, FATAL_PART).await;
    let traffic = Traffic {
        cluster: &cluster,
        gateways: cluster.gateways.iter().collect(),
    };
    traffic.run(SETTLE_TIME, fatal_stream).await;
    for gateway in std::mem::take(&mut cluster.gateways) {
        gateway.abort();
    }
    let mut restarted = Vec::new();
    for n in 0..2 {
        restarted.push(cluster.restart_gateway(&format!("edge-{n}")).await);
    }
    cluster.gateways = restarted;
    for n in 0..2 {
        cluster
            .wait_until(|| async { !cluster.resolved_addresses(n).await.is_empty() })
            .await;
    }
    let traffic = Traffic {
        cluster: &cluster,
        gateways: cluster.gateways.iter().collect(),
    };
    let (arrivals, ends) = (traffic.fatal_arrivals(FATAL_PART), traffic.ends());
    let (sent, whole) = traffic.run(Duration::from_secs(2), fatal_stream).await;
    let late = traffic.fatal_arrivals(FATAL_PART) - arrivals;
    assert!(
        late <= MAX_LATE_ARRIVALS,
        "{late} arrivals after {ends} ends"
    );
    assert!(
        whole * 10 >= sent * 9,
        "{whole} of {sent} sound requests answered"
    );
}

// Guards against hosts that are cut off from each other and each let a part end replicas that the
// others refuse already.
#[tokio::test]
async fn a_part_that_ends_replicas_is_refused_by_hosts_that_do_not_hear_each_other() {
    let mut cluster = cluster(1, FATAL_PART).await;
    // Without seeds, the other host knows the store and the replicas only.
    let separate = cluster.restart_gateway("edge-cut").await;
    cluster.gateways.push(separate);
    cluster
        .wait_until(|| async { !cluster.resolved_addresses(1).await.is_empty() })
        .await;
    let first = Traffic {
        cluster: &cluster,
        gateways: vec![&cluster.gateways[0]],
    };
    first.run(SETTLE_TIME, fatal_stream).await;
    let second = Traffic {
        cluster: &cluster,
        gateways: vec![&cluster.gateways[1]],
    };
    let arrivals = second.fatal_arrivals(FATAL_PART);
    second.run(Duration::from_secs(2), fatal_stream).await;
    let late = second.fatal_arrivals(FATAL_PART) - arrivals;
    assert!(late <= MAX_LATE_ARRIVALS, "{late} arrivals");
}

/// Three replicas of a plain service, which end before the head of an answer.
async fn plain_cluster(gateways: usize) -> Cluster {
    let cluster = Cluster::start(3, gateways).await;
    for replica in &cluster.replicas {
        replica.end_before_head_at("fatal", DOWN_TIME);
    }
    cluster
}

// Guards against a repeated request that is forgotten when all hosts are started anew at once.
#[tokio::test]
async fn a_repeated_request_is_refused_after_a_restart_of_all_hosts() {
    let mut cluster = plain_cluster(2).await;
    let traffic = Traffic {
        cluster: &cluster,
        gateways: cluster.gateways.iter().collect(),
    };
    traffic.run(SETTLE_TIME, fatal_plain).await;
    for gateway in std::mem::take(&mut cluster.gateways) {
        gateway.abort();
    }
    for n in 0..2 {
        let restarted = cluster.restart_gateway(&format!("edge-{n}")).await;
        cluster.gateways.push(restarted);
    }
    for n in 0..2 {
        cluster
            .wait_until(|| async { !cluster.resolved_addresses(n).await.is_empty() })
            .await;
    }
    let traffic = Traffic {
        cluster: &cluster,
        gateways: cluster.gateways.iter().collect(),
    };
    let arrivals = traffic.fatal_arrivals("fatal");
    traffic.run(Duration::from_secs(2), fatal_plain).await;
    let late = traffic.fatal_arrivals("fatal") - arrivals;
    assert!(late <= MAX_LATE_ARRIVALS, "{late} arrivals");
}

// Guards against a repeated request that ends replicas again through a host that does not hear the others.
#[tokio::test]
async fn a_repeated_request_is_refused_by_hosts_that_do_not_hear_each_other() {
    let mut cluster = plain_cluster(1).await;
    // Without seeds, the other host knows the store and the replicas only.
    let separate = cluster.restart_gateway("edge-cut").await;
    cluster.gateways.push(separate);
    cluster
        .wait_until(|| async { !cluster.resolved_addresses(1).await.is_empty() })
        .await;
    let first = Traffic {
        cluster: &cluster,
        gateways: vec![&cluster.gateways[0]],
    };
    first.run(SETTLE_TIME, fatal_plain).await;
    let second = Traffic {
        cluster: &cluster,
        gateways: vec![&cluster.gateways[1]],
    };
    let arrivals = second.fatal_arrivals("fatal");
    second.run(Duration::from_secs(2), fatal_plain).await;
    let late = second.fatal_arrivals("fatal") - arrivals;
    assert!(late <= MAX_LATE_ARRIVALS, "{late} arrivals");
}

// Guards against ends that each host counts for itself while it reaches the store but no other host.
#[tokio::test]
async fn ends_at_hosts_that_do_not_hear_each_other_are_counted_together() {
    const CUT_OFF: usize = 3;
    const REPETITIONS: usize = 12;
    let mut cluster = plain_cluster(1).await;
    for n in 0..CUT_OFF {
        // Without seeds, a host knows the store and the replicas only.
        let separate = cluster.restart_gateway(&format!("edge-cut-{n}")).await;
        cluster.gateways.push(separate);
    }
    for n in 0..=CUT_OFF {
        cluster
            .wait_until(|| async { !cluster.resolved_addresses(n).await.is_empty() })
            .await;
    }
    for gateway in cluster.gateways.iter().cycle().take(REPETITIONS) {
        let (address, text) = (gateway.callers_address(), fatal_unrepeated());
        tokio::spawn(async move { send(address, &text).await });
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    let ends = cluster.replicas.iter().flat_map(Replica::ends);
    let mut ends: Vec<Instant> = ends.collect();
    ends.sort_unstable();
    assert!(ends.len() >= 3, "{} ends", ends.len());
    let late = ends.iter().filter(|at| **at > ends[2] + SETTLE_TIME);
    let late = late.count();
    assert!(
        late <= MAX_LATE_ARRIVALS,
        "{late} late arrivals, {} ends",
        ends.len()
    );
}
