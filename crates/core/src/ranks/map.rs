//! Expert maps of a group: which ranks hold which experts.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::{Expert, RankIndex};

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
