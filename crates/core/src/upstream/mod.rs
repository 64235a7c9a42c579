//! State machine of the process next to an upstream.
//!
//! It holds the queue in front of the engine, since only here is the engine's
//! true load known, and it alone decides the order of work. A bounce is
//! certain: bounced work was never passed to the engine.

mod machine;
mod quarantine;

#[cfg(test)]
mod tests;

use std::time::Duration;

use serde::{Deserialize, Serialize};

pub use machine::Upstream;

use crate::event::Event;
use crate::serving::queue::Policy;
use crate::types::{AttemptId, Load, Now, Request, Run};

/// What the machine is told.
#[derive(Clone, Debug)]
pub enum Input {
    /// An entry host dispatched an attempt.
    Work {
        /// Attempt, unique in the fleet.
        attempt: AttemptId,
        /// Its request. `deadline` is the time left when the dispatch arrived.
        request: Request,
        /// Time since the entry host sent the dispatch, by hybrid clock.
        age: Duration,
        /// It is suspected of crashing upstreams and runs with nothing beside it.
        alone: bool,
    },
    /// The entry host cancelled an attempt or its connection broke.
    Cancel(AttemptId),
    /// The engine reported on an attempt.
    Engine(AttemptId, EngineEvent),
    /// The engine died or refuses connections.
    EngineDown,
    /// The engine answers again.
    EngineUp,
    /// The host is leaving: running work goes on, nothing new is queued.
    Leave,
    /// A policy came into force.
    Policy(Policy),
    /// A timer that was set has fired.
    Timer(Timer),
}

/// What the engine says about an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineEvent {
    /// It produced tokens.
    Tokens(u32),
    /// It finished the whole answer.
    Finished,
    /// It failed; `NotRun` only if it certainly did not begin.
    Failed(Run),
}

/// Why work was bounced.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Bounce {
    /// The deadline can't be met here.
    Deadline,
    /// The queue is full.
    QueueFull,
    /// The host is leaving.
    Leaving,
    /// The engine is down.
    EngineDown,
    /// The dispatch is too old or was seen before.
    Stale,
    /// The request's fingerprint is quarantined here.
    Quarantined,
}

/// What the driver shall do.
#[derive(Clone, Debug)]
pub enum Output {
    /// Pass the work to the engine, with this engine priority.
    Start {
        /// Attempt.
        attempt: AttemptId,
        /// Priority for the engine, 0 (highest) to 7.
        priority: u8,
    },
    /// Change the engine priority of running work.
    Reprioritize {
        /// Attempt.
        attempt: AttemptId,
        /// New priority.
        priority: u8,
    },
    /// Stop running or waiting work.
    Stop(AttemptId),
    /// Return the work; it was not started.
    Bounce {
        /// Attempt.
        attempt: AttemptId,
        /// Reason.
        reason: Bounce,
        /// Present load.
        load: Load,
    },
    /// The answer failed after it was started.
    Fail {
        /// Attempt.
        attempt: AttemptId,
        /// Whether it ran.
        run: Run,
    },
    /// Call back at a time.
    SetTimer {
        /// When.
        at: Now,
        /// With what.
        timer: Timer,
    },
    /// Keep an event.
    Event(Event),
    /// All work has ended after `Leave`.
    Drained,
}

/// Timers of the machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// Look for queued work that can no longer meet its deadline.
    Expire,
    /// Let long work take turns on the slots of its share.
    TimeSlice,
}
