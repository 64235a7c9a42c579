//! Planning a map that evens out the ranks' work.
//!
//! It answers a load whose popular experts change every few seconds while each loaded expert
//! slows all passes for as long as it is copied. A plan therefore starts from the map in use and
//! makes the changes that lower the most loaded rank of a set most, until the copies take as long
//! as is worth it. What is left is done by the next plan.

use std::collections::BTreeSet;

use super::{Expert, GroupMap, RankIndex, SetMap};

/// Changes that are made in one set at most; they bound the time of planning.
const MAX_CHANGES: usize = 48;
/// Least part by which a change must lower a set's most loaded rank.
const LEAST_GAIN: f64 = 0.004;

/// Limits of a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Experts that a rank may hold in a set.
    pub slots_per_rank: usize,
    /// Experts that a rank may load in a set in one plan.
    pub loads_per_set: usize,
    /// Experts that a rank may load over all sets in one plan.
    pub loads_per_rank: usize,
}

/// A plan.
#[derive(Clone, Debug, PartialEq)]
pub struct EvenPlan {
    /// The map.
    pub map: GroupMap,
    /// Work of the most loaded rank against the mean, as a mean over the sets: now and then.
    pub before: f64,
    /// The same with the planned map.
    pub after: f64,
    /// Most experts that one rank loads.
    pub loads: usize,
}

/// Plans from the map in use and each expert's part of the work, by set. None if nothing gains.
#[must_use]
pub fn plan(from: &GroupMap, shares: &[Vec<f64>], limits: Limits) -> Option<EvenPlan> {
    if from.sets.len() != shares.len() || from.sets.is_empty() {
        return None;
    }
    let pairs = from.sets.iter().zip(shares);
    let mut sets: Vec<SetPlan> = pairs.map(|(map, s)| SetPlan::new(map, s, limits)).collect();
    let ranks = from.sets.first().map_or(0, |s| s.ranks.len());
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
    let loads = (0..ranks).map(|r| from.loads_of(&map, r)).max()?;
    (map != *from).then_some(EvenPlan {
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
}

struct SetPlan {
    map: SetMap,
    original: SetMap,
    shares: Vec<f64>,
    copies: Vec<usize>,
    loads: Vec<f64>,
    /// Loads of this set by rank.
    loaded: Vec<usize>,
    limits: Limits,
    finished: bool,
}

impl SetPlan {
    fn new(map: &SetMap, shares: &[f64], limits: Limits) -> Self {
        Self {
            copies: map.copies(shares.len()),
            loads: map.loads(shares),
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

    /// Makes the best change; false if none gains enough.
    fn improve(&mut self, left: &mut [usize]) -> bool {
        let by_load = |a: &usize, b: &usize| self.loads[*a].total_cmp(&self.loads[*b]);
        let Some(top) = (0..self.loads.len()).max_by(by_load) else {
            return false;
        };
        let before = score(&self.loads);
        let mut best: Option<(f64, Change)> = None;
        for change in self.candidates(top, left) {
            let score = score(&self.loads_after(change));
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

    /// Changes that take work off the most loaded rank.
    fn candidates(&self, top: RankIndex, left: &[usize]) -> Vec<Change> {
        let mut changes = Vec::new();
        for &expert in &self.map.ranks[top] {
            for to in 0..self.map.ranks.len() {
                if to == top
                    || self.map.ranks[to].contains(&expert)
                    || !self.may_load(to, expert, left)
                {
                    continue;
                }
                let plain = Change {
                    expert,
                    to,
                    from: None,
                    evicted: None,
                    swapped: false,
                };
                let moved = Change {
                    from: Some(top),
                    ..plain
                };
                if self.map.ranks[to].len() < self.limits.slots_per_rank {
                    changes.extend([plain, moved]);
                    continue;
                }
                for &other in &self.map.ranks[to] {
                    let evicted = Some(other);
                    if self.copies[other] > 1 {
                        changes.extend([Change { evicted, ..plain }, Change { evicted, ..moved }]);
                    } else if self.may_swap(top, other, left) {
                        changes.push(Change {
                            evicted,
                            swapped: true,
                            ..moved
                        });
                    }
                }
            }
        }
        changes
    }

    fn may_swap(&self, top: RankIndex, evicted: Expert, left: &[usize]) -> bool {
        !self.map.ranks[top].contains(&evicted) && self.may_load(top, evicted, left)
    }

    /// Whether a rank may get an expert; one that it held at first costs nothing.
    fn may_load(&self, rank: RankIndex, expert: Expert, left: &[usize]) -> bool {
        self.original.ranks[rank].contains(&expert)
            || (left[rank] > 0 && self.loaded[rank] < self.limits.loads_per_set)
    }

    fn loads_after(&self, change: Change) -> Vec<f64> {
        let mut loads = self.loads.clone();
        let expert = change.expert;
        let (share, copies) = (self.shares[expert], self.copies[expert] as f64);
        if let Some(from) = change.from {
            loads[from] -= share / copies;
            loads[change.to] += share / copies;
        } else {
            let (before, after) = (share / copies, share / (copies + 1.0));
            for (rank, held) in self.map.ranks.iter().enumerate() {
                if held.contains(&expert) {
                    loads[rank] += after - before;
                }
            }
            loads[change.to] += after;
        }
        let Some(evicted) = change.evicted else {
            return loads;
        };
        let (share, copies) = (self.shares[evicted], self.copies[evicted] as f64);
        loads[change.to] -= share / copies;
        if change.swapped {
            if let Some(from) = change.from {
                loads[from] += share / copies;
            }
            return loads;
        }
        let (before, after) = (share / copies, share / (copies - 1.0).max(1.0));
        for (rank, held) in self.map.ranks.iter().enumerate() {
            if rank != change.to && held.contains(&evicted) {
                loads[rank] += after - before;
            }
        }
        loads
    }

    fn apply(&mut self, change: Change, left: &mut [usize]) {
        if let Some(from) = change.from {
            self.remove(from, change.expert);
        }
        if let Some(evicted) = change.evicted {
            self.remove(change.to, evicted);
            if let Some(from) = change.from.filter(|_| change.swapped) {
                self.add(from, evicted, left);
            }
        }
        self.add(change.to, change.expert, left);
        self.copies = self.map.copies(self.shares.len());
        self.loads = self.map.loads(&self.shares);
    }

    fn add(&mut self, rank: RankIndex, expert: Expert, left: &mut [usize]) {
        let held: &mut BTreeSet<Expert> = &mut self.map.ranks[rank];
        if held.insert(expert) && !self.original.ranks[rank].contains(&expert) {
            self.loaded[rank] += 1;
            left[rank] = left[rank].saturating_sub(1);
        }
    }

    fn remove(&mut self, rank: RankIndex, expert: Expert) {
        let held: &mut BTreeSet<Expert> = &mut self.map.ranks[rank];
        if held.remove(&expert) && !self.original.ranks[rank].contains(&expert) {
            self.loaded[rank] = self.loaded[rank].saturating_sub(1);
        }
    }
}

/// The highest load, and a little of the others so that ties of the highest are worked off.
fn score(loads: &[f64]) -> f64 {
    let highest = loads.iter().copied().fold(0.0, f64::max);
    let squares: f64 = loads.iter().map(|l| l * l).sum();
    highest + 0.1 * (squares / loads.len().max(1) as f64).sqrt()
}
