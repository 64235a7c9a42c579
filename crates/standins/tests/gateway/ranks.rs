//! Sidecars of the ranks of a group.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

use eelgrasshold_net::ranks::{RankHost, RankOptions};
use eelgrasshold_standins::users::{ObjectStore, RankGroup, Replica};
use serde_json::json;
use tokio::task::JoinHandle;

use super::cluster::TIMEOUT;

const RANKS: usize = 3;
const EXPERTS: usize = 9;

/// Last byte of the first address of the next test: tests must not share addresses.
static NEXT_IP: AtomicU8 = AtomicU8::new(10);

fn config() -> serde_json::Value {
    json!({
        "version": 1,
        "routes": [],
        "services": [{
            "name": "drafts", "health_path": "/healthz", "max_conns": 50,
            "engine": {
                "slots": 4, "stride": 6, "step_ms": 1.0, "sets": 1, "experts": EXPERTS,
                "placements": 5, "spare": 2, "expert_mb": 10.0, "expert_share": 0.85,
                "link_mbps": 44_000.0, "form_ms": 600.0,
            },
        }],
    })
}

struct RankCluster {
    _store: ObjectStore,
    /// Replicas of the first group in the order of their ranks, then those of the next one.
    replicas: Vec<Replica>,
    group: Arc<RankGroup>,
    /// Further groups of the same service.
    others: Vec<Arc<RankGroup>>,
    passes: Vec<JoinHandle<()>>,
    hosts: Vec<RankHost>,
}

impl RankCluster {
    async fn start() -> Self {
        Self::start_groups(1).await
    }

    async fn start_groups(groups: usize) -> Self {
        let store = ObjectStore::start().unwrap();
        store.put("config", "main", config());
        let started = (0..groups).map(|n| RankGroup::start(&format!("g-{n}"), RANKS, EXPERTS));
        let (groups, passes): (Vec<_>, Vec<_>) = started.unzip();
        let ranks = RANKS * groups.len();
        let mut hosts = Vec::new();
        let mut replicas = Vec::new();
        let first_ip = NEXT_IP.fetch_add(u8::try_from(ranks).unwrap(), Ordering::Relaxed);
        for rank in 0..ranks {
            // Each sidecar has its own address and the same port, as on the platform.
            let ip = [127, 0, 0, first_ip + u8::try_from(rank).unwrap()];
            let any = SocketAddr::from((ip, 0));
            let replica = Replica::start_on(any, &format!("i-{rank}")).await.unwrap();
            replica.join_group(rank % RANKS, &groups[rank / RANKS]);
            store.put(
                "servers",
                &format!("i-{rank}"),
                replica.registry_entry("drafts", false),
            );
            replicas.push(replica);
        }
        let port = free_port();
        for (rank, replica) in replicas.iter().enumerate() {
            let options = RankOptions {
                engine: replica.address(),
                service: "drafts".into(),
                peers: SocketAddr::new(replica.address().ip(), port),
                platform: format!("http://{}", store.address()),
                link_bytes_per_s: 12_500_000.0,
                fanout: 4,
                first_start: true,
                host: format!("side-{rank}"),
                metrics: None,
            };
            hosts.push(RankHost::start(options).await.unwrap());
        }
        Self {
            _store: store,
            replicas,
            group: Arc::clone(&groups[0]),
            others: groups[1..].to_vec(),
            passes,
            hosts,
        }
    }

    /// Waits until `condition` holds, and fails the test with `what` after twice [`TIMEOUT`].
    async fn wait_until(&self, what: &str, condition: impl Fn(&RankGroup) -> bool) {
        let waiting = async {
            while !condition(&self.group) {
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        };
        tokio::time::timeout(TIMEOUT * 2, waiting)
            .await
            .expect(what);
    }

    fn close(self) {
        for host in self.hosts {
            host.close();
        }
        for passes in self.passes {
            passes.abort();
        }
    }
}

// Guards against a group whose most popular expert stays on one rank, and against a pass in which
// two ranks use different maps.
#[tokio::test]
async fn popular_expert_is_replicated_to_all_ranks() {
    let cluster = RankCluster::start().await;
    cluster
        .wait_until("a better map is rolled out", |g| g.holders(0) >= RANKS)
        .await;
    assert!(cluster.group.map_version() > 0);
    assert_eq!(cluster.group.mixed_map_passes(), 0);
    cluster.close();
}

// Guards against a group that is held for as long as the sidecar that holds its pass is paused: if
// the other sidecars get the content of the current map from that sidecar only, none of them can
// take over.
#[tokio::test]
async fn pass_held_by_a_paused_sidecar_is_released_by_another() {
    let mut cluster = RankCluster::start().await;
    cluster
        .wait_until("a better map is rolled out", |g| g.holders(0) >= RANKS)
        .await;
    let paused = cluster.hosts.remove(0);
    let address = paused.address();
    paused.close();
    // Connections are established and get no answer, as with a paused process, for which the kernel
    // still completes the handshake.
    let unresponsive = loop {
        match TcpListener::bind(address) {
            Ok(unresponsive) => break unresponsive,
            Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
        }
    };
    cluster.group.hold(0);
    let target = cluster.group.passes() + 3;
    let started = Instant::now();
    cluster
        .wait_until("the pass is released", |g| g.passes() > target)
        .await;
    // The bound is the time in which the pause is detected, plus a wait longer than a rollout allows,
    // plus as much again for the calls.
    assert!(started.elapsed() < Duration::from_secs(3), "{started:?}");
    assert_eq!(cluster.group.mixed_map_passes(), 0);
    drop(unresponsive);
    cluster.close();
}

/// Makes the replicas of rank `rank` in two groups return in each other's group, and waits until both groups use better
/// maps again.
async fn swap_replicas(rank: usize) {
    let cluster = RankCluster::start_groups(2).await;
    let groups = [Arc::clone(&cluster.group), Arc::clone(&cluster.others[0])];
    let balanced = |_: &RankGroup| groups.iter().all(|g| g.holders(0) >= RANKS);
    cluster
        .wait_until("better maps are rolled out", balanced)
        .await;
    cluster.replicas[rank].join_group(rank, &groups[1]);
    cluster.replicas[RANKS + rank].join_group(rank, &groups[0]);
    for group in &groups {
        group.reopen();
    }
    let mixed = |_: &RankGroup| groups.iter().any(|g| g.mixed_map_passes() > 0);
    cluster
        .wait_until("maps are rolled out in the new epoch", |g| {
            balanced(g) || mixed(g)
        })
        .await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    for group in &groups {
        assert_eq!(group.mixed_map_passes(), 0);
        assert!(group.holders(0) >= RANKS);
    }
    cluster.close();
}

// Guards against a leader that takes a replica that returned in another group, under its known address and with the
// same epoch number, for the rank of its own group that it was before: passes would begin with different maps.
#[tokio::test]
async fn replicas_that_return_in_each_others_group_are_not_taken_for_their_former_ranks() {
    swap_replicas(RANKS - 1).await;
}

// Guards against a leader that goes on to lead the group that its own engine has left.
#[tokio::test]
async fn leaders_follow_their_engines_to_another_group() {
    swap_replicas(0).await;
}

fn free_port() -> u16 {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap().port()
}
