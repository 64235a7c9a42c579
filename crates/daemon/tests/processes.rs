//! What must hold for callers while real daemons are stopped and killed.

mod support;

use std::sync::Arc;
use std::time::Duration;

use eelgrasshold_standins::caller::{Caller, CompletionCall, Outcome, PlainCall, Report};
use eelgrasshold_standins::engine::length_marker;
use eelgrasshold_standins::fleet::{DRAFTS, RESERVATIONS};
use futures::future::join_all;
use http::Method;
use support::Processes;

/// Streams that are open while a process stops.
const STREAMS: usize = 50;
/// Looks after which the engines count as never getting the drafts.
const LOOKS: u32 = 6_000;
/// Tokens of each draft: long enough to be running when the process stops.
const TOKENS: u32 = 60;

fn caller(processes: &Processes, name: &str) -> Arc<Caller> {
    let builder = Caller::builder(processes.entry_urls()).name(name);
    Arc::new(
        builder
            .team("classers")
            .deadline(Duration::from_secs(60))
            .build(),
    )
}

/// Starts drafts and waits until some run on the engines.
async fn open_streams(
    processes: &Processes,
    caller: &Arc<Caller>,
) -> Vec<tokio::task::JoinHandle<Report>> {
    let drafts = (0..STREAMS).map(|n| {
        let caller = Arc::clone(caller);
        tokio::spawn(async move {
            let draft = CompletionCall {
                service: DRAFTS.to_owned(),
                prompt: format!("Describe lot {n} {}", length_marker(TOKENS)),
                max_tokens: TOKENS,
            };
            caller.complete(&format!("draft-{n}"), &draft).await
        })
    });
    let drafts: Vec<_> = drafts.collect();
    for _ in 0..LOOKS {
        if processes.in_flight() >= STREAMS / 4 {
            return drafts;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("the engines did not get the drafts");
}

async fn reports(drafts: Vec<tokio::task::JoinHandle<Report>>) -> Vec<Report> {
    join_all(drafts)
        .await
        .into_iter()
        .map(Result::unwrap)
        .collect()
}

// Guards against a planned stop of an entry host that cuts open streams.
#[tokio::test(flavor = "multi_thread")]
async fn terminated_entry_host_cuts_no_stream() {
    let mut processes = Processes::start().await;
    let caller = caller(&processes, "entry-term");
    let drafts = open_streams(&processes, &caller).await;
    processes.entries[1].signal("TERM").unwrap();
    for report in reports(drafts).await {
        assert_eq!(
            (&report.outcome, report.resumes),
            (&Outcome::Whole, 0),
            "{report:?}"
        );
    }
    assert!(processes.entries[1].wait().await.unwrap().success());
}

// Guards against a planned stop of an upstream process that cuts running work.
#[tokio::test(flavor = "multi_thread")]
async fn terminated_upstream_process_cuts_no_stream() {
    let mut processes = Processes::start().await;
    let caller = caller(&processes, "upstream-term");
    let drafts = open_streams(&processes, &caller).await;
    processes.upstreams[0].signal("TERM").unwrap();
    for report in reports(drafts).await {
        assert_eq!(
            (&report.outcome, report.resumes),
            (&Outcome::Whole, 0),
            "{report:?}"
        );
    }
    assert!(processes.upstreams[0].wait().await.unwrap().success());
}

// Guards against an answer that is lost, doubled or cut when an upstream process dies.
#[tokio::test(flavor = "multi_thread")]
async fn killed_upstream_process_leaves_whole_answers_or_honest_refusals() {
    let processes = Processes::start().await;
    let caller = caller(&processes, "upstream-kill");
    let drafts = open_streams(&processes, &caller).await;
    processes.upstreams[0].signal("KILL").unwrap();
    let reports = reports(drafts).await;
    for report in &reports {
        let honest = matches!(
            report.outcome,
            Outcome::Whole | Outcome::RefusedNotRun | Outcome::RefusedUnknown
        );
        assert!(honest, "{report:?}");
    }
    let whole = reports
        .iter()
        .filter(|r| r.outcome == Outcome::Whole)
        .count();
    assert!(whole > 0, "no answer survived");
}

// Guards against a draft that can't go on through another entry host when its own dies.
#[tokio::test(flavor = "multi_thread")]
async fn drafts_of_a_killed_entry_host_are_resumed_through_the_other() {
    let processes = Processes::start().await;
    let caller = caller(&processes, "entry-kill");
    let drafts = open_streams(&processes, &caller).await;
    processes.entries[0].signal("KILL").unwrap();
    let reports = reports(drafts).await;
    for report in &reports {
        assert_eq!(report.outcome, Outcome::Whole, "{report:?}");
    }
    assert!(
        reports.iter().any(|r| r.resumes > 0),
        "no draft ran on the killed host"
    );
}

// Guards against a reservation that runs again when its caller repeats it elsewhere after its
// entry host died.
#[tokio::test(flavor = "multi_thread")]
async fn reservation_runs_once_though_its_entry_host_dies() {
    let processes = Processes::start().await;
    processes.plain.set_latency(Duration::from_millis(500));
    let call = PlainCall::new(RESERVATIONS, Method::POST, "/reserve", "{}").key("lot-17");
    let first = Caller::builder(vec![processes.entry_urls()[0].clone()])
        .name("first")
        .build();
    let other = Caller::builder(vec![processes.entry_urls()[1].clone()])
        .name("other")
        .build();
    let (again, ()) = tokio::join!(
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
    assert_ne!(again.outcome, Outcome::Cut);
    assert!(processes.plain.runs_of("lot-17") <= 1);
}
