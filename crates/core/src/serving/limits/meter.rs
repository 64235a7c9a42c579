//! A team's requests at one entry host, held to the host's share of the limit.

use std::time::Duration;

use super::{BURST, Demand, REPORT_INTERVAL, SHARE_VALIDITY, Share};
use crate::types::{Now, TeamId};

/// Time over which demand is smoothed; a swing shows within about as long.
const DEMAND_SMOOTHING_S: f64 = 1.0;
/// Time without requests after which a host no longer reports on a team.
const IDLE: Duration = Duration::from_secs(5);

/// A team's requests at one entry host.
#[derive(Clone, Debug)]
pub struct Meter {
    limit_per_s: f64,
    hosts: usize,
    share: Option<(f64, Now)>,
    tokens: f64,
    filled_at: Now,
    demand_per_s: f64,
    counted: u32,
    counted_since: Now,
    last_request: Now,
    next_report: Now,
}

impl Meter {
    /// A meter of a team with a limit over `hosts` entry hosts. `chance` is random in 0..1: where
    /// a host's part of the limit is less than a request, it lets the first one pass so often
    /// that all hosts together keep to it.
    #[must_use]
    pub fn new(now: Now, limit_per_s: f64, hosts: usize, chance: f64) -> Self {
        let mut meter = Self {
            limit_per_s,
            hosts: hosts.max(1),
            share: None,
            tokens: 0.0,
            filled_at: now,
            demand_per_s: 0.0,
            counted: 0,
            counted_since: now,
            last_request: now,
            next_report: now,
        };
        let first_second = meter.even_share();
        meter.tokens = if first_second >= 1.0 || chance < first_second {
            meter.burst(now).max(1.0)
        } else {
            0.0
        };
        meter
    }

    /// Sets the limit and the number of entry hosts, if they changed.
    pub fn set_limit(&mut self, limit_per_s: f64, hosts: usize) {
        self.limit_per_s = limit_per_s;
        self.hosts = hosts.max(1);
    }

    /// Takes a share of the limit.
    pub fn set_share(&mut self, now: Now, share: &Share) {
        self.refill(now);
        self.share = Some((share.requests_per_s, now + SHARE_VALIDITY));
    }

    /// Counts a request; false if it is above the host's share.
    #[must_use]
    pub fn admit(&mut self, now: Now) -> bool {
        self.last_request = now;
        self.counted += 1;
        self.refill(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Time after which a request may be admitted again.
    #[must_use]
    pub fn retry_after(&self, now: Now) -> Duration {
        let rate = self.rate(now).max(1e-3);
        Duration::from_secs_f64(((1.0 - self.tokens) / rate).max(0.0))
    }

    /// The demand to report, if it is time for it. A host reports its first request at once.
    pub fn report(&mut self, now: Now, team: &TeamId) -> Option<Demand> {
        if now < self.next_report || self.is_idle(now) {
            return None;
        }
        self.next_report = now + REPORT_INTERVAL;
        self.measure(now);
        let share = self.valid_share(now);
        Some(Demand {
            team: team.clone(),
            requests_per_s: self.demand_per_s,
            share_per_s: share.unwrap_or(0.0),
        })
    }

    /// Whether the meter can be dropped.
    #[must_use]
    pub fn is_idle(&self, now: Now) -> bool {
        now >= self.last_request + IDLE
    }

    /// Whether the host's share has expired since the last call, so that it falls back to its
    /// even part of the limit.
    pub fn expire_share(&mut self, now: Now) -> bool {
        let expired = self.share.is_some() && self.valid_share(now).is_none();
        if expired {
            self.refill(now);
            self.share = None;
        }
        expired
    }

    fn measure(&mut self, now: Now) {
        let window_s = now.saturating_sub(self.counted_since).as_secs_f64();
        if window_s <= 0.0 {
            // The first request: its host has no rate yet but needs a share.
            self.demand_per_s = self.even_share();
            return;
        }
        let rate = f64::from(self.counted) / window_s;
        let gain = 1.0 - (-window_s / DEMAND_SMOOTHING_S).exp();
        self.demand_per_s += gain * (rate - self.demand_per_s);
        self.counted = 0;
        self.counted_since = now;
    }

    fn refill(&mut self, now: Now) {
        let gained = self.gained(now);
        self.tokens = (self.tokens + gained).min(self.burst(now).max(1.0));
        self.filled_at = now;
    }

    /// Tokens since the last refill; a share counts until it expires, the even part after it.
    fn gained(&self, now: Now) -> f64 {
        let until = |at: Now| at.saturating_sub(self.filled_at).as_secs_f64();
        match self.share {
            Some((rate, expires)) if expires > self.filled_at => {
                let with_share = until(expires.min(now));
                rate * with_share + self.even_share() * (until(now) - with_share)
            }
            _ => self.even_share() * until(now),
        }
    }

    fn burst(&self, now: Now) -> f64 {
        self.rate(now) * BURST.as_secs_f64()
    }

    fn rate(&self, now: Now) -> f64 {
        self.valid_share(now).unwrap_or(self.even_share())
    }

    fn valid_share(&self, now: Now) -> Option<f64> {
        let (rate, expires) = self.share?;
        (now < expires).then_some(rate)
    }

    fn even_share(&self) -> f64 {
        self.limit_per_s / self.hosts as f64
    }
}
