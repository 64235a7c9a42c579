//! State machine of the process next to an upstream's engine: admission, queueing and priorities.
//!
//! The queue is here because only this process knows the engine's actual load, and it alone
//! decides the order of work. Bounced work has certainly never been passed to the engine, so that
//! it is safe to send it elsewhere.

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

/// Input of the machine.
#[derive(Clone, Debug)]
pub enum Input {
    /// An entry host dispatched an attempt.
    Work {
        /// Identifier, unique in the fleet.
        attempt: AttemptId,
        /// Request to run. Its `deadline` is the time left when the dispatch arrived.
        request: Request,
        /// Time since the entry host decided on the dispatch, by hybrid clock.
        age: Duration,
        /// Whether the request is suspected of crashing engines and must run alone.
        alone: bool,
    },
    /// The entry host cancelled an attempt or its connection broke.
    Cancel(AttemptId),
    /// The engine reported progress or the end of an attempt.
    Engine(AttemptId, EngineEvent),
    /// The engine died or refuses connections.
    EngineDown,
    /// The engine accepts connections again.
    EngineUp,
    /// The host starts to leave: accepted work goes on, new work is bounced.
    Leave,
    /// Replaces the queueing policy.
    Policy(Policy),
    /// A timer of [`Output::SetTimer`] has fired.
    Timer(Timer),
}

/// Progress or end of an attempt, as the engine reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineEvent {
    /// It produced this number of tokens since the last report.
    Tokens(u32),
    /// It completed the answer.
    Finished,
    /// It failed; [`Run::NotRun`] only if it certainly did not start.
    Failed(Run),
}

/// Reason to return work that the engine has not started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Bounce {
    /// This upstream is not expected to meet the deadline.
    Deadline,
    /// The queue has reached the length that its policy allows.
    QueueFull,
    /// The host is leaving and takes no new work.
    Leaving,
    /// The engine died or refuses connections.
    EngineDown,
    /// The dispatch is too old, a duplicate, or meant for another incarnation of the process.
    Stale,
    /// A suspect waits or runs here, and nothing may run beside it.
    Quarantined,
}

/// Action for the driver to carry out.
#[derive(Clone, Debug)]
pub enum Output {
    /// Pass work to the engine.
    Start {
        /// Attempt to start.
        attempt: AttemptId,
        /// Engine priority, from 0 (highest) to 7.
        priority: u8,
    },
    /// Change the engine priority of running work.
    Reprioritize {
        /// Running attempt.
        attempt: AttemptId,
        /// New engine priority, from 0 (highest) to 7.
        priority: u8,
    },
    /// Stop running work.
    Stop(AttemptId),
    /// Return work to its entry host; the engine has not started it.
    Bounce {
        /// Attempt to return.
        attempt: AttemptId,
        /// Why this upstream does not run it.
        reason: Bounce,
        /// Load at the time of the bounce, for the entry host's routing.
        load: Load,
    },
    /// Report that the engine failed to complete started work.
    Fail {
        /// Attempt that failed.
        attempt: AttemptId,
        /// Whether the engine may have run it.
        run: Run,
    },
    /// Set a timer, which the driver returns as [`Input::Timer`].
    SetTimer {
        /// Due time.
        at: Now,
        /// Timer to return.
        timer: Timer,
    },
    /// Record an event in the event timeline.
    Event(Event),
    /// No work is queued or running after [`Input::Leave`].
    Drained,
}

/// Timer of the machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// Bounce queued work that can no longer meet its deadline.
    Expire,
    /// Rotate long work on the slots of its share.
    TimeSlice,
}
