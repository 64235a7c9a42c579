//! Gateways, replicas and a store on loopback, and a minimal HTTP client.

use std::net::SocketAddr;
use std::time::Duration;

use eelgrasshold_net::gateway::{GatewayHost, GatewayOptions};
use eelgrasshold_standins::users::{ObjectStore, Replica};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Limit on waiting for an expected state or an answer.
pub const TIMEOUT: Duration = Duration::from_secs(8);

/// A store, replicas and gateways in one process.
pub struct Cluster {
    pub store: ObjectStore,
    pub replicas: Vec<Replica>,
    pub gateways: Vec<GatewayHost>,
}

/// Answer received by a caller, possibly incomplete.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status; 0 if the connection closed before the end of the head.
    pub status: u16,
    pub head: String,
    pub body: String,
    /// Whether the answer ended according to its framing.
    pub complete: bool,
}

impl Answer {
    /// Value of a header; empty if it is missing.
    pub fn header(&self, name: &str) -> &str {
        let matches = |line: &'_ str| {
            line.split_once(':')
                .is_some_and(|(n, _)| n.eq_ignore_ascii_case(name))
        };
        let line = self.head.lines().find(|l| matches(l));
        line.and_then(|l| l.split_once(':'))
            .map_or("", |(_, v)| v.trim())
    }

    /// Ids of the received events of a stream.
    pub fn events(&self) -> Vec<u64> {
        let ids = self.body.lines().filter_map(|l| l.strip_prefix("id: "));
        ids.filter_map(|id| id.parse().ok()).collect()
    }
}

/// Returns a configuration with a stream route, a safe and an unsafe one, all to one service.
pub fn config(version: u64) -> Value {
    let route = |name: &str, prefix: &str, kind: &str, attempts: u32| {
        json!({
            "name": name, "host": "wool.example", "path_prefix": prefix, "type": kind,
            "timeout_ms": 3_000, "target_latency_ms": 400, "priority": 1, "service": "drafts",
            "attempts": attempts, "public": false, "resumable": true, "gap_target_ms": 120,
        })
    };
    json!({
        "version": version,
        "routes": [
            route("drafts", "/stream/", "stream", 2),
            route("status", "/safe/", "safe", 2),
            route("booking", "/unsafe/", "unsafe", 1),
        ],
        "services": [{ "name": "drafts", "health_path": "/healthz", "max_conns": 50 }],
        "limits": {
            "max_header_bytes": 16_384, "max_body_bytes": 65_536,
            "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000,
        },
        "tenants": [{ "name": "shearers", "api_keys": ["key-1"], "priority": 0 }],
    })
}

impl Cluster {
    /// Starts the cluster and waits until each gateway resolves to all gateways.
    pub async fn start(replicas: usize, gateways: usize) -> Self {
        let store = ObjectStore::start().unwrap();
        let mut cluster = Self {
            store,
            replicas: Vec::new(),
            gateways: Vec::new(),
        };
        cluster.store.put("config", "main", config(1));
        for n in 0..replicas {
            let replica = Replica::start(&format!("i-{n}")).await.unwrap();
            cluster.store.put(
                "servers",
                &format!("i-{n}"),
                replica.registry_entry("drafts", false),
            );
            cluster.replicas.push(replica);
        }
        let mut seeds = Vec::new();
        for n in 0..gateways {
            let gateway = cluster
                .start_gateway(&format!("edge-{n}"), seeds.clone())
                .await;
            seeds.push(gateway.peers_address());
            cluster.gateways.push(gateway);
        }
        for n in 0..gateways {
            cluster
                .wait_until(|| async { cluster.resolved_addresses(n).await.len() == gateways })
                .await;
        }
        cluster
    }

    /// Starts a gateway with the cluster's store.
    pub async fn start_gateway(&self, host: &str, seeds: Vec<SocketAddr>) -> GatewayHost {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let platform = format!("http://{}", self.store.address());
        let options = GatewayOptions::builder(host, &platform)
            .place("north", "north-1")
            .peers(any, seeds)
            .first_start(true)
            .build();
        GatewayHost::start(options).await.unwrap()
    }

    /// Starts a gateway that may have had an earlier incarnation and knows no other gateway.
    pub async fn restart_gateway(&self, host: &str) -> GatewayHost {
        let platform = format!("http://{}", self.store.address());
        let options = GatewayOptions::builder(host, &platform)
            .place("north", "north-1")
            .build();
        GatewayHost::start(options).await.unwrap()
    }

