//! State that the service's handler and its handle share.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use http::StatusCode;
use serde::Serialize;

/// How a request fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The connection is closed without an answer.
    HangUp,
    /// The answer has this status and no echo.
    Status(StatusCode),
}

/// A run of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Execution {
    /// Request id.
    pub request_id: String,
    /// Idempotency key; empty if there was none.
    pub idempotency_key: String,
    /// Method.
    pub method: String,
    /// Path and query.
    pub path: String,
}

/// Counts since the start; a kill doesn't reset them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counters {
    /// Requests that arrived.
    pub requests: u64,
    /// Requests that ran.
    pub runs: u64,
    /// Requests that failed before they ran.
    pub failed_before: u64,
    /// Requests that failed after they ran.
    pub failed_after: u64,
}

/// Failures that hit the next requests.
#[derive(Debug, Default)]
pub(super) struct Faults {
    pub(super) latency: Duration,
    pub(super) before: Option<(u32, Failure)>,
    pub(super) after: Option<(u32, Failure)>,
    /// Answers still to be broken off in the middle.
    pub(super) truncated: u32,
    /// Answers still to be replaced by another request's.
    pub(super) mismatched: u32,
}

#[derive(Debug, Default)]
pub(super) struct State {
    pub(super) faults: Faults,
    pub(super) counters: Counters,
    pub(super) executions: Vec<Execution>,
    pub(super) keeps_executions: bool,
}

impl State {
    /// Records a run.
    pub(super) fn run(&mut self, execution: Execution) {
        self.counters.runs += 1;
        if self.keeps_executions {
            self.executions.push(execution);
        }
    }
}

/// Takes one of a number of failures that remain.
pub(super) fn take_failure(failures: &mut Option<(u32, Failure)>) -> Option<Failure> {
    let (left, failure) = failures.as_mut()?;
    let failure = *failure;
    *left -= 1;
    if *left == 0 {
        *failures = None;
    }
    Some(failure)
}

/// Takes one of a number that remains; whether there was one.
pub(super) fn take_one(left: &mut u32) -> bool {
    let any = *left > 0;
    *left = left.saturating_sub(1);
    any
}

#[derive(Debug, Default)]
pub(super) struct Shared {
    state: Mutex<State>,
}

impl Shared {
    /// Locks the state. A panic of another holder leaves it usable.
    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
