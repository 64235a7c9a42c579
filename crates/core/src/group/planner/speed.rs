//! Speed of ranks, from time per token rather than time per step: an overloaded
//! rank is busy for longer with more tokens, a slow one with the same tokens.

use std::time::Duration;

/// Weight of a new measurement.
const WEIGHT: f64 = 0.3;
/// Ranks within this part of the typical speed count as typical.
const DEADBAND: f64 = 0.06;

/// Speeds of a group's ranks; 1 is the typical rank's.
#[derive(Clone, Debug, PartialEq)]
pub struct Speeds {
    smoothed: Vec<f64>,
    used: Vec<f64>,
}

impl Speeds {
    /// All ranks are typical.
    #[must_use]
    pub fn new(ranks: u32) -> Self {
        Self {
            smoothed: vec![1.0; ranks as usize],
            used: vec![1.0; ranks as usize],
        }
    }

    /// Takes each rank's processed tokens and the time that it was busy with them.
    /// A rank without tokens or time keeps its speed.
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
        let pairs = self.smoothed.iter_mut().zip(&mut self.used).zip(rates);
        for ((smoothed, used), rate) in pairs {
            let Some(rate) = rate else { continue };
            *smoothed += WEIGHT * (rate / typical - *smoothed);
            if (*smoothed - 1.0).abs() < DEADBAND {
                *used = 1.0;
            } else if (*smoothed - *used).abs() > DEADBAND * *used {
                *used = *smoothed;
            }
        }
    }

    /// Speed of each rank.
    #[must_use]
    pub fn values(&self) -> &[f64] {
        &self.used
    }
}
