//! Monotonic clock of a process.

use eelgrasshold_core::types::Now;
use tokio::time::Instant;

/// Monotonic clock that starts at zero; copies agree.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Creates a clock that reads zero now.
    #[must_use]
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Time since [`Self::start`].
    #[must_use]
    pub fn now(&self) -> Now {
        self.start.elapsed()
    }

    /// Converts a reading of the clock to the instant at which it occurs.
    #[must_use]
    pub fn instant(&self, at: Now) -> Instant {
        self.start + at
    }
}
