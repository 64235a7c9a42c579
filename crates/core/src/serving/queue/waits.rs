//! Correction of predicted waits by the actual waits of each team.
//!
//! A prediction counts only the work that is queued on arrival. Later work of
//! teams below their share overtakes, so the work of a team above its share waits
//! longer than predicted, by a factor that changes with the load.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::types::{Now, TeamId};

/// Weight of a new sample in the smoothed waits.
const GAIN: f64 = 0.1;
/// Prior wait in seconds, added to both sides of the ratio, that draws the factor towards 1.
const PRIOR_S: f64 = 0.05;
/// Half-life of the correction, in seconds. A team whose work is bounced for long waits yields no
/// more samples, so its correction must decay by itself.
const HALF_LIFE_S: f64 = 5.0;
/// Minimum and maximum of the factor, so that one stall doesn't keep a team from being admitted.
const FACTOR_RANGE: (f64, f64) = (0.25, 8.0);

/// Smoothed predicted and actual waits, in seconds.
#[derive(Clone, Copy, Debug)]
struct SmoothedWaits {
    predicted_s: f64,
    waited_s: f64,
    observed_at: Now,
}

/// Correction factors of predicted waits by team.
#[derive(Clone, Debug, Default)]
pub struct WaitCorrections {
    teams: BTreeMap<TeamId, SmoothedWaits>,
}

impl WaitCorrections {
    /// Adds the predicted and actual wait of work that was started or dropped.
    pub fn observe(&mut self, now: Now, team: &TeamId, predicted: Duration, waited: Duration) {
        let smoothed = self.teams.entry(team.clone()).or_insert(SmoothedWaits {
            predicted_s: 0.0,
            waited_s: 0.0,
            observed_at: now,
        });
        smoothed.observed_at = now;
        smoothed.predicted_s += GAIN * (predicted.as_secs_f64() - smoothed.predicted_s);
        smoothed.waited_s += GAIN * (waited.as_secs_f64() - smoothed.waited_s);
    }

    /// A team's predicted wait, multiplied by its ratio of actual to predicted waits. Unchanged for
    /// a team without samples.
    #[must_use]
    pub fn correct(&self, now: Now, team: &TeamId, predicted: Duration) -> Duration {
        let Some(smoothed) = self.teams.get(team) else {
            return predicted;
        };
        let age = now.saturating_sub(smoothed.observed_at).as_secs_f64();
        let weight = (-age / HALF_LIFE_S).exp2();
        let factor =
            (smoothed.waited_s * weight + PRIOR_S) / (smoothed.predicted_s * weight + PRIOR_S);
        predicted.mul_f64(factor.clamp(FACTOR_RANGE.0, FACTOR_RANGE.1))
    }
}
