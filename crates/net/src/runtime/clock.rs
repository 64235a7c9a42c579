//! The process's monotonic clock.

use eelgrasshold_core::types::Now;
use tokio::time::Instant;

/// Monotonic clock that counts from its creation.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// A clock that stands at zero now.
    #[must_use]
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// The present time.
    #[must_use]
    pub fn now(&self) -> Now {
        self.start.elapsed()
    }

    /// The instant at which the clock shows `at`.
    #[must_use]
    pub fn instant(&self, at: Now) -> Instant {
        self.start + at
    }
}
