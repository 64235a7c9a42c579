//! Changes of slots: copies of experts from hot ranks on cool ranks, and exchanges between them.

use super::layer::Layer;
use super::shares::balance;

/// Maximum number of candidates for one move that are applied and balanced to compare them.
const MAX_COMPARED_MOVES: usize = 16;
/// Numbers of ranks that are considered: those with the longest predicted time (hot) and with the
/// shortest (cool).
const MAX_HOT_RANKS: usize = 4;
const MAX_COOL_RANKS: usize = 4;
/// Maximum balancing sweeps while candidates are compared, and for the result.
const COMPARE_SWEEPS: usize = 3;
const RESULT_SWEEPS: usize = 60;

/// A change of slots. It only brings experts to ranks that don't hold them.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Move {
    /// Puts a copy into an empty slot.
    Add { rank: usize, expert: usize },
    /// Puts a copy into the slot of another expert that has more copies.
    Replace {
        rank: usize,
        expert: usize,
        victim: usize,
    },
    /// Exchanges two experts, given as (rank, expert).
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

    /// Ranks whose slots change; each loads one weight.
    fn loading(self) -> impl Iterator<Item = usize> {
        let (first, second) = match self {
            Self::Add { rank, .. } | Self::Replace { rank, .. } => (rank, None),
            Self::Exchange { a, b } => (a.0, Some(b.0)),
        };
        std::iter::once(first).chain(second)
    }
}

/// Improves a layer. Balances the shares, then applies moves greedily and keeps the sequence up to
/// the point where the time saved most exceeds the cost of its loads. `cost` is the cost of a load
/// as a fraction of the layer's balanced time over the horizon, and `moves` is reduced by the
/// number of moves tried. Returns the number of loads.
pub(super) fn improve(
    layer: &mut Layer,
    cost: f64,
    min_gain: f64,
    staging: &mut [u32],
    moves: &mut usize,
) -> usize {
    balance(layer, RESULT_SWEEPS);
    let balanced = layer.balanced_time();
    let start = layer.time();
    if balanced <= 0.0 || start <= balanced * (1.0 + cost.max(min_gain)) {
        return 0;
    }
    let mut best = (0.0, 0, layer.clone(), staging.to_vec());
    let (mut trial, mut staging_left, mut loads) = (layer.clone(), staging.to_vec(), 0);
    while *moves > 0 {
        *moves -= 1;
        let Some(candidate) = best_move(&mut trial, &staging_left) else {
            break;
        };
        candidate.apply(&mut trial);
        balance(&mut trial, RESULT_SWEEPS);
        for rank in candidate.loading() {
            staging_left[rank] -= 1;
            loads += 1;
        }
        let saved = (start - trial.time()) / balanced - cost * loads as f64;
        if saved > best.0 {
            best = (saved, loads, trial.clone(), staging_left.clone());
        }
        // Further moves can't save more than they cost.
        if (trial.time() / balanced - 1.0) < cost.max(min_gain) {
            break;
        }
    }
    let (_, loads, chosen, staging_left) = best;
    *layer = chosen;
    staging.copy_from_slice(&staging_left);
    balance(layer, RESULT_SWEEPS);
    loads
}

/// Returns the move that reduces the imbalance most per load.
fn best_move(layer: &mut Layer, staging: &[u32]) -> Option<Move> {
    let mut ranked = candidates(layer, staging);
    let compared = MAX_COMPARED_MOVES.min(ranked.len());
    if compared > 0 {
        ranked.select_nth_unstable_by(compared - 1, |a, b| b.1.total_cmp(&a.1));
    }
    let before = layer.imbalance();
    let (copies, experts_on, loads) = (
        layer.copies.clone(),
        layer.experts_on.clone(),
        layer.loads.clone(),
    );
    let mut best: Option<(f64, Move)> = None;
    for (candidate, _) in ranked.into_iter().take(compared) {
        candidate.apply(layer);
        balance(layer, COMPARE_SWEEPS);
        let gain = (before - layer.imbalance()) / candidate.loading().count() as f64;
        if gain > best.map_or(before * 1e-9, |b| b.0) {
            best = Some((gain, candidate));
        }
        layer.copies.copy_from_slice(&copies);
        layer.loads.copy_from_slice(&loads);
        for rank in candidate.loading() {
            layer.experts_on[rank].clone_from(&experts_on[rank]);
        }
    }
    best.map(|(_, candidate)| candidate)
}

/// Moves from the hottest ranks to the coolest ones, with estimates of their gain.
fn candidates(layer: &Layer, staging: &[u32]) -> Vec<(Move, f64)> {
    let time = |r: &usize| layer.loads[*r] / layer.speeds[*r];
    let mut order: Vec<usize> = (0..layer.loads.len()).collect();
    order.sort_by(|a, b| time(a).total_cmp(&time(b)));
    let cool_ranks = order.iter().copied().filter(|r| staging[*r] > 0);
    let mut found = Vec::new();
    for cool in cool_ranks.take(MAX_COOL_RANKS) {
        for hot in order.iter().rev().copied().take(MAX_HOT_RANKS) {
            if time(&hot) <= time(&cool) {
                continue;
            }
            for expert in layer.experts_on[hot].iter().copied() {
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

/// Load to move from the hot rank to the cool one so that both take the same time.
fn wanted_shift(layer: &Layer, hot: usize, cool: usize) -> f64 {
    let (a, b) = (layer.speeds[hot], layer.speeds[cool]);
    (layer.loads[hot] * b - layer.loads[cool] * a) / (a + b)
}

/// Reduction of the squared deviation when `shift` is moved and `wanted` would be ideal.
fn shift_gain(shift: f64, wanted: f64) -> f64 {
    wanted * wanted - (wanted - shift) * (wanted - shift)
}

fn add_copies(layer: &Layer, hot: usize, cool: usize, expert: usize, found: &mut Vec<(Move, f64)>) {
    let wanted = wanted_shift(layer, hot, cool);
    let here = layer.load_of(hot, expert);
    if layer.experts_on[cool].len() < layer.slots {
        let gain = shift_gain(here.min(wanted), wanted);
        found.push((Move::Add { rank: cool, expert }, gain));
        return;
    }
    for victim in layer.experts_on[cool].iter().copied() {
        if layer.copies[victim].len() < 2 {
            continue;
        }
        // The victim's traffic leaves the cool rank, which can then take more from the hot one.
        let freed = layer.load_of(cool, victim);
        let gain = shift_gain(here.min(wanted + freed / 2.0) - freed / 2.0, wanted);
        let candidate = Move::Replace {
            rank: cool,
            expert,
            victim,
        };
        found.push((candidate, gain));
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
    for other in layer.experts_on[cool].iter().copied() {
        if layer.holds(hot, other) {
            continue;
        }
        let shift = here - layer.load_of(cool, other);
        // An exchange loads two weights, so its gain counts half.
        let gain = shift_gain(shift, wanted) / 2.0;
        let candidate = Move::Exchange {
            a: (hot, expert),
            b: (cool, other),
        };
        found.push((candidate, gain));
    }
}
