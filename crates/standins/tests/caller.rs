//! Tests of the caller against a complete fleet in one process.

use std::sync::Arc;
use std::time::Duration;

use eelgrasshold_standins::caller::{Caller, CompletionCall, Outcome, PlainCall};
use eelgrasshold_standins::engine::ModelEngine;
use eelgrasshold_standins::fleet::{DRAFTS, Fleet, FleetBuilder, RESERVATIONS};
use eelgrasshold_standins::plain::Failure;
use http::Method;

async fn start() -> Fleet {
    FleetBuilder::default().start().await.unwrap()
}

/// A caller that knows the first entry host.
fn caller(fleet: &Fleet) -> Caller {
    let first = fleet.entry_urls().into_iter().take(1).collect();
    Caller::builder(first).team("classers").build()
}

fn completion(prompt: &str, max_tokens: u32) -> CompletionCall {
    CompletionCall {
        service: DRAFTS.into(),
        prompt: prompt.into(),
        max_tokens,
    }
}

/// Guards against an engine's cut stream that is visible to the caller, and
/// against a resumption that repeats or skips tokens.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cut_engine_stream_is_resumed_for_the_caller() {
    let fleet = start().await;
    let caller = caller(&fleet);
    // Only one engine cuts its stream, so that the second attempt succeeds. Completions are sent
    // until that engine gets one.
    fleet.engines[0].cut_streams(1, 3);
    let resumed = || {
        let runs = fleet.engines.iter().flat_map(ModelEngine::runs);
        runs.filter(|run| run.resume_from == 3).count()
    };
    for n in 0..50 {
        let report = caller
            .complete(&format!("cut-{n}"), &completion("lot 7", 8))
            .await;
        assert_eq!(report.outcome, Outcome::Whole, "{report:?}");
        assert_eq!((report.tokens, report.resumes), (8, 0));
        if resumed() > 0 {
            break;
        }
    }
    assert_eq!(resumed(), 1);
    fleet.close().await;
}

/// Guards against a non-idempotent call that runs twice after its answer was
/// lost, and against a refusal that claims that it did not run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn reservation_with_a_lost_answer_runs_once_and_its_outcome_is_unknown() {
    let fleet = start().await;
    let caller = caller(&fleet);
    let reserve =
        |key: &str| PlainCall::new(RESERVATIONS, Method::POST, "/reserve", "lot 7").key(key);
    let whole = caller.call("reserve-1", &reserve("k1")).await;
    assert_eq!(whole.outcome, Outcome::Whole, "{whole:?}");

    fleet.plain_services[0].fail_after(1, Failure::HangUp);
    let lost = caller.call("reserve-2", &reserve("k2")).await;
    assert_eq!(lost.outcome, Outcome::RefusedUnknown, "{lost:?}");
    let again = caller.call("reserve-3", &reserve("k2")).await;
    assert_ne!(again.outcome, Outcome::Whole, "{again:?}");
    assert_eq!(fleet.plain_services[0].runs_of("k1"), 1);
    assert_eq!(fleet.plain_services[0].runs_of("k2"), 1);
    fleet.close().await;
}

/// Guards against completions that are lost when their entry host crashes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn completions_survive_a_crash_of_their_entry_host() {
    let mut fleet = start().await;
    let caller = Arc::new(caller(&fleet));
    // With 8 completions, the caller's seeded choice sends some through the host that crashes.
    let running: Vec<_> = (0..8)
        .map(|n| {
            let caller = caller.clone();
            let call = completion(&format!("lot {n}"), 60);
            tokio::spawn(async move { caller.complete(&format!("long-{n}"), &call).await })
        })
        .collect();
    let tokens = |fleet: &Fleet| -> u64 {
        let counters = fleet.engines.iter().map(ModelEngine::counters);
        counters.map(|counters| counters.tokens).sum()
    };
    while tokens(&fleet) < 40 {
        assert!(running.iter().any(|completion| !completion.is_finished()));
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    fleet.entries.remove(0).abort();
    let mut resumes = 0;
    for completion in running {
        let report = completion.await.unwrap();
        assert_eq!(report.outcome, Outcome::Whole, "{report:?}");
        assert_eq!(report.tokens, 60);
        resumes += report.resumes;
    }
    assert!(
        resumes > 0,
        "no completion went through the host that crashed"
    );
    fleet.close().await;
}
