//! Types of the configuration.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::types::{GroupId, Revision, ServiceId, TeamId, WorkClass};

/// The whole configuration at one revision.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Revision, which only grows.
    pub revision: Revision,
    /// Services by name.
    pub services: BTreeMap<ServiceId, Service>,
    /// Teams by name.
    pub teams: BTreeMap<TeamId, Team>,
    /// Expert-parallel model groups by name.
    pub groups: BTreeMap<GroupId, Group>,
}

/// One operator's file: a part of the configuration.
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

/// What stands behind a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Model engines that stream tokens.
    #[default]
    Model,
    /// A plain HTTP service.
    Plain,
}

/// Calls of a plain service that may be run again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct IdempotentCall {
    /// HTTP method, upper case.
    pub method: String,
    /// Prefix of the path after the service's name.
    pub path_prefix: String,
}

/// A service and how its requests are treated.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Service {
    /// What stands behind it.
    pub kind: ServiceKind,
    /// Calls that may be run again, besides GET, HEAD and OPTIONS. Model services may always be.
    pub idempotent: Vec<IdempotentCall>,
    /// Deadline of a request that names none, in milliseconds.
    pub default_deadline_ms: u64,
    /// Team of a request that names none.
    pub default_team: Option<TeamId>,
    /// Requests that one upstream runs at once.
    pub concurrency: u32,
    /// Tokens after which a draft counts as long.
    pub long_tokens: u32,
    /// Share of an upstream's concurrency that long work may hold, in percent.
    pub long_share_percent: u8,
    /// Fewest upstreams that placement leaves to the service.
    pub floor: u32,
    /// How long an idempotency key is remembered, in seconds.
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
    /// Deadline of a request that names none.
    #[must_use]
    pub fn default_deadline(&self) -> Duration {
        Duration::from_millis(self.default_deadline_ms)
    }

    /// Whether a call may be run again. `path` starts after the service's name, with a slash.
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

/// A team and its share.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Team {
    /// Weight of the team's fair share.
    pub weight: u32,
    /// Most requests a second over all entry hosts; none means no limit.
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

/// An expert-parallel model group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// Service that the group serves.
    pub service: ServiceId,
    /// Ranks that run in lock-step.
    pub ranks: u32,
    /// Layers with experts.
    pub layers: u32,
    /// Experts in each layer.
    pub experts_per_layer: u32,
    /// Expert slots on each rank and layer, spare slots included.
    pub slots_per_rank: u32,
    /// Size of one expert's weights, in bytes.
    pub expert_bytes: u64,
}
