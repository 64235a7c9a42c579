//! State that the HTTP handler and the control handle of the service share.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use http::StatusCode;
use serde::Serialize;

/// Failure of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The connection is closed without an answer.
    HangUp,
    /// The answer has this status and an empty body.
    Status(StatusCode),
}

/// One execution of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Execution {
    /// Request id, as in [`Echo::request_id`](super::Echo::request_id).
    pub request_id: String,
    /// Idempotency key; empty if the request had none.
    pub idempotency_key: String,
    /// HTTP method, in upper case.
    pub method: String,
    /// Path and query, with a leading slash.
    pub path: String,
}

/// Numbers of requests since the service was built; a kill doesn't reset them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counters {
    /// Requests whose body was received completely.
    pub requests: u64,
    /// Requests that were executed, including those that failed afterwards.
    pub runs: u64,
    /// Requests that an injected fault failed before their execution.
    pub failed_before: u64,
    /// Requests that an injected fault failed after their execution.
    pub failed_after: u64,
}

/// Faults of the next requests; each counter holds how many requests it still affects.
#[derive(Debug, Default)]
pub(super) struct Faults {
    pub(super) latency: Duration,
    pub(super) before: Option<(u32, Failure)>,
    pub(super) after: Option<(u32, Failure)>,
    /// Answers to be truncated, after which their connection is closed.
    pub(super) truncated: u32,
    /// Answers to be altered as if they belonged to another request.
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
    pub(super) fn record_execution(&mut self, execution: Execution) {
        self.counters.runs += 1;
        if self.keeps_executions {
            self.executions.push(execution);
        }
    }
}

/// Takes one of the remaining failures; `None` if there are none.
pub(super) fn take_failure(failures: &mut Option<(u32, Failure)>) -> Option<Failure> {
    let (remaining, failure) = failures.as_mut()?;
    let failure = *failure;
    *remaining -= 1;
    if *remaining == 0 {
        *failures = None;
    }
    Some(failure)
}

/// Decrements a counter; false if it was already 0.
pub(super) fn take_remaining(remaining: &mut u32) -> bool {
    let any = *remaining > 0;
    *remaining = remaining.saturating_sub(1);
    any
}

#[derive(Debug, Default)]
pub(super) struct Shared {
    state: Mutex<State>,
}

impl Shared {
    /// Locks the state. Poisoning is ignored, so that a panic in one handler does not fail others.
    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
