//! Planning of a map that balances the ranks' work.
//!
//! Popular experts change every few seconds, and each expert that is loaded slows all passes while
//! it is copied. A plan therefore starts from the map in use and greedily applies the change that
//! most reduces the load of a set's busiest rank, until the limit of loads is reached or no change
//! gains enough. Later plans continue from there.

use std::cmp::Ordering;
use std::collections::BTreeSet;

use super::{Expert, GroupMap, RankIndex, SetMap};

/// Upper bound of the changes in one set; it bounds the time of planning.
const MAX_CHANGES_PER_SET: usize = 48;
/// Smallest relative reduction of a set's score that justifies a change.
const MIN_GAIN: f64 = 0.004;

/// Number of the busiest rank's experts, those with most work first, that are considered for a
/// move.
const HEAVY_CANDIDATES: usize = 4;
/// Number of target ranks, the least loaded first, that are considered for them.
const TARGET_CANDIDATES: usize = 6;
/// Number of a target's experts, those with least work first, that are considered for eviction.
const EVICTION_CANDIDATES: usize = 4;

/// Limits that a plan must observe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlanLimits {
    /// Experts that a rank has memory for in each set.
    pub slots_per_rank: usize,
    /// Experts that a rank may load in one set in one plan.
    pub loads_per_set: usize,
    /// Experts that a rank may load over all sets in one plan.
    pub loads_per_rank: usize,
}

/// A planned map with its expected effect.
#[derive(Clone, Debug, PartialEq)]
pub struct MapPlan {
    /// Map to roll out.
    pub map: GroupMap,
    /// Load of the busiest rank relative to the mean load, averaged over the sets, with the map in
    /// use. 1 is perfect balance.
    pub before: f64,
    /// The same figure with the planned map.
    pub after: f64,
    /// Largest number of experts that any one rank has to load.
    pub loads: usize,
}

/// Plans a map from the map in use, each expert's share of the work by set, and the pace of each
/// rank relative to a healthy one. Returns `None` if no change gains enough.
#[must_use]
pub fn plan(
    from: &GroupMap,
    shares: &[Vec<f64>],
    paces: &[f64],
    limits: PlanLimits,
) -> Option<MapPlan> {
    if from.sets.len() != shares.len() || from.sets.is_empty() {
        return None;
    }
    let pairs = from.sets.iter().zip(shares);
    let ranks = from.sets.first().map_or(0, |s| s.ranks.len());
    let pace = |rank: RankIndex| paces.get(rank).map_or(1.0, |pace| pace.max(1.0));
    let paces: Vec<f64> = (0..ranks).map(pace).collect();
    let mut sets: Vec<SetPlan> = pairs
        .map(|(map, s)| SetPlan::new(map, s, &paces, limits))
        .collect();
    let before = mean_imbalance(&sets, ranks);
    let mut remaining_loads = vec![limits.loads_per_rank; ranks];
    // The least balanced set goes first, since all sets share the limit of loads per rank.
    for _ in 0..MAX_CHANGES_PER_SET * sets.len() {
        let unfinished = |s: &&mut SetPlan| !s.finished;
        let by_load = |a: &&mut SetPlan, b: &&mut SetPlan| a.max_load().total_cmp(&b.max_load());
        let Some(set) = sets.iter_mut().filter(unfinished).max_by(by_load) else {
            break;
        };
        set.finished = !set.apply_best_change(&mut remaining_loads);
    }
    let after = mean_imbalance(&sets, ranks);
    let map = GroupMap {
        sets: sets.into_iter().map(|s| s.map).collect(),
    };
    let loads = (0..ranks).map(|r| from.experts_to_load(&map, r)).max()?;
    (map != *from).then_some(MapPlan {
        map,
        before,
        after,
        loads,
    })
}

fn mean_imbalance(sets: &[SetPlan], ranks: usize) -> f64 {
    let sum: f64 = sets.iter().map(|s| s.max_load() * ranks as f64).sum();
    sum / sets.len().max(1) as f64
}

/// A single change of a set's map.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Change {
    expert: Expert,
    /// Rank that receives a copy.
    to: RankIndex,
    /// Rank that loses its copy.
    from: Option<RankIndex>,
    /// Expert that the receiving rank evicts to make space; with `swapped`, it moves to `from`.
    evicted: Option<Expert>,
    swapped: bool,
    /// No rank receives a copy: the other holders of the expert take over the work.
    dropped: bool,
}

