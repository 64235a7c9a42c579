//! Popularity of a layer's experts: smoothed counts with trend.
//!
//! Counts come late and are noisy, so each expert's share of the layer's traffic
//! is smoothed and its trend is followed over the lag. A jump, which is more
//! change than the counts' own noise explains, is followed at once.

#[cfg(test)]
mod tests;

/// Weight of a new observation in the level.
const LEVEL_WEIGHT: f64 = 0.25;
/// Weight of a new change in the trend.
const TREND_WEIGHT: f64 = 0.05;
/// Part of the trend that is kept from one observation to the next.
const TREND_DAMPING: f64 = 0.9;
/// Weight of an observation after a jump.
const JUMP_WEIGHT: f64 = 0.9;
/// A change beyond this many times the expected noise is a jump.
const JUMP_NOISE: f64 = 3.0;
/// Least change that is a jump, as a share of the traffic that moved.
const JUMP_SHARE: f64 = 0.08;

/// Popularity of one layer's experts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Popularity {
    level: Vec<f64>,
    trend: Vec<f64>,
}

impl Popularity {
    /// Whether nothing was observed yet.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.level.is_empty()
    }

    /// Takes the tokens that each expert processed in a window. Returns whether they jumped.
    /// A window without tokens, or for another number of experts, changes nothing or starts anew.
    pub fn observe(&mut self, counts: &[u64]) -> bool {
        let total: u64 = counts.iter().sum();
        if total == 0 {
            return false;
        }
        let shares: Vec<f64> = counts.iter().map(|c| *c as f64 / total as f64).collect();
        if self.level.len() != shares.len() {
            self.trend = vec![0.0; shares.len()];
            self.level = shares;
            return false;
        }
        let jumped = moved_share(&self.level, &shares) > jump_limit(&self.level, total);
        let weight = if jumped { JUMP_WEIGHT } else { LEVEL_WEIGHT };
        for ((level, trend), share) in self.level.iter_mut().zip(&mut self.trend).zip(shares) {
            let expected = *level + *trend;
            let new = expected + weight * (share - expected);
            *trend = if jumped {
                0.0
            } else {
                TREND_DAMPING * (*trend + TREND_WEIGHT * (new - expected))
            };
            *level = new;
        }
        jumped
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

/// Share of the traffic that moved between experts.
fn moved_share(from: &[f64], to: &[f64]) -> f64 {
    let change: f64 = from.iter().zip(to).map(|(a, b)| (a - b).abs()).sum();
    change / 2.0
}

/// Moved share that noise alone doesn't explain: the mean of a normal
/// distribution's absolute value is its deviation times the root of 2/π.
fn jump_limit(level: &[f64], total: u64) -> f64 {
    let roots: f64 = level.iter().map(|p| p.max(0.0).sqrt()).sum();
    let noise = roots * (std::f64::consts::FRAC_2_PI / total as f64).sqrt() / 2.0;
    JUMP_SHARE.max(JUMP_NOISE * noise)
}
