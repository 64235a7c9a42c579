//! Hosts that come and go.

use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use super::cluster::{Cluster, read_answer, request, send};

async fn ready(cluster: &Cluster, gateway: usize) -> u16 {
    let address = cluster.gateways[gateway].ready_address();
    send(address, "GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
        .await
        .status
}

// Guards against a planned stop that cuts a stream, refuses a caller who has not heard of it, or
// stays in the answers about addresses.
#[tokio::test]
async fn a_host_that_leaves_is_named_no_more_and_ends_what_it_holds() {
    let mut cluster = Cluster::start(1, 2).await;
    assert_eq!(ready(&cluster, 0).await, 200);
    let leaving = cluster.gateways.remove(0);
    let address = leaving.callers_address();
    let mut open = TcpStream::connect(address).await.unwrap();
    let request_text = request("POST", "/stream/x", "r-1");
    open.write_all(request_text.as_bytes()).await.unwrap();
    let ready_address = leaving.ready_address();
    let closing = tokio::spawn(leaving.close(std::future::pending()));
    let answer = read_answer(&mut open).await;
    assert_eq!(
        (answer.complete, answer.events().len()),
        (true, 6),
        "{answer:?}"
    );
    cluster
        .wait_until(|| async { cluster.resolved_addresses(0).await.len() == 1 })
        .await;
    let status = send(ready_address, "GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
        .await
        .status;
    assert_eq!(status, 503);
    let late_answer = send(address, &request("GET", "/safe/x", "r-2")).await;
    assert_eq!(late_answer.status, 200);
    let drained = closing.await.unwrap();
    assert_eq!(drained, eelgrasshold_net::host::Drained::Whole);
}

// Guards against a dead host that callers are sent to for long.
#[tokio::test]
async fn a_host_that_dies_is_named_no_more() {
    let mut cluster = Cluster::start(1, 2).await;
    cluster.gateways.remove(0).abort();
    cluster
        .wait_until(|| async { cluster.resolved_addresses(0).await.len() == 1 })
        .await;
}

// Guards against connections that are kept for ever: an idle one ends after the configured time.
#[tokio::test]
async fn an_idle_connection_of_a_caller_ends_after_the_configured_time() {
    let cluster = Cluster::start(1, 1).await;
    let mut cfg = super::cluster::config(2);
    cfg["limits"]["idle_timeout_ms"] = 300.into();
    cluster.store.put("config", "main", cfg);
    tokio::time::sleep(Duration::from_millis(200)).await;
    let mut stream = TcpStream::connect(cluster.gateways[0].callers_address())
        .await
        .unwrap();
    let request_text = request("GET", "/safe/x", "r-1");
    stream.write_all(request_text.as_bytes()).await.unwrap();
    assert_eq!(read_answer(&mut stream).await.status, 200);
    let ended = tokio::time::timeout(Duration::from_secs(3), read_answer(&mut stream)).await;
    assert_eq!(ended.unwrap().status, 0);
}
