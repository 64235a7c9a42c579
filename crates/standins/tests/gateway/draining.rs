//! Replicas that leave while gateways have trouble with the store and the store is well.

use std::time::{Duration, Instant};

use eelgrasshold_net::gateway::GatewayHost;

use super::cluster::Cluster;
use super::store_path::StorePath;

/// Time after a fault of the path to the store after which a gateway is held to that.
const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// Gateways whose path to the store has a fault.
const DISTURBED: usize = 3;
const OBSERVED_TIME: Duration = Duration::from_secs(3);
/// Changes of the registry before the channels fall silent, and the time between two of them.
const RELEASE_CHANGES: usize = 8;
const RELEASE_INTERVAL: Duration = Duration::from_millis(150);
/// Time from the beginning of the silence to the removal.
const REMOVAL_DELAY: Duration = Duration::from_millis(500);

impl Cluster {
    /// Starts gateways with a path of their own to the store each, and waits until they serve.
    async fn start_behind_paths(&mut self, gateways: usize) -> Vec<StorePath> {
        let mut paths = Vec::new();
        for n in 0..gateways {
            let path = StorePath::open(self.store.address()).await;
            let seeds = self.gateways.iter().map(GatewayHost::peers_address);
            let seeds = seeds.collect();
            let gateway = Self::start_gateway_at(&format!("edge-{n}"), path.address(), seeds).await;
            self.gateways.push(gateway);
            paths.push(path);
        }
        for n in 0..self.gateways.len() {
            let knows_all =
                || async { self.resolved_addresses(n).await.len() == self.gateways.len() };
            self.wait_until(knows_all).await;
        }
        paths
    }

    /// Sends requests at the gateways for a time.
    async fn call_for(&self, time: Duration) {
        let end = Instant::now() + time;
        let mut n = 0;
        while Instant::now() < end {
            for gateway in 0..self.gateways.len() {
                n += 1;
                let ids: Vec<String> = (0..6).map(|k| format!("r-{gateway}-{n}-{k}")).collect();
                let calls = ids
                    .iter()
                    .map(|id| self.call_at(gateway, "GET", "/safe/x", id));
                for answer in futures::future::join_all(calls).await {
                    assert_eq!(answer.status, 200, "{n}");
                }
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Times after `left` of the requests that reached replica `n` later than `limit` after it.
    fn late_arrivals(&self, n: usize, left: Instant, limit: Duration) -> Vec<Duration> {
        let arrivals = self.replicas[n].arrivals();
        let times = arrivals.iter().filter_map(|a| a.at);
        let times = times.map(|at| at.saturating_duration_since(left));
        times.filter(|time| *time > limit).collect()
    }
}

fn describe(late: &[Duration]) -> String {
    let last = late.iter().max().copied().unwrap_or_default();
    format!("{} late requests, the last after {last:?}", late.len())
}

// Guards against requests to a replica whose entry is removed while the answers of the store are lost.
#[tokio::test]
async fn replica_that_is_removed_while_answers_are_lost_gets_no_late_requests() {
    let mut cluster = Cluster::start(2, 0).await;
    let paths = cluster.start_behind_paths(DISTURBED).await;
    paths.iter().for_each(StorePath::lose_answers);
    cluster.store.delete("servers", "i-0");
    let left = Instant::now();
    tokio::time::sleep(STABLE_WINDOW).await;
    cluster.call_for(OBSERVED_TIME).await;
    let late = cluster.late_arrivals(0, left, STABLE_WINDOW);
    assert!(late.is_empty(), "{}", describe(&late));
}

// Guards against a watch of the registry that begins late on a silent channel, and a grace of lapsed
// entries that runs from there.
#[tokio::test]
async fn replica_that_is_removed_while_channels_are_silent_in_a_release_gets_no_late_requests() {
    let mut cluster = Cluster::start(6, 0).await;
    let paths = cluster.start_behind_paths(DISTURBED).await;
    for n in 0..RELEASE_CHANGES {
        let leaving = n % 2 == 0;
        let entry = cluster.replicas[5].registry_entry("drafts", leaving);
        cluster.store.put("servers", "i-5", entry);
        tokio::time::sleep(RELEASE_INTERVAL).await;
    }
    paths.iter().for_each(StorePath::lose_answers);
    let silent_at = Instant::now();
    tokio::time::sleep(REMOVAL_DELAY).await;
    cluster.store.delete("servers", "i-0");
    cluster.call_for(STABLE_WINDOW).await;
    let late = cluster.late_arrivals(0, silent_at, STABLE_WINDOW);
    assert!(late.is_empty(), "{}", describe(&late));
}
