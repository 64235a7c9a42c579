//! Rate limit shared by all downloads.

use std::time::Duration;

/// Schedules sends one after another at a fixed rate.
#[derive(Clone, Copy, Debug)]
pub(super) struct RateLimiter {
    bytes_per_s: u64,
    /// End of the latest reservation.
    free_at: Duration,
}

impl RateLimiter {
    pub(super) fn new(bytes_per_s: u64) -> Self {
        Self {
            bytes_per_s: bytes_per_s.max(1),
            free_at: Duration::ZERO,
        }
    }

    /// Reserves the time to send `bytes` bytes; returns when they have been sent.
    pub(super) fn reserve(&mut self, now: Duration, bytes: usize) -> Duration {
        let duration = Duration::from_secs_f64(bytes as f64 / self.bytes_per_s as f64);
        self.free_at = self.free_at.max(now) + duration;
        self.free_at
    }
}