struct SetPlan {
    map: SetMap,
    original: SetMap,
    shares: Vec<f64>,
    copies: Vec<usize>,
    /// Time that each rank needs for its work, relative to a healthy one.
    paces: Vec<f64>,
    /// Work of each rank, scaled by its pace.
    loads: Vec<f64>,
    /// Experts that each rank has to load in this set.
    new_loads: Vec<usize>,
    limits: PlanLimits,
    finished: bool,
}

impl SetPlan {
    fn new(map: &SetMap, shares: &[f64], paces: &[f64], limits: PlanLimits) -> Self {
        Self {
            copies: map.copies(shares.len()),
            loads: scaled_by_pace(map.loads(shares), paces),
            paces: paces.to_vec(),
            new_loads: vec![0; map.ranks.len()],
            map: map.clone(),
            original: map.clone(),
            shares: shares.to_vec(),
            limits,
            finished: false,
        }
    }

    fn max_load(&self) -> f64 {
        self.loads.iter().copied().fold(0.0, f64::max)
    }

    /// Share of the work that falls to one copy of an expert.
    fn work_per_copy(&self, expert: Expert) -> f64 {
        self.shares[expert] / self.copies[expert].max(1) as f64
    }

    /// Applies the change with the best score. Returns false if none gains enough.
    fn apply_best_change(&mut self, remaining_loads: &mut [usize]) -> bool {
        let by_load = |a: &usize, b: &usize| self.loads[*a].total_cmp(&self.loads[*b]);
        let mut ranks: Vec<RankIndex> = (0..self.loads.len()).collect();
        ranks.sort_by(by_load);
        let Some((busiest, targets)) = ranks.split_last() else {
            return false;
        };
        let targets = &targets[..targets.len().min(TARGET_CANDIDATES)];
        let before = score(&self.loads);
        let mut best: Option<(f64, Change)> = None;
        let mut loads = Vec::with_capacity(self.loads.len());
        for change in self.candidates(*busiest, targets, remaining_loads) {
            self.loads_after_change(change, &mut loads);
            let score = score(&loads);
            if best.is_none_or(|(lowest, _)| score < lowest) {
                best = Some((score, change));
            }
        }
        let Some((score, change)) = best else {
            return false;
        };
        if before - score < MIN_GAIN * before {
            return false;
        }
        self.apply(change, remaining_loads);
        true
    }

    /// Changes that take work off the busiest rank: its experts with most work move to, or are
    /// replicated on, the least loaded ranks, in place of these ranks' experts with least work.
    fn candidates(
        &self,
        busiest: RankIndex,
        targets: &[RankIndex],
        remaining_loads: &[usize],
    ) -> Vec<Change> {
        let mut changes = Vec::new();
        let heavy = self.sorted_experts(busiest, |a, b| b.total_cmp(&a));
        for &expert in heavy.iter().take(HEAVY_CANDIDATES) {
            if self.copies[expert] > 1 {
                changes.push(Change {
                    expert,
                    to: busiest,
                    from: Some(busiest),
                    evicted: None,
                    swapped: false,
                    dropped: true,
                });
            }
            for &to in targets {
                if self.map.ranks[to].contains(&expert)
                    || !self.may_load(to, expert, remaining_loads)
                {
                    continue;
                }
                self.changes_to(busiest, expert, to, remaining_loads, &mut changes);
            }
        }
        changes
    }

    fn changes_to(
        &self,
        busiest: RankIndex,
        expert: Expert,
        to: RankIndex,
        remaining_loads: &[usize],
        changes: &mut Vec<Change>,
    ) {
        let replicated = Change {
            expert,
            to,
            from: None,
            evicted: None,
            swapped: false,
            dropped: false,
        };
        let moved = Change {
            from: Some(busiest),
            ..replicated
        };
        if self.map.ranks[to].len() < self.limits.slots_per_rank {
            changes.extend([replicated, moved]);
            return;
        }
        let light = self.sorted_experts(to, |a, b| a.total_cmp(&b));
        for &other in light.iter().take(EVICTION_CANDIDATES) {
            let evicted = Some(other);
            if self.copies[other] > 1 {
                changes.extend([
                    Change {
                        evicted,
                        ..replicated
                    },
                    Change { evicted, ..moved },
                ]);
            } else if !self.map.ranks[busiest].contains(&other)
                && self.may_load(busiest, other, remaining_loads)
            {
                changes.push(Change {
                    evicted,
                    swapped: true,
                    ..moved
                });
            }
        }
    }

