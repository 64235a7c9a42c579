//! Aggregates the load that ranks measure, as input of the planner.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::group::map::{ExpertMap, MapId, RankId};
use crate::group::switch::RankReport;

/// Tokens of each expert by layer, and tokens and busy time of each rank.
pub(super) type LoadWindow = (Vec<Vec<u64>>, Vec<(u64, Duration)>);

/// Sum of the ranks' reports under one map since the last [`take`](Self::take).
#[derive(Clone, Debug, Default)]
pub(super) struct MeasuredLoad {
    map: MapId,
    ranks: BTreeMap<RankId, RankReport>,
}

impl MeasuredLoad {
    /// Adds a rank's report. A report under another map discards the earlier sums.
    pub fn add(&mut self, rank: RankId, report: &RankReport) {
        if report.map != self.map {
            self.map = report.map;
            self.ranks.clear();
        }
        if report.tokens.is_empty() {
            return;
        }
        match self.ranks.get_mut(&rank) {
            Some(sum) => sum.add(report),
            None => {
                self.ranks.insert(rank, report.clone());
            }
        }
    }

    /// Returns the sums and resets them. None until every rank of the map has reported tokens.
    pub fn take(&mut self, map: &ExpertMap) -> Option<LoadWindow> {
        let ranks = map.layers.first()?.ranks.len();
        if self.map != map.id || self.ranks.len() < ranks {
            return None;
        }
        let mut counts: Vec<Vec<u64>> = Vec::with_capacity(map.layers.len());
        for layer in &map.layers {
            let slots = layer.ranks.iter().flatten();
            let experts = slots.map(|c| c.expert as usize + 1).max().unwrap_or(0);
            counts.push(vec![0; experts]);
        }
        let mut work = Vec::with_capacity(ranks);
        for (rank, report) in std::mem::take(&mut self.ranks) {
            let mut rank_tokens = 0;
            for (layer, tokens) in (report.first_layer as usize..).zip(&report.tokens) {
                let Some(slots) = map
                    .layers
                    .get(layer)
                    .and_then(|l| l.ranks.get(rank as usize))
                else {
                    continue;
                };
                for (copy, tokens) in slots.iter().zip(tokens) {
                    counts[layer][copy.expert as usize] += u64::from(*tokens);
                    rank_tokens += u64::from(*tokens);
                }
            }
            work.push((rank_tokens, report.busy));
        }
        Some((counts, work))
    }
}
