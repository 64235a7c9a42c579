//! Groups whose ranks wait for one of them, as callers and replicas see it.

use std::net::SocketAddr;
use std::time::Duration;

use eelgrasshold_standins::users::{Replica, Reply};
use futures::future::join_all;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::cluster::{Cluster, request};

/// Time without an event after which a caller gives up.
const PATIENCE: Duration = Duration::from_secs(2);
/// Time for which ranks wait for another before they refuse what they have not begun.
const STALL_TIME: Duration = Duration::from_millis(1_500);

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// With bytes that contain the end of an answer, or a closed connection.
    Ended,
    /// With a status that says that the request has not run and never will.
    NotRun,
    /// The caller gave up.
    GivenUp,
}

/// Sends a request for a stream and reads until it ends or its caller gives up.
async fn patient_call(address: SocketAddr, id: &str) -> End {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let text = request("POST", "/stream/x", id).replace("2500", "8000");
    stream.write_all(text.as_bytes()).await.unwrap();
    let mut bytes = Vec::new();
    let mut chunk = [0; 4_096];
    loop {
        match tokio::time::timeout(PATIENCE, stream.read(&mut chunk)).await {
            Err(_) => return End::GivenUp,
            Ok(Ok(read)) if read > 0 => bytes.extend_from_slice(&chunk[..read]),
            Ok(_) => return End::Ended,
        }
        let text = String::from_utf8_lossy(&bytes);
        if ["HTTP/1.1 429", "HTTP/1.1 503"]
            .iter()
            .any(|s| text.starts_with(s))
        {
            return End::NotRun;
        }
        if text.ends_with("0\r\n\r\n") || !text.starts_with("HTTP/1.1 200") {
            return End::Ended;
        }
    }
}

/// Sends requests for streams at the same time; returns how many callers gave up.
async fn callers_that_give_up(cluster: &Cluster, requests: usize) -> usize {
    let address = cluster.gateways[0].callers_address();
    let calls =
        (0..requests).map(|n| async move { patient_call(address, &format!("r-{n}")).await });
    let ends = join_all(calls).await;
    ends.into_iter().filter(|e| *e == End::GivenUp).count()
}

/// Time after which all first sends have arrived.
const FIRST_SENDS_TIME: Duration = Duration::from_millis(500);
const FAR_MORE_THAN_SENT: usize = 99;
/// Intervals of streams that last for longer than a caller waits for its first event.
const LONG_STREAM_INTERVALS: [Duration; 2] =
    [Duration::from_millis(400), Duration::from_millis(450)];
/// Streams of a replica that falls silent 1.2 s after they begin.
const SILENT_LATE: Reply = Reply::PacedHangAfter {
    interval: Duration::from_millis(300),
    events: 5,
};

/// Sends requests for streams at the same time, and has replicas never answer what is sent again. Fails
/// if a caller gives up, or is told that its request has not run although a replica may run it.
async fn assert_all_are_answered(cluster: &Cluster, requests: usize) {
    let address = cluster.gateways[0].callers_address();
    let calls = (0..requests).map(|n| async move {
        let id = format!("r-{n}");
        let end = patient_call(address, &id).await;
        (id, end)
    });
    let hang = async {
        tokio::time::sleep(FIRST_SENDS_TIME).await;
        for replica in &cluster.replicas {
            replica.clear_replies();
            replica.queue_replies(vec![Reply::Hang; FAR_MORE_THAN_SENT]);
        }
    };
    let (ends, ()) = tokio::join!(join_all(calls), hang);
    let given_up = ends.iter().filter(|(_, e)| *e == End::GivenUp).count();
    let untrue = |(id, end): &&(String, End)| *end == End::NotRun && cluster.runs(id) > 0;
    let untrue = ends.iter().filter(untrue).count();
    assert_eq!((given_up, untrue), (0, 0), "of {requests}");
}

/// Queues a reply to the first send that reaches a replica, and another to all others.
fn queue_first_sends(replica: &Replica, first: Reply, others: Reply) {
    replica.queue_replies([first]);
    replica.queue_replies(vec![others; FAR_MORE_THAN_SENT]);
}

// Guards against work that goes on for callers that have left: nothing reaches a frozen machine, so its
// callers have to be answered before they give up, once the ranks that wait for it say so.
#[tokio::test]
async fn callers_of_a_frozen_rank_are_answered_before_they_give_up() {
    let cluster = Cluster::start(3, 1).await;
    let frozen = &cluster.replicas[0];
    frozen.queue_replies([Reply::HangAfter(2), Reply::Hang, Reply::HangAfter(1)]);
    frozen.queue_replies(vec![Reply::Hang; 9]);
    let waiting = Reply::NotRunAfter {
        delay: STALL_TIME,
        at: frozen.address(),
    };
    for replica in &cluster.replicas[1..] {
        replica.queue_replies(vec![waiting.clone(); 12]);
    }
    assert_eq!(callers_that_give_up(&cluster, 12).await, 0);
    assert!(cluster.replicas[0].arrivals().len() >= 3);
}

