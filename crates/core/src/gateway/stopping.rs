//! Requests that reach a host in its graceful shutdown.
//!
//! The host ends at a known time, and what has not been answered by then is lost.
//!
//! - A request whose time limit ends before is taken.
//! - One that may not run twice is refused otherwise: its caller could not repeat it.
//! - One that is answered in one piece is taken with a shorter limit, as its caller gets a final answer then.
//! - A stream that has begun can only be cut. It is taken if it is sure to end before, or if it comes so early
//!   that most of the time is left.
//!
//! A refused request has not been sent to an upstream, and another host takes it at once. All this is decided
//! again for each request that has waited here, for its body or for an upstream.

use std::time::Duration;

use super::Admitted;
use crate::types::{Now, Refusal, RefusalKind, WorkClass};

/// Time before the end of the host in which answers are still written.
const ANSWER_MARGIN: Duration = Duration::from_millis(500);
/// Share of the shutdown in which a stream is taken that may take longer than what is left.
const UNCERTAIN_SHARE: f64 = 1.0 / 3.0;
/// Longest time after the start of the shutdown in which such a stream is taken.
const MAX_UNCERTAIN_TIME: Duration = Duration::from_millis(2_750);
/// Retry-After of a refused request; another host takes it at once.
const RETRY_AFTER: Duration = Duration::from_millis(50);

/// The graceful shutdown of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shutdown {
    began_at: Now,
    ends_at: Now,
}

impl Shutdown {
    /// A shutdown that begins at `now` and takes at most `limit`.
    #[must_use]
    pub fn new(now: Now, limit: Duration) -> Self {
        Self {
            began_at: now,
            ends_at: now + limit,
        }
    }

    /// Takes a request that has not been run, to be sent at `now` or later, and limits its time.
    ///
    /// # Errors
    ///
    /// Returns the refusal to answer with if the request should go to another host.
    pub fn take(&self, now: Now, request: &mut Admitted) -> Result<(), Refusal> {
        let last_answer = self.ends_at.saturating_sub(ANSWER_MARGIN);
        if request.waits_until <= last_answer {
            return Ok(());
        }
        let kind = request.route.kind;
        let is_repeatable = kind.class() == WorkClass::Idempotent;
        let can_be_answered = if kind.is_stream() {
            let longest = request.longest_answer();
            let is_sure = longest.is_some_and(|longest| now + longest <= last_answer);
            is_sure || now < self.uncertain_until()
        } else {
            now < last_answer
        };
        if is_repeatable && can_be_answered {
            request.deadline = request.deadline.min(last_answer);
            return Ok(());
        }
        let detail = "this host shuts down and can't be sure to answer the request before";
        let refusal = Refusal::not_run(RefusalKind::NotReady, detail);
        Err(refusal.with_retry_after(RETRY_AFTER))
    }

    /// Until when a stream is taken that may take longer than what is left.
    fn uncertain_until(&self) -> Now {
        let limit = self.ends_at.saturating_sub(self.began_at);
        self.began_at + limit.mul_f64(UNCERTAIN_SHARE).min(MAX_UNCERTAIN_TIME)
    }
}
