//! Rate limit of the platform.

use std::time::Duration;

/// Token bucket with a capacity of one second's calls.
///
/// Each waiting watch counts as one call per second, so the bucket refills at
/// the rate minus the number of waiting watches.
#[derive(Clone, Debug)]
pub(super) struct RateLimit {
    per_s: f64,
    tokens: f64,
    refilled_at: Duration,
    waiting: u32,
}

impl RateLimit {
    pub(super) fn new(per_s: u32) -> Self {
        let per_s = f64::from(per_s);
        Self {
            per_s,
            tokens: per_s,
            refilled_at: Duration::ZERO,
            waiting: 0,
        }
    }

    /// Takes the token of one call; false if the limit is exceeded.
    pub(super) fn try_acquire(&mut self, now: Duration) -> bool {
        self.refill(now);
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }

    /// Adds a waiting watch.
    pub(super) fn begin_wait(&mut self, now: Duration) {
        self.refill(now);
        self.waiting += 1;
    }

    /// Removes a waiting watch.
    pub(super) fn end_wait(&mut self, now: Duration) {
        self.refill(now);
        self.waiting -= 1;
    }

    fn refill(&mut self, now: Duration) {
        let elapsed_s = now.saturating_sub(self.refilled_at).as_secs_f64();
        let rate = (self.per_s - f64::from(self.waiting)).max(0.0);
        self.tokens = (self.tokens + elapsed_s * rate).min(self.per_s);
        self.refilled_at = now;
    }
}