// Guards against slow streams that are ended because another rank reports a stall.
#[tokio::test]
async fn slow_streams_go_on_while_a_rank_reports_a_stall() {
    let cluster = Cluster::start(2, 1).await;
    let slow = Reply::Paced(Duration::from_millis(700));
    cluster.replicas[0].queue_replies(vec![slow; 6]);
    let waiting = Reply::NotRunAfter {
        delay: STALL_TIME,
        at: cluster.replicas[0].address(),
    };
    cluster.replicas[1].queue_replies(vec![waiting; 6]);
    assert_eq!(callers_that_give_up(&cluster, 6).await, 0);
    let arrivals = cluster.replicas[0].arrivals();
    assert!(!arrivals.is_empty() && arrivals.iter().all(|a| !a.abandoned));
}

// Guards against work that is given up at a replica that is only silent for a while.
#[tokio::test]
async fn a_silent_replica_keeps_its_work_while_no_other_reports_a_stall() {
    let cluster = Cluster::start(1, 1).await;
    let late = Reply::Delayed(Duration::from_millis(1_900));
    cluster.replicas[0].queue_replies(vec![late; 3]);
    assert_eq!(callers_that_give_up(&cluster, 3).await, 0);
    let arrivals = cluster.replicas[0].arrivals();
    assert_eq!(arrivals.len(), 3);
    assert!(arrivals.iter().all(|a| !a.abandoned));
}

// Guards against callers that leave a rank which fell silent when less than half of their patience was left.
#[tokio::test]
async fn callers_of_a_rank_that_falls_silent_late_are_answered_before_they_give_up() {
    let cluster = Cluster::start(3, 1).await;
    queue_first_sends(&cluster.replicas[0], SILENT_LATE, Reply::Hang);
    for (replica, interval) in cluster.replicas[1..].iter().zip(LONG_STREAM_INTERVALS) {
        queue_first_sends(replica, Reply::Paced(interval), Reply::Paced(interval));
    }
    assert_all_are_answered(&cluster, 12).await;
}

// Guards against callers that leave the second rank that stands still.
#[tokio::test]
async fn callers_whose_second_rank_stands_still_too_are_answered_before_they_give_up() {
    let cluster = Cluster::start(3, 1).await;
    queue_first_sends(&cluster.replicas[0], Reply::Hang, Reply::Hang);
    for replica in &cluster.replicas[1..] {
        queue_first_sends(replica, SILENT_LATE, SILENT_LATE);
    }
    assert_all_are_answered(&cluster, 12).await;
}

// Guards against callers that leave a group none of whose ranks goes on.
#[tokio::test]
async fn callers_of_a_group_that_stands_still_are_answered_before_they_give_up() {
    let cluster = Cluster::start(3, 1).await;
    for replica in &cluster.replicas {
        queue_first_sends(replica, Reply::HangAfter(2), Reply::Hang);
    }
    assert_all_are_answered(&cluster, 12).await;
}

// Guards against callers that leave a stream whose second rank stands still as well.
#[tokio::test]
async fn streams_whose_second_rank_stands_still_too_end_before_their_callers_give_up() {
    let cluster = Cluster::start(3, 1).await;
    queue_first_sends(
        &cluster.replicas[0],
        Reply::HangAfter(2),
        Reply::HangAfter(2),
    );
    for replica in &cluster.replicas[1..] {
        queue_first_sends(replica, SILENT_LATE, SILENT_LATE);
    }
    assert_all_are_answered(&cluster, 12).await;
}

// Guards against callers that leave while the rest of a refusal or of a failure is awaited.
#[tokio::test]
async fn callers_of_a_rank_that_stands_still_in_a_refusal_are_answered_before_they_give_up() {
    let refusal = "X-Not-Executed: 1\r\nX-Signature: s\r\n";
    let mut given_up = Vec::new();
    for (status, headers) in [("503 Full", refusal), ("500 Failed", "X-Signature: s\r\n")] {
        let cluster = Cluster::start(1, 1).await;
        let bytes = format!(
            "HTTP/1.1 {status}\r\nX-Request-Id: r-0\r\n{headers}Content-Length: 9\r\n\r\nno"
        );
        cluster.replicas[0].queue_replies([Reply::Bytes(bytes.into_bytes())]);
        given_up.push(callers_that_give_up(&cluster, 1).await);
    }
    assert_eq!(given_up, [0, 0]);
}
