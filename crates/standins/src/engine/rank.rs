//! State machine for a rank's expert map and its switch, without I/O.
//!
//! The contents of layers are stored as JSON and not interpreted.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Identifies an expert's weights: layer and expert.
pub type WeightId = (u32, u32);

/// Identifies an attempt to switch maps. Later attempts compare greater.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Attempt {
    /// Fencing number of the planner that started the attempt.
    pub fence: u64,
    /// Number of the attempt among those of its planner.
    pub sequence: u64,
}

/// Identifies a map.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MapId {
    /// Number of the map in the group's sequence of maps.
    pub version: u64,
    /// Attempt that switched to the map.
    pub attempt: Attempt,
}

/// An expert map: which rank holds which expert, for each layer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Map {
    /// Version and attempt of the map.
    pub id: MapId,
    /// Expert maps of the layers, indexed by layer.
    pub layers: Vec<Value>,
}

/// Difference between a new map and the current one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MapChange {
    /// New expert maps of the layers that change; others are kept.
    pub layers: BTreeMap<u32, Value>,
}

/// A map switch that is prepared or committed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Armed {
    /// Version and attempt of the new map.
    pub id: MapId,
    /// First step that runs with the new map if the attempt is committed.
    pub step: u64,
    /// Difference to the current map.
    pub change: MapChange,
    /// Whether the attempt is committed; false while it is undecided.
    pub committed: bool,
}

/// Map, switch and weights of a rank. Answer of `GET /v1/map`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RankState {
    /// Current map; `None` in an engine that just started.
    pub map: Option<Map>,
    /// Number of the next step to start.
    pub step: u64,
    /// Pending switch, if any.
    pub armed: Option<Armed>,
    /// Latest aborted attempt. It and earlier attempts can't be armed again.
    pub aborted: Attempt,
    /// Weights in memory.
    pub loaded: BTreeSet<WeightId>,
    /// Highest accepted fencing number; `None` in an engine that ignores them.
    pub highest_fence: Option<u64>,
}

/// Result of an order that concerns the expert map.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RankAnswer {
    /// The weight is loaded.
    Loaded(WeightId),
    /// The unused weights were unloaded.
    Trimmed,
    /// The switch is armed; its step is held until the attempt is decided.
    Armed(Attempt),
    /// The switch step has already started, or this or a later attempt was aborted.
    ArmRefused(Attempt),
    /// The decision on an attempt was accepted, or had been accepted before.
    Decided {
        /// Attempt that the decision concerns.
        attempt: Attempt,
        /// True for a commit, false for an abort.
        commit: bool,
    },
    /// The map is set.
    Installed,
    /// The order contradicts the rank's state: it has a map already, the attempt to commit is
    /// unknown, or the attempt to abort is committed.
    Refused,
}

impl RankState {
    /// Whether the next step can't start because the switch armed for it is undecided.
    #[must_use]
    pub fn is_held(&self) -> bool {
        self.armed
            .as_ref()
            .is_some_and(|armed| !armed.committed && armed.step <= self.step)
    }

    /// Starts the next step unless it is held; returns the id of the step's map.
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

    /// Unloads the weights that are not in `used`.
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

    /// Replaces the map without a coordinated switch, for an engine outside a group.
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
