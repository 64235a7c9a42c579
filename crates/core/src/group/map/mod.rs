//! Expert maps: which rank holds which expert, and each copy's share of traffic.

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

/// Index of a rank in its group, from 0.
pub type RankId = u32;
/// Index of a layer with experts, from 0.
pub type LayerId = u32;
/// Index of an expert in its layer, from 0.
pub type ExpertId = u32;
/// Number of a forward step of the group; all ranks run a step together.
pub type Step = u64;
/// Fencing number of a planner's lease; each new holder has a higher one.
pub type FenceNumber = u64;

/// Sum of the shares of one expert's copies.
pub const WHOLE_SHARE: u32 = 1_000_000;

/// Identifier of an attempt to switch maps, unique in the group. Later attempts compare higher.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Attempt {
    /// Fencing number of the planner that made the attempt.
    pub fence: FenceNumber,
    /// Number of the attempt, which increases with each of the planner's attempts.
    pub sequence: u64,
}

/// Identity of a map: its version and the attempt that introduced it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MapId {
    /// Version, which increases by one with each committed switch.
    pub version: u64,
    /// Attempt that introduced the map; zeros for a group's initial map.
    pub attempt: Attempt,
}

/// A copy of an expert in a slot of a rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExpertCopy {
    /// Expert, within the layer of the enclosing [`LayerMap`].
    pub expert: ExpertId,
    /// Share of the expert's traffic, in units of 1 / [`WHOLE_SHARE`].
    pub share: u32,
}

/// Map of one layer: the filled slots of each rank.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LayerMap {
    /// Filled slots, indexed by rank.
    pub ranks: Vec<Vec<ExpertCopy>>,
}

impl LayerMap {
    /// A layer with one copy of each expert, assigned to ranks in contiguous blocks.
    #[must_use]
    pub fn in_blocks(ranks: u32, experts: u32) -> Self {
        let mut slots = vec![Vec::new(); ranks.max(1) as usize];
        let per_rank = experts.div_ceil(ranks.max(1)).max(1);
        for expert in 0..experts {
            slots[(expert / per_rank) as usize].push(ExpertCopy {
                expert,
                share: WHOLE_SHARE,
            });
        }
        Self { ranks: slots }
    }

    /// Whether a rank has a copy of an expert; false if the rank doesn't exist.
    #[must_use]
    pub fn holds(&self, rank: RankId, expert: ExpertId) -> bool {
        self.ranks
            .get(rank as usize)
            .is_some_and(|slots| slots.iter().any(|c| c.expert == expert))
    }
}

/// Expert map of all layers of a group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExpertMap {
    /// Version of the map, and attempt that introduced it.
    pub id: MapId,
    /// Maps, indexed by layer.
    pub layers: Vec<LayerMap>,
}

/// Difference between two maps.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MapChange {
    /// New maps of the layers that differ.
    pub layers: BTreeMap<LayerId, LayerMap>,
}

/// Weight that a rank holds: one expert of one layer.
pub type WeightId = (LayerId, ExpertId);

impl ExpertMap {
    /// Initial map of a group, with one copy of each expert.
    #[must_use]
    pub fn initial(ranks: u32, layers: u32, experts: u32) -> Self {
        Self {
            id: MapId::default(),
            layers: (0..layers)
                .map(|_| LayerMap::in_blocks(ranks, experts))
                .collect(),
        }
    }

    /// This map with a change applied. Layers of the change that the map doesn't have are ignored.
    #[must_use]
    pub fn with_change(&self, id: MapId, change: &MapChange) -> Self {
        let mut layers = self.layers.clone();
        for (layer, map) in &change.layers {
            if let Some(slot) = layers.get_mut(*layer as usize) {
                slot.clone_from(map);
            }
        }
        Self { id, layers }
    }

    /// Change that turns the layers of this map into `other`.
    #[must_use]
    pub fn change_to(&self, other: &[LayerMap]) -> MapChange {
        let pairs = self.layers.iter().zip(other);
        let layers = (0..)
            .zip(pairs)
            .filter(|(_, (a, b))| a != b)
            .map(|(layer, (_, b))| (layer, b.clone()))
            .collect();
        MapChange { layers }
    }

    /// Weights that a rank needs to run this map.
    #[must_use]
    pub fn weights(&self, rank: RankId) -> BTreeSet<WeightId> {
        (0..)
            .zip(&self.layers)
            .flat_map(|(layer, map)| layer_weights(layer, map, rank))
            .collect()
    }
}

impl MapChange {
    /// Weights that a rank needs for the changed layers.
    #[must_use]
    pub fn weights(&self, rank: RankId) -> BTreeSet<WeightId> {
        self.layers
            .iter()
            .flat_map(|(layer, map)| layer_weights(*layer, map, rank))
            .collect()
    }
}

fn layer_weights(
    layer: LayerId,
    map: &LayerMap,
    rank: RankId,
) -> impl Iterator<Item = WeightId> + use<'_> {
    let slots = map.ranks.get(rank as usize).map_or(&[][..], Vec::as_slice);
    slots.iter().map(move |c| (layer, c.expert))
}
