//! Planner of a group: holds the lease, collects reports, plans maps and drives map switches.
//!
//! Any process of the group can run a [`GroupPlanner`], but only the lease holder sends messages to
//! the ranks. Each input checks the lease again before any message is sent.

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
    /// Group that is planned.
    pub group: GroupId,
    /// Rank that this process runs next to.
    pub rank: RankId,
    /// Number of ranks in the group.
    pub ranks: u32,
    /// Incarnation of this process.
    pub incarnation: Incarnation,
    /// Settings of the planner's lease.
    pub lease: LeaseSettings,
    /// Time from a complete set of reports to the next poll of the ranks.
    pub poll_every: Duration,
    /// Interval of the timer, and time after which an unanswered message is sent again.
    pub retry_every: Duration,
    /// Time limit for all ranks to load the weights of a new map.
    pub prepare_timeout: Duration,
    /// Time limit for all ranks to acknowledge the switch step.
    pub propose_timeout: Duration,
    /// Steps between the latest known step and the switch step; 0 counts as 1. It doubles
    /// temporarily when a rank has already passed the switch step.
    pub margin_steps: u64,
    /// Settings of map planning.
    pub planner: PlannerSettings,
}

/// Inputs of the planner.
#[derive(Clone, Debug)]
pub enum Input {
    /// The process started.
    Start,
    /// A message from a rank arrived.
    Message(Envelope),
    /// Reply to a call from [`Output::Platform`].
    Platform(CallId, Reply),
    /// Switch to these layers once the group is settled, in place of a planned map.
    Target(Vec<LayerMap>),
    /// A timer requested by [`Output::SetTimer`] fired.
    Timer(Timer),
}

/// Actions for the driver.
#[derive(Clone, Debug)]
pub enum Output {
    /// Send a message to the process of a rank, which may be this process.
    Send {
        /// Rank of the receiver.
        to: RankId,
        /// Message with its sender.
        envelope: Envelope,
    },
    /// Call the platform; the reply is passed as [`Input::Platform`] with the same identifier.
    Platform(CallId, Call),
    /// Pass [`Input::Timer`] at a time.
    SetTimer {
        /// When the timer fires, on the clock of `now`.
        at: Now,
        /// Timer that is passed back.
        timer: Timer,
    },
    /// Record an event.
    Event(Event),
}

/// Timers of the planner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// Renew the lease, poll the ranks, and resend unanswered messages.
    Tick,
}
