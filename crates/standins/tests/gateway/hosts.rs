//! Shutdown, crash and idle connections of gateway hosts.

use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpStream, UdpSocket};

use eelgrasshold_standins::users::Reply;

use super::cluster::{Cluster, config, read_answer, request, send};

/// Time for a connection; the system repeats a packet that was dropped only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

async fn ready_status(cluster: &Cluster, gateway: usize) -> u16 {
    let address = cluster.gateways[gateway].ready_address();
    send(address, "GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
        .await
        .status
}

// Guards against a graceful shutdown that cuts a stream, refuses a caller with an outdated address,
// or leaves the host in the directory.
#[tokio::test]
async fn leaving_host_is_removed_from_the_directory_and_finishes_its_requests() {
    let mut cluster = Cluster::start(1, 2).await;
    assert_eq!(ready_status(&cluster, 0).await, 200);
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

// Guards against a crashed host that stays in the directory.
#[tokio::test]
async fn crashed_host_is_removed_from_the_directory() {
    let mut cluster = Cluster::start(1, 2).await;
    cluster.gateways.remove(0).abort();
    cluster
        .wait_until(|| async { cluster.resolved_addresses(0).await.len() == 1 })
        .await;
}

// Guards against idle connections that are never closed.
#[tokio::test]
async fn idle_connection_is_closed_after_the_configured_time() {
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
    let closed = tokio::time::timeout(Duration::from_secs(3), read_answer(&mut stream)).await;
    assert_eq!(closed.unwrap().status, 0);
}

// Guards against one malformed datagram that ends the task which talks to other hosts.
#[tokio::test]
async fn hosts_that_get_malformed_datagrams_go_on_hearing_each_other() {
    let cluster = Cluster::start(2, 2).await;
    let target = cluster.gateways[0].peers_address();
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let mut rng = SmallRng::seed_from_u64(1);
    for n in 0..4_000_usize {
        let mut bytes = vec![0; rng.random_range(0..200)];
        rng.fill(bytes.as_mut_slice());
        // Kinds of datagrams between hosts, then the variant and large numbers.
        let mark = [0xff, 0xfe, 6][n % 3];
        let variant = rng.random_range(0..4);
        let large = [253, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff];
        let start: Vec<u8> = match n % 4 {
            0 => vec![mark],
            1 => vec![mark, 1, variant],
            2 => [&[mark, 1, variant, 1, 7], &large[..]].concat(),
            _ => [&[mark, variant, 0], &large[..], &large[..]].concat(),
        };
        socket
            .send_to(&[start, bytes].concat(), target)
            .await
            .unwrap();
        if n % 100 == 0 {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }
    // Longer than a host is believed that is not heard.
    tokio::time::sleep(Duration::from_secs(4)).await;
    for gateway in 0..2 {
        assert_eq!(cluster.resolved_addresses(gateway).await.len(), 2);
        let answer = cluster
            .call_at(gateway, "GET", "/safe/x", &format!("r-{gateway}"))
            .await;
        assert_eq!(answer.status, 200, "{answer:?}");
    }
}

/// Requests on kept and on new connections until the host no longer accepts any. Returns the number
/// of whole answers, and of requests that were read or accepted and got none.
async fn press(address: std::net::SocketAddr, worker: usize, reuse: bool) -> (usize, usize) {
    let (mut whole, mut cut) = (0, 0);
    'connections: loop {
        let Ok(mut stream) = TcpStream::connect(address).await else {
            return (whole, cut);
        };
        loop {
            let text = request("GET", "/safe/x", &format!("r-{worker}-{whole}"));
            if stream.write_all(text.as_bytes()).await.is_err() {
                cut += 1;
                continue 'connections;
            }
            let answer = read_answer(&mut stream).await;
            if !answer.complete {
                cut += 1;
                continue 'connections;
            }
            whole += 1;
            if !reuse || answer.header("connection").eq_ignore_ascii_case("close") {
                continue 'connections;
            }
        }
    }
}

// Guards against a planned stop under load that cuts off requests which the host has just accepted,
// on a kept connection or on a new one.
#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_under_load_answers_every_accepted_request() {
    let mut cluster = Cluster::start(4, 2).await;
    let leaving = cluster.gateways.remove(0);
    let address = leaving.callers_address();
    let load: Vec<_> = (0..24)
        .map(|n| tokio::spawn(press(address, n, n % 2 == 0)))
        .collect();
    tokio::time::sleep(Duration::from_millis(300)).await;
    let drained = leaving.close(std::future::pending()).await;
    assert_eq!(drained, eelgrasshold_net::host::Drained::Whole);
    let (mut whole, mut cut) = (0, 0);
    for worker in load {
        let counts = worker.await.unwrap();
        whole += counts.0;
        cut += counts.1;
    }
    assert!(whole > 1_000, "{whole} answers");
    assert_eq!(cut, 0, "of {whole} requests");
}

// Guards against a planned stop that closes a new connection while its first request is on the way.
#[tokio::test]
async fn first_request_of_a_connection_is_answered_during_a_planned_stop() {
    let mut cluster = Cluster::start(1, 2).await;
    let leaving = cluster.gateways.remove(0);
    let address = leaving.callers_address();
    let closing = tokio::spawn(leaving.close(std::future::pending()));
    let mut last = None;
    // The host accepts connections for a while, and then drops or refuses them.
    let connect = || tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    while let Ok(Ok(stream)) = connect().await {
        last = Some(stream);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let mut stream = last.unwrap();
    let text = request("GET", "/safe/x", "r-1");
    stream.write_all(text.as_bytes()).await.unwrap();
    let answer = read_answer(&mut stream).await;
    assert_eq!(answer.status, 200, "{answer:?}");
    assert_eq!(
        closing.await.unwrap(),
        eelgrasshold_net::host::Drained::Whole
    );
}

/// Time after which a gateway of the cluster ends, with or without open requests.
const DRAIN_LIMIT: Duration = Duration::from_secs(6);

// Guards against requests that a stopping host takes late in the time that it has, and whose callers get
// no answer when it ends.
#[tokio::test]
async fn request_that_comes_late_in_a_planned_stop_is_answered() {
    for path in ["/stream/x", "/unsafe/x"] {
        let mut cluster = Cluster::start(1, 2).await;
        let mut cfg = config(2);
        for route in cfg["routes"].as_array_mut().unwrap() {
            route["timeout_ms"] = 8_000.into();
        }
        cluster.store.put("config", "main", cfg);
        tokio::time::sleep(Duration::from_millis(300)).await;
        cluster.replicas[0].queue_replies(vec![Reply::Hang; 4]);
        let leaving = cluster.gateways.remove(0);
        let address = leaving.callers_address();
        let mut stream = TcpStream::connect(address).await.unwrap();
        let asked = Instant::now();
        let closing = tokio::spawn(leaving.close(std::future::pending()));
        tokio::time::sleep(Duration::from_millis(3_200)).await;
        let text = request("POST", path, "r-1").replace("2500", "8000");
        stream.write_all(text.as_bytes()).await.unwrap();
        let answer = read_answer(&mut stream).await;
        assert!(answer.status >= 500, "{path}: {answer:?}");
        assert!(asked.elapsed() < DRAIN_LIMIT, "{path}: the process is gone");
        closing.await.unwrap();
    }
}
