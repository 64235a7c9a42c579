//! Expert placement for groups whose ranks accept orders over the network and may execute them
//! late.
//!
//! The ranks of a group run every pass together, so a pass takes as long as its busiest rank. Each
//! rank has a sidecar, a process beside its engine. One of the sidecars leads: it collects how
//! often each expert was selected, plans a map that balances the ranks' work, and rolls it out.
//! Experts are numbered and placed per set, a number of layers that share one placement. Ranks
//! split an expert's tokens equally among the ranks that hold it, do not compare their maps, and
//! may execute an order up to [`MAX_ORDER_DELAY`] after it was sent, even after newer orders.
//!
//! [`Rollout`] keeps all ranks on the same map in every pass under these conditions, with any
//! number of simultaneous leaders; the module documentation of `rollout` gives the argument.

mod balance;
pub mod counts;
mod demand;
mod leader;
mod map;
pub mod overlay;
pub mod reads;
mod rollout;

#[cfg(test)]
mod tests;

use std::time::Duration;

pub use balance::{MapPlan, PlanLimits, plan};
pub use leader::{Input, Leader, LeaderEvent, LeaderSettings, Output, ReadScope, order_name};
pub use map::{GroupMap, KnownMaps, MapChange, SetMap};
pub use rollout::{Order, OrderResult, RankOrder, Rollout, RolloutOutcome, RolloutParams};

use crate::types::Now;

/// Time after sending within which a rank may still execute an order that it has not answered.
pub const MAX_ORDER_DELAY: Duration = Duration::from_secs(12);

/// Step between successive versions of one sidecar. The remainder distinguishes the sidecars.
const VERSION_STRIDE: MapVersion = 1_024;
/// Added to the remainder of a version that is prepared only to invalidate lower ones and is never
/// armed. Larger than the number of ranks in any group.
const UNARMED_OFFSET: MapVersion = 512;

/// Rank whose sidecar created the version; `None` for a version that is never armed.
fn version_owner(version: MapVersion) -> Option<RankIndex> {
    let remainder = version % VERSION_STRIDE;
    (remainder < UNARMED_OFFSET).then(|| usize::try_from(remainder).unwrap_or(usize::MAX))
}

/// Rank at which the sidecar of `owner` holds passes in a group of `size` ranks.
///
/// It is another one than its own, so that a pass can be released while the machine of `owner` is
/// unreachable. Each rank is the holder of one sidecar only, so that a held pass has one owner.
fn holder_of(owner: RankIndex, size: usize) -> RankIndex {
    (owner + 1) % size.max(1)
}

/// Rank whose sidecar holds passes at `holder`; the inverse of [`holder_of`].
fn owner_of_hold(holder: RankIndex, size: usize) -> RankIndex {
    (holder + size.saturating_sub(1)) % size.max(1)
}

/// Zero-based position of a rank in its group.
pub type RankIndex = usize;
/// Zero-based index of an expert in its set.
pub type Expert = usize;
/// Number of a forward pass, which all ranks of a group run together.
pub type Pass = u64;
/// Version of a map. A rank prepares a version only if it is higher than all it had before.
pub type MapVersion = u64;
/// Number of a group's incarnation. A new one starts with map 0 and with nothing prepared, armed or
/// held.
pub type GroupEpoch = u64;

/// State of a rank as its engine reports it.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RankView {
    /// Name of the group that the rank belongs to.
    pub group: String,
    /// Position of the rank in the group.
    pub rank: RankIndex,
    /// Number of ranks in the group.
    pub size: usize,
    /// Incarnation of the group that the rank belongs to.
    pub epoch: GroupEpoch,
    /// Whether all ranks have joined, so that the group runs passes.
    pub open: bool,
    /// Last pass that has begun; 0 before the first.
    pub pass: Pass,
    /// Version of the map in use; 0 for the initial map.
    pub map: MapVersion,
    /// Version whose experts are all loaded, if it is not in use yet.
    pub prepared: Option<MapVersion>,
    /// Version that takes effect when the given pass begins.
    pub armed: Option<(MapVersion, Pass)>,
    /// Pass that the group may not begin until it is released.
    pub held: Option<Pass>,
    /// Number of requests that the rank is running.
    pub active: u32,
    /// Time that the rank needs for its work, relative to a healthy one; 1 if it is healthy.
    pub pace: f64,
}

/// A rank's reported state with the time of the read.
#[derive(Clone, Debug, PartialEq)]
pub struct Observation {
    /// State that the read returned.
    pub view: RankView,
    /// When the read was sent; the state is not older than that.
    pub requested_at: Now,
}
