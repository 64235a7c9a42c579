//! Orders that load models, change the role or switch the expert map, and their fencing.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::rank::{Armed, Attempt, Map, RankAnswer, RankState, WeightId};

/// Phases of a completion that an engine runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Prefill and decode; the role of an engine that received no order.
    #[default]
    Both,
    /// Prefill only.
    Prefill,
    /// Decode only.
    Decode,
}

/// A command to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Order {
    /// Load a model. Another loaded version of it is replaced.
    LoadModel {
        /// Name of the model.
        model: String,
        /// Version to load; not interpreted.
        version: String,
    },
    /// Unload a model; no effect if it is not loaded.
    UnloadModel {
        /// Name of the model.
        model: String,
    },
    /// Load an adapter. Another loaded version of it is replaced.
    LoadAdapter {
        /// Name of the adapter.
        adapter: String,
        /// Version to load; not interpreted.
        version: String,
    },
    /// Unload an adapter; no effect if it is not loaded.
    UnloadAdapter {
        /// Name of the adapter.
        adapter: String,
    },
    /// Change the phases that the engine runs.
    ChangeRole {
        /// Role from now on.
        role: Role,
    },
    /// Replace the map immediately, without a coordinated switch. An armed map is dropped.
    SetMap {
        /// Map from the next step on.
        map: Map,
    },
    /// Load an expert's weights in addition to those of the current map.
    Load(WeightId),
    /// Unload all weights except the listed ones.
    Trim {
        /// Weights to keep.
        used: BTreeSet<WeightId>,
    },
    /// Prepare a map switch: no step from the armed one on starts until the attempt is committed
    /// or aborted.
    Arm(Armed),
    /// Use the armed map from its step on. Refused if the attempt is neither armed nor the source
    /// of the current map.
    Commit(Attempt),
    /// Discard the armed map. Refused if the attempt is committed.
    Abort(Attempt),
    /// Set the map of an engine that has none. Refused if it has one.
    Install {
        /// Current map of the group.
        map: Map,
        /// Switch that the other ranks have armed and have not reached yet.
        #[serde(default)]
        next: Option<Armed>,
    },
}

/// Body of `POST /v1/orders`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FencedOrder {
    /// Fencing number of the sender's lease.
    pub fence: u64,
    /// Command to execute.
    pub order: Order,
}

/// Result of an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderAnswer {
    /// The order was executed.
    Done,
    /// The order concerned the expert map; result of the rank.
    Rank(RankAnswer),
    /// The order was not executed: its fencing number is below the highest accepted one.
    FenceRefused {
        /// Highest fencing number accepted so far.
        highest: u64,
    },
}

/// Answer of `GET /v1/models`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Loaded {
    /// Versions of the loaded models, by name.
    pub models: BTreeMap<String, String>,
    /// Versions of the loaded adapters, by name.
    pub adapters: BTreeMap<String, String>,
    /// Phases that the engine runs.
    pub role: Role,
}

/// State that orders change.
#[derive(Clone, Debug, Default)]
pub(super) struct Orders {
    pub(super) loaded: Loaded,
    pub(super) rank: RankState,
}

impl Orders {
    /// State of a new engine, which checks fencing numbers if `honours_fencing`.
    pub(super) fn new(honours_fencing: bool) -> Self {
        let mut orders = Self::default();
        orders.rank.highest_fence = honours_fencing.then_some(0);
        orders
    }

    /// Executes an order unless its fencing number is below the highest accepted one.
    pub(super) fn execute(&mut self, fenced: FencedOrder) -> OrderAnswer {
        if let Some(highest) = &mut self.rank.highest_fence {
            if fenced.fence < *highest {
                return OrderAnswer::FenceRefused { highest: *highest };
            }
            *highest = fenced.fence;
        }
        self.apply(fenced.order)
    }

    fn apply(&mut self, order: Order) -> OrderAnswer {
        let loaded = &mut self.loaded;
        let rank = &mut self.rank;
        let answer = match order {
            Order::LoadModel { model, version } => {
                loaded.models.insert(model, version);
                return OrderAnswer::Done;
            }
            Order::UnloadModel { model } => {
                loaded.models.remove(&model);
                return OrderAnswer::Done;
            }
            Order::LoadAdapter { adapter, version } => {
                loaded.adapters.insert(adapter, version);
                return OrderAnswer::Done;
            }
            Order::UnloadAdapter { adapter } => {
                loaded.adapters.remove(&adapter);
                return OrderAnswer::Done;
            }
            Order::ChangeRole { role } => {
                loaded.role = role;
                return OrderAnswer::Done;
            }
            Order::SetMap { map } => rank.set_map(map),
            Order::Load(weight) => rank.load(weight),
            Order::Trim { used } => rank.trim(&used),
            Order::Arm(armed) => rank.arm(armed),
            Order::Commit(attempt) => rank.commit(attempt),
            Order::Abort(attempt) => rank.abort(attempt),
            Order::Install { map, next } => rank.install(map, next),
        };
        OrderAnswer::Rank(answer)
    }
}
