//! Expert maps of a group: which ranks hold which experts.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{Expert, GroupEpoch, MapVersion, RankIndex};

/// Placement of the experts of one set of layers on the ranks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SetMap {
    /// Experts that each rank holds, indexed by rank.
    pub ranks: Vec<BTreeSet<Expert>>,
}

impl SetMap {
    /// Assigns experts to ranks round-robin; every newly formed group starts with this map.
    #[must_use]
    pub fn round_robin(ranks: usize, experts: usize) -> Self {
        let mut map = Self {
            ranks: vec![BTreeSet::new(); ranks],
        };
        for expert in 0..experts {
            map.ranks[expert % ranks.max(1)].insert(expert);
        }
        map
    }

    /// Number of ranks that hold each expert, indexed by expert.
    #[must_use]
    pub fn copies(&self, experts: usize) -> Vec<usize> {
        let mut copies = vec![0; experts];
        for expert in self.ranks.iter().flatten() {
            if let Some(count) = copies.get_mut(*expert) {
                *count += 1;
            }
        }
        copies
    }

    /// Share of the set's work that falls to each rank, given the share of each expert.
    #[must_use]
    pub fn loads(&self, shares: &[f64]) -> Vec<f64> {
        let copies = self.copies(shares.len());
        let part = |expert: &Expert| {
            let share = shares.get(*expert).copied().unwrap_or_default();
            share / copies.get(*expert).copied().unwrap_or(1).max(1) as f64
        };
        let load = |held: &BTreeSet<Expert>| held.iter().map(part).sum();
        self.ranks.iter().map(load).collect()
    }
}

/// Placement of the experts of all sets.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct GroupMap {
    /// Placement of each set, indexed by set.
    pub sets: Vec<SetMap>,
}

impl GroupMap {
    /// Initial map of a newly formed group: the experts of every set are assigned round-robin.
    #[must_use]
    pub fn round_robin(sets: usize, ranks: usize, experts: usize) -> Self {
        Self {
            sets: vec![SetMap::round_robin(ranks, experts); sets],
        }
    }

    /// Builds a map from the experts that each rank holds, by rank and set. `None` if there are no
    /// ranks or they report different numbers of sets.
    #[must_use]
    pub fn of_ranks(ranks: &[Vec<BTreeSet<Expert>>]) -> Option<Self> {
        let sets = ranks.first()?.len();
        if ranks.iter().any(|r| r.len() != sets) {
            return None;
        }
        let set = |s: usize| SetMap {
            ranks: ranks.iter().map(|r| r[s].clone()).collect(),
        };
        Some(Self {
            sets: (0..sets).map(set).collect(),
        })
    }

    /// Number of experts, over all sets, that a rank must load to change from this map to `to`.
    #[must_use]
    pub fn experts_to_load(&self, to: &Self, rank: RankIndex) -> usize {
        let pairs = self.sets.iter().zip(&to.sets);
        pairs
            .map(
                |(from, to)| match (from.ranks.get(rank), to.ranks.get(rank)) {
                    (Some(from), Some(to)) => to.difference(from).count(),
                    _ => 0,
                },
            )
            .sum()
    }
}

/// Place of an expert in a map: set, rank and expert.
type Place = (u16, u16, u16);

/// Difference between two maps of a group. A plan changes a few experts of a rank, so it is a
/// fraction of the size of a map.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MapChange {
    added: Vec<Place>,
    removed: Vec<Place>,
}

impl MapChange {
    /// The change from one map to another. `None` if they differ in shape, or if a number does not
    /// fit.
    #[must_use]
    pub fn between(from: &GroupMap, to: &GroupMap) -> Option<Self> {
        let mut change = Self::default();
        if from.sets.len() != to.sets.len() {
            return None;
        }
        for (set, (from, to)) in from.sets.iter().zip(&to.sets).enumerate() {
            if from.ranks.len() != to.ranks.len() {
                return None;
            }
            let set = u16::try_from(set).ok()?;
            for (rank, (from, to)) in from.ranks.iter().zip(&to.ranks).enumerate() {
                let rank = u16::try_from(rank).ok()?;
                for expert in to.difference(from) {
                    change.added.push((set, rank, u16::try_from(*expert).ok()?));
                }
                for expert in from.difference(to) {
                    let expert = u16::try_from(*expert).ok()?;
                    change.removed.push((set, rank, expert));
                }
            }
        }
        Some(change)
    }

    /// The map that results from the change. `None` if the change does not fit `base`.
    #[must_use]
    pub fn apply(&self, base: &GroupMap) -> Option<GroupMap> {
        let mut map = base.clone();
        for (set, rank, expert) in &self.removed {
            let set = map.sets.get_mut(usize::from(*set))?;
            let held = set.ranks.get_mut(usize::from(*rank))?;
            held.remove(&Expert::from(*expert)).then_some(())?;
        }
        for (set, rank, expert) in &self.added {
            let set = map.sets.get_mut(usize::from(*set))?;
            let held = set.ranks.get_mut(usize::from(*rank))?;
            held.insert(Expert::from(*expert)).then_some(())?;
        }
        Some(map)
    }
}

/// Number of maps that a [`KnownMaps`] keeps: the one in use, the one that is rolled out, and those
/// of rollouts that did not end.
const MAX_KNOWN_MAPS: usize = 6;

/// Contents of the latest maps of a group's incarnation, to which a [`MapChange`] may refer.
#[derive(Clone, Debug, Default)]
pub struct KnownMaps {
    epoch: GroupEpoch,
    maps: BTreeMap<MapVersion, Arc<GroupMap>>,
}

impl KnownMaps {
    /// Adds the content of a version. A version has one content, whatever becomes of its rollout.
    pub fn insert(&mut self, epoch: GroupEpoch, version: MapVersion, map: Arc<GroupMap>) {
        if epoch < self.epoch {
            return;
        }
        if epoch > self.epoch {
            self.epoch = epoch;
            self.maps.clear();
        }
        self.maps.insert(version, map);
        while self.maps.len() > MAX_KNOWN_MAPS {
            self.maps.pop_first();
        }
    }

    /// Content of a version, if it is known.
    #[must_use]
    pub fn get(&self, epoch: GroupEpoch, version: MapVersion) -> Option<Arc<GroupMap>> {
        let map = self.maps.get(&version).filter(|_| epoch == self.epoch);
        map.map(Arc::clone)
    }
}
