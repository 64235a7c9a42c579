//! Data centres that operators evacuate and take back.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use eelgrasshold_net::gateway::{GatewayHost, GatewayOptions};
use eelgrasshold_standins::users::{AccessMode, ObjectStore, Replica, Reply};
use futures::future::join_all;
use serde_json::{Value, json};

use super::cluster::{Cluster, request, send};

/// Kind of the objects that evacuate data centres.
const KIND: &str = "evacuations";
/// Time after the write of an evacuation at which its upstreams get no more requests.
const EVACUATION_TIME: Duration = Duration::from_secs(5);
/// Time in which a change reaches all gateways while nothing fails.
const CALM_TIME: Duration = Duration::from_millis(400);
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Time within which a request is refused that no upstream may take.
const REFUSAL_TIME: Duration = Duration::from_millis(250);

/// Starts a gateway in a data centre. Only one of a first start may send requests again at once.
async fn start(
    host: &str,
    store: &ObjectStore,
    data_centre: &str,
    seeds: Vec<SocketAddr>,
    first_start: bool,
    evacuates: bool,
) -> GatewayHost {
    let options = GatewayOptions::builder(host, &format!("http://{}", store.address()))
        .place("north", data_centre)
        .peers("127.0.0.1:0".parse().unwrap(), seeds)
        .settle_time(SETTLE_TIME)
        .evacuate_within(evacuates.then_some(EVACUATION_TIME))
        .first_start(first_start)
        .build();
    GatewayHost::start(options).await.unwrap()
}

impl Cluster {
    /// Starts a replica in each of these data centres, and gateways in `north-1` and further ones.
    async fn start_in(data_centres: &[&str], gateways: usize, evacuates: bool) -> Self {
        let mut cluster = Self::start(0, 0).await;
        for (n, data_centre) in data_centres.iter().enumerate() {
            let replica = Replica::start(&format!("i-{n}")).await.unwrap();
            let mut entry = replica.registry_entry("drafts", false);
            entry["zone"] = (*data_centre).into();
            cluster.store.put("servers", &format!("i-{n}"), entry);
            cluster.replicas.push(replica);
        }
        for n in 0..gateways {
            let data_centre = format!("north-{}", 1 + n % 3);
            let seeds = cluster.gateways.iter().map(GatewayHost::peers_address);
            let (seeds, name) = (seeds.take(2).collect(), format!("edge-{n}"));
            let gateway = start(&name, &cluster.store, &data_centre, seeds, true, evacuates).await;
            cluster.gateways.push(gateway);
        }
        for n in 0..gateways {
            let knows_all = || async { cluster.resolved_addresses(n).await.len() == gateways };
            cluster.wait_until(knows_all).await;
        }
        cluster
    }

    async fn evacuate(&self, data_centre: &str, value: Value) {
        self.store.put(KIND, data_centre, value);
        tokio::time::sleep(CALM_TIME).await;
    }

    fn arrivals_of(&self, replica: usize) -> usize {
        self.replicas[replica].arrivals().len()
    }

    /// Sends requests to all gateways, which have to be served; returns how many replica `n` got of them.
    async fn served_by(&self, n: usize, round: &str) -> usize {
        let before = self.arrivals_of(n);
        for gateway in 0..self.gateways.len() {
            for request in 0..8 {
                let (method, path) = [("GET", "/safe/x"), ("POST", "/unsafe/x")][request % 2];
                let id = format!("{round}-{gateway}-{request}");
                let answer = self.call_at(gateway, method, path, &id).await;
                assert_eq!(answer.status, 200, "{id}");
            }
        }
        self.arrivals_of(n) - before
    }
}

async fn is_ready(gateway: &GatewayHost) -> bool {
    let text = "GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n";
    send(gateway.ready_address(), text).await.status == 200
}

// Guards against requests to an evacuated data centre, none after it was taken back, an object that does not
// count since its value is not the usual one, and one with a wrong name that takes capacity away.
#[tokio::test]
async fn evacuated_data_centre_gets_no_requests_until_it_is_taken_back() {
    let cluster = Cluster::start_in(&["north-1", "north-2"], 4, true).await;
    cluster.store.put(KIND, "north-9", json!({}));
    for value in [
        json!({}),
        json!("\u{0}{"),
        Value::Null,
        json!([7, {"x": 1}]),
    ] {
        assert!(cluster.served_by(0, "before").await > 0);
        cluster.evacuate("north-1", value.clone()).await;
        assert_eq!(cluster.served_by(0, "evacuated").await, 0, "{value}");
        cluster.store.delete(KIND, "north-1");
        tokio::time::sleep(CALM_TIME).await;
    }
    assert!(cluster.served_by(0, "back").await > 0);
    assert!(cluster.served_by(1, "back-1").await > 0);
}

