use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use http::{Request, StatusCode};
use hyper::body::Incoming;

use super::LoadBuilder;
use super::calls::Target;
use super::pace::plan;
use super::tally::Tally;
use crate::caller::Outcome;
use crate::http_util::{HandlerFuture, answer, header, json};
use crate::plain::{Echo, PlainService};
use crate::server::{BoundServer, Server};

/// Guards against a plan with the wrong rate, or one that sends to both targets at the same time.
#[test]
fn plan_keeps_the_rate_and_alternates() {
    let seconds = Duration::from_secs;
    let planned: Vec<_> = plan(100, seconds(1), seconds(2), true).collect();
    assert_eq!(planned.len(), 600);
    assert_eq!(planned[0].target, Target::System);
    assert_eq!(planned[1].target, Target::Direct);
    assert_eq!(planned[1].after, Duration::from_millis(5));
    assert_eq!(planned[2].after, Duration::from_millis(10));
    let counted = planned.iter().filter(|planned| !planned.warm_up);
    assert_eq!(counted.count(), 400);
    assert_eq!(plan(7, seconds(0), seconds(3), false).count(), 21);
}

/// Guards against quantiles that include refused requests or have the wrong unit.
#[test]
fn tally_counts_outcomes_and_latencies_of_complete_answers() {
    let mut tally = Tally::new();
    for ms in 1..=100 {
        tally.record(&Outcome::Whole, Duration::from_millis(ms));
    }
    tally.record(&Outcome::RefusedNotRun, Duration::from_secs(9));
    tally.record(&Outcome::Wrong("crossed".into()), Duration::from_secs(9));
    let latency = tally.latency().unwrap();
    assert!((latency.p50_ms - 50.0).abs() < 0.1, "{latency:?}");
    assert!((latency.p99_ms - 99.0).abs() < 0.1, "{latency:?}");
    assert!((latency.max_ms - 100.0).abs() < 0.1, "{latency:?}");
    let outcomes = tally.outcomes();
    assert_eq!((outcomes.whole, outcomes.refused_not_run), (100, 1));
    assert_eq!(outcomes.first_wrong.as_deref(), Some("crossed"));
    assert_eq!(Tally::new().latency(), None);
}

/// Starts an entry host that answers each request with its echo, and each tenth request with a
/// mismatched one.
fn start_entry_host(requests: &Arc<AtomicU64>) -> Server {
    let requests = requests.clone();
    let handler = Arc::new(move |req: Request<Incoming>| {
        let response = match req.uri().path().strip_prefix("/v1/services/orders") {
            Some(path) => {
                let number = requests.fetch_add(1, Ordering::Relaxed);
                let id = header(req.headers(), "eel-request-id");
                let suffix = if number % 10 == 9 { "-crossed" } else { "" };
                let echo = Echo {
                    method: req.method().to_string(),
                    path: path.to_owned(),
                    request_id: format!("{id}{suffix}"),
                    ..Echo::default()
                };
                json(StatusCode::OK, &echo)
            }
            None => answer(StatusCode::NOT_FOUND, ""),
        };
        Box::pin(async move { Ok(response) }) as HandlerFuture
    });
    BoundServer::new().unwrap().serve(handler)
}

/// Guards against requests that are sent but not counted, and against wrong
/// answers that count as complete.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn run_counts_each_request_once() {
    let requests = Arc::new(AtomicU64::new(0));
    let system = start_entry_host(&requests);
    let service = PlainService::builder().start().unwrap();
    let summary = LoadBuilder::new(vec![format!("http://{}", system.address())])
        .direct(&format!("http://{}", service.address()))
        .rate_per_s(1_000)
        .warm_up(Duration::ZERO)
        .run_for(Duration::from_millis(200))
        .run()
        .await;
    assert_eq!(requests.load(Ordering::Relaxed), 200);
    assert_eq!(service.counters().runs, 200);
    let outcomes = &summary.system.outcomes;
    assert_eq!((outcomes.whole, outcomes.wrong), (180, 20));
    assert_eq!(summary.direct.as_ref().unwrap().outcomes.whole, 200);
    assert_eq!(summary.wrong_answers(), 20);
    assert!(summary.comparison.is_some());
    system.close().await;
    service.close().await;
}
