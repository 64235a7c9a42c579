//! Two-phase switch of expert maps, with the decision held only on the ranks.
//!
//! [`GroupRank`] runs next to each rank's engine. It loads the weights of a
//! proposed map, arms the engine at the switch step, and passes the decision
//! on. Without a decision the engine holds that step, and the process asks the
//! other ranks: one that has committed settles it, and so do pledges of all of
//! them to abort. `docs/notes/map-switch.md` has the protocol and its proof.
//!
//! The engine's memory is the only memory that a restarted process relies on.
//! An engine serves one process at a time: what it reports to a restarted
//! process is ordered after every order of the process's earlier life. When an
//! engine loses its memory, the driver builds a new machine with a higher
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

pub use messages::{Envelope, Message, Outcome, RankReport, RankState, Refuse, Sender, View};
pub use rank::{GroupRank, RankSettings};

use super::map::{Attempt, ExpertMap, FenceNumber, MapChange, MapId, RankId, Step, Weight};
use crate::event::Event;
use crate::platform::{Call, CallId, Reply};
use crate::types::Now;

/// A map that the engine was told to switch to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Armed {
    /// Identity of the new map.
    pub id: MapId,
    /// First step that runs with it if it is committed.
    pub step: Step,
    /// What differs from the present map.
    pub change: MapChange,
    /// Whether the engine has the commit.
    pub committed: bool,
}

/// What an engine knows. It survives a restart of the process next to it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineState {
    /// Present map; none in an engine that just started.
    pub map: Option<ExpertMap>,
    /// Next step that it will start.
    pub step: Step,
    /// Map that it was told to switch to.
    pub armed: Option<Armed>,
    /// Latest attempt that it was told to abort.
    pub aborted: Attempt,
    /// Loaded weights.
    pub loaded: BTreeSet<Weight>,
    /// Highest fencing number that it took, if it checks them.
    pub highest_fence: Option<FenceNumber>,
}

/// An order to the engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number: the planner's, or the highest seen for an order of the rank itself.
    /// None only from a process that hasn't learned the number of an engine that ignores it.
    pub fence: Option<FenceNumber>,
    /// What to do.
    pub action: Action,
}

/// What the engine shall do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Load a weight from the store, beside the present map.
    Load(Weight),
    /// Drop weights that neither the present map nor an armed one uses.
    Trim,
    /// Start no step from `step` on before the attempt is decided. Refused if
    /// the step was already started.
    Arm(Armed),
    /// Use the armed map from its step on.
    Commit(Attempt),
    /// Forget the armed map and go on with the present one.
    Abort(Attempt),
    /// Take this map, in an engine without one, and perhaps a committed one after it.
    Install {
        /// Present map of the group.
        map: ExpertMap,
        /// Map that the other ranks committed but didn't reach yet.
        next: Option<Armed>,
    },
}

/// What the engine says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineEvent {
    /// Answer to a request for its state.
    State(EngineState),
    /// It loaded a weight.
    Loaded(Weight),
    /// It is armed.
    Armed(Attempt),
    /// It is not armed: the step was already started.
    ArmRefused(Attempt),
    /// It took a decision.
    Decided {
        /// Attempt.
        attempt: Attempt,
        /// Committed or aborted.
        commit: bool,
    },
    /// It reached the switch step without a decision and holds it.
    Held(Attempt),
    /// It started the first step with the new map.
    Switched(Attempt),
    /// It took the installed map.
    Installed,
    /// It refused an order because of its fencing number.
    FenceRefused {
        /// Highest number that it took.
        highest: FenceNumber,
    },
    /// Its measurements since the last report.
    Measured(RankReport),
}

/// What a rank's machine is told.
#[derive(Clone, Debug)]
pub enum Input {
    /// The process started.
    Start,
    /// The engine said something.
    Engine(EngineEvent),
    /// A message of another rank or a planner arrived.
    Message(Envelope),
    /// The platform answered.
    Platform(CallId, Reply),
    /// The weight store's rate allows a load that was asked for.
    LoadGranted(Weight),
    /// A timer that was set has fired.
    Timer(Timer),
}

/// What the driver shall do.
#[derive(Clone, Debug)]
pub enum Output {
    /// Ask the engine for its state.
    ReadEngine,
    /// Pass an order to the engine.
    Engine(Order),
    /// Ask the share of the weight store for a load; `LoadGranted` follows.
    RequestLoad {
        /// Weight.
        weight: Weight,
        /// The group waits for it.
        urgent: bool,
    },
    /// Take back all loads that were asked for and not granted.
    CancelLoads,
    /// Send to the process next to a rank.
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

/// Timers of the machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// Send again what was not answered.
    Retry,
}
