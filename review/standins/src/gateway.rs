//! Settings, configuration and readiness of gateways, and a plain service behind them.

use std::io::Write;
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::daemon::Daemon;
use crate::http::{self, Reader, Request};
use crate::{free_port, not_run, record};

/// Addresses of one gateway, as the platform sets them.
#[derive(Clone, Copy, Debug)]
pub struct Listen {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    pub directory: SocketAddr,
    pub metrics: SocketAddr,
}

/// Addresses of gateways on these machines: the same free ports on each.
pub fn listen_on(ips: &[IpAddr]) -> Vec<Listen> {
    let ports: Vec<u16> = (0..5).map(|_| free_port(ips)).collect();
    let listen = |ip: &IpAddr| Listen {
        front: SocketAddr::new(*ip, ports[0]),
        ready: SocketAddr::new(*ip, ports[1]),
        control: SocketAddr::new(*ip, ports[2]),
        directory: SocketAddr::new(*ip, ports[3]),
        metrics: SocketAddr::new(*ip, ports[4]),
    };
    ips.iter().map(listen).collect()
}

/// Settings as the template of the deploy file gives them, with the bounds of the sheet.
pub fn settings(n: usize, all: &[Listen], store: SocketAddr, first_start: bool) -> Value {
    let own = &all[n];
    let seeds: Vec<String> = all.iter().map(|l| l.control.to_string()).collect();
    json!({
        "role": "gateway", "host": format!("edge-{n}"), "region": "glakes", "data_centre": "glakes-a",
        "data_address": own.front, "control_address": own.control, "seeds": seeds,
        "platform_url": format!("http://{store}"), "drain_limit_s": 8,
        "metrics_address": own.metrics, "first_start": first_start, "allow_plain_links": true,
        "gateway": {
            "ready_address": own.ready, "directory_address": own.directory,
            "answer_validity_s": 5, "store_settle_ms": 3000, "retry_ratio": 0.2,
            "retry_allowance": 90, "retry_window_s": 10, "max_descriptors": 4200,
        },
    })
}

/// A configuration with one service and the given routes.
pub fn config(version: u64, routes: &[Value], keys: &[&str]) -> Value {
    json!({
        "version": version,
        "routes": routes,
        "services": [{ "name": "sale-ledger", "health_path": "/healthz", "max_conns": 100 }],
        "limits": {
            "max_header_bytes": 16_384, "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3_000, "idle_timeout_ms": 6_000,
        },
        "tenants": [{ "name": "shearers", "api_keys": keys, "priority": 1 }],
    })
}

/// A route to the service.
pub fn route(prefix: &str, kind: &str, timeout_ms: u64) -> Value {
    json!({
        "name": prefix, "host": "fair.example", "path_prefix": prefix, "type": kind,
        "timeout_ms": timeout_ms, "target_latency_ms": 150, "priority": 2,
        "service": "sale-ledger", "attempts": if kind == "unsafe" { 1 } else { 2 },
        "public": false,
    })
}

/// Waits until the gateways answer their readiness checks with 200.
pub fn wait_ready(daemons: &mut [Daemon], all: &[Listen]) {
    let end = Instant::now() + Duration::from_secs(20);
    while !all
        .iter()
        .all(|l| http::get_status(l.ready, "/readyz") == 200)
    {
        if Instant::now() > end || daemons.iter_mut().any(|d| d.ended().is_some()) {
            not_run("the gateways don't become ready");
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    record::say("all gateways are ready");
}

/// A request that a replica began to work on.
#[derive(Clone, Debug)]
pub struct Run {
    pub request: String,
    pub path: String,
    pub key: String,
    pub at: Instant,
}

/// A replica of the plain service.
#[derive(Clone)]
pub struct Replica {
    pub id: String,
    pub address: SocketAddr,
    pub runs: Arc<Mutex<Vec<Run>>>,
}

impl Replica {
    /// Starts a replica that works on a request for `work` and answers with as many bytes as the last
    /// part of the path says.
    pub fn start(id: &str, work: Duration) -> Self {
        let Ok(listener) = TcpListener::bind("127.0.0.1:0") else {
            not_run("a replica can't listen")
        };
        let Ok(address) = listener.local_addr() else {
            not_run("no address")
        };
        let replica = Self {
            id: id.to_owned(),
            address,
            runs: Arc::default(),
        };
        let served = replica.clone();
        http::serve(listener, move |stream, _| {
            let Ok(mut writer) = stream.try_clone() else {
                return;
            };
            let mut reader = Reader::new(stream);
            while let Ok(Some(request)) = reader.request() {
                if served.answer(&mut writer, &request, work).is_err() {
                    return;
                }
            }
        });
        replica
    }

    fn answer(
        &self,
        writer: &mut std::net::TcpStream,
        request: &Request,
        work: Duration,
    ) -> std::io::Result<()> {
        let id = request.header("x-request-id").to_owned();
        let echo = format!(
            "X-Request-Id: {id}\r\nX-Instance: {}\r\nKeep-Alive: timeout=5\r\n",
            self.id
        );
        let expected = request.header("x-expect-instance");
        if !expected.is_empty() && expected != self.id {
            let extra = format!("{echo}X-Not-Executed: 1\r\n");
            return http::respond(writer, 421, &extra, b"");
        }
        record::line(&format!(
            "replica {} runs {id} {} {}",
            self.id, request.method, request.path
        ));
        self.runs.lock().unwrap().push(Run {
            request: id.clone(),
            path: request.path.clone(),
            key: request.header("x-tenant").to_owned(),
            at: Instant::now(),
        });
        if let Some(shape) = request.path.strip_prefix("/draft/") {
            return self.stream(writer, request, &echo, shape);
        }
        std::thread::sleep(work);
        let length = request
            .path
            .rsplit('/')
            .next()
            .and_then(|l| l.parse().ok())
            .unwrap_or(800);
        let body: Vec<u8> = (0..length).map(|n: usize| b'a' + (n % 26) as u8).collect();
        let extra = format!("{echo}X-Signature: {}.{length}\r\n", self.id);
        http::respond(writer, 200, &extra, &body)
    }

    /// Answers with a stream; `shape` is the number of its events and the milliseconds before each.
    fn stream(
        &self,
        writer: &mut std::net::TcpStream,
        request: &Request,
        echo: &str,
        shape: &str,
    ) -> std::io::Result<()> {
        let (events, pause_ms) = shape.split_once('/').unwrap_or((shape, "30"));
        let (events, pause_ms) = (events.parse().unwrap_or(10), pause_ms.parse().unwrap_or(30));
        write!(
            writer,
            "HTTP/1.1 200 OK\r\n{echo}X-Signature: {}.{events}\r\nContent-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n",
            self.id
        )?;
        let after: u64 = request.header("last-event-id").parse().unwrap_or(0);
        for event in after + 1..=events {
            std::thread::sleep(Duration::from_millis(pause_ms));
            let text = format!("id: {event}\ndata: piece {event}\n\n");
            write!(writer, "{:x}\r\n{text}\r\n", text.len())?;
        }
        writer.write_all(b"0\r\n\r\n")
    }

    /// Entry in the platform's store.
    pub fn entry(&self, state: &str, cold_left_ms: u64) -> Value {
        json!({
            "service": "sale-ledger", "addr": self.address.to_string(), "zone": "glakes-a",
            "version": "v1", "slots": 6, "state": state, "cold_left_ms": cold_left_ms, "seq": 1,
            "born": 1_700_000_000_000_u64,
        })
    }
}
