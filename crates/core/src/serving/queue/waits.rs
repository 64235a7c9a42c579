//! Learned error of predicted waits.
//!
//! A prediction counts the work that is queued now. Teams below their share go
//! in front later, which makes the work of a team above its share wait longer
//! than predicted, by a factor that changes with the load.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::types::TeamId;

/// Share of the sums that a new wait replaces.
const GAIN: f64 = 0.1;
/// Weight of the assumption that predictions are right, in seconds.
const PRIOR_S: f64 = 0.05;
/// Largest factor, so that one stall doesn't shut a team out.
const MAX_FACTOR: f64 = 8.0;

/// Smoothed waits, predicted and true, in seconds.
#[derive(Clone, Copy, Debug)]
struct Sums {
    predicted_s: f64,
    waited_s: f64,
}

/// Learned error of predicted waits per team.
#[derive(Clone, Debug, Default)]
pub struct Waits {
    teams: BTreeMap<TeamId, Sums>,
}

impl Waits {
    /// Learns from work that was started or dropped.
    pub fn learn(&mut self, team: &TeamId, predicted: Duration, waited: Duration) {
        let sums = self.teams.entry(team.clone()).or_insert(Sums {
            predicted_s: 0.0,
            waited_s: 0.0,
        });
        sums.predicted_s += GAIN * (predicted.as_secs_f64() - sums.predicted_s);
        sums.waited_s += GAIN * (waited.as_secs_f64() - sums.waited_s);
    }

    /// A team's predicted wait, corrected by what its work waited before.
    #[must_use]
    pub fn correct(&self, team: &TeamId, predicted: Duration) -> Duration {
        let Some(sums) = self.teams.get(team) else {
            return predicted;
        };
        let factor = (sums.waited_s + PRIOR_S) / (sums.predicted_s + PRIOR_S);
        predicted.mul_f64(factor.clamp(1.0, MAX_FACTOR))
    }
}
