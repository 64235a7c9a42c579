//! Tests of the weight store stand-in over HTTP.

use std::time::Duration;

use eelgrasshold_standins::client::Client;
use eelgrasshold_standins::weights::{WeightStore, content};
use http::{Method, StatusCode};
use tokio::time::Instant;

const MIB: usize = 1 << 20;

fn url(store: &WeightStore, name: &str) -> String {
    format!("http://{}/v1/weights/{name}", store.address())
}

/// Guards against a rate limit that applies to each download separately.
#[tokio::test(start_paused = true)]
async fn downloads_are_complete_and_share_the_rate() {
    let store = WeightStore::builder()
        .weight("a", MIB)
        .weight("b", MIB)
        .bytes_per_s(MIB as u64)
        .start()
        .unwrap();
    let client = Client::new();
    let start = Instant::now();
    let (url_a, url_b) = (url(&store, "a"), url(&store, "b"));
    let (a, b) = tokio::join!(client.get(&url_a), client.get(&url_b));
    // With the paused clock, the elapsed time is the one that the rate limit causes.
    assert!(start.elapsed() >= Duration::from_secs(2));
    assert_eq!(a.unwrap().body, content("a", MIB));
    assert_eq!(b.unwrap().body, content("b", MIB));
    let missing = client.get(&url(&store, "c")).await.unwrap();
    assert_eq!(missing.status, StatusCode::NOT_FOUND);
    let counters = store.counters();
    assert_eq!((counters.finished, counters.bytes), (2, 2 * MIB as u64));
    assert_eq!((counters.running, counters.peak_running), (0, 2));
    store.close().await;
}

/// Guards against more concurrent downloads than the limit, and against an
/// abandoned download that still counts towards it.
#[tokio::test]
async fn downloads_above_the_limit_are_refused() {
    let store = WeightStore::builder()
        .default_size_bytes(MIB)
        .bytes_per_s(1)
        .max_downloads(1)
        .start()
        .unwrap();
    let client = Client::new();
    let url = url(&store, "a");
    let first = client.open(Method::GET, &url, &[], "").await.unwrap();
    let refused = client.get(&url).await.unwrap();
    assert_eq!(refused.status, StatusCode::TOO_MANY_REQUESTS);
    assert_eq!(refused.header("retry-after"), "1");
    drop(first);
    while store.counters().running > 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let second = client.open(Method::GET, &url, &[], "").await.unwrap();
    assert_eq!(second.status(), StatusCode::OK);
    assert_eq!(
        (store.counters().refused, store.counters().finished),
        (1, 0)
    );
    store.close().await;
}
