//! Settings of the queue in front of an upstream.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::config::{Config, Service};
use crate::types::{ServiceId, TeamId};

/// Longest predicted wait of short work. The first token is due within 0.61 s,
/// network and prefill included.
const MAX_WAIT: Duration = Duration::from_millis(500);

/// Settings of the queue in front of an upstream.
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
    /// A builder with the defaults of [`Service`].
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

    /// The policy that a configuration gives to the upstreams of a service.
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

    /// Requests that the upstream runs at once.
    #[must_use]
    pub fn concurrency(&self) -> usize {
        self.concurrency
    }

    /// Tokens from which work counts as long.
    #[must_use]
    pub fn long_tokens(&self) -> u32 {
        self.long_tokens
    }

    /// Long requests that run with a slot of their own.
    #[must_use]
    pub fn long_limit(&self) -> usize {
        (self.concurrency * usize::from(self.long_share_percent) / 100).max(1)
    }

    /// Free slots that long work beyond its limit leaves to short work.
    #[must_use]
    pub fn slots_kept_for_short(&self) -> usize {
        self.concurrency / 8
    }

    /// Longest predicted wait of work that is queued; long work may wait longer.
    #[must_use]
    pub fn max_wait(&self) -> Duration {
        self.max_wait
    }

    /// Requests that wait at most.
    #[must_use]
    pub fn max_queued(&self) -> usize {
        self.max_queued
    }

    /// Weight of a team's fair share.
    #[must_use]
    pub fn weight(&self, team: &TeamId) -> f64 {
        self.weights
            .get(team)
            .map_or(1.0, |w| f64::from((*w).max(1)))
    }
}

/// Builder of a [`Policy`].
#[derive(Clone, Debug)]
pub struct PolicyBuilder {
    policy: Policy,
}

impl PolicyBuilder {
    /// Sets the requests that the upstream runs at once.
    #[must_use]
    pub fn concurrency(mut self, requests: usize) -> Self {
        self.policy.concurrency = requests.max(1);
        self
    }

    /// Sets the tokens from which work counts as long.
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

    /// Sets the longest predicted wait of work that is queued.
    #[must_use]
    pub fn max_wait(mut self, wait: Duration) -> Self {
        self.policy.max_wait = wait;
        self
    }

    /// Sets the requests that wait at most.
    #[must_use]
    pub fn max_queued(mut self, requests: usize) -> Self {
        self.policy.max_queued = requests;
        self
    }

    /// Sets the weights of the teams' fair shares; a team without one weighs 1.
    #[must_use]
    pub fn weights(mut self, weights: BTreeMap<TeamId, u32>) -> Self {
        self.policy.weights = weights;
        self
    }

    /// The finished policy.
    #[must_use]
    pub fn build(self) -> Policy {
        self.policy
    }
}
