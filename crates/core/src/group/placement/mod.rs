//! Placement of models, versions, adapters and roles on upstreams.
//!
//! Capacity is measured as a number of fully used upstreams. An upstream changes its assignment
//! only if a shortage elsewhere has lasted for a minimum time, its present assignment has more than
//! it needs by a margin, and few changes are in progress. A change of role is preferred to a change
//! of model, since it loads no weights.

mod adapters;
mod plan;

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

pub use adapters::{AdapterChange, AdapterHost, AdapterId, plan_adapters};
pub use plan::Placement;

use crate::types::{HostId, ServiceId};

/// Version of a model's weights.
pub type ModelVersion = u64;

/// Phases of requests that an upstream runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Prefill and decode.
    #[default]
    Both,
    /// Prefill only: processes prompts.
    Prefill,
    /// Decode only: generates tokens.
    Decode,
}

/// Service and role that an upstream is assigned to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Assignment {
    /// Service, which determines the model.
    pub service: ServiceId,
    /// Phases that the upstream runs for the service.
    pub role: Role,
}

/// Capacity that an assignment needs.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CapacityTarget {
    /// Demand, as a number of fully used upstreams.
    pub upstreams: f64,
    /// Minimum number of ready upstreams that the assignment keeps.
    #[serde(rename = "floor")]
    pub min_ready: u32,
    /// Version of the weights that its upstreams should have.
    pub version: ModelVersion,
}

/// Current state of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamState {
    /// Assignment that it serves or is changing to.
    #[serde(rename = "duty")]
    pub assignment: Assignment,
    /// Version that is loaded or being loaded.
    pub version: ModelVersion,
    /// Whether it serves requests; false while it loads or is leaving.
    pub ready: bool,
    /// Whether a change is in progress.
    pub changing: bool,
}

/// Instruction for an upstream to change its assignment or version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamChange {
    /// Host of the upstream.
    pub host: HostId,
    /// New assignment, which may be the current one.
    #[serde(rename = "duty")]
    pub assignment: Assignment,
    /// New version, which may be the current one.
    pub version: ModelVersion,
}

/// Settings of a placement.
#[derive(Clone, Debug)]
pub struct PlacementSettings {
    /// Time for which a shortage must last before upstreams are moved.
    pub min_shortage_duration: Duration,
    /// Capacity by which an assignment must exceed its demand to give an upstream away, in
    /// upstreams.
    pub donor_margin_upstreams: f64,
    /// Maximum fraction of all upstreams that change at once; one change is always allowed.
    pub max_changing_share: f64,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        Self {
            min_shortage_duration: Duration::from_secs(30),
            donor_margin_upstreams: 0.25,
            max_changing_share: 0.05,
        }
    }
}

/// Required capacity by assignment.
pub type CapacityTargets = BTreeMap<Assignment, CapacityTarget>;
/// State of each upstream, by host.
pub type Upstreams = BTreeMap<HostId, UpstreamState>;