// Guards against a setting that is left out and changes calls to the store, or the choice of upstreams.
#[tokio::test]
async fn without_the_setting_nothing_is_followed() {
    let cluster = Cluster::start_in(&["north-1", "north-2"], 2, false).await;
    cluster.evacuate("north-1", json!({})).await;
    cluster.evacuate("north-2", json!({})).await;
    assert!(cluster.served_by(0, "first").await > 0);
    assert_eq!(cluster.store.calls_about(KIND), 0);
    assert!(cluster.store.calls_about("config") > 0);
}

// Guards against the start of requests that wait, or are refused late or without the time to come back, when no
// upstream may take them.
#[tokio::test]
async fn requests_are_refused_at_once_when_all_data_centres_are_evacuated() {
    let cluster = Cluster::start_in(&["north-1", "north-2"], 2, true).await;
    cluster.store.put(KIND, "north-2", json!({}));
    cluster.evacuate("north-1", json!({})).await;
    for (method, path) in [
        ("GET", "/safe/x"),
        ("POST", "/unsafe/x"),
        ("POST", "/stream/x"),
    ] {
        let sent = Instant::now();
        let answer = cluster.call(method, path, "refused").await;
        assert_eq!(answer.status, 503, "{path}");
        assert!(
            sent.elapsed() < REFUSAL_TIME,
            "{path}: {:?}",
            sent.elapsed()
        );
        assert!(!answer.header("retry-after").is_empty(), "{path}");
        assert!(answer.body.contains("not_run"), "{}", answer.body);
    }
    assert_eq!(cluster.arrivals_of(0) + cluster.arrivals_of(1), 0);
}

// Guards against streams that are cut by an evacuation, and against ones that go on in an evacuated data
// centre after they broke off elsewhere.
#[tokio::test]
async fn running_streams_continue_and_resume_only_where_nothing_is_evacuated() {
    let places = ["north-1", "north-2", "north-2", "north-2", "north-3"];
    let cluster = Cluster::start_in(&places, 1, true).await;
    let slow = Reply::Paced(Duration::from_millis(150));
    cluster.replicas[0].queue_replies([slow]);
    let running = cluster.call("POST", "/stream/x", "running");
    let evacuated = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        cluster.evacuate("north-1", json!({})).await;
    };
    let (answer, ()) = tokio::join!(running, evacuated);
    assert!(answer.complete && answer.events() == [1, 2, 3, 4, 5, 6]);
    assert_eq!(cluster.arrivals_of(0), 1);

    let cluster = Cluster::start_in(&places, 1, true).await;
    cluster.evacuate("north-2", json!({})).await;
    // The replica in the gateway's own data centre is the first choice.
    cluster.replicas[0].queue_replies([Reply::CutAfter(2)]);
    let answer = cluster.call("POST", "/stream/x", "resumed").await;
    assert!(answer.complete && answer.events() == [1, 2, 3, 4, 5, 6]);
    assert_eq!((cluster.arrivals_of(0), cluster.arrivals_of(4)), (1, 1));
}

// Guards against requests that reach an evacuated data centre since they were admitted before and refused
// elsewhere.
#[tokio::test]
async fn retried_request_does_not_reach_an_evacuated_data_centre() {
    let places = ["north-1", "north-2", "north-2", "north-2", "north-3"];
    let cluster = Cluster::start_in(&places, 1, true).await;
    let refusal = Reply::NotRunAfter {
        delay: CALM_TIME + Duration::from_millis(200),
        at: cluster.replicas[0].address(),
    };
    cluster.replicas[0].queue_replies([refusal]);
    let retried = cluster.call("GET", "/safe/x", "retried");
    let evacuated = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        cluster.evacuate("north-2", json!({})).await;
    };
    let (answer, ()) = tokio::join!(retried, evacuated);
    assert_eq!(answer.status, 200);
    assert_eq!(cluster.arrivals_of(4), 1);
}

