//! Hedge delay: a hedge is sent when the first token is later than nearly all others.
//!
//! The delay is estimated as the retransmission time-out of TCP (RFC 6298): mean plus a multiple
//! of the mean deviation.

use std::time::Duration;

/// Samples required before hedges are sent.
const MIN_SAMPLES: u32 = 20;
/// Minimum delay; a hedge sent earlier costs more than the wait that it could save.
const MIN_DELAY: Duration = Duration::from_millis(20);
/// Weight of a new sample in the mean, as in RFC 6298.
const MEAN_GAIN: f64 = 0.125;
/// Weight of a new sample in the mean deviation, as in RFC 6298.
const DEVIATION_GAIN: f64 = 0.25;
/// Mean deviations above the mean after which an answer counts as late, as in RFC 6298.
const DEVIATION_FACTOR: f64 = 4.0;

/// Running estimate of a service's time to the first answer.
#[derive(Clone, Copy, Debug, Default)]
pub struct HedgeDelay {
    samples: u32,
    mean_s: f64,
    deviation_s: f64,
}

impl HedgeDelay {
    /// Adds a sample: the time from dispatch to the first answer.
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

    /// Time after a dispatch at which a hedge is due; `None` before `MIN_SAMPLES` samples.
    #[must_use]
    pub fn delay(&self) -> Option<Duration> {
        if self.samples < MIN_SAMPLES {
            return None;
        }
        let delay = Duration::from_secs_f64(self.mean_s + DEVIATION_FACTOR * self.deviation_s);
        Some(delay.max(MIN_DELAY))
    }
}
