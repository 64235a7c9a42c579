//! Data model of the configuration, which is also its JSON form.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::types::{GroupId, Revision, ServiceId, TeamId, WorkClass};

/// The whole configuration at one revision.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Increases with every publication; 0 before the first one.
    pub revision: Revision,
    /// Services by name.
    pub services: BTreeMap<ServiceId, Service>,
    /// Teams by name.
    pub teams: BTreeMap<TeamId, Team>,
    /// Expert-parallel model groups by name.
    pub groups: BTreeMap<GroupId, Group>,
}

/// Part of a configuration: one operator's file, or the content of one shard.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fragment {
    /// Services by name.
    pub services: BTreeMap<ServiceId, Service>,
    /// Teams by name.
    pub teams: BTreeMap<TeamId, Team>,
    /// Expert-parallel model groups by name.
    pub groups: BTreeMap<GroupId, Group>,
}

/// Protocol of a service's back ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Model engines that stream tokens.
    #[default]
    Model,
    /// HTTP servers whose responses are passed through.
    Plain,
}

/// Calls of a plain service that may be retried, given by method and path.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct IdempotentCall {
    /// HTTP method in upper case; it is compared exactly.
    pub method: String,
    /// Prefix of the path after the service's name, starting with a slash.
    pub path_prefix: String,
}

/// Settings of a service. Omitted fields have the values of [`Service::default`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Service {
    /// Protocol of its back ends; model engines by default.
    pub kind: ServiceKind,
    /// Calls that may be retried, in addition to GET, HEAD and OPTIONS. Calls of model services are
    /// always idempotent.
    pub idempotent: Vec<IdempotentCall>,
    /// Deadline of a request that doesn't specify one, in milliseconds.
    pub default_deadline_ms: u64,
    /// Team of a request that doesn't specify one.
    pub default_team: Option<TeamId>,
    /// Requests that one upstream runs concurrently; at least 1.
    pub concurrency: u32,
    /// Number of tokens from which a request counts as long; at least 1.
    pub long_tokens: u32,
    /// Percentage of an upstream's concurrency that long requests may hold, 1 to 100.
    pub long_share_percent: u8,
    /// Minimum number of upstreams that placement assigns to the service.
    pub floor: u32,
    /// Time for which an idempotency key is remembered, in seconds.
    pub key_lifetime_s: u64,
}

impl Default for Service {
    fn default() -> Self {
        Self {
            kind: ServiceKind::Model,
            idempotent: Vec::new(),
            default_deadline_ms: 30_000,
            default_team: None,
            concurrency: 16,
            long_tokens: 512,
            long_share_percent: 50,
            floor: 1,
            key_lifetime_s: 600,
        }
    }
}

impl Service {
    /// [`Self::default_deadline_ms`] as a duration.
    #[must_use]
    pub fn default_deadline(&self) -> Duration {
        Duration::from_millis(self.default_deadline_ms)
    }

    /// Returns whether a call is idempotent. `path` is the part after the service's name and starts
    /// with a slash.
    #[must_use]
    pub fn class_of(&self, method: &str, path: &str) -> WorkClass {
        let safe = matches!(method, "GET" | "HEAD" | "OPTIONS");
        let listed = self
            .idempotent
            .iter()
            .any(|c| c.method == method && path.starts_with(&c.path_prefix));
        if self.kind == ServiceKind::Model || safe || listed {
            WorkClass::Idempotent
        } else {
            WorkClass::NonIdempotent
        }
    }
}

/// Settings of a team. Omitted fields have the values of [`Team::default`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Team {
    /// Weight of the team's fair share of an upstream; at least 1.
    pub weight: u32,
    /// Limit in requests per second over all entry hosts; `None` means no limit.
    pub requests_per_s: Option<f64>,
}

impl Default for Team {
    fn default() -> Self {
        Self {
            weight: 1,
            requests_per_s: None,
        }
    }
}

/// An expert-parallel model group: ranks that run one model together.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// Name of the service whose requests the group runs.
    pub service: ServiceId,
    /// Number of ranks, which run in lock-step.
    pub ranks: u32,
    /// Number of model layers that have experts.
    pub layers: u32,
    /// Number of experts in each of these layers.
    pub experts_per_layer: u32,
    /// Expert slots per rank and layer, including spare slots for replicas.
    pub slots_per_rank: u32,
    /// Size of the weights of one expert, in bytes.
    pub expert_bytes: u64,
}
