//! Tests of the platform stand-in over HTTP.

use std::time::Duration;

use eelgrasshold_core::platform::{Condition, MAX_VALUE_BYTES};
use eelgrasshold_standins::client::{Answer, Client};
use eelgrasshold_standins::platform::{Host, HostList, HostState, Listing, Outage, Platform};
use http::{Method, StatusCode};

struct Api {
    client: Client,
    base: String,
}

impl Api {
    fn new(platform: &Platform) -> Self {
        Self {
            client: Client::new(),
            base: format!("http://{}/v1/objects", platform.address()),
        }
    }

    async fn put(&self, key: &str, condition: (&str, &str), value: &[u8]) -> Answer {
        let url = format!("{}/{key}", self.base);
        self.client
            .send(Method::PUT, &url, &[condition], value.to_vec())
            .await
            .unwrap()
    }

    async fn get(&self, path: &str) -> Answer {
        self.client
            .get(&format!("{}{path}", self.base))
            .await
            .unwrap()
    }
}

fn start() -> Platform {
    Platform::builder().start().unwrap()
}

/// Guards against status codes and headers that differ from the published protocol.
#[tokio::test]
async fn writes_and_deletes_are_conditional() {
    let platform = start();
    let api = Api::new(&platform);
    assert_eq!(api.get("/config/head").await.status, StatusCode::NOT_FOUND);

    let written = api.put("config/head", ("if-none-match", "*"), b"one").await;
    assert_eq!(written.status, StatusCode::OK);
    let version = written.header("x-version").to_owned();
    let conflict = api.put("config/head", ("if-none-match", "*"), b"two").await;
    assert_eq!(conflict.status, StatusCode::PRECONDITION_FAILED);
    assert_eq!(conflict.header("x-version"), version);
    let read = api.get("/config/head").await;
    assert_eq!(
        (read.header("x-version"), &read.body[..]),
        (&*version, &b"one"[..])
    );

    let second = api.put("config/head", ("if-match", &version), b"two").await;
    assert_eq!(second.status, StatusCode::OK);
    let unconditional = api.put("config/head", ("x-other", "1"), b"three").await;
    assert_eq!(unconditional.status, StatusCode::PRECONDITION_REQUIRED);
    let large = vec![0; MAX_VALUE_BYTES + 1];
    let refused = api.put("large", ("if-none-match", "*"), &large).await;
    assert_eq!(refused.status, StatusCode::PAYLOAD_TOO_LARGE);

    let listing: Listing = serde_json::from_slice(&api.get("?prefix=config/").await.body).unwrap();
    let keys: Vec<&str> = listing.objects.iter().map(|o| o.key.as_str()).collect();
    assert_eq!(keys, ["config/head"]);

    let url = format!("{}/config/head", api.base);
    let delete = async |version: &str| {
        let condition = [("if-match", version)];
        let sent = api.client.send(Method::DELETE, &url, &condition, "").await;
        sent.unwrap().status
    };
    assert_eq!(delete(&version).await, StatusCode::PRECONDITION_FAILED);
    assert_eq!(delete(second.header("x-version")).await, StatusCode::OK);
    let counters = platform.counters();
    assert_eq!((counters.puts, counters.deletes, counters.lists), (5, 2, 1));
    assert_eq!(counters.conflicts, 2);
    platform.close().await;
}

/// Guards against a watch that misses a write, waits past its timeout or is
/// counted as waiting after its caller disconnected.
#[tokio::test]
async fn watch_ends_on_a_write_or_after_its_timeout() {
    let platform = start();
    let api = Api::new(&platform);
    let version = platform.with_store(|s| s.put("k", "1", Condition::Absent).unwrap());
    let unchanged = api.get(&format!("/k?watch={version}&timeout_ms=1")).await;
    assert_eq!(unchanged.status, StatusCode::NOT_MODIFIED);

    let path = format!("/k?watch={version}&timeout_ms=60000");
    let writes = async {
        while platform.counters().waiting_watches == 0 {
            tokio::task::yield_now().await;
        }
        platform.with_store(|s| s.put("k", "2", Condition::Version(version)).unwrap())
    };
    let (watched, second) = tokio::join!(api.get(&path), writes);
    assert_eq!(&watched.body[..], b"2");
    assert_eq!(watched.header("x-version"), second.to_string());

    let url = format!("{}/k?watch={second}", api.base);
    let client = Client::new();
    let abandoned = tokio::spawn(async move { client.get(&url).await });
    while platform.counters().waiting_watches == 0 {
        tokio::task::yield_now().await;
    }
    abandoned.abort();
    while platform.counters().waiting_watches > 0 {
        tokio::task::yield_now().await;
    }
    platform.close().await;
}