// Guards against requests that wait for the end of a pause and are sent to a data centre that was evacuated
// meanwhile.
#[tokio::test]
async fn waiting_requests_do_not_reach_an_evacuated_data_centre() {
    let cluster = Cluster::start_in(&["north-1", "north-2"], 1, true).await;
    let end = Instant::now() + Duration::from_millis(600);
    for replica in &cluster.replicas {
        replica.pause_until(end);
    }
    // It tries both, so that they are known to pause.
    cluster.call("GET", "/safe/x", "paused").await;
    let waiting = ["waiting-0", "waiting-1"].map(|id| cluster.call("GET", "/safe/x", id));
    let evacuated = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert_eq!(cluster.arrivals_of(0), 1, "the requests wait");
        cluster.store.put(KIND, "north-1", json!({}));
    };
    let (answers, ()) = tokio::join!(join_all(waiting), evacuated);
    assert!(answers.iter().all(|a| a.status == 200), "{answers:?}");
    assert_eq!((cluster.arrivals_of(0), cluster.arrivals_of(1)), (1, 3));
}

// Guards against a host that starts and sends requests to a data centre that was evacuated before.
#[tokio::test]
async fn restarted_gateway_knows_what_is_evacuated_when_it_is_ready() {
    let mut cluster = Cluster::start_in(&["north-1", "north-2"], 2, true).await;
    cluster.evacuate("north-1", json!({})).await;
    cluster.gateways.pop().unwrap().abort();
    let restarted = start("edge-1", &cluster.store, "north-1", Vec::new(), false, true).await;
    cluster.wait_until(|| is_ready(&restarted)).await;
    cluster.gateways.push(restarted);
    assert_eq!(cluster.served_by(0, "restarted").await, 0);
}

// Guards against a host that is ready before it can know what is evacuated, and against one that never is while
// the store is down.
#[tokio::test]
async fn gateway_without_the_list_is_ready_only_after_the_settle_time() {
    let cluster = Cluster::start_in(&["north-1"], 1, true).await;
    let silent = ObjectStore::start().unwrap();
    silent.set_access(AccessMode::Unresponsive);
    let began = Instant::now();
    let mut started = Vec::new();
    for evacuates in [true, false] {
        let seeds = vec![cluster.gateways[0].peers_address()];
        let name = format!("edge-{evacuates}");
        started.push(start(&name, &silent, "north-1", seeds, false, evacuates).await);
    }
    // The other host tells both of the configuration and the registry.
    cluster.wait_until(|| is_ready(&started[1])).await;
    assert!(began.elapsed() < SETTLE_TIME, "{:?}", began.elapsed());
    assert!(!is_ready(&started[0]).await);
    cluster.wait_until(|| is_ready(&started[0])).await;
    assert!(began.elapsed() >= SETTLE_TIME, "{:?}", began.elapsed());
    let text = request("GET", "/safe/x", "without");
    let answer = send(started[0].callers_address(), &text).await;
    assert_eq!(answer.status, 200);
}

// Guards against the end of an evacuation, or a late beginning, when the store fails, forgets its history, or
// its answers to all waiting watches are lost.
#[tokio::test]
async fn failures_of_the_store_end_no_evacuation() {
    let cluster = Cluster::start_in(&["north-1", "north-2", "north-3"], 5, true).await;
    cluster.store.abandon_waiting_watches();
    cluster.store.put(KIND, "north-1", json!({}));
    tokio::time::sleep(EVACUATION_TIME).await;
    cluster.store.set_access(AccessMode::Busy);
    assert_eq!(cluster.served_by(0, "down").await, 0);
    cluster.store.put(KIND, "north-2", json!({}));
    cluster.store.compact_history();
    cluster.store.set_access(AccessMode::Open);
    tokio::time::sleep(EVACUATION_TIME).await;
    assert_eq!(cluster.served_by(0, "recovered").await, 0);
    assert_eq!(cluster.served_by(1, "compacted").await, 0);
}

// Guards against the end of an evacuation, or one that does not end, since the store was restored from a copy of
// before.
#[tokio::test]
async fn restore_of_the_store_ends_no_evacuation() {
    let cluster = Cluster::start_in(&["north-1", "north-2", "north-3"], 5, true).await;
    let before = cluster.store.copy();
    cluster.evacuate("north-1", json!({})).await;
    cluster.store.set_access(AccessMode::Reset);
    cluster.store.restore(before);
    cluster.store.set_access(AccessMode::Open);
    tokio::time::sleep(SETTLE_TIME).await;
    assert_eq!(cluster.served_by(0, "restored").await, 0);
    cluster.store.put(KIND, "north-2", json!({}));
    cluster.store.delete(KIND, "north-1");
    tokio::time::sleep(CALM_TIME).await;
    assert!(cluster.served_by(0, "deleted").await > 0);
    assert_eq!(cluster.served_by(1, "again").await, 0);
}
