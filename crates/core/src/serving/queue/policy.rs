//! Settings of an upstream's queue.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::config::{Config, Service};
use crate::types::{ServiceId, TeamId};

/// Maximum predicted wait of short work. The first token is due within 0.61 s, including network
/// and prefill.
const MAX_WAIT: Duration = Duration::from_millis(500);

/// Settings of an upstream's queue: concurrency, long work, waits and team weights.
#[derive(Clone, Debug, PartialEq)]
pub struct Policy {
    concurrency: usize,
    long_tokens: u32,
    long_share_percent: u8,
    max_wait: Duration,
    max_queued: usize,
    weights: BTreeMap<TeamId, u32>,
}

impl Policy {
    /// Returns a builder with the defaults of [`Service`].
    #[must_use]
    pub fn builder() -> PolicyBuilder {
        let service = Service::default();
        PolicyBuilder {
            policy: Self {
                concurrency: service.concurrency as usize,
                long_tokens: service.long_tokens,
                long_share_percent: service.long_share_percent,
                max_wait: MAX_WAIT,
                max_queued: 1_024,
                weights: BTreeMap::new(),
            },
        }
    }

    /// Returns the policy for the upstreams of a service, with the defaults if it isn't configured.
    #[must_use]
    pub fn of_service(cfg: &Config, service: &ServiceId) -> Self {
        let settings = cfg.services.get(service).cloned().unwrap_or_default();
        let weights = cfg.teams.iter().map(|(id, t)| (id.clone(), t.weight));
        Self::builder()
            .concurrency(settings.concurrency as usize)
            .long_tokens(settings.long_tokens)
            .long_share_percent(settings.long_share_percent)
            .weights(weights.collect())
            .build()
    }

    /// Requests that the upstream runs concurrently; at least 1.
    #[must_use]
    pub fn concurrency(&self) -> usize {
        self.concurrency
    }

    /// Number of tokens from which work counts as long; at least 1.
    #[must_use]
    pub fn long_tokens(&self) -> u32 {
        self.long_tokens
    }

    /// Slots that long requests may hold, at least 1; long requests beyond it borrow free slots.
    #[must_use]
    pub fn long_limit(&self) -> usize {
        (self.concurrency * usize::from(self.long_share_percent) / 100).max(1)
    }

    /// Free slots that long requests beyond [`Self::long_limit`] leave to short ones.
    #[must_use]
    pub fn slots_kept_for_short(&self) -> usize {
        self.concurrency / 8
    }

    /// Maximum predicted wait of short work that is queued; long work may wait longer.
    #[must_use]
    pub fn max_wait(&self) -> Duration {
        self.max_wait
    }

    /// Maximum number of queued requests.
    #[must_use]
    pub fn max_queued(&self) -> usize {
        self.max_queued
    }

    /// Weight of a team's fair share; 1 for a team without one.
    #[must_use]
    pub fn weight(&self, team: &TeamId) -> f64 {
        self.weights
            .get(team)
            .map_or(1.0, |w| f64::from((*w).max(1)))
    }
}

/// Builder of a [`Policy`]; out-of-range values are clamped.
#[derive(Clone, Debug)]
pub struct PolicyBuilder {
    policy: Policy,
}

impl PolicyBuilder {
    /// Sets the requests that the upstream runs concurrently.
    #[must_use]
    pub fn concurrency(mut self, requests: usize) -> Self {
        self.policy.concurrency = requests.max(1);
        self
    }

    /// Sets the number of tokens from which work counts as long.
    #[must_use]
    pub fn long_tokens(mut self, tokens: u32) -> Self {
        self.policy.long_tokens = tokens.max(1);
        self
    }

    /// Sets the share of the concurrency that long work may hold, in percent.
    #[must_use]
    pub fn long_share_percent(mut self, percent: u8) -> Self {
        self.policy.long_share_percent = percent.clamp(1, 100);
        self
    }

    /// Sets the maximum predicted wait of short work that is queued.
    #[must_use]
    pub fn max_wait(mut self, wait: Duration) -> Self {
        self.policy.max_wait = wait;
        self
    }

    /// Sets the maximum number of queued requests.
    #[must_use]
    pub fn max_queued(mut self, requests: usize) -> Self {
        self.policy.max_queued = requests;
        self
    }

    /// Sets the weights of the teams' fair shares; the weight of a team without one is 1.
    #[must_use]
    pub fn weights(mut self, weights: BTreeMap<TeamId, u32>) -> Self {
        self.policy.weights = weights;
        self
    }

    /// Returns the policy.
    #[must_use]
    pub fn build(self) -> Policy {
        self.policy
    }
}
