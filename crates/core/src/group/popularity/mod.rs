//! Popularity of a layer's experts: smoothed shares with a trend.
//!
//! Counts arrive late and are noisy, so each expert's share of the layer's traffic is smoothed and
//! its trend is extrapolated over the lag. The weight of a new count depends on how far the counts
//! changed beyond their own noise, as in a Kalman filter of a random walk: counts of a steady layer
//! are averaged over many windows, and a sudden shift is followed at once.

#[cfg(test)]
mod tests;

/// Weight of a window in the moving average of the drift.
const DRIFT_WEIGHT: f64 = 0.3;
/// Minimum weight of a new count, so that a slow drift is followed.
const MIN_WEIGHT: f64 = 0.05;
/// Weight of a new change in the trend.
const TREND_WEIGHT: f64 = 0.05;
/// Factor by which the trend decays from one observation to the next.
const TREND_DAMPING: f64 = 0.9;

/// Popularity of one layer's experts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Popularity {
    level: Vec<f64>,
    trend: Vec<f64>,
    drift: f64,
}

impl Popularity {
    /// Whether there were no observations yet.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.level.is_empty()
    }

    /// Records the tokens that each expert processed in one window. A window without tokens is
    /// ignored; a different number of experts resets the estimate.
    pub fn observe(&mut self, counts: &[u64]) {
        let total: u64 = counts.iter().sum();
        if total == 0 {
            return;
        }
        let total = total as f64;
        let shares: Vec<f64> = counts.iter().map(|c| *c as f64 / total).collect();
        if self.level.len() != shares.len() {
            self.trend = vec![0.0; shares.len()];
            self.level = shares;
            return;
        }
        let drift = self.drift(&shares, total);
        for ((level, trend), share) in self.level.iter_mut().zip(&mut self.trend).zip(shares) {
            let expected = (*level + *trend).max(0.0);
            // Kalman gain: variance of the drift, divided by the sum of it and the variance of the
            // noise.
            let drift_variance = drift * expected;
            let weight = (drift_variance / (drift_variance + 1.0 / total)).max(MIN_WEIGHT);
            let new = expected + weight * (share - expected);
            *trend = TREND_DAMPING * (*trend + TREND_WEIGHT * (new - expected));
            *level = new;
        }
    }

    /// Variance of the relative change of an expert's share from one window to the next. It is a
    /// moving average, but a window with a larger change counts at once.
    fn drift(&mut self, shares: &[f64], total: f64) -> f64 {
        let pairs = self.level.iter().zip(&self.trend).zip(shares);
        let (mut changes, mut squares) = (0.0, 0.0);
        for ((level, trend), share) in pairs {
            let expected = (level + trend).max(0.0);
            changes += (share - expected) * (share - expected);
            squares += expected * expected;
        }
        // The variance of a count equals the count, so that of all shares together is 1 / total.
        let noise = 1.0 / total;
        let current = (changes - noise).max(0.0) / squares.max(f64::MIN_POSITIVE);
        self.drift += DRIFT_WEIGHT * (current - self.drift);
        self.drift.max(current)
    }

    /// Expected share of each expert `windows` observations ahead. The shares add up to 1.
    #[must_use]
    pub fn expected(&self, windows: f64) -> Vec<f64> {
        let pairs = self.level.iter().zip(&self.trend);
        let mut shares: Vec<f64> = pairs
            .map(|(level, trend)| (level + trend * windows).max(0.0))
            .collect();
        let sum: f64 = shares.iter().sum();
        if sum > 0.0 {
            for share in &mut shares {
                *share /= sum;
            }
        }
        shares
    }
}
