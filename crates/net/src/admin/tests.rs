use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use eelgrasshold_core::event::{Event, EventKind, Record};
use http::{Method, StatusCode};
use http_body_util::BodyExt;

use super::*;
use crate::metrics::Metrics;
use crate::runtime::Timeline;

fn admin(ready: bool, drained: Arc<AtomicBool>) -> Admin {
    let timeline = Arc::new(Timeline::new("entry-1".into(), None));
    timeline.record(Event::new(EventKind::RequestAdmitted, "a").about_request("r-1"));
    timeline.record(Event::new(EventKind::RequestAdmitted, "b").about_request("r-2"));
    let status = Status {
        ready,
        reason: "no configuration".into(),
        ..Status::default()
    };
    Admin {
        timeline,
        metrics: Metrics::new().unwrap(),
        status: Box::new(move || status.clone()),
        config: Box::new(|| None),
        drain: Box::new(move || drained.store(true, Ordering::Relaxed)),
    }
}

// Guards against a host that reports ready, and so gets traffic, before it has a configuration.
#[test]
fn readiness_follows_the_status() {
    for (ready, expected) in [
        (true, StatusCode::OK),
        (false, StatusCode::SERVICE_UNAVAILABLE),
    ] {
        let admin = admin(ready, Arc::default());
        assert_eq!(admin.route(&Method::GET, "/readyz", "").status(), expected);
    }
}

#[tokio::test]
async fn timeline_is_filtered_by_request() {
    let response = admin(true, Arc::default()).route(&Method::GET, "/v1/timeline", "request=r-2");
    let body = response.into_body().collect().await.unwrap().to_bytes();
    let records: Vec<Record> = serde_json::from_slice(&body).unwrap();
    let details: Vec<_> = records.into_iter().map(|r| r.detail).collect();
    assert_eq!(details, ["b"]);
}

// Guards against a misspelt filter that is ignored, so that all events are returned.
#[test]
fn unknown_filter_is_refused() {
    let response = admin(true, Arc::default()).route(&Method::GET, "/v1/timeline", "reqest=r-2");
    assert_eq!(response.status(), StatusCode::BAD_REQUEST);
}

// Guards against a drain started by the GET request of a crawler or of a mistyped command.
#[test]
fn drain_needs_a_post() {
    let drained = Arc::new(AtomicBool::new(false));
    let admin = admin(true, Arc::clone(&drained));
    assert_eq!(
        admin.route(&Method::GET, "/v1/drain", "").status(),
        StatusCode::NOT_FOUND
    );
    assert!(!drained.load(Ordering::Relaxed));
    admin.route(&Method::POST, "/v1/drain", "");
    assert!(drained.load(Ordering::Relaxed));
}
