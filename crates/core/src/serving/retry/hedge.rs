//! When a hedge is due: after a first answer is later than nearly all others.

use std::time::Duration;

/// First answers that are seen before hedges begin.
const MIN_SAMPLES: u32 = 20;
/// Shortest delay of a hedge; below it a hedge costs more than the wait.
const MIN_DELAY: Duration = Duration::from_millis(20);
/// Weights of a new sample in the mean and in the deviation, as in RFC 6298.
const MEAN_GAIN: f64 = 0.125;
const DEVIATION_GAIN: f64 = 0.25;
/// Deviations above the mean at which a first answer counts as late, as in RFC 6298.
const DEVIATIONS: f64 = 4.0;

/// Estimate of a service's time to the first answer.
#[derive(Clone, Copy, Debug, Default)]
pub struct HedgeDelay {
    samples: u32,
    mean_s: f64,
    deviation_s: f64,
}

impl HedgeDelay {
    /// Takes the time that a first answer took.
    pub fn observe(&mut self, first_answer: Duration) {
        let sample = first_answer.as_secs_f64();
        if self.samples == 0 {
            self.mean_s = sample;
            self.deviation_s = sample / 2.0;
        } else {
            let deviation = (sample - self.mean_s).abs();
            self.deviation_s += DEVIATION_GAIN * (deviation - self.deviation_s);
            self.mean_s += MEAN_GAIN * (sample - self.mean_s);
        }
        self.samples = self.samples.saturating_add(1);
    }

    /// Time after a dispatch at which a hedge is due; none before enough is known.
    #[must_use]
    pub fn delay(&self) -> Option<Duration> {
        if self.samples < MIN_SAMPLES {
            return None;
        }
        let delay = Duration::from_secs_f64(self.mean_s + DEVIATIONS * self.deviation_s);
        Some(delay.max(MIN_DELAY))
    }
}
