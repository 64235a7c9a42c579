//! Drafts that are kept open during a run.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::summary::StreamSummary;
use super::tally::Tally;
use crate::caller::{Caller, CompletionCall, Outcome, Report};

struct Streams {
    tally: Tally,
    gaps: Tally,
    tokens: u64,
    resumes: u64,
    open_at_end: u64,
}

impl Streams {
    fn record(&mut self, report: &Report) {
        self.tally.record(
            &report.outcome,
            report.time_to_first.unwrap_or(report.total),
        );
        if report.outcome == Outcome::Whole {
            self.gaps.record_latency(report.longest_gap);
        }
        self.tokens += u64::from(report.tokens);
        self.resumes += u64::from(report.resumes);
    }
}

fn lock(streams: &Mutex<Streams>) -> MutexGuard<'_, Streams> {
    streams.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Keeps `count` drafts open until the end.
pub(super) async fn run(
    caller: Arc<Caller>,
    call: CompletionCall,
    count: u32,
    end: CancellationToken,
) -> StreamSummary {
    let streams = Arc::new(Mutex::new(Streams {
        tally: Tally::new(),
        gaps: Tally::new(),
        tokens: 0,
        resumes: 0,
        open_at_end: 0,
    }));
    let tasks = TaskTracker::new();
    for _ in 0..count {
        let (caller, call) = (caller.clone(), call.clone());
        let (streams, end) = (streams.clone(), end.clone());
        tasks.spawn(async move { keep_open(&caller, call, &streams, &end).await });
    }
    tasks.close();
    tasks.wait().await;
    let streams = lock(&streams);
    StreamSummary {
        outcomes: streams.tally.outcomes(),
        open_at_end: streams.open_at_end,
        tokens: streams.tokens,
        resumes: streams.resumes,
        first_token: streams.tally.latency(),
        longest_gap: streams.gaps.latency(),
    }
}

async fn keep_open(
    caller: &Caller,
    mut call: CompletionCall,
    streams: &Mutex<Streams>,
    end: &CancellationToken,
) {
    loop {
        let request_id = caller.request_id();
        call.prompt = format!("load {request_id}");
        let report = tokio::select! {
            report = caller.complete(&request_id, &call) => Some(report),
            () = end.cancelled() => None,
        };
        let Some(report) = report else {
            lock(streams).open_at_end += 1;
            return;
        };
        lock(streams).record(&report);
        if report.outcome != Outcome::Whole {
            // A refused draft must not turn into a storm of new ones.
            let pause = report.retry_after.unwrap_or(Duration::from_millis(100));
            tokio::select! {
                () = tokio::time::sleep(pause) => {}
                () = end.cancelled() => return,
            }
        }
    }
}
