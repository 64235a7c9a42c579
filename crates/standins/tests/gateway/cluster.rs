//! Gateways, replicas and a store on loopback, and a minimal HTTP client.

use std::net::SocketAddr;
use std::time::Duration;

use eelgrasshold_net::gateway::{GatewayHost, GatewayOptions};
use eelgrasshold_standins::users::{ObjectStore, Replica};
use serde_json::Value;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

pub use eelgrasshold_standins::users::{Answer, config, read_answer, request};

/// Limit on waiting for an expected state or an answer.
pub const TIMEOUT: Duration = Duration::from_secs(8);

/// A store, replicas and gateways in one process.
pub struct Cluster {
    pub store: ObjectStore,
    pub replicas: Vec<Replica>,
    pub gateways: Vec<GatewayHost>,
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
        Self::start_gateway_at(host, self.store.address(), seeds).await
    }

    /// Starts a gateway that reaches the store at an address.
    pub async fn start_gateway_at(
        host: &str,
        store: SocketAddr,
        seeds: Vec<SocketAddr>,
    ) -> GatewayHost {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let platform = format!("http://{store}");
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

/// Returns a configuration with an additional route `/v{version}/`, which shows that it is in
/// force.
pub fn with_route(version: u64) -> Value {
    let mut cfg = config(version);
    let mut route = cfg["routes"][1].clone();
    route["path_prefix"] = format!("/v{version}/").into();
    cfg["routes"].as_array_mut().unwrap().push(route);
    cfg
}

/// Sends a request on a new connection and reads the answer.
pub async fn send(address: SocketAddr, request: &str) -> Answer {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(request.as_bytes()).await.unwrap();
    tokio::time::timeout(TIMEOUT, read_answer(&mut stream))
        .await
        .expect("answer arrives within the timeout")
}
