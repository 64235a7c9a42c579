//! Learned error of predicted waits.
//!
//! A prediction counts the work that is queued now. Teams below their share go
//! in front later, which makes the work of a team above its share wait longer
//! than predicted, by a factor that changes with the load.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::types::{Now, TeamId};

/// Share of the sums that a new wait replaces.
const GAIN: f64 = 0.1;
/// Weight of the assumption that predictions are right, in seconds.
const PRIOR_S: f64 = 0.05;
/// Time in which what was learned loses half its worth. A team that is bounced
/// for its long waits learns nothing more and must come back.
const HALF_LIFE_S: f64 = 5.0;
/// Bounds of the factor, so that one stall doesn't shut a team out.
const FACTORS: (f64, f64) = (0.25, 8.0);

/// Smoothed waits, predicted and true, in seconds.
#[derive(Clone, Copy, Debug)]
struct Sums {
    predicted_s: f64,
    waited_s: f64,
    learned_at: Now,
}

/// Learned error of predicted waits per team.
#[derive(Clone, Debug, Default)]
pub struct WaitCorrections {
    teams: BTreeMap<TeamId, Sums>,
}

impl WaitCorrections {
    /// Learns from work that was started or dropped.
    pub fn observe(&mut self, now: Now, team: &TeamId, predicted: Duration, waited: Duration) {
        let sums = self.teams.entry(team.clone()).or_insert(Sums {
            predicted_s: 0.0,
            waited_s: 0.0,
            learned_at: now,
        });
        sums.learned_at = now;
        sums.predicted_s += GAIN * (predicted.as_secs_f64() - sums.predicted_s);
        sums.waited_s += GAIN * (waited.as_secs_f64() - sums.waited_s);
    }

    /// A team's predicted wait, corrected by what its work waited before.
    #[must_use]
    pub fn correct(&self, now: Now, team: &TeamId, predicted: Duration) -> Duration {
        let Some(sums) = self.teams.get(team) else {
            return predicted;
        };
        let age = now.saturating_sub(sums.learned_at).as_secs_f64();
        let worth = (-age / HALF_LIFE_S).exp2();
        let factor = (sums.waited_s * worth + PRIOR_S) / (sums.predicted_s * worth + PRIOR_S);
        predicted.mul_f64(factor.clamp(FACTORS.0, FACTORS.1))
    }
}
