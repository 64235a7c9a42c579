//! Completion streams that are kept open during a run.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::summary::StreamSummary;
use super::tally::Tally;
use crate::caller::{Caller, CompletionCall, Outcome, Report};

struct StreamStats {
    /// Outcomes, and the time to the first token of completely received answers.
    tally: Tally,
    /// Longest gap between two tokens of each completely received answer.
    gaps: Tally,
    tokens: u64,
    resumes: u64,
    open_at_end: u64,
}

impl StreamStats {
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

fn lock(stats: &Mutex<StreamStats>) -> MutexGuard<'_, StreamStats> {
    stats.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Keeps `count` streams open until `end` is cancelled. A stream that ends is followed by a new one.
pub(super) async fn run(
    caller: Arc<Caller>,
    call: CompletionCall,
    count: u32,
    end: CancellationToken,
) -> StreamSummary {
    let stats = Arc::new(Mutex::new(StreamStats {
        tally: Tally::new(),
        gaps: Tally::new(),
        tokens: 0,
        resumes: 0,
        open_at_end: 0,
    }));
    let tasks = TaskTracker::new();
    for _ in 0..count {
        let (caller, call) = (caller.clone(), call.clone());
        let (stats, end) = (stats.clone(), end.clone());
        tasks.spawn(async move { keep_open(&caller, call, &stats, &end).await });
    }
    tasks.close();
    tasks.wait().await;
    let stats = lock(&stats);
    StreamSummary {
        outcomes: stats.tally.outcomes(),
        open_at_end: stats.open_at_end,
        tokens: stats.tokens,
        resumes: stats.resumes,
        first_token: stats.tally.latency(),
        longest_gap: stats.gaps.latency(),
    }
}

async fn keep_open(
    caller: &Caller,
    mut call: CompletionCall,
    stats: &Mutex<StreamStats>,
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
            lock(stats).open_at_end += 1;
            return;
        };
        lock(stats).record(&report);
        if report.outcome != Outcome::Whole {
            // Without a pause, refusals would turn into a storm of new requests.
            let pause = report.retry_after.unwrap_or(Duration::from_millis(100));
            tokio::select! {
                () = tokio::time::sleep(pause) => {}
                () = end.cancelled() => return,
            }
        }
    }
}
