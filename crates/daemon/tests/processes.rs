//! Guarantees to callers while daemon processes are stopped gracefully or killed.

mod support;

use std::sync::Arc;
use std::time::Duration;

use eelgrasshold_standins::caller::{Caller, CompletionCall, Outcome, PlainCall, Report};
use eelgrasshold_standins::engine::length_marker;
use eelgrasshold_standins::fleet::{DRAFTS, RESERVATIONS};
use futures::future::join_all;
use http::Method;
use support::Processes;

/// Streams started before a process stops.
const STREAMS: usize = 50;
/// Polls after which the wait for running drafts fails; at 10 ms each, one minute.
const MAX_POLLS: u32 = 6_000;
/// Tokens per draft, enough that drafts are still running when the process stops.
const TOKENS_PER_DRAFT: u32 = 60;

fn caller(processes: &Processes, name: &str) -> Arc<Caller> {
    let builder = Caller::builder(processes.entry_urls()).name(name);
    Arc::new(
        builder
            .team("classers")
            .deadline(Duration::from_secs(60))
            .build(),
    )
}

/// Starts [`STREAMS`] drafts and waits until a quarter of them run on the engines.
async fn open_streams(
    processes: &Processes,
    caller: &Arc<Caller>,
) -> Vec<tokio::task::JoinHandle<Report>> {
    let drafts = (0..STREAMS).map(|n| {
        let caller = Arc::clone(caller);
        tokio::spawn(async move {
            let draft = CompletionCall {
                service: DRAFTS.to_owned(),
                prompt: format!("Describe lot {n} {}", length_marker(TOKENS_PER_DRAFT)),
                max_tokens: TOKENS_PER_DRAFT,
            };
            caller.complete(&format!("draft-{n}"), &draft).await
        })
    });
    let drafts: Vec<_> = drafts.collect();
    for _ in 0..MAX_POLLS {
        if processes.in_flight() >= STREAMS / 4 {
            return drafts;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("too few drafts reached the engines");
}

async fn join_reports(drafts: Vec<tokio::task::JoinHandle<Report>>) -> Vec<Report> {
    join_all(drafts)
        .await
        .into_iter()
        .map(Result::unwrap)
        .collect()
}

/// Waits for drafts and checks that each is whole and was not resumed.
async fn check_whole(drafts: Vec<tokio::task::JoinHandle<Report>>) {
    for report in join_reports(drafts).await {
        assert_eq!(
            (&report.outcome, report.resumes),
            (&Outcome::Whole, 0),
            "{report:?}"
        );
    }
}

// Guards against a graceful shutdown of an entry host that cuts off open streams.
#[tokio::test(flavor = "multi_thread")]
async fn terminated_entry_host_cuts_no_stream() {
    let mut processes = Processes::start().await;
    let caller = caller(&processes, "entry-term");
    let drafts = open_streams(&processes, &caller).await;
    processes.entries[1].signal("TERM").unwrap();
    check_whole(drafts).await;
    assert!(processes.entries[1].wait().await.unwrap().success());
}

// Guards against a second SIGTERM that ends a graceful shutdown at once and cuts off open streams.
#[tokio::test(flavor = "multi_thread")]
async fn entry_host_that_is_terminated_twice_cuts_no_stream() {
    let mut processes = Processes::start().await;
    let caller = caller(&processes, "entry-term-twice");
    let drafts = open_streams(&processes, &caller).await;
    processes.entries[1].signal("TERM").unwrap();
    tokio::time::sleep(Duration::from_millis(50)).await;
    processes.entries[1].signal("TERM").unwrap();
    check_whole(drafts).await;
    assert!(processes.entries[1].wait().await.unwrap().success());
}

// Guards against a graceful shutdown of an upstream process that cuts off running requests.
#[tokio::test(flavor = "multi_thread")]
async fn terminated_upstream_process_cuts_no_stream() {
    let mut processes = Processes::start().await;
    let caller = caller(&processes, "upstream-term");
    let drafts = open_streams(&processes, &caller).await;
    processes.upstreams[0].signal("TERM").unwrap();
    check_whole(drafts).await;
    assert!(processes.upstreams[0].wait().await.unwrap().success());
}

// Guards against answers that are lost, duplicated or truncated when an upstream process is killed.
#[tokio::test(flavor = "multi_thread")]
async fn killed_upstream_process_yields_complete_answers_or_refusals() {
    kill_upstream_process_after(Duration::ZERO).await;
}

// Guards against drafts that are cut because the other upstream has a queue when theirs is killed.
#[tokio::test(flavor = "multi_thread")]
async fn drafts_of_a_killed_upstream_process_are_resumed_at_a_loaded_one() {
    kill_upstream_process_after(Duration::from_millis(300)).await;
}

/// Kills an upstream process some time after the first drafts have reached the engines, and checks that
/// each draft is complete or refused.
async fn kill_upstream_process_after(wait: Duration) {
    let processes = Processes::start().await;
    let caller = caller(&processes, "upstream-kill");
    let drafts = open_streams(&processes, &caller).await;
    tokio::time::sleep(wait).await;
    processes.upstreams[0].signal("KILL").unwrap();
    let reports = join_reports(drafts).await;
    for report in &reports {
        let complete_or_refused = matches!(
            report.outcome,
            Outcome::Whole | Outcome::RefusedNotRun | Outcome::RefusedUnknown
        );
        assert!(complete_or_refused, "{report:?}");
    }
    let complete = reports
        .iter()
        .filter(|r| r.outcome == Outcome::Whole)
        .count();
    assert!(complete > 0, "no answer was complete");
}

// Guards against drafts that can't be resumed through another entry host when theirs is killed.
#[tokio::test(flavor = "multi_thread")]
async fn drafts_of_a_killed_entry_host_are_resumed_through_another() {
    let processes = Processes::start().await;
    let caller = caller(&processes, "entry-kill");
    let drafts = open_streams(&processes, &caller).await;
    processes.entries[0].signal("KILL").unwrap();
    let reports = join_reports(drafts).await;
    for report in &reports {
        assert_eq!(report.outcome, Outcome::Whole, "{report:?}");
    }
    assert!(
        reports.iter().any(|r| r.resumes > 0),
        "no draft ran on the killed host"
    );
}

// Guards against executing a reservation twice: its entry host is killed and a caller retries it
// through another entry host with the same idempotency key.
#[tokio::test(flavor = "multi_thread")]
async fn reservation_runs_at_most_once_when_its_entry_host_is_killed() {
    let processes = Processes::start().await;
    processes.plain.set_latency(Duration::from_millis(500));
    let call = PlainCall::new(RESERVATIONS, Method::POST, "/reserve", "{}").key("lot-17");
    let first = Caller::builder(vec![processes.entry_urls()[0].clone()])
        .name("first")
        .build();
    let other = Caller::builder(vec![processes.entry_urls()[1].clone()])
        .name("other")
        .build();
    let (retry, ()) = tokio::join!(
        async {
            tokio::time::sleep(Duration::from_millis(900)).await;
            other.call("again", &call).await
        },
        async {
            tokio::select! {
                _ = first.call("first", &call) => {}
                () = tokio::time::sleep(Duration::from_millis(300)) => {}
            }
            processes.entries[0].signal("KILL").unwrap();
        }
    );
    assert_ne!(retry.outcome, Outcome::Cut);
    assert!(processes.plain.runs_of("lot-17") <= 1);
}
