//! Expert maps: which rank holds which expert, and each copy's share of traffic.

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

/// Position of a rank in its group, from 0.
pub type RankId = u32;
/// Index of a layer with experts, from 0.
pub type LayerId = u32;
/// Index of an expert in its layer, from 0.
pub type ExpertId = u32;
/// Step of the group; all ranks run a step together.
pub type Step = u64;
/// Fencing number of a planner's lease; each new holder has a higher one.
pub type FenceNumber = u64;

/// Shares of one expert's copies add up to this.
pub const WHOLE_SHARE: u32 = 1_000_000;

/// One attempt to switch maps, unique in the group. Later attempts are higher.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Attempt {
    /// Fencing number of the planner that made it.
    pub fence: FenceNumber,
    /// Count of the planner's attempts under this number.
    pub sequence: u64,
}

/// Identity of a map: its version and the attempt that brought it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MapId {
    /// Version, which grows by one with each switch.
    pub version: u64,
    /// Attempt that brought it; zeros for a group's first map.
    pub attempt: Attempt,
}

/// A copy of an expert in a slot of a rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Placed {
    /// Expert.
    pub expert: ExpertId,
    /// Share of the expert's traffic, in parts of [`WHOLE_SHARE`].
    pub share: u32,
}

/// Map of one layer: the filled slots of each rank.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LayerMap {
    /// Slots by rank.
    pub ranks: Vec<Vec<Placed>>,
}

impl LayerMap {
    /// A layer without copies: experts are dealt to ranks in blocks.
    #[must_use]
    pub fn blocks(ranks: u32, experts: u32) -> Self {
        let mut slots = vec![Vec::new(); ranks.max(1) as usize];
        let per_rank = experts.div_ceil(ranks.max(1)).max(1);
        for expert in 0..experts {
            slots[(expert / per_rank) as usize].push(Placed {
                expert,
                share: WHOLE_SHARE,
            });
        }
        Self { ranks: slots }
    }

    /// Whether a rank has a slot for an expert.
    #[must_use]
    pub fn holds(&self, rank: RankId, expert: ExpertId) -> bool {
        self.ranks
            .get(rank as usize)
            .is_some_and(|slots| slots.iter().any(|p| p.expert == expert))
    }
}

/// The whole map of a group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExpertMap {
    /// Identity.
    pub id: MapId,
    /// Maps by layer.
    pub layers: Vec<LayerMap>,
}

/// Layers that differ from the map it is based on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MapChange {
    /// New maps by layer.
    pub layers: BTreeMap<LayerId, LayerMap>,
}

/// A weight that a rank must hold: an expert of a layer.
pub type Weight = (LayerId, ExpertId);

impl ExpertMap {
    /// A group's first map.
    #[must_use]
    pub fn initial(ranks: u32, layers: u32, experts: u32) -> Self {
        Self {
            id: MapId::default(),
            layers: (0..layers)
                .map(|_| LayerMap::blocks(ranks, experts))
                .collect(),
        }
    }

    /// The map after a change. Layers that it doesn't have are ignored.
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

    /// What differs in `other`.
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
    pub fn weights(&self, rank: RankId) -> BTreeSet<Weight> {
        (0..)
            .zip(&self.layers)
            .flat_map(|(layer, map)| layer_weights(layer, map, rank))
            .collect()
    }
}

impl MapChange {
    /// Weights that a rank needs for the changed layers.
    #[must_use]
    pub fn weights(&self, rank: RankId) -> BTreeSet<Weight> {
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
) -> impl Iterator<Item = Weight> + use<'_> {
    let slots = map.ranks.get(rank as usize).map_or(&[][..], Vec::as_slice);
    slots.iter().map(move |p| (layer, p.expert))
}
