//! Orders to load models, change the role or switch the expert map.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::rank::{Armed, Attempt, Map, RankAnswer, RankState, WeightId};

/// Part of the work that an engine does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Prefill and decode.
    #[default]
    Both,
    /// Prefill only.
    Prefill,
    /// Decode only.
    Decode,
}

/// What an engine shall do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Order {
    /// Load a version of a model, in place of another version.
    LoadModel {
        /// Model.
        model: String,
        /// Version.
        version: String,
    },
    /// Drop a model.
    UnloadModel {
        /// Model.
        model: String,
    },
    /// Load a version of an adapter, in place of another version.
    LoadAdapter {
        /// Adapter.
        adapter: String,
        /// Version.
        version: String,
    },
    /// Drop an adapter.
    UnloadAdapter {
        /// Adapter.
        adapter: String,
    },
    /// Change the role.
    ChangeRole {
        /// New role.
        role: Role,
    },
    /// Use a map at once.
    SetMap {
        /// New map.
        map: Map,
    },
    /// Load an expert's weights beside the present map.
    Load(WeightId),
    /// Drop all weights but these.
    Trim {
        /// Weights that are in use.
        used: BTreeSet<WeightId>,
    },
    /// Start no step from the armed one on before the attempt is decided.
    Arm(Armed),
    /// Use the armed map from its step on.
    Commit(Attempt),
    /// Forget the armed map.
    Abort(Attempt),
    /// Take a map, in an engine without one.
    Install {
        /// Present map of the group.
        map: Map,
        /// Map that the other ranks committed and didn't reach yet.
        #[serde(default)]
        next: Option<Armed>,
    },
}

/// Body of `POST /v1/orders`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FencedOrder {
    /// Fencing number.
    pub fence: u64,
    /// What to do.
    pub order: Order,
}

/// What came of an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderAnswer {
    /// It was carried out.
    Done,
    /// What the rank says.
    Rank(RankAnswer),
    /// It is older than one that was taken before.
    FenceRefused {
        /// Highest number taken.
        highest: u64,
    },
}

/// Answer of `GET /v1/models`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Loaded {
    /// Versions of models by name.
    pub models: BTreeMap<String, String>,
    /// Versions of adapters by name.
    pub adapters: BTreeMap<String, String>,
    /// Role.
    pub role: Role,
}

/// What orders change.
#[derive(Clone, Debug, Default)]
pub(super) struct Orders {
    pub(super) loaded: Loaded,
    pub(super) rank: RankState,
}

impl Orders {
    /// An engine that was just started and checks fencing numbers or not.
    pub(super) fn new(honours_fencing: bool) -> Self {
        let mut orders = Self::default();
        orders.rank.highest_fence = honours_fencing.then_some(0);
        orders
    }

    /// Carries an order out unless its fencing number is too low.
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
