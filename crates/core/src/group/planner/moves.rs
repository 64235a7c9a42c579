//! Changes of slots: copies of hot experts on cool ranks, and exchanges.

use super::layer::Layer;
use super::shares::balance;

/// Candidates whose shares are balanced before the best is chosen.
const TRIED: usize = 16;
/// Slowest and coolest ranks that are considered.
const HOT_RANKS: usize = 4;
const COOL_RANKS: usize = 4;
/// Sweeps while candidates are compared, and for the result.
const QUICK_SWEEPS: usize = 3;
const FULL_SWEEPS: usize = 60;

/// A change of slots. All of its experts come to ranks that don't hold them.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Move {
    /// A copy in an empty slot.
    Add { rank: usize, expert: usize },
    /// A copy in the slot of another expert that has more copies.
    Replace {
        rank: usize,
        expert: usize,
        victim: usize,
    },
    /// Two experts change places.
    Exchange {
        a: (usize, usize),
        b: (usize, usize),
    },
}

impl Move {
    fn apply(self, layer: &mut Layer) {
        match self {
            Self::Add { rank, expert } => layer.add(rank, expert),
            Self::Replace {
                rank,
                expert,
                victim,
            } => {
                layer.remove(rank, victim);
                layer.add(rank, expert);
            }
            Self::Exchange {
                a: (hot, from_hot),
                b: (cool, from_cool),
            } => {
                layer.add(cool, from_hot);
                layer.remove(hot, from_hot);
                layer.add(hot, from_cool);
                layer.remove(cool, from_cool);
            }
        }
    }

    /// Ranks whose slots change; each loads a weight.
    fn loading(self) -> impl Iterator<Item = usize> {
        let (first, second) = match self {
            Self::Add { rank, .. } | Self::Replace { rank, .. } => (rank, None),
            Self::Exchange { a, b } => (a.0, Some(b.0)),
        };
        std::iter::once(first).chain(second)
    }
}

/// Improves a layer: shares first, then the prefix of a greedy row of moves that
/// saves most after its cost. `cost` is the cost of a load in units of the
/// layer's balanced time over the horizon, and `moves` counts down the moves that may
/// be tried. Returns the loads.
pub(super) fn improve(
    layer: &mut Layer,
    cost: f64,
    min_gain: f64,
    staging: &mut [u32],
    moves: &mut usize,
) -> usize {
    balance(layer, FULL_SWEEPS);
    let unit = layer.balanced_time();
    let start = layer.time();
    if unit <= 0.0 || start <= unit * (1.0 + cost.max(min_gain)) {
        return 0;
    }
    let mut best = (0.0, 0, layer.clone(), staging.to_vec());
    let (mut trial, mut left, mut loads) = (layer.clone(), staging.to_vec(), 0);
    while *moves > 0 {
        *moves -= 1;
        let Some(step) = best_move(&mut trial, &left) else {
            break;
        };
        step.apply(&mut trial);
        balance(&mut trial, FULL_SWEEPS);
        for rank in step.loading() {
            left[rank] -= 1;
            loads += 1;
        }
        let saved = (start - trial.time()) / unit - cost * loads as f64;
        if saved > best.0 {
            best = (saved, loads, trial.clone(), left.clone());
        }
        // The rest can't save more than it costs.
        if (trial.time() / unit - 1.0) < cost.max(min_gain) {
            break;
        }
    }
    let (_, loads, chosen, left) = best;
    *layer = chosen;
    staging.copy_from_slice(&left);
    balance(layer, FULL_SWEEPS);
    loads
}