    /// Experts of a rank, sorted by the work that they bring it.
    fn sorted_experts(&self, rank: RankIndex, by: impl Fn(f64, f64) -> Ordering) -> Vec<Expert> {
        let mut experts: Vec<Expert> = self.map.ranks[rank].iter().copied().collect();
        experts.sort_by(|a, b| by(self.work_per_copy(*a), self.work_per_copy(*b)));
        experts
    }

    /// Whether a rank may receive an expert. One that it holds in the original map needs no load.
    fn may_load(&self, rank: RankIndex, expert: Expert, remaining_loads: &[usize]) -> bool {
        self.original.ranks[rank].contains(&expert)
            || (remaining_loads[rank] > 0 && self.new_loads[rank] < self.limits.loads_per_set)
    }

    fn loads_after_change(&self, change: Change, loads: &mut Vec<f64>) {
        loads.clone_from(&self.loads);
        let expert = change.expert;
        let work_per_copy = self.work_per_copy(expert);
        if change.dropped {
            let after = self.shares[expert] / (self.copies[expert] - 1).max(1) as f64;
            self.add_to_holders(expert, after - work_per_copy, loads);
            self.add_work(change.to, -after, loads);
        } else if let Some(from) = change.from {
            self.add_work(from, -work_per_copy, loads);
            self.add_work(change.to, work_per_copy, loads);
        } else {
            let after = self.shares[expert] / (self.copies[expert] + 1) as f64;
            self.add_to_holders(expert, after - work_per_copy, loads);
            self.add_work(change.to, after, loads);
        }
        let Some(evicted) = change.evicted else {
            return;
        };
        let work_per_copy = self.work_per_copy(evicted);
        if change.swapped {
            self.add_work(change.to, -work_per_copy, loads);
            if let Some(from) = change.from {
                self.add_work(from, work_per_copy, loads);
            }
            return;
        }
        let after = self.shares[evicted] / (self.copies[evicted] - 1).max(1) as f64;
        self.add_to_holders(evicted, after - work_per_copy, loads);
        self.add_work(change.to, -after, loads);
    }

    fn add_work(&self, rank: RankIndex, work: f64, loads: &mut [f64]) {
        loads[rank] += work * self.paces[rank];
    }

    /// Adds `by` to the load of every rank that holds the expert.
    fn add_to_holders(&self, expert: Expert, by: f64, loads: &mut [f64]) {
        for (rank, held) in self.map.ranks.iter().enumerate() {
            if held.contains(&expert) {
                self.add_work(rank, by, loads);
            }
        }
    }

    fn apply(&mut self, change: Change, remaining_loads: &mut [usize]) {
        if let Some(from) = change.from {
            self.remove(from, change.expert, remaining_loads);
        }
        if let Some(evicted) = change.evicted {
            self.remove(change.to, evicted, remaining_loads);
            if let Some(from) = change.from.filter(|_| change.swapped) {
                self.add(from, evicted, remaining_loads);
            }
        }
        if !change.dropped {
            self.add(change.to, change.expert, remaining_loads);
        }
        self.copies = self.map.copies(self.shares.len());
        self.loads = scaled_by_pace(self.map.loads(&self.shares), &self.paces);
    }

    fn add(&mut self, rank: RankIndex, expert: Expert, remaining_loads: &mut [usize]) {
        let held: &mut BTreeSet<Expert> = &mut self.map.ranks[rank];
        if held.insert(expert) && !self.original.ranks[rank].contains(&expert) {
            self.new_loads[rank] += 1;
            remaining_loads[rank] = remaining_loads[rank].saturating_sub(1);
        }
    }

    fn remove(&mut self, rank: RankIndex, expert: Expert, remaining_loads: &mut [usize]) {
        let held: &mut BTreeSet<Expert> = &mut self.map.ranks[rank];
        if held.remove(&expert) && !self.original.ranks[rank].contains(&expert) {
            self.new_loads[rank] = self.new_loads[rank].saturating_sub(1);
            remaining_loads[rank] += 1;
        }
    }
}

fn scaled_by_pace(mut loads: Vec<f64>, paces: &[f64]) -> Vec<f64> {
    for (load, pace) in loads.iter_mut().zip(paces) {
        *load *= pace;
    }
    loads
}

/// The highest load plus a small term for the spread, so that changes which resolve ties of the
/// highest load count as progress.
fn score(loads: &[f64]) -> f64 {
    let max_load = loads.iter().copied().fold(0.0, f64::max);
    let squares: f64 = loads.iter().map(|l| l * l).sum();
    max_load + 0.1 * (squares / loads.len().max(1) as f64).sqrt()
}
