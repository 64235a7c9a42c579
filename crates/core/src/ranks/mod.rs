//! Expert maps of groups whose ranks take orders over the network and may carry them out late.
//!
//! The ranks of a group run each pass together, so a pass lasts as long as the most loaded rank.
//! One process beside the ranks leads: it collects how often each expert was chosen, plans a map
//! that evens out the ranks' work, and rolls it out. Ranks split an expert's tokens evenly among
//! the ranks that hold it, don't compare maps, and may carry out an order up to
//! [`MAX_ORDER_DELAY`] after it was sent, after newer ones.
//!
//! [`Rollout`] keeps all ranks on one map at each pass under these conditions, with any number of
//! processes that lead at the same time; its documentation says why.

mod balance;
mod demand;
mod leader;
mod map;
mod rollout;

#[cfg(test)]
mod tests;

use std::time::Duration;

pub use balance::{MapPlan, PlanLimits, plan};
pub use leader::{Input, Leader, LeaderEvent, LeaderSettings, Output, ReadScope, order_name};
pub use map::{GroupMap, SetMap};
pub use rollout::{Order, OrderResult, RankOrder, Rollout, RolloutOutcome, RolloutParams};

use crate::types::Now;

/// Longest time after which an order without an answer may still be carried out.
pub const MAX_ORDER_DELAY: Duration = Duration::from_secs(12);

/// Distance of two versions of one process. Versions of different processes differ in the rest.
const VERSION_STEP: MapVersion = 1_024;
/// Added to the rest of a version that is only prepared, so that lower ones become impossible,
/// and never armed. Groups have fewer ranks than this.
const NEVER_ARMED: MapVersion = 512;

/// Rank whose process made a version in order to arm it, if it is such a version.
fn owner(version: MapVersion) -> Option<RankIndex> {
    let rest = version % VERSION_STEP;
    (rest < NEVER_ARMED).then(|| usize::try_from(rest).unwrap_or(usize::MAX))
}

/// Position of a rank in its group, from 0.
pub type RankIndex = usize;
/// Index of an expert in its set, from 0.
pub type Expert = usize;
/// Pass of a group; all ranks run one together.
pub type Pass = u64;
/// Version of a map; a rank takes only higher ones.
pub type MapVersion = u64;
/// Life of a group; a new one begins with map 0 and nothing prepared, armed or held.
pub type GroupEpoch = u64;

/// What a rank says about itself.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RankView {
    /// Name of its group.
    pub group: String,
    /// Its position.
    pub rank: RankIndex,
    /// Ranks of the group.
    pub size: usize,
    /// Life of the group.
    pub epoch: GroupEpoch,
    /// The group runs passes.
    pub open: bool,
    /// The last pass that was begun.
    pub pass: Pass,
    /// Version of the map in use.
    pub map: MapVersion,
    /// Version whose experts are all loaded.
    pub prepared: Option<MapVersion>,
    /// Version that takes effect as a pass begins.
    pub armed: Option<(MapVersion, Pass)>,
    /// Pass that does not begin until it is released.
    pub held: Option<Pass>,
    /// Requests that the rank runs.
    pub active: u32,
    /// Time that the rank takes for its work against a sound one; 1 if it is sound.
    pub pace: f64,
}

/// A rank's view and when it was asked for.
#[derive(Clone, Debug, PartialEq)]
pub struct Seen {
    /// View.
    pub view: RankView,
    /// When it was asked for.
    pub at: Now,
}
