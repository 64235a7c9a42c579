//! The planner's side of a group: holds the lease, gathers reports, plans maps
//! and drives their switch.
//!
//! Any process of the group can run a [`GroupPlanner`]; only the one that holds
//! the lease sends anything to the ranks. The lease is judged anew at each
//! input, before any message is put out.

mod machine;
mod measured;

#[cfg(test)]
mod tests;

use std::time::Duration;

pub use machine::GroupPlanner;

use super::lease::LeaseSettings;
use super::map::{LayerMap, RankId};
use super::planner::PlannerSettings;
use super::switch::Envelope;
use crate::event::Event;
use crate::platform::{Call, CallId, Reply};
use crate::types::{GroupId, Incarnation, Now};

/// Settings of a planner.
#[derive(Clone, Debug)]
pub struct CoordinatorSettings {
    /// Group.
    pub group: GroupId,
    /// Rank next to which the process runs.
    pub rank: RankId,
    /// Ranks of the group.
    pub ranks: u32,
    /// Life of the process.
    pub incarnation: Incarnation,
    /// Lease.
    pub lease: LeaseSettings,
    /// Time between two polls of the ranks.
    pub poll_every: Duration,
    /// Time after which an unanswered message is sent again.
    pub retry_every: Duration,
    /// Time that loading weights for one switch may take.
    pub prepare_timeout: Duration,
    /// Time that acknowledging a switch step may take.
    pub propose_timeout: Duration,
    /// Steps between the latest known step and the switch step.
    pub margin_steps: u64,
    /// How maps are planned.
    pub planner: PlannerSettings,
}

/// What the planner is told.
#[derive(Clone, Debug)]
pub enum Input {
    /// The process started.
    Start,
    /// A message of a rank arrived.
    Message(Envelope),
    /// The platform answered.
    Platform(CallId, Reply),
    /// Switch to these layers when the group is settled, instead of a planned map.
    Target(Vec<LayerMap>),
    /// A timer that was set has fired.
    Timer(Timer),
}

/// What the driver shall do.
#[derive(Clone, Debug)]
pub enum Output {
    /// Send to the process next to a rank, which may be the own one.
    Send {
        /// Receiver.
        to: RankId,
        /// Message.
        envelope: Envelope,
    },
    /// Call the platform.
    Platform(CallId, Call),
    /// Call back at a time.
    SetTimer {
        /// When.
        at: Now,
        /// With what.
        timer: Timer,
    },
    /// Keep an event.
    Event(Event),
}

/// Timers of the planner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// Renew the lease, poll, and send again what was not answered.
    Tick,
}
