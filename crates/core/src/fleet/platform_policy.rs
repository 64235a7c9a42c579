//! Rate limit and circuit breaker with jittered backoff for calls to the platform.
//!
//! The client acquires a permit before each call and reports its outcome. During an outage each
//! process probes the platform with one call per backoff period, and the jitter spreads the
//! fleet's calls when the platform recovers.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::types::Now;

/// Limits of one process for its calls to the platform.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlatformLimits {
    /// Sustained rate of calls.
    pub calls_per_s: f64,
    /// Calls that may be made at once; a first start reads all shards.
    pub burst: f64,
    /// Consecutive failures after which the breaker opens.
    pub failures_to_open: u32,
    /// Backoff when the breaker opens; each further failure doubles it.
    pub initial_backoff: Duration,
    /// Largest backoff, which bounds the recovery time after an outage.
    pub max_backoff: Duration,
}

impl Default for PlatformLimits {
    fn default() -> Self {
        Self {
            calls_per_s: 5.0,
            burst: 100.0,
            failures_to_open: 3,
            initial_backoff: Duration::from_millis(500),
            max_backoff: Duration::from_secs(30),
        }
    }
}

/// State of the circuit breaker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Breaker {
    /// Calls are permitted within the rate limit.
    Closed,
    /// No call is permitted until this time.
    Open(Now),
    /// One trial call is in flight.
    HalfOpen,
}

/// Permits or defers each call. Only outcomes of permitted calls may be reported.
#[derive(Clone, Debug)]
pub struct PlatformPolicy {
    limits: PlatformLimits,
    rng: SmallRng,
    tokens: f64,
    filled_at: Now,
    failures: u32,
    breaker: Breaker,
    half_open_at: Now,
}

impl PlatformPolicy {
    /// A policy with a full burst and a closed breaker. `seed` determines the jitter.
    #[must_use]
    pub fn new(limits: PlatformLimits, seed: u64) -> Self {
        Self {
            limits,
            rng: SmallRng::seed_from_u64(seed),
            tokens: limits.burst,
            filled_at: Now::ZERO,
            failures: 0,
            breaker: Breaker::Closed,
            half_open_at: Now::ZERO,
        }
    }

    /// Acquires a permit for one call.
    ///
    /// # Errors
    ///
    /// Returns the time to wait if the rate limit is reached or the breaker is open.
    pub fn try_acquire(&mut self, now: Now) -> Result<(), Duration> {
        self.fill(now);
        match self.breaker {
            Breaker::Open(until) => wait_until(now, until)?,
            // The outcome of the trial call may never be reported, for instance after a pause.
            Breaker::HalfOpen => wait_until(now, self.half_open_at + self.limits.max_backoff)?,
            Breaker::Closed => {}
        }
        if self.tokens < 1.0 {
            let missing = (1.0 - self.tokens) / self.limits.calls_per_s;
            return Err(Duration::from_secs_f64(missing));
        }
        self.tokens -= 1.0;
        if self.breaker != Breaker::Closed {
            self.breaker = Breaker::HalfOpen;
            self.half_open_at = now;
        }
        Ok(())
    }

    /// Reports whether the platform answered a call. Returns whether that opened or closed the
    /// breaker.
    pub fn report(&mut self, now: Now, answered: bool) -> bool {
        let was_closed = self.breaker == Breaker::Closed;
        if answered {
            self.failures = 0;
            self.breaker = Breaker::Closed;
            return !was_closed;
        }
        self.failures = self.failures.saturating_add(1);
        if self.failures < self.limits.failures_to_open {
            return false;
        }
        self.breaker = Breaker::Open(now + self.backoff());
        was_closed
    }

    /// Current state of the breaker.
    #[must_use]
    pub fn breaker(&self) -> Breaker {
        self.breaker
    }

    fn backoff(&mut self) -> Duration {
        let doublings = (self.failures - self.limits.failures_to_open).min(16);
        let max = self.limits.max_backoff;
        let full = (self.limits.initial_backoff * (1 << doublings)).min(max);
        full.mul_f64(self.rng.random_range(0.5..=1.0))
    }

    fn fill(&mut self, now: Now) {
        let passed = now.saturating_sub(self.filled_at).as_secs_f64();
        let tokens = self.tokens + passed * self.limits.calls_per_s;
        self.tokens = tokens.min(self.limits.burst);
        self.filled_at = now;
    }
}

fn wait_until(now: Now, at: Now) -> Result<(), Duration> {
    match at.checked_sub(now) {
        Some(wait) if !wait.is_zero() => Err(wait),
        _ => Ok(()),
    }
}