    /// Gateway addresses in the directory answer of a gateway.
    pub async fn resolved_addresses(&self, gateway: usize) -> Vec<String> {
        let address = self.gateways[gateway].directory_address();
        let answer = send(
            address,
            "GET /resolve?name=wool.example HTTP/1.1\r\nHost: x\r\n\r\n",
        )
        .await;
        let resolved: Value = serde_json::from_str(&answer.body).unwrap_or_default();
        let addresses = resolved["addrs"].as_array().cloned().unwrap_or_default();
        addresses
            .iter()
            .filter_map(|a| a.as_str().map(str::to_owned))
            .collect()
    }

    /// Sends a request with a valid key to the first gateway.
    pub async fn call(&self, method: &str, path: &str, id: &str) -> Answer {
        self.call_at(0, method, path, id).await
    }

    /// Sends a request with a valid key to a gateway.
    pub async fn call_at(&self, gateway: usize, method: &str, path: &str, id: &str) -> Answer {
        send(
            self.gateways[gateway].callers_address(),
            &request(method, path, id),
        )
        .await
    }

    /// Polls a condition until it holds, and fails the test after [`TIMEOUT`].
    pub async fn wait_until<F, R>(&self, condition: F)
    where
        F: Fn() -> R,
        R: Future<Output = bool>,
    {
        let waiting = async {
            while !condition().await {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        tokio::time::timeout(TIMEOUT, waiting)
            .await
            .expect("condition holds within the timeout");
    }

    /// Number of times that any replica executed the request with an id.
    pub fn runs(&self, id: &str) -> usize {
        let arrivals = self.replicas.iter().flat_map(Replica::arrivals);
        arrivals
            .filter(|a| a.ran && a.header("x-request-id") == id)
            .count()
    }
}

/// Formats a request with the key of [`config`] and a forged team header.
pub fn request(method: &str, path: &str, id: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: wool.example\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: 2500\r\nApi-Key: key-1\r\nX-Tenant: forged\r\nContent-Length: 0\r\n\r\n"
    )
}

/// Sends a request on a new connection and reads the answer.
pub async fn send(address: SocketAddr, request: &str) -> Answer {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(request.as_bytes()).await.unwrap();
    tokio::time::timeout(TIMEOUT, read_answer(&mut stream))
        .await
        .expect("answer arrives within the timeout")
}

/// Reads one answer from a connection.
pub async fn read_answer(stream: &mut TcpStream) -> Answer {
    let mut bytes = Vec::new();
    let mut chunk = [0; 4_096];
    loop {
        if let Some(answer) = parse_answer(&bytes) {
            return answer;
        }
        match stream.read(&mut chunk).await {
            Ok(read) if read > 0 => bytes.extend_from_slice(&chunk[..read]),
            _ => return incomplete_answer(&bytes),
        }
    }
}

/// Parses a complete answer; `None` if more bytes are needed.
fn parse_answer(bytes: &[u8]) -> Option<Answer> {
    let end = bytes.windows(4).position(|w| w == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let mut answer = Answer {
        status: parse_status(&head),
        head,
        ..Answer::default()
    };
    let length = answer.header("content-length").parse::<usize>().ok();
    let (body, complete) = match length {
        Some(length) => (bytes.get(end..end + length)?.to_vec(), true),
        None => decode_chunks(&bytes[end..]),
    };
    answer.body = String::from_utf8_lossy(&body).into_owned();
    answer.complete = complete;
    complete.then_some(answer)
}

/// Parses what arrived of an answer before its connection closed.
fn incomplete_answer(bytes: &[u8]) -> Answer {
    let Some(end) = bytes.windows(4).position(|w| w == b"\r\n\r\n") else {
        return Answer::default();
    };
    let head = String::from_utf8_lossy(&bytes[..end + 4]).into_owned();
    let (body, complete) = decode_chunks(&bytes[end + 4..]);
    Answer {
        status: parse_status(&head),
        head,
        body: String::from_utf8_lossy(&body).into_owned(),
        complete,
    }
}

/// Parses the status of a head; 0 if there is none.
fn parse_status(head: &str) -> u16 {
    let status = head.split(' ').nth(1);
    status.and_then(|s| s.parse().ok()).unwrap_or(0)
}

/// Decodes the chunked transfer coding; returns the body and whether the last chunk arrived.
fn decode_chunks(mut bytes: &[u8]) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    while let Some(end) = bytes.windows(2).position(|w| w == b"\r\n") {
        let size = std::str::from_utf8(&bytes[..end]).ok();
        let Some(size) = size.and_then(|s| usize::from_str_radix(s, 16).ok()) else {
            return (body, false);
        };
        if size == 0 {
            return (body, true);
        }
        let Some(chunk) = bytes.get(end + 2..end + 2 + size) else {
            return (body, false);
        };
        body.extend_from_slice(chunk);
        bytes = bytes.get(end + 4 + size..).unwrap_or_default();
    }
    (body, false)
}
