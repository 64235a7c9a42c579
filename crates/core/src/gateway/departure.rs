//! When the caller of a request leaves.
//!
//! A caller waits for a limited time: for the whole answer, and for each event of a stream. That
//! promise runs from end to end, over every queue, connection and attempt, so its end is kept with
//! the request as a moment, and each step takes its time from what is left until then. A caller
//! that nothing more can be done for is answered before it leaves: an upstream that can't be
//! reached goes on with the work of callers that have left.

use std::time::Duration;

use crate::types::Now;

/// Time that an answer needs to reach a caller.
const ANSWER_TIME: Duration = Duration::from_millis(60);
/// Shortest time that an upstream needs to begin a stream.
const MIN_BEGIN_TIME: Duration = Duration::from_millis(100);

/// Time for which a caller waits for the next event of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Departure {
    /// Time without an event after which the caller leaves; `None` for answers that are no stream.
    patience: Option<Duration>,
    /// When the caller sent its request or last got an event.
    served_at: Now,
    /// Whether it has got an event.
    has_event: bool,
}

impl Departure {
    /// Departure of a caller whose request came at `now`.
    #[must_use]
    pub fn new(now: Now, patience: Option<Duration>) -> Self {
        Self {
            patience,
            served_at: now,
            has_event: false,
        }
    }

    /// Records that the caller gets an event.
    pub fn record_event(&mut self, now: Now) {
        self.served_at = now;
        self.has_event = true;
    }

    /// When the caller sent its request or last got an event.
    #[must_use]
    pub fn served_at(&self) -> Now {
        self.served_at
    }

    /// Whether the caller has got an event.
    #[must_use]
    pub fn has_event(&self) -> bool {
        self.has_event
    }

    /// When the caller leaves unless it gets an event before; `None` for answers that are no stream.
    #[must_use]
    pub fn at(&self) -> Option<Now> {
        self.patience.map(|p| self.served_at + p)
    }

    /// Latest time of a final answer that reaches the caller before it leaves.
    #[must_use]
    pub fn answer_by(&self) -> Option<Now> {
        self.at().map(|at| at.saturating_sub(ANSWER_TIME))
    }

    /// Time that is left for an upstream to supply the next event.
    #[must_use]
    pub fn left(&self, now: Now) -> Option<Duration> {
        self.answer_by().map(|by| by.saturating_sub(now))
    }

    /// Whether an upstream that is expected to begin after `wait` can supply an event in time.
    #[must_use]
    pub fn allows(&self, now: Now, wait: Duration) -> bool {
        self.left(now)
            .is_none_or(|left| left >= wait.max(MIN_BEGIN_TIME))
    }
}