/// Guards against a lost answer whose write has no effect. Tests of clients that
/// read their own write back after a lost answer would then pass without testing it.
#[tokio::test]
async fn writes_with_lost_answers_take_effect() {
    let platform = start();
    let api = Api::new(&platform);
    platform.lose_answers(1, "claims/");
    let answered = api.put("config/head", ("if-none-match", "*"), b"x").await;
    assert_eq!(answered.status, StatusCode::OK);
    let url = format!("{}/claims/1", api.base);
    let lost = api
        .client
        .send(Method::PUT, &url, &[("if-none-match", "*")], "nonce")
        .await;
    assert!(!lost.unwrap_err().is_connect());
    assert_eq!(&api.get("/claims/1").await.body[..], b"nonce");
    assert_eq!(platform.counters().lost_answers, 1);
    platform.close().await;
}

/// Guards against an outage during which calls take effect or watches stay open.
#[tokio::test]
async fn outage_refuses_calls_and_ends_watches() {
    let platform = start();
    let api = Api::new(&platform);
    let outage_begins = async {
        while platform.counters().waiting_watches == 0 {
            tokio::task::yield_now().await;
        }
        platform.set_outage(Outage::Unavailable);
    };
    let (watched, ()) = tokio::join!(api.get("/k?watch=0&timeout_ms=60000"), outage_begins);
    assert_eq!(watched.status, StatusCode::SERVICE_UNAVAILABLE);
    let refused = api.put("k", ("if-none-match", "*"), b"1").await;
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    platform.set_outage(Outage::HangUp);
    assert!(api.client.get(&format!("{}/k", api.base)).await.is_err());
    platform.set_outage(Outage::None);
    assert_eq!(api.get("/k").await.status, StatusCode::NOT_FOUND);

    platform.stop().await;
    // With a new client, since a pooled connection fails only when it is used.
    let api = Api::new(&platform);
    let refused = api.client.get(&format!("{}/k", api.base)).await;
    assert!(refused.unwrap_err().is_connect());
    platform.start().await;
    assert_eq!(api.get("/k").await.status, StatusCode::NOT_FOUND);
    platform.close().await;
}

/// Guards against rate limits that are not enforced over HTTP, and against refused writes that
/// take effect.
#[tokio::test]
async fn calls_above_the_rate_are_refused() {
    let platform = Platform::builder().writes_per_s(0).start().unwrap();
    let api = Api::new(&platform);
    let refused = api.put("k", ("if-none-match", "*"), b"1").await;
    assert_eq!(refused.status, StatusCode::TOO_MANY_REQUESTS);
    assert_eq!(api.get("/k").await.status, StatusCode::NOT_FOUND);
    assert_eq!(platform.counters().over_rate, 1);
    platform.close().await;
}

/// Guards against a conditional write that succeeds with the version of a stale read.
#[tokio::test]
async fn stale_reads_do_not_weaken_conditions() {
    let platform = start();
    let api = Api::new(&platform);
    let old = platform.with_store(|s| s.put("k", "old", Condition::Absent).unwrap());
    platform.set_stale_reads(true);
    platform.with_store(|s| s.put("k", "new", Condition::Version(old)).unwrap());
    let read = api.get("/k").await;
    assert_eq!(
        (&read.body[..], read.header("x-version")),
        (&b"old"[..], &*old.to_string())
    );
    let conflict = api
        .put("k", ("if-match", &old.to_string()), b"lost update")
        .await;
    assert_eq!(conflict.status, StatusCode::PRECONDITION_FAILED);
    platform.set_stale_reads(false);
    assert_eq!(&api.get("/k").await.body[..], b"new");
    platform.close().await;
}

/// Guards against a host list that differs from the published protocol.
#[tokio::test]
async fn host_list_contains_live_and_leaving_hosts() {
    let host = |name: &str, state| Host {
        host: name.into(),
        address: "127.0.0.1".into(),
        data_centre: "dc-1".into(),
        state,
    };
    let first = vec![host("a", HostState::Live)];
    let second = vec![host("a", HostState::Leaving), host("b", HostState::Live)];
    let platform = Platform::builder()
        .hosts(first.clone())
        .host_lag(Duration::ZERO)
        .start()
        .unwrap();
    let url = format!("http://{}/v1/hosts", platform.address());
    let client = Client::new();
    let hosts = async || {
        let answer = client.get(&url).await.unwrap();
        let list: HostList = serde_json::from_slice(&answer.body).unwrap();
        list.hosts
    };
    assert_eq!(hosts().await, first);
    platform.set_hosts(second.clone());
    assert_eq!(hosts().await, second);
    platform.close().await;
}
