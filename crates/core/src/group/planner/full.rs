//! Plans a layer from scratch; the baseline that incremental plans are compared with.

use super::layer::{Layer, MAX_COPIES};
use super::shares::balance;
use crate::group::map::LayerMap;

const MAX_SWEEPS: usize = 60;

/// Plans a layer by popularity alone, without regard to the present map: extra copies go to the
/// experts with the most traffic per copy, and the heaviest copy goes to the rank that would finish
/// first. None if there are fewer slots than experts.
#[must_use]
pub fn full_layer(popularity: &[f64], speeds: &[f64], slots: usize) -> Option<LayerMap> {
    let (experts, ranks) = (popularity.len(), speeds.len());
    if experts > ranks * slots {
        return None;
    }
    let mut copies = vec![1_usize; experts];
    for _ in experts..ranks * slots {
        let per_copy = |e: &usize| popularity[*e] / copies[*e] as f64;
        let open = (0..experts).filter(|e| copies[*e] < ranks.min(MAX_COPIES));
        let Some(expert) = open.max_by(|a, b| per_copy(a).total_cmp(&per_copy(b))) else {
            break;
        };
        copies[expert] += 1;
    }
    let mut order: Vec<(f64, usize)> = (0..experts)
        .flat_map(|e| (0..copies[e]).map(move |_| e))
        .map(|e| (popularity[e] / copies[e] as f64, e))
        .collect();
    order.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
    let empty = LayerMap {
        ranks: vec![Vec::new(); ranks],
    };
    let mut layer = Layer::new(&empty, popularity.to_vec(), speeds, slots)?;
    for (weight, expert) in order {
        let time = |r: &usize| (layer.loads[*r] + weight) / layer.speeds[*r];
        let open = (0..ranks).filter(|r| layer.experts_on[*r].len() < slots);
        let fitting = open.filter(|r| !layer.holds(*r, expert));
        // An extra copy is left out if each rank with a free slot already holds the expert.
        let Some(rank) = fitting.min_by(|a, b| time(a).total_cmp(&time(b))) else {
            continue;
        };
        layer.add(rank, expert);
        let last = layer.copies[expert].len() - 1;
        layer.copies[expert][last].load = weight;
        layer.loads[rank] += weight;
    }
    if layer.copies.iter().any(|c| c.is_empty()) {
        return None;
    }
    balance(&mut layer, MAX_SWEEPS);
    Some(layer.to_map())
}
