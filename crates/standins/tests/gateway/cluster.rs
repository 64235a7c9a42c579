//! Two gateways before replicas and the store, all on loopback.

use std::net::SocketAddr;
use std::time::Duration;

use eelgrasshold_net::gateway::{GatewayHost, GatewayOptions};
use eelgrasshold_standins::users::{ObjectStore, Replica};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Longest time for anything to happen that should happen at once.
pub const TIMEOUT: Duration = Duration::from_secs(8);

/// The world.
pub struct Cluster {
    pub store: ObjectStore,
    pub replicas: Vec<Replica>,
    pub gateways: Vec<GatewayHost>,
}

/// What a caller got.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: String,
    /// The answer ended as its framing says.
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

    /// Ids of the events of a stream.
    pub fn events(&self) -> Vec<u64> {
        let ids = self.body.lines().filter_map(|l| l.strip_prefix("id: "));
        ids.filter_map(|id| id.parse().ok()).collect()
    }
}

/// A configuration with a stream route, a safe and an unsafe one, all of one service.
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
    /// Starts everything and waits until the gateways are ready and know one another.
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

    /// Starts a gateway.
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

    /// Addresses that a gateway names to callers.
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

    /// Sends a request with a key to the first gateway.
    pub async fn call(&self, method: &str, path: &str, id: &str) -> Answer {
        self.call_at(0, method, path, id).await
    }

    /// Sends a request with a key to a gateway.
    pub async fn call_at(&self, gateway: usize, method: &str, path: &str, id: &str) -> Answer {
        send(
            self.gateways[gateway].callers_address(),
            &request(method, path, id),
        )
        .await
    }

    /// Waits until something holds.
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
            .expect("it holds soon");
    }

    /// Requests with an id that a replica began to work on, over all replicas.
    pub fn runs(&self, id: &str) -> usize {
        let arrivals = self.replicas.iter().flat_map(Replica::arrivals);
        arrivals
            .filter(|a| a.ran && a.header("x-request-id") == id)
            .count()
    }
}

/// A request with the key of the configuration.
pub fn request(method: &str, path: &str, id: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: wool.example\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: 2500\r\nApi-Key: key-1\r\nX-Tenant: forged\r\nContent-Length: 0\r\n\r\n"
    )
}

/// Sends a request on a connection of its own and reads the answer.
pub async fn send(address: SocketAddr, request: &str) -> Answer {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(request.as_bytes()).await.unwrap();
    tokio::time::timeout(TIMEOUT, read_answer(&mut stream))
        .await
        .expect("an answer comes soon")
}

/// Reads one answer of a connection.
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

/// A whole answer in a buffer.
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

/// What there is of an answer whose connection ended.
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

/// Status in a head; 0 if there is none.
fn parse_status(head: &str) -> u16 {
    let status = head.split(' ').nth(1);
    status.and_then(|s| s.parse().ok()).unwrap_or(0)
}

/// The content of chunks, and whether the last one is there.
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
