//! Permits of one host for one cold upstream.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

use crate::types::Now;

/// Time after which an unused permit expires. Permits that accumulated would be used by all hosts in the
/// same second of a surge; with this time, such a second has at most 1.2 times the usual number.
pub(super) const PERMIT_VALIDITY: Duration = Duration::from_millis(200);
/// Shortest time until the next permit that is reported, so that callers don't ask in a tight loop.
const MIN_WAIT: Duration = Duration::from_millis(1);

/// Permits at regular intervals, of which the last one may be used.
#[derive(Clone, Debug)]
pub(super) struct Permits {
    /// Part of the present interval that has passed.
    phase: f64,
    advanced_at: Now,
    /// When the last permit was issued, if it is unused.
    issued_at: Option<Now>,
}

impl Permits {
    /// Starts at a random phase, so that hosts which start together don't issue permits together.
    pub(super) fn new(now: Now, rng: &mut SmallRng) -> Self {
        Self {
            phase: rng.random_range(0.0..1.0),
            advanced_at: now,
            issued_at: None,
        }
    }

    /// Issues what is due at a rate of permits a second.
    pub(super) fn advance(&mut self, now: Now, rate: f64) {
        let passed = now.saturating_sub(self.advanced_at).as_secs_f64();
        self.advanced_at = self.advanced_at.max(now);
        self.phase += passed * rate;
        if self.phase >= 1.0 {
            self.phase = self.phase.fract();
            let age = Duration::from_secs_f64(self.phase / rate);
            self.issued_at = Some(now.saturating_sub(age));
        }
        let is_valid = |at: &Now| now.saturating_sub(*at) < PERMIT_VALIDITY;
        self.issued_at = self.issued_at.filter(is_valid);
    }

    /// Time until the next permit; `None` if there is one.
    pub(super) fn wait(&self, now: Now, rate: f64) -> Option<Duration> {
        if self.issued_at.is_some() {
            return None;
        }
        let left = (1.0 - self.phase) / rate;
        let left = Duration::try_from_secs_f64(left).unwrap_or(Duration::MAX);
        let passed = now.saturating_sub(self.advanced_at);
        Some(left.saturating_sub(passed).max(MIN_WAIT))
    }

    /// Uses the permit, if there is one.
    pub(super) fn take(&mut self) {
        self.issued_at = None;
    }
}
