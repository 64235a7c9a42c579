//! Popularity of a layer's experts: smoothed counts with trend.
//!
//! Counts come late and are noisy, so each expert's share of the layer's traffic
//! is smoothed and its trend is followed over the lag. How much a new count
//! weighs follows from how much more the counts change than their own noise
//! explains, as in a Kalman filter of a random walk: counts of a steady layer
//! are averaged over many windows, and a jump is followed at once.

#[cfg(test)]
mod tests;

/// Weight of a window in the estimate of the drift.
const DRIFT_WEIGHT: f64 = 0.3;
/// Least weight of a new count, so that a slow drift is noticed.
const LEAST_WEIGHT: f64 = 0.05;
/// Weight of a new change in the trend.
const TREND_WEIGHT: f64 = 0.05;
/// Part of the trend that is kept from one observation to the next.
const TREND_DAMPING: f64 = 0.9;

/// Popularity of one layer's experts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Popularity {
    level: Vec<f64>,
    trend: Vec<f64>,
    drift: f64,
}

impl Popularity {
    /// Whether nothing was observed yet.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.level.is_empty()
    }

    /// Takes the tokens that each expert processed in a window.
    /// A window without tokens changes nothing; one for another number of experts starts anew.
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
            // Variance of the drift over the sum of it and the counts' noise.
            let moved = drift * expected;
            let weight = (moved / (moved + 1.0 / total)).max(LEAST_WEIGHT);
            let new = expected + weight * (share - expected);
            *trend = TREND_DAMPING * (*trend + TREND_WEIGHT * (new - expected));
            *level = new;
        }
    }

    /// Variance of the relative change of an expert's share from one window to the next.
    /// It is smoothed, but a window that changes more counts by itself.
    fn drift(&mut self, shares: &[f64], total: f64) -> f64 {
        let pairs = self.level.iter().zip(&self.trend).zip(shares);
        let (mut changes, mut squares) = (0.0, 0.0);
        for ((level, trend), share) in pairs {
            let expected = (level + trend).max(0.0);
            changes += (share - expected) * (share - expected);
            squares += expected * expected;
        }
        // The noise of a count is its own size, so all counts together have that of the total.
        let noise = 1.0 / total;
        let now = (changes - noise).max(0.0) / squares.max(f64::MIN_POSITIVE);
        self.drift += DRIFT_WEIGHT * (now - self.drift);
        self.drift.max(now)
    }

    /// Expected share of each expert, `windows` observations ahead. The shares add up to 1.
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
