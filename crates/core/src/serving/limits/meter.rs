//! Token bucket that limits a team's requests at one entry host to the host's share.

use std::time::Duration;

use super::{BURST, Demand, REPORT_INTERVAL, SHARE_VALIDITY, Share};
use crate::types::{Now, TeamId};

/// Time constant of the exponential smoothing of demand.
const DEMAND_SMOOTHING_S: f64 = 1.0;
/// Time without requests after which a host stops reporting demand for a team.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Rate meter and token bucket of one team at one entry host.
#[derive(Clone, Debug)]
pub struct Meter {
    limit_per_s: f64,
    hosts: usize,
    share: Option<(f64, Now)>,
    tokens: f64,
    filled_at: Now,
    demand_per_s: f64,
    request_count: u32,
    count_started_at: Now,
    last_request: Now,
    next_report: Now,
}

impl Meter {
    /// Creates a meter for a team whose limit is shared by `hosts` entry hosts.
    ///
    /// `chance` is a uniform random number in 0..1. If the host's equal share is below one request
    /// per second, the first request is admitted with that probability, so that the first
    /// requests at many hosts together stay within the limit.
    #[must_use]
    pub fn new(now: Now, limit_per_s: f64, hosts: usize, chance: f64) -> Self {
        let mut meter = Self {
            limit_per_s,
            hosts: hosts.max(1),
            share: None,
            tokens: 0.0,
            filled_at: now,
            demand_per_s: 0.0,
            request_count: 0,
            count_started_at: now,
            last_request: now,
            next_report: now,
        };
        let first_second_tokens = meter.equal_share();
        meter.tokens = if first_second_tokens >= 1.0 || chance < first_second_tokens {
            meter.burst(now).max(1.0)
        } else {
            0.0
        };
        meter
    }

    /// Updates the limit and the number of entry hosts. A share that is still valid stays in force.
    pub fn set_limit(&mut self, limit_per_s: f64, hosts: usize) {
        self.limit_per_s = limit_per_s;
        self.hosts = hosts.max(1);
    }

    /// Applies a share from the accountant; it is valid for [`SHARE_VALIDITY`].
    pub fn set_share(&mut self, now: Now, share: &Share) {
        self.refill(now);
        self.share = Some((share.requests_per_s, now + SHARE_VALIDITY));
    }

    /// Counts a request and takes a token; returns false if the bucket is empty.
    #[must_use]
    pub fn admit(&mut self, now: Now) -> bool {
        self.last_request = now;
        self.request_count += 1;
        self.refill(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Time until the bucket holds a token again.
    #[must_use]
    pub fn retry_after(&self, now: Now) -> Duration {
        let rate = self.rate(now).max(1e-3);
        Duration::from_secs_f64(((1.0 - self.tokens) / rate).max(0.0))
    }

    /// Returns the demand if a report is due. The first request of a team is reported immediately.
    pub fn report(&mut self, now: Now, team: &TeamId) -> Option<Demand> {
        if now < self.next_report || self.is_idle(now) {
            return None;
        }
        self.next_report = now + REPORT_INTERVAL;
        self.update_demand(now);
        let share = self.valid_share(now);
        Some(Demand {
            team: team.clone(),
            requests_per_s: self.demand_per_s,
            share_per_s: share.unwrap_or(0.0),
        })
    }

    /// Whether the team has sent no requests for `IDLE_TIMEOUT`, so that the meter can be
    /// dropped.
    #[must_use]
    pub fn is_idle(&self, now: Now) -> bool {
        now >= self.last_request + IDLE_TIMEOUT
    }

    /// Drops the share if it has expired, so that the host falls back to its equal share of the
    /// limit. Returns true once for each share that expires.
    pub fn expire_share(&mut self, now: Now) -> bool {
        let expired = self.share.is_some() && self.valid_share(now).is_none();
        if expired {
            self.refill(now);
            self.share = None;
        }
        expired
    }

    fn update_demand(&mut self, now: Now) {
        let window_s = now.saturating_sub(self.count_started_at).as_secs_f64();
        if window_s <= 0.0 {
            // First request: no rate can be computed yet, but the host needs a share.
            self.demand_per_s = self.equal_share();
            return;
        }
        let rate = f64::from(self.request_count) / window_s;
        let gain = 1.0 - (-window_s / DEMAND_SMOOTHING_S).exp();
        self.demand_per_s += gain * (rate - self.demand_per_s);
        self.request_count = 0;
        self.count_started_at = now;
    }

    fn refill(&mut self, now: Now) {
        let earned = self.earned_tokens(now);
        self.tokens = (self.tokens + earned).min(self.burst(now).max(1.0));
        self.filled_at = now;
    }

    /// Tokens earned since the last refill: at the rate of the share until it expires, and of the
    /// equal share after that.
    fn earned_tokens(&self, now: Now) -> f64 {
        let seconds_to = |at: Now| at.saturating_sub(self.filled_at).as_secs_f64();
        match self.share {
            Some((rate, expires)) if expires > self.filled_at => {
                let share_s = seconds_to(expires.min(now));
                rate * share_s + self.equal_share() * (seconds_to(now) - share_s)
            }
            _ => self.equal_share() * seconds_to(now),
        }
    }

    fn burst(&self, now: Now) -> f64 {
        self.rate(now) * BURST.as_secs_f64()
    }

    fn rate(&self, now: Now) -> f64 {
        self.valid_share(now).unwrap_or(self.equal_share())
    }

    fn valid_share(&self, now: Now) -> Option<f64> {
        let (rate, expires) = self.share?;
        (now < expires).then_some(rate)
    }

    fn equal_share(&self) -> f64 {
        self.limit_per_s / self.hosts as f64
    }
}
