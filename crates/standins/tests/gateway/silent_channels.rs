//! Configurations that change while the open channels of all gateways to the store are silent.

use std::time::{Duration, Instant};

use eelgrasshold_core::fleet::platform_policy::PlatformLimits;
use eelgrasshold_core::platform::KindCall;
use eelgrasshold_net::gateway::{GatewayHost, GatewayOptions};
use eelgrasshold_net::platform::Platform;
use eelgrasshold_net::runtime::Clock;
use eelgrasshold_standins::users::ObjectStore;
use futures::future::join_all;

use super::cluster::{Cluster, with_route};
use super::store_path::StorePath;

/// Changes of a series, and the time between two of them.
const CHANGES: u64 = 8;
const CHANGE_INTERVAL: Duration = Duration::from_millis(150);
/// Time from the beginning of the silence to the change that has to arrive.
const CHANGE_DELAY: Duration = Duration::from_millis(500);
/// Version that adds the route.
const ADDED: u64 = 100;

impl Cluster {
    /// Starts gateways that reach the store on one path, and waits until they know each other.
    async fn start_on_path(gateways: usize, settle_time: Duration) -> (Self, StorePath) {
        let mut cluster = Self::start(1, 0).await;
        let path = StorePath::open(cluster.store.address()).await;
        let platform = format!("http://{}", path.address());
        for n in 0..gateways {
            let seeds = cluster.gateways.iter().map(GatewayHost::peers_address);
            let options = GatewayOptions::builder(&format!("edge-{n}"), &platform)
                .place("north", &format!("north-{}", n % 3))
                .peers("127.0.0.1:0".parse().unwrap(), seeds.take(3).collect())
                .settle_time(settle_time)
                .first_start(true)
                .build();
            cluster
                .gateways
                .push(GatewayHost::start(options).await.unwrap());
        }
        for n in 0..gateways {
            let knows_all = || async { cluster.resolved_addresses(n).await.len() == gateways };
            cluster.wait_until(knows_all).await;
        }
        (cluster, path)
    }

    /// Polls a gateway for a path until it is served, at most until `until`.
    async fn served_at(&self, gateway: usize, path: &str, until: Instant) -> Option<Instant> {
        while Instant::now() < until {
            let at = Instant::now();
            if self.call_at(gateway, "GET", path, "probe").await.status == 200 {
                return Some(at);
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        None
    }
}

/// Silences the channels to the store soon after a series of changes, adds a route and returns for each
/// gateway how long after the silence began it served that.
async fn play(gateways: usize, settle_time: Duration) -> Vec<Option<Duration>> {
    let (cluster, path) = Cluster::start_on_path(gateways, settle_time).await;
    for version in 2..2 + CHANGES {
        cluster.store.put("config", "main", with_route(version));
        tokio::time::sleep(CHANGE_INTERVAL).await;
    }
    path.lose_answers();
    let silent_at = Instant::now();
    tokio::time::sleep(CHANGE_DELAY).await;
    cluster.store.put("config", "main", with_route(ADDED));
    let route = format!("/v{ADDED}/x");
    let until = silent_at + settle_time * 3;
    let polls = (0..gateways).map(|n| cluster.served_at(n, &route, until));
    let served = join_all(polls).await;
    served
        .into_iter()
        .map(|at| at.map(|at| at.saturating_duration_since(silent_at)))
        .collect()
}

fn assert_served_within(served: &[Option<Duration>], settle_time: Duration) {
    let late = served
        .iter()
        .filter(|at| at.is_none_or(|at| at > settle_time));
    assert_eq!(late.count(), 0, "{settle_time:?} allowed: {served:?}");
}

// Guards against a route that is missing at hosts whose watchers all lost the store.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn route_added_while_channels_are_silent_is_in_force_at_followers_in_time() {
    let settle_time = Duration::from_secs(4);
    assert_served_within(&play(24, settle_time).await, settle_time);
}

// Guards against a watch that begins late on a silent channel and is given its whole time nevertheless.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn route_added_while_channels_are_silent_is_in_force_at_watchers_in_time() {
    let settle_time = Duration::from_secs(3);
    assert_served_within(&play(7, settle_time).await, settle_time);
}

// Guards against a host that waits for one silent connection of its pool after the other.
#[tokio::test]
async fn call_after_a_lost_answer_is_made_on_a_new_connection() {
    let store = ObjectStore::start().unwrap();
    let path = StorePath::open(store.address()).await;
    let limits = PlatformLimits {
        failures_to_open: u32::MAX,
        ..PlatformLimits::default()
    };
    let base = format!("http://{}", path.address());
    let platform = Platform::new(&base, Clock::start(), limits, 1);
    let call = KindCall::List {
        kind: "servers".into(),
        after: None,
        stale: false,
    };
    // The answers say that there is no such path, which does as well.
    let calls = (0..3).map(|_| platform.call_kind(&call));
    join_all(calls).await;
    path.lose_answers();
    let mut times = Vec::new();
    for _ in 0..2 {
        let began = Instant::now();
        platform.call_kind(&call).await;
        times.push(began.elapsed());
    }
    assert!(times[0] > Duration::from_millis(900), "{times:?}");
    assert!(times[1] < Duration::from_millis(500), "{times:?}");
}
