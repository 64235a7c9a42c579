//! A rank's expert map and its switch, without input or output.
//!
//! Layers are kept as they came, since only their identity matters here.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Layer and expert.
pub type WeightId = (u32, u32);

/// One attempt to switch maps.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Attempt {
    /// Fencing number of its planner.
    pub fence: u64,
    /// Count of the planner's attempts.
    pub sequence: u64,
}

/// Identity of a map.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MapId {
    /// Version.
    pub version: u64,
    /// Attempt that brought it.
    pub attempt: Attempt,
}

/// An expert map.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Map {
    /// Identity.
    pub id: MapId,
    /// Maps by layer.
    pub layers: Vec<Value>,
}

/// Layers that differ from the present map.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MapChange {
    /// New maps by layer.
    pub layers: BTreeMap<u32, Value>,
}

/// A map to switch to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Armed {
    /// Identity of the new map.
    pub id: MapId,
    /// First step that runs with it if it is committed.
    pub step: u64,
    /// What differs from the present map.
    pub change: MapChange,
    /// Whether it is committed.
    pub committed: bool,
}

/// Answer of `GET /v1/map`: all that the rank knows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RankState {
    /// Present map; none in an engine that just started.
    pub map: Option<Map>,
    /// Next step that it starts.
    pub step: u64,
    /// Map to switch to.
    pub armed: Option<Armed>,
    /// Latest attempt that it was told to abort.
    pub aborted: Attempt,
    /// Loaded weights.
    pub loaded: BTreeSet<WeightId>,
    /// Highest fencing number taken; none in an engine that ignores them.
    pub highest_fence: Option<u64>,
}

/// What came of an order to a rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RankAnswer {
    /// The weight is loaded.
    Loaded(WeightId),
    /// Unused weights are dropped.
    Trimmed,
    /// It holds the step unless the attempt is decided before.
    Armed(Attempt),
    /// The step was already started, or the attempt is aborted.
    ArmRefused(Attempt),
    /// It took a decision.
    Decided {
        /// Attempt.
        attempt: Attempt,
        /// Committed or aborted.
        commit: bool,
    },
    /// It took the map.
    Installed,
    /// It has a map already, or knows no such attempt.
    Refused,
}

impl RankState {
    /// Whether the next step is held because its map is not decided.
    #[must_use]
    pub fn is_held(&self) -> bool {
        self.armed
            .as_ref()
            .is_some_and(|armed| !armed.committed && armed.step <= self.step)
    }

    /// Starts the next step unless it is held; returns the identity of its map.
    pub(super) fn start_step(&mut self) -> Option<MapId> {
        if self.is_held() {
            return None;
        }
        if self.armed.as_ref().is_some_and(|a| a.step <= self.step)
            && let Some(armed) = self.armed.take()
        {
            self.switch(armed);
        }
        self.step += 1;
        Some(self.map.as_ref().map(|map| map.id).unwrap_or_default())
    }

    pub(super) fn load(&mut self, weight: WeightId) -> RankAnswer {
        self.loaded.insert(weight);
        RankAnswer::Loaded(weight)
    }

    /// Drops the weights that are not in `used`.
    pub(super) fn trim(&mut self, used: &BTreeSet<WeightId>) -> RankAnswer {
        self.loaded.retain(|weight| used.contains(weight));
        RankAnswer::Trimmed
    }

    pub(super) fn arm(&mut self, armed: Armed) -> RankAnswer {
        let attempt = armed.id.attempt;
        if armed.step < self.step || attempt <= self.aborted {
            return RankAnswer::ArmRefused(attempt);
        }
        self.armed = Some(armed);
        RankAnswer::Armed(attempt)
    }

    pub(super) fn commit(&mut self, attempt: Attempt) -> RankAnswer {
        let is_current = self.is_current(attempt);
        match &mut self.armed {
            Some(armed) if armed.id.attempt == attempt => armed.committed = true,
            _ if is_current => {}
            _ => return RankAnswer::Refused,
        }
        RankAnswer::Decided {
            attempt,
            commit: true,
        }
    }

    pub(super) fn abort(&mut self, attempt: Attempt) -> RankAnswer {
        if let Some(armed) = &self.armed
            && armed.id.attempt == attempt
        {
            if armed.committed {
                return RankAnswer::Refused;
            }
            self.armed = None;
        }
        self.aborted = self.aborted.max(attempt);
        RankAnswer::Decided {
            attempt,
            commit: false,
        }
    }

    pub(super) fn install(&mut self, map: Map, next: Option<Armed>) -> RankAnswer {
        if self.map.is_some() {
            return RankAnswer::Refused;
        }
        self.map = Some(map);
        self.armed = next;
        RankAnswer::Installed
    }

    /// Replaces the map at once, for an engine outside a group.
    pub(super) fn set_map(&mut self, map: Map) -> RankAnswer {
        self.map = Some(map);
        self.armed = None;
        RankAnswer::Installed
    }

    fn is_current(&self, attempt: Attempt) -> bool {
        self.map
            .as_ref()
            .is_some_and(|map| map.id.attempt == attempt)
    }

    fn switch(&mut self, armed: Armed) {
        let map = self.map.get_or_insert_default();
        map.id = armed.id;
        for (layer, new) in armed.change.layers {
            if let Some(slot) = map.layers.get_mut(layer as usize) {
                *slot = new;
            }
        }
    }
}
