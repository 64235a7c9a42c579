//! Which upstreams load which model, version and adapter, or change role
//! between prefill and decode.
//!
//! Needs are told in upstreams' worth of work. An upstream changes its duty only
//! when a lack lasted for a while, when its present duty has more than it needs
//! by a margin, and when few changes are under way. A change of role comes
//! before a change of model, since it loads nothing.

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

/// Part of the work that an upstream does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Prompts and tokens.
    #[default]
    Both,
    /// Prompts only.
    Prefill,
    /// Tokens only.
    Decode,
}

/// What an upstream serves.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Duty {
    /// Service, which names the model.
    pub service: ServiceId,
    /// Role.
    pub role: Role,
}

/// What a duty needs.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Need {
    /// Work, in upstreams that it would fill.
    pub upstreams: f64,
    /// Fewest ready upstreams that the duty keeps.
    pub floor: u32,
    /// Version that its upstreams shall have.
    pub version: ModelVersion,
}

/// An upstream as it is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Present {
    /// What it serves or is changing to.
    pub duty: Duty,
    /// Version that it has or is loading.
    pub version: ModelVersion,
    /// Whether it serves; false while it loads or is leaving.
    pub ready: bool,
    /// Whether a change is under way.
    pub changing: bool,
}

/// A change that an upstream shall make.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Upstream.
    pub host: HostId,
    /// New duty, which may be the present one.
    pub duty: Duty,
    /// New version, which may be the present one.
    pub version: ModelVersion,
}

/// Settings of a placement.
#[derive(Clone, Debug)]
pub struct PlacementSettings {
    /// Time for which a lack must last.
    pub hold: Duration,
    /// Upstreams' worth by which a duty must exceed its need to give one away.
    pub margin: f64,
    /// Largest part of all upstreams that change at once; one always may.
    pub churn: f64,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        Self {
            hold: Duration::from_secs(30),
            margin: 0.25,
            churn: 0.05,
        }
    }
}

/// Needs by duty.
pub type Needs = BTreeMap<Duty, Need>;
/// Upstreams by host.
pub type Upstreams = BTreeMap<HostId, Present>;
