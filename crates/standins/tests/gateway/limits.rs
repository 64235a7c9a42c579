//! Replicas that name how many requests a second they take from all hosts together.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use eelgrasshold_net::gateway::GatewayHost;
use eelgrasshold_standins::users::Replica;
use futures::future::join_all;
use tokio::task::JoinHandle;

use super::cluster::{Answer, Cluster, request, send};

/// Limit of a replica in requests a second.
const LIMIT: f64 = 2.0;
/// Length of the sliding window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Share of the limit that a window may hold.
const TOLERANCE: f64 = 1.5;
/// Requests that a window may hold besides.
const SLACK: f64 = 5.0;
/// Time after the first answer with a limit from which it is kept.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Time between two requests to a gateway.
const INTERVAL: Duration = Duration::from_millis(80);
/// Time within which a request is refused that no upstream can take.
const REFUSAL_TIME: Duration = Duration::from_millis(250);

/// An answer and the time that it took.
type Call = JoinHandle<(Answer, Duration)>;

/// Sends plain requests to gateways at regular intervals.
async fn send_for(time: Duration, gateways: &[SocketAddr], prefix: &str) -> Vec<Call> {
    let until = Instant::now() + time;
    let mut calls = Vec::new();
    for round in 0.. {
        if Instant::now() >= until {
            break;
        }
        for (n, address) in gateways.iter().enumerate() {
            let (address, id) = (*address, format!("{prefix}-{n}-{round}"));
            calls.push(tokio::spawn(async move {
                let sent = Instant::now();
                let answer = send(address, &request("GET", "/safe/x", &id)).await;
                (answer, sent.elapsed())
            }));
        }
        tokio::time::sleep(INTERVAL).await;
    }
    calls
}

async fn answers(calls: Vec<Call>) -> Vec<(Answer, Duration)> {
    let calls = join_all(calls).await;
    calls.into_iter().map(Result::unwrap).collect()
}

fn addresses(cluster: &Cluster) -> Vec<SocketAddr> {
    let gateways = cluster.gateways.iter();
    gateways.map(GatewayHost::callers_address).collect()
}

fn arrivals_since(replica: &Replica, since: Instant) -> Vec<Instant> {
    let arrivals = replica.arrivals().into_iter();
    arrivals
        .filter_map(|a| a.at)
        .filter(|at| *at >= since)
        .collect()
}

/// Most requests that a replica got in any window since an instant.
fn most_in_window(replica: &Replica, since: Instant) -> usize {
    let arrivals = arrivals_since(replica, since);
    let windows = arrivals.iter().map(|start| {
        let in_window = |at: &&Instant| **at >= *start && **at < *start + WINDOW;
        arrivals.iter().filter(in_window).count()
    });
    windows.max().unwrap_or(0)
}

fn allowed(limit: f64) -> usize {
    (limit * WINDOW.as_secs_f64() * TOLERANCE + SLACK) as usize
}

fn whole(answers: &[(Answer, Duration)]) -> usize {
    let whole = |(a, _): &&(Answer, Duration)| a.status == 200 && a.complete;
    answers.iter().filter(whole).count()
}

// Guards against hosts that each keep a limit for themselves, and against requests that are refused
// although another replica can take them.
#[tokio::test]
async fn hosts_together_keep_the_limits_of_replicas_and_others_take_the_rest() {
    let cluster = Cluster::start(4, 3).await;
    let limited = &cluster.replicas[..3];
    for replica in limited {
        replica.set_limit(Some(LIMIT));
    }
    let first = send_for(SETTLE_TIME, &addresses(&cluster), "first").await;
    let since = Instant::now();
    let calls = send_for(Duration::from_secs(6), &addresses(&cluster), "then").await;
    for (n, replica) in limited.iter().enumerate() {
        let most = most_in_window(replica, since);
        assert!(most <= allowed(LIMIT), "replica {n} got {most} requests");
        let got = arrivals_since(replica, since).len();
        assert!(got >= 8, "replica {n} got {got} requests in all");
    }
    let answers = answers(first.into_iter().chain(calls).collect()).await;
    let whole = whole(&answers);
    assert!(
        whole * 100 >= answers.len() * 98,
        "{whole} of {}",
        answers.len()
    );
}

// Guards against limits that are exceeded, or not used, when hosts are killed and others come.
#[tokio::test]
async fn limits_are_kept_while_hosts_come_and_go() {
    let mut cluster = Cluster::start(2, 4).await;
    for replica in &cluster.replicas {
        replica.set_limit(Some(LIMIT));
    }
    send_for(SETTLE_TIME, &addresses(&cluster), "first").await;
    let since = Instant::now();
    for n in 0..2 {
        cluster.gateways.remove(0).abort();
        let seeds = vec![cluster.gateways[0].peers_address()];
        let new = cluster.start_gateway(&format!("edge-new-{n}"), seeds).await;
        cluster.gateways.push(new);
        let calls = send_for(
            Duration::from_secs(4),
            &addresses(&cluster),
            &format!("n{n}"),
        )
        .await;
        drop(answers(calls).await);
    }
    for (n, replica) in cluster.replicas.iter().enumerate() {
        let most = most_in_window(replica, since);
        assert!(most <= allowed(LIMIT), "replica {n} got {most} requests");
        let got = arrivals_since(replica, since).len();
        assert!(got >= 6, "replica {n} got {got} requests in all");
    }
}

// Guards against requests that wait, or are told that they may have run, when no replica can take them.
#[tokio::test]
async fn what_no_replica_can_take_is_refused_at_once() {
    let cluster = Cluster::start(2, 2).await;
    for replica in &cluster.replicas {
        replica.set_limit(Some(LIMIT));
    }
    send_for(SETTLE_TIME, &addresses(&cluster), "first").await;
    let since = Instant::now();
    let calls = send_for(Duration::from_secs(5), &addresses(&cluster), "then").await;
    let answers = answers(calls).await;
    let whole = whole(&answers);
    assert!(whole >= 10, "{whole} of {} answered", answers.len());
    for replica in &cluster.replicas {
        let most = most_in_window(replica, since);
        assert!(most <= allowed(LIMIT), "a replica got {most} requests");
    }
    let refused = answers.iter().filter(|(a, _)| a.status != 200);
    for (answer, took) in refused {
        assert_eq!(answer.status, 503, "{answer:?}");
        assert!(*took < REFUSAL_TIME, "refused after {took:?}");
        let after: f64 = answer.header("retry-after").parse().unwrap();
        assert!(after > 0.0, "{answer:?}");
    }
}

// Guards against a limit that stays in effect when a replica no longer names it, and against one that is
// not noticed when it becomes lower.
#[tokio::test]
async fn limits_that_change_or_end_are_followed() {
    let cluster = Cluster::start(2, 3).await;
    for replica in &cluster.replicas {
        replica.set_limit(Some(LIMIT * 4.0));
    }
    send_for(Duration::from_secs(2), &addresses(&cluster), "first").await;
    cluster.replicas[0].set_limit(Some(LIMIT / 2.0));
    cluster.replicas[1].set_limit(None);
    send_for(SETTLE_TIME, &addresses(&cluster), "second").await;
    let since = Instant::now();
    let calls = send_for(Duration::from_secs(5), &addresses(&cluster), "third").await;
    let most = most_in_window(&cluster.replicas[0], since);
    assert!(most <= allowed(LIMIT / 2.0), "got {most} requests");
    let answers = answers(calls).await;
    let whole = whole(&answers);
    assert!(
        whole * 100 >= answers.len() * 98,
        "{whole} of {}",
        answers.len()
    );
}
