//! Planning a map that evens out the ranks' work.
//!
//! It answers a load whose popular experts change every few seconds while each loaded expert
//! slows all passes for as long as it is copied. A plan therefore starts from the map in use and
//! makes the changes that lower the most loaded rank of a set most, until the copies take as long
//! as is worth it. What is left is done by the next plan.

use std::cmp::Ordering;
use std::collections::BTreeSet;

use super::{Expert, GroupMap, RankIndex, SetMap};

/// Changes that are made in one set at most; they bound the time of planning.
const MAX_CHANGES: usize = 48;
/// Least part by which a change must lower a set's most loaded rank.
const LEAST_GAIN: f64 = 0.004;

/// Experts of the most loaded rank that are tried elsewhere.
const HEAVY_EXPERTS: usize = 4;
/// Ranks that they are tried on, the least loaded first.
const TARGETS: usize = 6;
/// Experts that are given up for them, those with least work first.
const LIGHT_EXPERTS: usize = 4;

/// Limits that a plan must observe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlanLimits {
    /// Experts that a rank may hold in a set.
    pub slots_per_rank: usize,
    /// Experts that a rank may load in a set in one plan.
    pub loads_per_set: usize,
    /// Experts that a rank may load over all sets in one plan.
    pub loads_per_rank: usize,
}

/// A plan.
#[derive(Clone, Debug, PartialEq)]
pub struct MapPlan {
    /// The map.
    pub map: GroupMap,
    /// Work of the most loaded rank against the mean, as a mean over the sets: now and then.
    pub before: f64,
    /// The same with the planned map.
    pub after: f64,
    /// Most experts that one rank loads.
    pub loads: usize,
}

/// Plans from the map in use, each expert's part of the work, by set, and the time that each rank
/// takes against a sound one. None if nothing gains.
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
    let before = excess(&sets, ranks);
    let mut left = vec![limits.loads_per_rank; ranks];
    // The least even set goes first, since the loads are shared by all.
    for _ in 0..MAX_CHANGES * sets.len() {
        let worst = |s: &&mut SetPlan| !s.finished;
        let by_load = |a: &&mut SetPlan, b: &&mut SetPlan| a.highest().total_cmp(&b.highest());
        let Some(set) = sets.iter_mut().filter(worst).max_by(by_load) else {
            break;
        };
        set.finished = !set.improve(&mut left);
    }
    let after = excess(&sets, ranks);
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

fn excess(sets: &[SetPlan], ranks: usize) -> f64 {
    let sum: f64 = sets.iter().map(|s| s.highest() * ranks as f64).sum();
    sum / sets.len().max(1) as f64
}

/// One change of a set's map.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Change {
    expert: Expert,
    /// Rank that gets a copy.
    to: RankIndex,
    /// Rank that gives its copy up.
    from: Option<RankIndex>,
    /// Expert that the receiving rank gives up for it; with `swapped`, it goes to `from`.
    evicted: Option<Expert>,
    swapped: bool,
    /// No rank gets a copy: the others that hold the expert do the work.
    dropped: bool,
}

struct SetPlan {
    map: SetMap,
    original: SetMap,
    shares: Vec<f64>,
    copies: Vec<usize>,
    /// Time that each rank takes against a sound one.
    paces: Vec<f64>,
    /// Work of each rank by the time that it takes there.
    loads: Vec<f64>,
    /// Loads of this set by rank.
    loaded: Vec<usize>,
    limits: PlanLimits,
    finished: bool,
}

impl SetPlan {
    fn new(map: &SetMap, shares: &[f64], paces: &[f64], limits: PlanLimits) -> Self {
        Self {
            copies: map.copies(shares.len()),
            loads: timed(map.loads(shares), paces),
            paces: paces.to_vec(),
            loaded: vec![0; map.ranks.len()],
            map: map.clone(),
            original: map.clone(),
            shares: shares.to_vec(),
            limits,
            finished: false,
        }
    }

    fn highest(&self) -> f64 {
        self.loads.iter().copied().fold(0.0, f64::max)
    }

    /// Work that one copy of an expert brings.
    fn part(&self, expert: Expert) -> f64 {
        self.shares[expert] / self.copies[expert].max(1) as f64
    }

    /// Makes the best change; false if none gains enough.
    fn improve(&mut self, left: &mut [usize]) -> bool {
        let by_load = |a: &usize, b: &usize| self.loads[*a].total_cmp(&self.loads[*b]);
        let mut ranks: Vec<RankIndex> = (0..self.loads.len()).collect();
        ranks.sort_by(by_load);
        let Some((top, targets)) = ranks.split_last() else {
            return false;
        };
        let targets = &targets[..targets.len().min(TARGETS)];
        let before = score(&self.loads);
        let mut best: Option<(f64, Change)> = None;
        let mut loads = Vec::with_capacity(self.loads.len());
        for change in self.candidates(*top, targets, left) {
            self.loads_after(change, &mut loads);
            let score = score(&loads);
            if best.is_none_or(|(least, _)| score < least) {
                best = Some((score, change));
            }
        }
        let Some((score, change)) = best else {
            return false;
        };
        if before - score < LEAST_GAIN * before {
            return false;
        }
        self.apply(change, left);
        true
    }

