//! Estimates the speed of ranks from time per token.
//!
//! Time per step doesn't tell a slow rank from an overloaded one: an overloaded rank is busy for
//! longer with more tokens, a slow one with the same number of tokens.

use std::time::Duration;

/// Weight of a new measurement in the moving average.
const SMOOTHING_WEIGHT: f64 = 0.3;
/// Speeds within this fraction of the typical speed count as typical, and the speed in use follows
/// the average only when they differ by more than this fraction.
const DEAD_BAND: f64 = 0.06;

/// Speeds of a group's ranks; 1 is the typical rank's.
#[derive(Clone, Debug, PartialEq)]
pub struct Speeds {
    smoothed: Vec<f64>,
    effective: Vec<f64>,
}

impl Speeds {
    /// Creates an estimate in which all ranks have speed 1.
    #[must_use]
    pub fn new(ranks: u32) -> Self {
        Self {
            smoothed: vec![1.0; ranks as usize],
            effective: vec![1.0; ranks as usize],
        }
    }

    /// Records the tokens that each rank processed and the time that it was busy with them. A rank
    /// without tokens or busy time keeps its speed.
    pub fn observe(&mut self, work: &[(u64, Duration)]) {
        let rates: Vec<Option<f64>> = work
            .iter()
            .map(|(tokens, busy)| {
                let known = *tokens > 0 && !busy.is_zero();
                known.then(|| *tokens as f64 / busy.as_secs_f64())
            })
            .collect();
        let mut sorted: Vec<f64> = rates.iter().flatten().copied().collect();
        sorted.sort_by(f64::total_cmp);
        let Some(typical) = sorted.get(sorted.len() / 2).copied() else {
            return;
        };
        let pairs = self.smoothed.iter_mut().zip(&mut self.effective).zip(rates);
        for ((smoothed, effective), rate) in pairs {
            let Some(rate) = rate else { continue };
            *smoothed += SMOOTHING_WEIGHT * (rate / typical - *smoothed);
            if (*smoothed - 1.0).abs() < DEAD_BAND {
                *effective = 1.0;
            } else if (*smoothed - *effective).abs() > DEAD_BAND * *effective {
                *effective = *smoothed;
            }
        }
    }

    /// Speeds to plan with, indexed by rank.
    #[must_use]
    pub fn values(&self) -> &[f64] {
        &self.effective
    }
}
