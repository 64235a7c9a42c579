//! Messages between ranks, and between planner and ranks.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Armed;
use crate::group::map::{Attempt, ExpertMap, FenceNumber, LayerId, MapChange, MapId, RankId, Step};
use crate::types::Incarnation;

/// Latest known incarnation of each rank's process, indexed by rank; 0 if none is known.
pub type View = Vec<Incarnation>;

/// Sender of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sender {
    /// Rank next to which the sender runs.
    pub rank: RankId,
    /// Incarnation of the sender's process.
    pub incarnation: Incarnation,
}

/// A message with its sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Envelope {
    /// Sender, which receivers check against the latest incarnation that they know.
    pub from: Sender,
    /// Content of the message.
    pub message: Message,
}

/// Messages of the switch protocol.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// Planner to rank: requests a report.
    Poll {
        /// Fencing number of the planner.
        fence: FenceNumber,
        /// Whether the report must contain the map.
        want_map: bool,
    },
    /// Rank to planner: answer to `Poll`.
    Report(RankReport),
    /// Planner to rank: load the weights of a new map.
    Prepare {
        /// Identity of the new map, which includes the attempt.
        id: MapId,
        /// Map that the change is based on.
        base: MapId,
        /// Layers that differ from the base.
        change: MapChange,
    },
    /// Rank to planner: the weights are loaded.
    Ready {
        /// Attempt whose weights are loaded.
        attempt: Attempt,
        /// Next step that the engine will start, as last reported.
        step: Step,
    },
    /// Planner to rank: switch at this step if the attempt is committed.
    Propose {
        /// Attempt that the planner runs.
        attempt: Attempt,
        /// First step with the new map.
        step: Step,
    },
    /// Rank to planner: the engine will not start the switch step without a decision.
    Acked {
        /// Attempt for which the engine is armed.
        attempt: Attempt,
        /// First step with the new map.
        step: Step,
    },
    /// Planner to rank: all ranks acknowledged.
    Commit {
        /// Attempt to commit.
        attempt: Attempt,
        /// First step with the new map.
        step: Step,
        /// Incarnations of the processes that acknowledged.
        view: View,
    },
    /// Planner to rank: the attempt failed and was not committed.
    Abort {
        /// Attempt to abort; earlier attempts of the planner have ended too.
        attempt: Attempt,
    },
    /// Rank to planner: an order was refused.
    Refused {
        /// Attempt of the order.
        attempt: Attempt,
        /// Why the order was refused.
        reason: RefusalReason,
    },
    /// Rank to rank: asks for the outcome of an attempt and for the state of the receiver.
    Ask {
        /// Attempt that the sender is armed for, if any.
        attempt: Option<Attempt>,
        /// Incarnations that the sender knows of.
        view: View,
        /// Whether the answer must contain the map.
        want_map: bool,
    },
    /// Rank to rank: answer to `Ask`.
    Answer {
        /// Attempt of the `Ask`.
        attempt: Option<Attempt>,
        /// Outcome of the attempt as far as the sender knows; `Undecided` if there was no attempt.
        outcome: Outcome,
        /// Incarnations that the sender knows of.
        view: View,
        /// State of the sender.
        state: RankState,
    },
}

/// Why a rank refused an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// A planner with this higher number has sent orders.
    Stale(FenceNumber),
    /// The process started and doesn't know yet which orders it may accept.
    Starting,
    /// This earlier attempt is not settled.
    Busy(Attempt),
    /// Attempts up to this one can no longer be accepted.
    Superseded(Attempt),
    /// The change is based on another map than the present one, which has this identity.
    WrongBase(MapId),
    /// The engine has already started this step, the proposed switch step.
    StepPassed(Step),
}

/// Outcome of an attempt as one rank knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The engine accepted the commit.
    Committed,
    /// The engine aborted the attempt, after all ranks had pledged or after the planner's abort.
    Aborted,
    /// The rank will not commit the attempt unless another rank reports that it has committed.
    Pledged,
    /// The rank can't tell yet.
    Undecided,
}

/// State of a rank, which a rank that starts collects from the others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RankState {
    /// Identity of the present map; none if the rank has no map yet.
    pub map: Option<MapId>,
    /// Content of the present map, if the `Ask` wanted it.
    pub content: Option<ExpertMap>,
    /// Map that the engine is armed for.
    pub armed: Option<Armed>,
    /// Highest attempt that the rank has refused, pledged against, settled or armed. Attempts up to
    /// it are closed for a rank that starts.
    #[serde(rename = "floor")]
    pub closed_up_to: Attempt,
    /// Highest fencing number that the rank has seen.
    pub fence: FenceNumber,
}

/// Measurements of a rank since its last report, and its state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RankReport {
    /// Identity of the present map.
    pub map: MapId,
    /// Content of the present map, if the `Poll` wanted it.
    pub content: Option<ExpertMap>,
    /// Whether no attempt is prepared or armed.
    pub settled: bool,
    /// Next step that the engine will start, as last reported.
    pub step: Step,
    /// Tokens processed by each slot, by layer from `first_layer` on.
    pub tokens: Vec<Vec<u32>>,
    /// Layer of the first entry of `tokens`.
    pub first_layer: LayerId,
    /// Time that the rank was busy with experts.
    pub busy: Duration,
}

impl RankReport {
    /// Adds the measurements of a later report. If its slots differ, its measurements replace the
    /// present ones.
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