    /// Changes that take work off the most loaded rank: of its experts with most work, to the
    /// ranks with least, in place of the experts that these miss least.
    fn candidates(&self, top: RankIndex, targets: &[RankIndex], left: &[usize]) -> Vec<Change> {
        let mut changes = Vec::new();
        let heavy = self.ordered(top, |a, b| b.total_cmp(&a));
        for &expert in heavy.iter().take(HEAVY_EXPERTS) {
            if self.copies[expert] > 1 {
                changes.push(Change {
                    expert,
                    to: top,
                    from: Some(top),
                    evicted: None,
                    swapped: false,
                    dropped: true,
                });
            }
            for &to in targets {
                if self.map.ranks[to].contains(&expert) || !self.may_load(to, expert, left) {
                    continue;
                }
                self.changes_to(top, expert, to, left, &mut changes);
            }
        }
        changes
    }

    fn changes_to(
        &self,
        top: RankIndex,
        expert: Expert,
        to: RankIndex,
        left: &[usize],
        changes: &mut Vec<Change>,
    ) {
        let plain = Change {
            expert,
            to,
            from: None,
            evicted: None,
            swapped: false,
            dropped: false,
        };
        let moved = Change {
            from: Some(top),
            ..plain
        };
        if self.map.ranks[to].len() < self.limits.slots_per_rank {
            changes.extend([plain, moved]);
            return;
        }
        let light = self.ordered(to, |a, b| a.total_cmp(&b));
        for &other in light.iter().take(LIGHT_EXPERTS) {
            let evicted = Some(other);
            if self.copies[other] > 1 {
                changes.extend([Change { evicted, ..plain }, Change { evicted, ..moved }]);
            } else if !self.map.ranks[top].contains(&other) && self.may_load(top, other, left) {
                changes.push(Change {
                    evicted,
                    swapped: true,
                    ..moved
                });
            }
        }
    }

    /// Experts of a rank by the work that they bring it.
    fn ordered(&self, rank: RankIndex, by: impl Fn(f64, f64) -> Ordering) -> Vec<Expert> {
        let mut experts: Vec<Expert> = self.map.ranks[rank].iter().copied().collect();
        experts.sort_by(|a, b| by(self.part(*a), self.part(*b)));
        experts
    }

    /// Whether a rank may get an expert; one that it held at first costs nothing.
    fn may_load(&self, rank: RankIndex, expert: Expert, left: &[usize]) -> bool {
        self.original.ranks[rank].contains(&expert)
            || (left[rank] > 0 && self.loaded[rank] < self.limits.loads_per_set)
    }

    fn loads_after(&self, change: Change, loads: &mut Vec<f64>) {
        loads.clone_from(&self.loads);
        let expert = change.expert;
        let part = self.part(expert);
        if change.dropped {
            let after = self.shares[expert] / (self.copies[expert] - 1).max(1) as f64;
            self.shift(expert, after - part, loads);
            self.add_work(change.to, -after, loads);
        } else if let Some(from) = change.from {
            self.add_work(from, -part, loads);
            self.add_work(change.to, part, loads);
        } else {
            let after = self.shares[expert] / (self.copies[expert] + 1) as f64;
            self.shift(expert, after - part, loads);
            self.add_work(change.to, after, loads);
        }
        let Some(evicted) = change.evicted else {
            return;
        };
        let part = self.part(evicted);
        if change.swapped {
            self.add_work(change.to, -part, loads);
            if let Some(from) = change.from {
                self.add_work(from, part, loads);
            }
            return;
        }
        let after = self.shares[evicted] / (self.copies[evicted] - 1).max(1) as f64;
        self.shift(evicted, after - part, loads);
        self.add_work(change.to, -after, loads);
    }

    fn add_work(&self, rank: RankIndex, work: f64, loads: &mut [f64]) {
        loads[rank] += work * self.paces[rank];
    }

    /// Adds to the loads of all ranks that hold an expert.
    fn shift(&self, expert: Expert, by: f64, loads: &mut [f64]) {
        for (rank, held) in self.map.ranks.iter().enumerate() {
            if held.contains(&expert) {
                self.add_work(rank, by, loads);
            }
        }
    }

    fn apply(&mut self, change: Change, left: &mut [usize]) {
        if let Some(from) = change.from {
            self.remove(from, change.expert, left);
        }
        if let Some(evicted) = change.evicted {
            self.remove(change.to, evicted, left);
            if let Some(from) = change.from.filter(|_| change.swapped) {
                self.add(from, evicted, left);
            }
        }
        if !change.dropped {
            self.add(change.to, change.expert, left);
        }
        self.copies = self.map.copies(self.shares.len());
        self.loads = timed(self.map.loads(&self.shares), &self.paces);
    }

    fn add(&mut self, rank: RankIndex, expert: Expert, left: &mut [usize]) {
        let held: &mut BTreeSet<Expert> = &mut self.map.ranks[rank];
        if held.insert(expert) && !self.original.ranks[rank].contains(&expert) {
            self.loaded[rank] += 1;
            left[rank] = left[rank].saturating_sub(1);
        }
    }

    fn remove(&mut self, rank: RankIndex, expert: Expert, left: &mut [usize]) {
        let held: &mut BTreeSet<Expert> = &mut self.map.ranks[rank];
        if held.remove(&expert) && !self.original.ranks[rank].contains(&expert) {
            self.loaded[rank] = self.loaded[rank].saturating_sub(1);
            left[rank] += 1;
        }
    }
}

fn timed(mut loads: Vec<f64>, paces: &[f64]) -> Vec<f64> {
    for (load, pace) in loads.iter_mut().zip(paces) {
        *load *= pace;
    }
    loads
}

/// The highest load, and a little of the others so that ties of the highest are worked off.
fn score(loads: &[f64]) -> f64 {
    let highest = loads.iter().copied().fold(0.0, f64::max);
    let squares: f64 = loads.iter().map(|l| l * l).sum();
    highest + 0.1 * (squares / loads.len().max(1) as f64).sqrt()
}
