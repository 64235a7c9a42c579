//! Messages between ranks and between planner and ranks.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Armed;
use crate::group::map::{Attempt, ExpertMap, FenceNumber, LayerId, MapChange, MapId, RankId, Step};
use crate::types::Incarnation;

/// Latest known life of each rank's process, by rank; 0 if none is known.
pub type View = Vec<Incarnation>;

/// Sender of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sender {
    /// Rank.
    pub rank: RankId,
    /// Life of its process.
    pub incarnation: Incarnation,
}

/// A message with its sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Envelope {
    /// Sender.
    pub from: Sender,
    /// Message.
    pub message: Message,
}

/// What is sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// Planner to rank: report, and send the map if it is wanted.
    Poll {
        /// Planner's fencing number.
        fence: FenceNumber,
        /// Whether the report shall carry the map.
        want_map: bool,
    },
    /// Rank to planner: answer to a poll.
    Report(RankReport),
    /// Planner to rank: load the weights of a map.
    Prepare {
        /// Identity of the new map; its attempt is this attempt.
        id: MapId,
        /// Map that the change is based on.
        base: MapId,
        /// What differs.
        change: MapChange,
    },
    /// Rank to planner: the weights are loaded.
    Ready {
        /// Attempt.
        attempt: Attempt,
        /// Next step that the engine will start, as last known.
        step: Step,
    },
    /// Planner to rank: switch at this step, if it is committed.
    Propose {
        /// Attempt.
        attempt: Attempt,
        /// Switch step.
        step: Step,
    },
    /// Rank to planner: the engine will hold the switch step.
    Acked {
        /// Attempt.
        attempt: Attempt,
        /// Switch step.
        step: Step,
    },
    /// Planner to rank: all ranks acknowledged.
    Commit {
        /// Attempt.
        attempt: Attempt,
        /// Switch step.
        step: Step,
        /// Lives of the processes that acknowledged.
        view: View,
    },
    /// Planner to rank: the attempt failed and was not committed.
    Abort {
        /// Attempt.
        attempt: Attempt,
    },
    /// Rank to planner: an order was refused.
    Refused {
        /// Attempt of the order.
        attempt: Attempt,
        /// Reason.
        reason: Refuse,
    },
    /// Rank to rank: what do you know of this attempt, and of the group?
    Ask {
        /// Attempt that the sender is armed for, if any.
        attempt: Option<Attempt>,
        /// Lives that the sender knows of.
        view: View,
        /// Whether the answer shall carry the map.
        want_map: bool,
    },
    /// Rank to rank: answer to `Ask`.
    Answer {
        /// Attempt that was asked about.
        attempt: Option<Attempt>,
        /// What the sender knows of it.
        outcome: Outcome,
        /// Lives that the sender knows of.
        view: View,
        /// State of the sender.
        state: RankState,
    },
}

/// Why a rank refused an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refuse {
    /// A newer planner gave orders.
    Stale(FenceNumber),
    /// The process started and doesn't know yet what it may accept.
    Starting,
    /// An earlier attempt is not settled.
    Busy(Attempt),
    /// Attempts up to this one can no longer be accepted.
    Superseded(Attempt),
    /// The change is based on another map than the present one.
    WrongBase(MapId),
    /// The switch step was already started.
    StepPassed(Step),
}

/// What a rank knows of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Its engine took the commit.
    Committed,
    /// Its engine aborted it after all ranks had pledged, or the planner gave it up.
    Aborted,
    /// It will not commit it unless a rank that committed says so.
    Pledged,
    /// It can't say yet.
    Undecided,
}

/// State of a rank, for ranks that start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RankState {
    /// Identity of the present map; none if the rank has none yet.
    pub map: Option<MapId>,
    /// Content of the present map, if it was wanted.
    pub content: Option<ExpertMap>,
    /// Map that the engine is armed for.
    pub armed: Option<Armed>,
    /// Highest attempt that the rank has refused, pledged against, settled or armed.
    pub floor: Attempt,
    /// Highest fencing number that it has seen.
    pub fence: FenceNumber,
}

/// Measurements of a rank since its last report, and its state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RankReport {
    /// Identity of the present map.
    pub map: MapId,
    /// Content of the present map, if it was wanted.
    pub content: Option<ExpertMap>,
    /// Whether no attempt is prepared or armed.
    pub settled: bool,
    /// Next step that the engine will start, as last known.
    pub step: Step,
    /// Tokens that each of its slots processed, by layer.
    pub tokens: Vec<Vec<u32>>,
    /// Layer to which the first entry of `tokens` belongs.
    pub first_layer: LayerId,
    /// Time that the rank was busy with experts.
    pub busy: Duration,
}

impl RankReport {
    /// Adds the measurements of a later report with the same slots; one with other slots
    /// takes their place.
    pub fn add(&mut self, later: &Self) {
        let shape = |r: &Self| r.tokens.iter().map(Vec::len).collect::<Vec<_>>();
        if shape(self) != shape(later) || self.first_layer != later.first_layer {
            self.tokens.clone_from(&later.tokens);
            self.first_layer = later.first_layer;
            self.busy = later.busy;
            return;
        }
        for (sum, new) in self.tokens.iter_mut().zip(&later.tokens) {
            for (a, b) in sum.iter_mut().zip(new) {
                *a = a.saturating_add(*b);
            }
        }
        self.busy = self.busy.saturating_add(later.busy);
    }
}
