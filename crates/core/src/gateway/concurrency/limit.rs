//! Limit of the streams of a service that a host keeps in flight, derived from the pauses between their events.

use std::collections::VecDeque;
use std::time::Duration;

use crate::types::Now;

/// Share of the target pause that the upper quartile of the observations is kept at. The rest is for passes
/// that read more prompts than usual: one pause of some twenty above the target makes a stream late.
const SET_POINT_SHARE: f64 = 0.81;
/// Smallest limit.
const MIN_LIMIT: f64 = 2.0;
/// Events that arrive within this time are one observation: a pass yields an event of each stream.
const OBSERVATION_TIME: Duration = Duration::from_millis(40);
/// Largest number of pauses of one observation that are kept; the median of more differs little.
const MAX_PAUSES: usize = 64;
/// Pauses below this are parts of one delivery, since no pass is that short.
const MIN_PAUSE: Duration = Duration::from_millis(3);
/// Largest number and age of the observations that count.
const MAX_OBSERVATIONS: usize = 4;
const MAX_AGE: Duration = Duration::from_millis(1_500);
/// Observations without which the limit does not change. With three or more, a single long pause, as of a stalled
/// group, is above the upper quartile.
const MIN_OBSERVATIONS: usize = 3;
/// Smallest and largest factor of a decrease.
const DECREASE: (f64, f64) = (0.8, 0.97);
/// Time between two decreases: the effect of one is seen after about two passes.
const DECREASE_INTERVAL: Duration = Duration::from_millis(250);
/// Share of the peak of the streams in flight that is left after each observation.
const PEAK_DECAY: f64 = 0.98;
/// Smallest number of further streams that a limit allows before it has been tested.
const MIN_HEADROOM: f64 = 4.0;
/// Increase per observation as a multiple of the root of the limit, at pauses of zero. The root makes hosts with
/// small limits grow faster in proportion, so that equal hosts end at equal limits.
const INCREASE_PER_ROOT: f64 = 0.3;
/// Increase per observation as a share of the limit, at pauses of zero. Without it, a large limit would need
/// several seconds to recover.
const INCREASE_SHARE: f64 = 0.03;
/// Share of the set point below which the limit increases. Without a band in between, the limits of many hosts rise
/// until some pass is too long: with 20 ranks in simulation, 4 to 7 in 100 urgent streams had one pause too long.
const INCREASE_BELOW: f64 = 0.92;

/// Adaptive limit of one service.
#[derive(Clone, Debug)]
pub struct Limit {
    /// Longest pause with which streams are in time.
    target: Duration,
    /// The limit; `None` before enough was observed.
    value: Option<f64>,
    /// Whether pauses have been too long, or requests have waited, since the limit was set.
    is_tested: bool,
    /// Recent maximum of the streams in flight, which fades.
    peak: f64,
    /// Pauses of the observation that has not ended yet, and its start.
    open: Vec<Duration>,
    opened_at: Now,
    observations: VecDeque<(Now, Duration)>,
    decreased_at: Option<Now>,
}

impl Limit {
    /// Creates a limit for a service whose streams should have no pauses above `target`.
    #[must_use]
    pub fn new(target: Duration) -> Self {
        Self {
            target,
            value: None,
            is_tested: false,
            peak: 0.0,
            open: Vec::new(),
            opened_at: Now::ZERO,
            observations: VecDeque::new(),
            decreased_at: None,
        }
    }

    /// Changes the target pause.
    pub fn set_target(&mut self, target: Duration) {
        self.target = target;
    }

    /// The limit; `None` if there is none.
    #[must_use]
    pub fn value(&self) -> Option<f64> {
        self.value
    }

    /// Whether one more stream may be in flight.
    #[must_use]
    pub fn allows(&self, in_flight: usize) -> bool {
        self.value.is_none_or(|v| in_flight as f64 + 1.0 <= v)
    }

    /// Number of streams that have to end before the limit allows another one.
    #[must_use]
    pub fn excess(&self, in_flight: usize) -> f64 {
        self.value
            .map_or(0.0, |v| (in_flight as f64 + 1.0 - v).max(0.0))
    }

    /// Removes the limit, as there is no stream in flight that tells anything.
    pub fn clear(&mut self) {
        self.value = None;
        self.is_tested = false;
        self.peak = 0.0;
        self.open.clear();
        self.observations.clear();
        self.decreased_at = None;
    }

    /// Upper quartile of the recent observations; zero if there are too few.
    #[must_use]
    pub fn pause(&self) -> Duration {
        if self.observations.len() < MIN_OBSERVATIONS {
            return Duration::ZERO;
        }
        let mut pauses: Vec<Duration> = self.observations.iter().map(|o| o.1).collect();
        pauses.sort_unstable();
        pauses[(pauses.len() - 1) * 3 / 4]
    }

    /// Records the pause before an event. `in_flight` is the number of streams, and `is_binding` tells whether
    /// requests wait for the limit.
    pub fn record(&mut self, now: Now, pause: Duration, in_flight: usize, is_binding: bool) {
        if !self.open.is_empty() && now >= self.opened_at + OBSERVATION_TIME {
            self.observe();
            self.adjust(now, in_flight, is_binding);
        }
        if pause < MIN_PAUSE {
            return;
        }
        if self.open.is_empty() {
            self.opened_at = now;
        }
        if self.open.len() < MAX_PAUSES {
            self.open.push(pause);
        }
    }

    /// Ends the open observation.
    fn observe(&mut self) {
        self.open.sort_unstable();
        let median = self.open[self.open.len() / 2];
        self.open.clear();
        self.observations.push_back((self.opened_at, median));
        while self.observations.len() > MAX_OBSERVATIONS {
            self.observations.pop_front();
        }
    }

    fn adjust(&mut self, now: Now, in_flight: usize, is_binding: bool) {
        self.observations.retain(|o| now < o.0 + MAX_AGE);
        let pause = self.pause();
        if pause.is_zero() {
            return;
        }
        let target = self.target.as_secs_f64().max(0.001);
        let ratio = pause.as_secs_f64() / (target * SET_POINT_SHARE);
        self.peak = (in_flight as f64).max(self.peak * PEAK_DECAY);
        if ratio > 1.0 {
            self.is_tested = true;
            self.decrease(now, ratio, in_flight as f64);
            return;
        }
        let ratio = ratio / INCREASE_BELOW;
        if !self.is_tested && !is_binding {
            // Pauses grow at most in proportion to the streams.
            self.value = Some((self.peak / ratio).max(self.peak + MIN_HEADROOM));
        } else if let (Some(value), true) = (self.value, is_binding) {
            self.is_tested = true;
            let step = INCREASE_PER_ROOT * value.sqrt() + INCREASE_SHARE * value;
            self.value = Some(value + step * (1.0 - ratio).max(0.0));
        }
    }

    /// Decreases the limit. While more streams are in flight than it allows, it follows them: pauses are long
    /// until these have ended, and to decrease it again would count the same pauses twice.
    fn decrease(&mut self, now: Now, ratio: f64, in_flight: f64) {
        if self
            .decreased_at
            .is_some_and(|at| now < at + DECREASE_INTERVAL)
        {
            return;
        }
        let factor = (1.0 / ratio).clamp(DECREASE.0, DECREASE.1);
        let value = match self.value {
            None => in_flight * factor,
            Some(value) if in_flight > value => value.min(in_flight * factor),
            Some(value) => value.min(self.peak) * factor,
        };
        self.decreased_at = Some(now);
        self.value = Some(value.max(MIN_LIMIT));
    }
}
