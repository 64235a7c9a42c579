//! A store that is restored from a copy some seconds old.

use std::time::{Duration, Instant};

use eelgrasshold_standins::users::AccessMode;

use super::cluster::{Cluster, with_route};

/// Longest time until a change is in force.
const APPLY_TIME: Duration = Duration::from_secs(2);
/// Longest time until hosts know that the store is back.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Time after a restore in which replicas write their entries again.
const REWRITE_TIME: Duration = Duration::from_secs(1);

impl Cluster {
    /// Writes the entry of a replica without a change, so that revisions rise.
    fn write_entry(&self, n: usize, times: usize) {
        for _ in 0..times {
            let entry = self.replicas[n].registry_entry("drafts", false);
            self.store.put("servers", &format!("i-{n}"), entry);
        }
    }

    /// Number of requests that replica `n` gets of several at each gateway, which are all served.
    async fn arrivals_at(&self, n: usize, round: &str) -> usize {
        let before = self.replicas[n].arrivals().len();
        for gateway in 0..self.gateways.len() {
            for request in 0..6 {
                let id = format!("{round}-{gateway}-{request}");
                let answer = self.call_at(gateway, "GET", "/safe/x", &id).await;
                assert_eq!(answer.status, 200, "{id}");
            }
        }
        self.replicas[n].arrivals().len() - before
    }
}

// Guards against a configuration that is confirmed and not in force, and a replica that leaves and gets
// requests, because revisions went back, or passed those of before until a host asked again.
#[tokio::test]
async fn changes_after_a_restore_are_in_force_in_time() {
    for writes_after in [0, 60] {
        let mut cluster = Cluster::start(2, 3).await;
        for round in 1..3 {
            let copy = cluster.store.copy();
            cluster.write_entry(1, 40);
            tokio::time::sleep(Duration::from_millis(300)).await;
            cluster.store.set_access(AccessMode::Reset);
            tokio::time::sleep(Duration::from_millis(300)).await;
            cluster.store.restore(copy);
            cluster.write_entry(1, writes_after);
            let leaving = cluster.replicas[0].registry_entry("drafts", true);
            cluster.store.put("servers", "i-0", leaving);
            cluster.store.put("config", "main", with_route(10 * round));
            cluster.store.set_access(AccessMode::Open);
            // A host that starts now knows nothing of before.
            cluster.gateways.pop().unwrap().abort();
            let seeds = vec![cluster.gateways[0].peers_address()];
            let name = format!("edge-new-{round}");
            let started = cluster.start_gateway(&name, seeds).await;
            cluster.gateways.push(started);
            tokio::time::sleep(SETTLE_TIME).await;
            let path = format!("/v{}/x", 10 * round);
            for gateway in 0..3 {
                let answer = cluster.call_at(gateway, "GET", &path, "probe").await;
                assert_eq!(answer.status, 200, "{writes_after}, {round}, {gateway}");
            }
            let arrivals = cluster.arrivals_at(0, &format!("left-{round}")).await;
            assert_eq!(arrivals, 0, "{writes_after}, {round}");
            cluster.write_entry(0, 1);
            tokio::time::sleep(APPLY_TIME).await;
            assert!(cluster.arrivals_at(0, &format!("back-{round}")).await > 0);
        }
    }
}

// Guards against requests to a replica that has left and that the restored store lists again, and against
// the loss of one that it misses until it is written again.
#[tokio::test]
async fn what_left_or_came_before_a_restore_is_used_as_before_it() {
    let cluster = Cluster::start(2, 2).await;
    cluster.store.delete("servers", "i-1");
    tokio::time::sleep(APPLY_TIME).await;
    let copy = cluster.store.copy();
    cluster.write_entry(1, 1);
    cluster.store.delete("servers", "i-0");
    tokio::time::sleep(APPLY_TIME).await;
    assert_eq!(cluster.arrivals_at(0, "before").await, 0);
    cluster.store.set_access(AccessMode::Reset);
    cluster.store.restore(copy);
    cluster.store.set_access(AccessMode::Open);
    let restored = Instant::now();
    while restored.elapsed() < REWRITE_TIME {
        assert_eq!(cluster.arrivals_at(0, "after").await, 0);
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    cluster.write_entry(1, 1);
    tokio::time::sleep(APPLY_TIME).await;
    assert_eq!(cluster.arrivals_at(0, "rewritten").await, 0);
}