/// The move that lowers the imbalance most per load.
fn best_move(layer: &mut Layer, staging: &[u32]) -> Option<Move> {
    let mut ranked = candidates(layer, staging);
    let tried = TRIED.min(ranked.len());
    if tried > 0 {
        ranked.select_nth_unstable_by(tried - 1, |a, b| b.1.total_cmp(&a.1));
    }
    let before = layer.imbalance();
    let (copies, held, loads) = (
        layer.copies.clone(),
        layer.held.clone(),
        layer.loads.clone(),
    );
    let mut best: Option<(f64, Move)> = None;
    for (step, _) in ranked.into_iter().take(tried) {
        step.apply(layer);
        balance(layer, QUICK_SWEEPS);
        let gain = (before - layer.imbalance()) / step.loading().count() as f64;
        if gain > best.map_or(before * 1e-9, |b| b.0) {
            best = Some((gain, step));
        }
        layer.copies.copy_from_slice(&copies);
        layer.loads.copy_from_slice(&loads);
        for rank in step.loading() {
            layer.held[rank].clone_from(&held[rank]);
        }
    }
    best.map(|(_, step)| step)
}

/// Moves from the slowest ranks to the coolest ones, with an estimate of their gain.
fn candidates(layer: &Layer, staging: &[u32]) -> Vec<(Move, f64)> {
    let time = |r: &usize| layer.loads[*r] / layer.speeds[*r];
    let mut order: Vec<usize> = (0..layer.loads.len()).collect();
    order.sort_by(|a, b| time(a).total_cmp(&time(b)));
    let cool_ranks = order.iter().copied().filter(|r| staging[*r] > 0);
    let mut found = Vec::new();
    for cool in cool_ranks.take(COOL_RANKS) {
        for hot in order.iter().rev().copied().take(HOT_RANKS) {
            if time(&hot) <= time(&cool) {
                continue;
            }
            for expert in layer.held[hot].iter().copied() {
                if layer.holds(cool, expert) {
                    continue;
                }
                add_copies(layer, hot, cool, expert, &mut found);
                if staging[hot] > 0 {
                    add_exchanges(layer, hot, cool, expert, &mut found);
                }
            }
        }
    }
    found
}

/// Load that should go from one rank to another for equal times.
fn wanted_shift(layer: &Layer, hot: usize, cool: usize) -> f64 {
    let (a, b) = (layer.speeds[hot], layer.speeds[cool]);
    (layer.loads[hot] * b - layer.loads[cool] * a) / (a + b)
}

/// Gain from shifting some load where `wanted` would be ideal: the square that it takes off.
fn shift_gain(shift: f64, wanted: f64) -> f64 {
    wanted * wanted - (wanted - shift) * (wanted - shift)
}

fn add_copies(layer: &Layer, hot: usize, cool: usize, expert: usize, found: &mut Vec<(Move, f64)>) {
    let wanted = wanted_shift(layer, hot, cool);
    let here = layer.load_of(hot, expert);
    if layer.held[cool].len() < layer.slots {
        let gain = shift_gain(here.min(wanted), wanted);
        found.push((Move::Add { rank: cool, expert }, gain));
        return;
    }
    for victim in layer.held[cool].iter().copied() {
        if layer.copies[victim].len() < 2 {
            continue;
        }
        // The victim's traffic leaves the cool rank, which can take more of the hot one's.
        let freed = layer.load_of(cool, victim);
        let gain = shift_gain(here.min(wanted + freed / 2.0) - freed / 2.0, wanted);
        let step = Move::Replace {
            rank: cool,
            expert,
            victim,
        };
        found.push((step, gain));
    }
}

fn add_exchanges(
    layer: &Layer,
    hot: usize,
    cool: usize,
    expert: usize,
    found: &mut Vec<(Move, f64)>,
) {
    let wanted = wanted_shift(layer, hot, cool);
    let here = layer.load_of(hot, expert);
    for other in layer.held[cool].iter().copied() {
        if layer.holds(hot, other) {
            continue;
        }
        let shift = here - layer.load_of(cool, other);
        // Two loads: the gain counts half.
        let gain = shift_gain(shift, wanted) / 2.0;
        let step = Move::Exchange {
            a: (hot, expert),
            b: (cool, other),
        };
        found.push((step, gain));
    }
}
