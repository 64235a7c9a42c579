//! Requests that reach a host in its graceful shutdown.
//!
//! The host ends at a known time. What it still takes then has to be answered before, and what may not
//! run twice is not taken unless its whole time limit fits: its caller could not repeat it if the
//! answer were lost with the host.

use std::time::Duration;

use super::Admitted;
use crate::types::{Now, Refusal, RefusalKind, WorkClass};

/// Time before the end of the host in which answers are still written.
const ANSWER_MARGIN: Duration = Duration::from_millis(500);
/// Retry-After of a refused request; another host takes it at once.
const RETRY_AFTER: Duration = Duration::from_millis(50);

/// Takes a new request if the host, which ends at `ends_at`, can answer it, and limits its time.
///
/// # Errors
///
/// Returns the refusal to answer with if the request should go to another host.
pub fn take(now: Now, ends_at: Now, request: &mut Admitted) -> Result<(), Refusal> {
    let last_answer = ends_at.saturating_sub(ANSWER_MARGIN);
    if request.deadline <= last_answer {
        return Ok(());
    }
    if now >= last_answer || request.route.kind.class() == WorkClass::NonIdempotent {
        let detail = "this host shuts down before the request would have to be answered";
        let refusal = Refusal::not_run(RefusalKind::NotReady, detail);
        return Err(refusal.with_retry_after(RETRY_AFTER));
    }
    request.deadline = last_answer;
    Ok(())
}
