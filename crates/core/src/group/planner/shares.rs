//! Distributes each expert's traffic over its copies.
//!
//! The shares of one expert are set so that the ranks of its copies finish at the same time, one
//! expert after another, until nothing changes. This minimizes a convex sum (speed times squared
//! time). At the minimum the slowest rank's time is lowest too, since load can only move between
//! ranks that hold the same expert.

use super::layer::{Layer, MAX_COPIES};

/// Sweeps end when no copy's load changes by more than this fraction of the balanced time.
const MAX_RELATIVE_CHANGE: f64 = 1e-4;

/// Shifts shares between existing copies, in at most `sweeps` sweeps.
pub(super) fn balance(layer: &mut Layer, sweeps: usize) {
    let replicated: Vec<usize> = (0..layer.copies.len())
        .filter(|e| layer.copies[*e].len() > 1)
        .collect();
    let stop = MAX_RELATIVE_CHANGE * layer.balanced_time();
    for _ in 0..sweeps {
        let mut change: f64 = 0.0;
        for expert in &replicated {
            change = change.max(redistribute(layer, *expert));
        }
        if change < stop {
            return;
        }
    }
}

/// Distributes one expert's traffic over its copies. Returns the largest change of a copy's load.
fn redistribute(layer: &mut Layer, expert: usize) -> f64 {
    let mut copies = layer.copies[expert];
    let total = layer.popularity[expert];
    // Time of each copy's rank without this expert, and the rank's speed.
    let mut ranks = [(0.0, 0.0); MAX_COPIES];
    for (rank, copy) in ranks.iter_mut().zip(copies.iter()) {
        let speed = layer.speeds[copy.rank];
        let base = (layer.loads[copy.rank] - copy.load).max(0.0);
        *rank = (base / speed, speed);
    }
    let ranks = &mut ranks[..copies.len()];
    ranks.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
    let level = water_level(ranks, total);
    let mut change: f64 = 0.0;
    for copy in copies.iter_mut() {
        let speed = layer.speeds[copy.rank];
        let base = (layer.loads[copy.rank] - copy.load).max(0.0);
        let load = (level * speed - base).max(0.0);
        change = change.max((load - copy.load).abs());
        layer.loads[copy.rank] = base + load;
        copy.load = load;
    }
    layer.copies[expert] = copies;
    change
}

/// Time at which the ranks finish when `work` fills them up to a common level. `ranks` holds (time,
/// speed) pairs, sorted by time.
fn water_level(ranks: &[(f64, f64)], work: f64) -> f64 {
    let (mut speed, mut filled) = (0.0, 0.0);
    let mut level = 0.0;
    for (i, (time, rank_speed)) in ranks.iter().enumerate() {
        speed += rank_speed;
        filled += time * rank_speed;
        level = (work + filled) / speed;
        if ranks.get(i + 1).is_none_or(|next| level <= next.0) {
            break;
        }
    }
    level
}
