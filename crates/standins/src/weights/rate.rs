//! Rate that all downloads share.

use std::time::Duration;

/// Gives out times at which bytes may be sent.
#[derive(Clone, Copy, Debug)]
pub(super) struct RateLimiter {
    bytes_per_s: u64,
    free_at: Duration,
}

impl RateLimiter {
    pub(super) fn new(bytes_per_s: u64) -> Self {
        Self {
            bytes_per_s: bytes_per_s.max(1),
            free_at: Duration::ZERO,
        }
    }

    /// When the next `bytes` have been sent at the shared rate.
    pub(super) fn reserve(&mut self, now: Duration, bytes: usize) -> Duration {
        let duration = Duration::from_secs_f64(bytes as f64 / self.bytes_per_s as f64);
        self.free_at = self.free_at.max(now) + duration;
        self.free_at
    }
}
