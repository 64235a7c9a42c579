//! The configuration and the registry, with a store that fails in its ways.

use std::time::Duration;

use eelgrasshold_standins::users::{AccessMode, Replica};

use super::cluster::{Cluster, config};

/// A configuration with a route that is there from its version on.
fn with_route(version: u64) -> serde_json::Value {
    let mut cfg = config(version);
    let mut route = cfg["routes"][1].clone();
    route["path_prefix"] = format!("/v{version}/").into();
    cfg["routes"].as_array_mut().unwrap().push(route);
    cfg
}

impl Cluster {
    async fn serves(&self, gateway: usize, path: &str) -> bool {
        self.call_at(gateway, "GET", path, "probe").await.status == 200
    }
}

// Guards against a change of the configuration that a host misses.
#[tokio::test]
async fn a_new_configuration_is_in_force_on_all_hosts_and_an_older_one_never_again() {
    let cluster = Cluster::start(1, 2).await;
    cluster.store.put("config", "main", with_route(5));
    for n in 0..2 {
        cluster.wait_until(|| cluster.serves(n, "/v5/x")).await;
    }
    cluster.store.put("config", "main", with_route(3));
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert!(cluster.serves(0, "/v5/x").await);
    assert!(!cluster.serves(0, "/v3/x").await);
}

// Guards against a watch that waits for the next change after the history it needs is gone.
#[tokio::test]
async fn a_change_in_a_gap_of_the_history_is_read_after_it() {
    let cluster = Cluster::start(1, 1).await;
    cluster.store.set_access(AccessMode::Reset);
    cluster.store.put("config", "main", with_route(5));
    cluster.store.compact_history();
    cluster.store.set_access(AccessMode::Open);
    cluster.wait_until(|| cluster.serves(0, "/v5/x")).await;
}

// Guards against a host that stays behind because the store turns only it away.
#[tokio::test]
async fn a_host_that_the_store_turns_away_learns_from_its_peers() {
    let mut cluster = Cluster::start(1, 1).await;
    // A store that never answers stands in for the turned-away way to the store.
    let unresponsive = eelgrasshold_standins::users::ObjectStore::start().unwrap();
    unresponsive.set_access(AccessMode::Unresponsive);
    let reachable = std::mem::replace(&mut cluster.store, unresponsive);
    let seeds = vec![cluster.gateways[0].peers_address()];
    let isolated = cluster.start_gateway("edge-cut", seeds).await;
    cluster.gateways.push(isolated);
    cluster.wait_until(|| cluster.serves(1, "/safe/x")).await;
    reachable.put("config", "main", with_route(7));
    cluster.wait_until(|| cluster.serves(1, "/v7/x")).await;
    reachable.put(
        "servers",
        "i-0",
        cluster.replicas[0].registry_entry("drafts", true),
    );
    cluster
        .wait_until(|| async { !cluster.serves(1, "/safe/x").await })
        .await;
}

// Guards against new work for a replica that leaves, announced or only removed.
#[tokio::test]
async fn a_leaving_or_removed_replica_gets_nothing_new() {
    let cluster = Cluster::start(3, 1).await;
    cluster.store.put(
        "servers",
        "i-0",
        cluster.replicas[0].registry_entry("drafts", true),
    );
    cluster.store.delete("servers", "i-1");
    tokio::time::sleep(Duration::from_millis(300)).await;
    let before = cluster.replicas[0].arrivals().len() + cluster.replicas[1].arrivals().len();
    for n in 0..10 {
        assert_eq!(
            cluster
                .call("GET", "/safe/x", &format!("r-{n}"))
                .await
                .status,
            200
        );
    }
    let after = cluster.replicas[0].arrivals().len() + cluster.replicas[1].arrivals().len();
    assert_eq!(before, after);
}

// Guards against an outage of the store that takes all replicas away because their entries
// lapsed, and against a lapsed entry that stays.
#[tokio::test]
async fn entries_that_lapse_in_an_outage_stay_usable_until_the_store_has_been_back() {
    let cluster = Cluster::start(2, 1).await;
    cluster.store.set_access(AccessMode::Reset);
    tokio::time::sleep(Duration::from_millis(200)).await;
    cluster.store.delete("servers", "i-0");
    cluster.store.delete("servers", "i-1");
    cluster.store.set_access(AccessMode::Open);
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert!(
        cluster.serves(0, "/safe/x").await,
        "lapsed entries are not believed yet"
    );
    cluster.store.put(
        "servers",
        "i-1",
        cluster.replicas[1].registry_entry("drafts", false),
    );
    tokio::time::sleep(Duration::from_secs(2)).await;
    let before = cluster.replicas[0].arrivals().len();
    for n in 0..6 {
        assert_eq!(
            cluster
                .call("GET", "/safe/x", &format!("r-{n}"))
                .await
                .status,
            200
        );
    }
    assert_eq!(cluster.replicas[0].arrivals().len(), before);
}

// Guards against entries and configurations of other writers that break what is known.
#[tokio::test]
async fn unreadable_objects_name_nothing_and_break_nothing() {
    let cluster = Cluster::start(1, 1).await;
    cluster
        .store
        .put("servers", "x-1", serde_json::json!({ "service": 4 }));
    cluster
        .store
        .put("servers", "x-2", serde_json::json!("text"));
    cluster
        .store
        .put("config", "main", serde_json::json!({ "version": "nine" }));
    cluster.store.put("config", "other", with_route(9));
    let late = Replica::start("i-late").await.unwrap();
    cluster
        .store
        .put("servers", "i-late", late.registry_entry("drafts", false));
    cluster
        .wait_until(|| async {
            let _ = cluster.serves(0, "/safe/x").await;
            !late.arrivals().is_empty()
        })
        .await;
    assert!(!cluster.serves(0, "/v9/x").await);
}

// Guards against a start that waits for the store while a peer could help.
#[tokio::test]
async fn a_host_that_starts_during_an_outage_gets_everything_from_a_peer() {
    let cluster = Cluster::start(1, 1).await;
    cluster.store.set_access(AccessMode::Busy);
    let seeds = vec![cluster.gateways[0].peers_address()];
    let mut cluster = cluster;
    let late = cluster.start_gateway("edge-late", seeds).await;
    cluster.gateways.push(late);
    cluster.wait_until(|| cluster.serves(1, "/safe/x")).await;
}
