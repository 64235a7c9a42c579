//! Calls that the platform allows a second.

use std::time::Duration;

/// Token bucket that holds at most one second's calls.
///
/// Waiting watches hold a call each, so the bucket refills by the rate less
/// the number of watches that wait.
#[derive(Clone, Debug)]
pub(super) struct Rate {
    per_s: f64,
    tokens: f64,
    at: Duration,
    waiting: u32,
}

impl Rate {
    pub(super) fn new(per_s: u32) -> Self {
        let per_s = f64::from(per_s);
        Self {
            per_s,
            tokens: per_s,
            at: Duration::ZERO,
            waiting: 0,
        }
    }

    /// Takes a call if the rate allows it.
    pub(super) fn take(&mut self, now: Duration) -> bool {
        self.refill(now);
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }

    /// A watch begins to wait.
    pub(super) fn begin_wait(&mut self, now: Duration) {
        self.refill(now);
        self.waiting += 1;
    }

    /// A watch no longer waits.
    pub(super) fn end_wait(&mut self, now: Duration) {
        self.refill(now);
        self.waiting -= 1;
    }

    fn refill(&mut self, now: Duration) {
        let elapsed_s = now.saturating_sub(self.at).as_secs_f64();
        let rate = (self.per_s - f64::from(self.waiting)).max(0.0);
        self.tokens = (self.tokens + elapsed_s * rate).min(self.per_s);
        self.at = now;
    }
}
