//! Configuration and registry when the object store fails or holds unexpected objects.

use std::time::{Duration, Instant};

use eelgrasshold_core::fleet::platform_policy::PlatformLimits;
use eelgrasshold_core::platform::KindCall;
use eelgrasshold_net::platform::Platform;
use eelgrasshold_net::runtime::Clock;
use eelgrasshold_standins::users::{AccessMode, Replica};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

use super::cluster::{Cluster, config, request, send, with_route};

impl Cluster {
    /// Whether a gateway answers a request for a path with status 200.
    async fn serves(&self, gateway: usize, path: &str) -> bool {
        self.call_at(gateway, "GET", path, "probe").await.status == 200
    }
}

// Guards against a host that misses a configuration change or goes back to an older version.
#[tokio::test]
async fn new_configuration_reaches_all_hosts_and_is_not_replaced_by_an_older_one() {
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

// Guards against a watch that waits for the next change although the history since its revision
// was compacted, so that it misses a change.
#[tokio::test]
async fn change_in_compacted_history_is_found_by_a_new_list() {
    let cluster = Cluster::start(1, 1).await;
    cluster.store.set_access(AccessMode::Reset);
    cluster.store.put("config", "main", with_route(5));
    cluster.store.compact_history();
    cluster.store.set_access(AccessMode::Open);
    cluster.wait_until(|| cluster.serves(0, "/v5/x")).await;
}

// Guards against a host with outdated configuration and registry when it alone can't use the
// store.
#[tokio::test]
async fn host_without_access_to_the_store_is_updated_by_its_peers() {
    let mut cluster = Cluster::start(1, 1).await;
    // The isolated host starts against a second store, which never answers.
    let unresponsive = eelgrasshold_standins::users::ObjectStore::start().unwrap();
    unresponsive.set_access(AccessMode::Unresponsive);
    let main_store = std::mem::replace(&mut cluster.store, unresponsive);
    let seeds = vec![cluster.gateways[0].peers_address()];
    let isolated = cluster.start_gateway("edge-cut", seeds).await;
    cluster.gateways.push(isolated);
    cluster.wait_until(|| cluster.serves(1, "/safe/x")).await;
    main_store.put("config", "main", with_route(7));
    cluster.wait_until(|| cluster.serves(1, "/v7/x")).await;
    main_store.put(
        "servers",
        "i-0",
        cluster.replicas[0].registry_entry("drafts", true),
    );
    cluster
        .wait_until(|| async { !cluster.serves(1, "/safe/x").await })
        .await;
}

/// Longest time from the end of a fault at the store until the hosts know what changed meanwhile.
const STORE_SETTLE_TIME: Duration = Duration::from_secs(3);

// Guards against new requests for a draining replica, and requests that a new configuration forbids,
// when the answers to all waiting watches are lost.
#[tokio::test]
async fn lost_answers_to_watches_hide_no_leaving_replica_and_no_configuration() {
    let cluster = Cluster::start(2, 3).await;
    cluster.store.abandon_waiting_watches();
    let leaving = cluster.replicas[0].registry_entry("drafts", true);
    cluster.store.put("servers", "i-0", leaving);
    cluster.store.put("config", "main", with_route(5));
    tokio::time::sleep(STORE_SETTLE_TIME).await;
    let before = cluster.replicas[0].arrivals().len();
    for gateway in 0..3 {
        for n in 0..6 {
            let id = format!("r-{gateway}-{n}");
            let answer = cluster.call_at(gateway, "GET", "/v5/x", &id).await;
            assert_eq!(answer.status, 200, "gateway {gateway}");
        }
    }
    assert_eq!(cluster.replicas[0].arrivals().len(), before);
}

// Guards against new requests for a replica that is draining or whose entry was deleted.
#[tokio::test]
async fn leaving_or_removed_replica_gets_no_new_requests() {
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

// Entries expire during an outage of the store because replicas can't renew them. Guards against
// the loss of all replicas at its end, and against an expired entry that stays for good.
#[tokio::test]
async fn entries_that_expire_in_an_outage_stay_usable_for_a_while_after_it() {
    let cluster = Cluster::start(2, 1).await;
    cluster.store.set_access(AccessMode::Reset);
    tokio::time::sleep(Duration::from_millis(200)).await;
    cluster.store.delete("servers", "i-0");
    cluster.store.delete("servers", "i-1");
    cluster.store.set_access(AccessMode::Open);
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert!(
        cluster.serves(0, "/safe/x").await,
        "expired entries must stay usable right after the outage"
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

// Guards against malformed entries and configurations that block the valid ones.
#[tokio::test]
async fn unreadable_objects_are_ignored() {
    let cluster = Cluster::start(1, 1).await;
    cluster
        .store
        .put("servers", "x-1", serde_json::json!({ "service": 4 }));
    cluster
        .store
        .put("servers", "x-2", serde_json::json!("text"));
    let odd = |field: &str, value: serde_json::Value| {
        let mut entry = cluster.replicas[0].registry_entry("drafts", false);
        entry[field] = value;
        cluster.store.put("servers", &format!("x-{field}"), entry);
    };
    let nested = (0..2_000).fold(serde_json::json!(1), |inner, _| serde_json::json!([inner]));
    odd("zone", nested.clone());
    odd("labels", nested);
    odd("slots", serde_json::json!(u64::MAX));
    odd("cold_left_ms", serde_json::json!(1e300));
    odd("born", serde_json::json!(-1.5e308));
    odd("addr", "127.0.0.1:70000".into());
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

// Guards against a start that waits for the store while a peer has the configuration and the
// registry.
#[tokio::test]
async fn host_started_during_an_outage_is_initialized_by_a_peer() {
    let cluster = Cluster::start(1, 1).await;
    cluster.store.set_access(AccessMode::Busy);
    let seeds = vec![cluster.gateways[0].peers_address()];
    let mut cluster = cluster;
    let late = cluster.start_gateway("edge-late", seeds).await;
    cluster.gateways.push(late);
    cluster.wait_until(|| cluster.serves(1, "/safe/x")).await;
}

// Guards against a removed key or replica that is used again after a restart, by a host that the store does
// not answer and that learns the state from another one.
#[tokio::test]
async fn withdrawn_key_and_left_replica_are_not_used_after_a_restart_in_an_outage() {
    let mut cluster = Cluster::start(2, 2).await;
    let mut cfg = config(2);
    cfg["tenants"][0]["api_keys"] = serde_json::json!(["key-2"]);
    cluster.store.put("config", "main", cfg);
    cluster.store.delete("servers", "i-0");
    for gateway in 0..2 {
        let refuses = || async {
            let answer = cluster.call_at(gateway, "GET", "/safe/x", "r-old").await;
            answer.status == 401
        };
        cluster.wait_until(refuses).await;
    }
    cluster.store.set_access(AccessMode::Unresponsive);
    cluster.gateways.remove(1).abort();
    let seeds = vec![cluster.gateways[0].peers_address()];
    let restarted = cluster.start_gateway("edge-1", seeds).await;
    cluster.gateways.push(restarted);
    let address = cluster.gateways[1].callers_address();
    let with_new_key = |id: &str| request("GET", "/safe/x", id).replace("key-1", "key-2");
    let serves = || async { send(address, &with_new_key("r-first")).await.status == 200 };
    cluster.wait_until(serves).await;
    let before = cluster.replicas[0].arrivals().len();
    for n in 0..20 {
        let old = cluster
            .call_at(1, "GET", "/safe/x", &format!("r-{n}"))
            .await;
        assert_eq!(old.status, 401, "{old:?}");
        let new = send(address, &with_new_key(&format!("r-new-{n}"))).await;
        assert_eq!(new.status, 200, "{new:?}");
    }
    assert_eq!(cluster.replicas[0].arrivals().len(), before);
}

/// Time limit of a list, and of a watch beyond its wait, with a margin.
const CALL_TIME: Duration = Duration::from_millis(1_500);

// Guards against calls to a store that stands still within an answer, whose time limit begins anew with
// the body.
#[tokio::test]
async fn list_whose_body_does_not_arrive_ends_at_its_time_limit() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let base = format!("http://{}", listener.local_addr().unwrap());
    let answering = async {
        let (mut stream, _) = listener.accept().await.unwrap();
        tokio::time::sleep(Duration::from_secs(1)).await;
        let head = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{";
        stream.write_all(head).await.unwrap();
        std::future::pending::<()>().await;
    };
    let platform = Platform::new(&base, Clock::start(), PlatformLimits::default(), 1);
    let call = KindCall::List {
        kind: "servers".into(),
        after: None,
        stale: false,
    };
    let started = Instant::now();
    tokio::select! {
        _ = platform.call_kind(&call) => {}
        () = answering => {}
    }
    assert!(started.elapsed() < CALL_TIME, "{:?}", started.elapsed());
}
