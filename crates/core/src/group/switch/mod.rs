//! Two-phase switch of expert maps, where the decision is stored only on the ranks.
//!
//! [`GroupRank`] runs next to each rank's engine. It loads the weights of a proposed map, arms the
//! engine for the switch step, and passes the decision on. Without a decision the engine holds that
//! step, and the process asks the other ranks for the outcome: the attempt is committed if one of
//! them has committed it, and aborted if all of them pledge not to commit it.
//! `docs/notes/map-switch.md` describes the protocol and proves it.
//!
//! A restarted process relies only on the state of its engine. An engine serves one process at a
//! time: its reports to a restarted process are ordered after every order of an earlier
//! incarnation. When an engine loses its state, the driver creates a new machine with a higher
//! incarnation.

mod engine;
mod messages;
mod orders;
mod rank;
mod resolve;
mod start;

#[cfg(test)]
mod tests;

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

pub use messages::{
    Envelope, Message, Outcome, RankReport, RankState, RefusalReason, Sender, View,
};
pub use rank::{GroupRank, RankSettings};

use super::map::{Attempt, ExpertMap, FenceNumber, MapChange, MapId, RankId, Step, WeightId};
use crate::event::Event;
use crate::platform::{Call, CallId, Reply};
use crate::types::Now;

/// A map that the engine is armed to switch to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Armed {
    /// Identity of the new map.
    pub id: MapId,
    /// First step with the new map, if the attempt is committed.
    pub step: Step,
    /// Difference from the present map.
    pub change: MapChange,
    /// Whether the engine received the commit.
    pub committed: bool,
}

/// State of an engine, which survives a restart of the process next to it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineState {
    /// Present map; none in an engine that has just started.
    pub map: Option<ExpertMap>,
    /// Next step that the engine will start.
    pub step: Step,
    /// Map that the engine is armed for.
    pub armed: Option<Armed>,
    /// Latest attempt that was aborted; zeros if there was none.
    pub aborted: Attempt,
    /// Weights in the engine's memory.
    pub loaded: BTreeSet<WeightId>,
    /// Highest fencing number that the engine accepted; none if it doesn't check them.
    pub highest_fence: Option<FenceNumber>,
}

/// An order to the engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number of the planner, or the highest number seen if the order is the rank's own.
    /// None only if the engine ignores numbers and the process doesn't know the number yet.
    pub fence: Option<FenceNumber>,
    /// Action that the engine must take.
    pub action: Action,
}

/// Actions of an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Load a weight from the store, beside the present map.
    Load(WeightId),
    /// Drop weights that neither the present map nor an armed one uses.
    Trim,
    /// Don't start the switch step or a later one before the attempt is decided. Refused if the
    /// switch step was already started.
    Arm(Armed),
    /// Use the armed map from its switch step on.
    Commit(Attempt),
    /// Discard the armed map and continue with the present one.
    Abort(Attempt),
    /// Install a map in an engine without one.
    Install {
        /// Present map of the group.
        map: ExpertMap,
        /// Map that other ranks have committed but not switched to yet.
        next: Option<Armed>,
    },
}

/// Events from the engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineEvent {
    /// Reply to [`Output::ReadEngine`].
    State(EngineState),
    /// A weight was loaded.
    Loaded(WeightId),
    /// The engine is armed for this attempt.
    Armed(Attempt),
    /// The engine is not armed, since it has already started the switch step.
    ArmRefused(Attempt),
    /// The engine accepted a decision.
    Decided {
        /// Attempt that was decided.
        attempt: Attempt,
        /// True for a commit, false for an abort.
        commit: bool,
    },
    /// The engine reached the switch step without a decision and holds it.
    Held(Attempt),
    /// The engine started the first step with the new map.
    Switched(Attempt),
    /// The engine accepted the installed map.
    Installed,
    /// The engine refused an order because of its fencing number.
    FenceRefused {
        /// Highest number that the engine accepted.
        highest: FenceNumber,
    },
    /// Measurements since the last report.
    Measured(RankReport),
}

/// Inputs of the machine.
#[derive(Clone, Debug)]
pub enum Input {
    /// The process started.
    Start,
    /// An event from the engine arrived.
    Engine(EngineEvent),
    /// A message from another rank or from a planner arrived.
    Message(Envelope),
    /// Reply to a call from [`Output::Platform`].
    Platform(CallId, Reply),
    /// The rate limiter of the weight store granted a load from [`Output::RequestLoad`].
    LoadGranted(WeightId),
    /// A timer requested by [`Output::SetTimer`] fired.
    Timer(Timer),
}

/// Actions for the driver.
#[derive(Clone, Debug)]
pub enum Output {
    /// Request the engine's state; [`EngineEvent::State`] follows.
    ReadEngine,
    /// Pass an order to the engine.
    Engine(Order),
    /// Request a load from the rate limiter of the weight store; [`Input::LoadGranted`] follows.
    RequestLoad {
        /// Weight to load.
        weight: WeightId,
        /// Whether the group waits for it.
        urgent: bool,
    },
    /// Cancel all requested loads that were not granted.
    CancelLoads,
    /// Send a message to the process of a rank.
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

/// Timers of the machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// Resend unanswered messages.
    Retry,
}
