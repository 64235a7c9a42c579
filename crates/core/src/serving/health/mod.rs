//! Outlier detection: ejects upstreams that are slower or fail more often than their peers.
//!
//! An upstream is compared with the median of the service's other upstreams, so load
//! that slows all of them ejects none. At most a third is ejected at a time. After its
//! ejection an upstream is on probation: it gets one request at a time until it has
//! answered `PROBATION_ANSWERS` of them well.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::time::Duration;

use crate::types::{HostId, Now};

/// Weight of a new sample in the smoothed latency and error rate.
const SMOOTHING_GAIN: f64 = 0.1;
/// Samples required before an upstream is compared with its peers.
const MIN_SAMPLES: u32 = 20;
/// Ratio to the median latency above which an upstream counts as slow.
const SLOW_RATIO: f64 = 3.0;
/// Minimum latency above the median, in seconds; for smaller differences the ratio is not
/// significant.
const SLOW_MARGIN_S: f64 = 0.05;
/// Error rate above the median, in 0..1, above which an upstream counts as failing.
const ERROR_MARGIN: f64 = 0.3;
/// Consecutive outlier observations that lead to an ejection. When load rises, one upstream slows
/// down first, and its peers follow within a few answers.
const EJECTION_STREAK: u32 = 5;
/// Duration of the first ejection; each consecutive ejection is longer by the same time.
const EJECTION_TIME: Duration = Duration::from_secs(10);
/// Number of consecutive ejections after which the duration no longer grows.
const MAX_COUNTED_EJECTIONS: u32 = 6;
/// Good answers that end probation.
const PROBATION_ANSWERS: u32 = 5;

/// Result of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// The first answer arrived this long after the dispatch.
    Answered(Duration),
    /// The attempt failed without a usable answer.
    Failed,
}

/// State change that an observation caused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The upstream is an outlier and gets no new requests for a time.
    Ejected,
    /// The upstream passed its probation and gets its full load again.
    Returned,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
enum EjectionState {
    #[default]
    Normal,
    Ejected {
        until: Now,
    },
    Probation {
        good: u32,
    },
}

#[derive(Clone, Copy, Debug, Default)]
struct Record {
    samples: u32,
    latency_s: f64,
    error_rate: f64,
    streak: u32,
    state: EjectionState,
    ejections: u32,
}

impl Record {
    fn observe(&mut self, observation: Observation) {
        self.samples = self.samples.saturating_add(1);
        let gain = SMOOTHING_GAIN.max(1.0 / f64::from(self.samples));
        let error = match observation {
            Observation::Answered(latency) => {
                self.latency_s += gain * (latency.as_secs_f64() - self.latency_s);
                0.0
            }
            Observation::Failed => 1.0,
        };
        self.error_rate += gain * (error - self.error_rate);
    }

    fn ejected(&self, now: Now) -> bool {
        matches!(self.state, EjectionState::Ejected { until } if now < until)
    }
}

/// Health of the upstreams of all services, from the attempts of one entry host.
#[derive(Clone, Debug, Default)]
pub struct Health {
    records: BTreeMap<HostId, Record>,
}

impl Health {
    /// Adds an observation of `host`; `peers` are all upstreams of its service, including `host`.
    /// Returns the state change, if there is one.
    pub fn observe(
        &mut self,
        now: Now,
        host: &HostId,
        peers: &[HostId],
        observation: Observation,
    ) -> Option<Change> {
        self.records
            .entry(host.clone())
            .or_default()
            .observe(observation);
        let is_outlier = self.is_outlier(host, peers);
        let ejected = peers.iter().filter(|p| self.is_ejected(now, p)).count();
        let record = self.records.get_mut(host)?;
        record.streak = if is_outlier { record.streak + 1 } else { 0 };
        let is_persistent = record.streak >= EJECTION_STREAK;
        match record.state {
            EjectionState::Ejected { until } if now < until => None,
            EjectionState::Probation { good }
                if !is_outlier && observation != Observation::Failed =>
            {
                if good + 1 < PROBATION_ANSWERS {
                    record.state = EjectionState::Probation { good: good + 1 };
                    return None;
                }
                record.state = EjectionState::Normal;
                record.ejections = 0;
                Some(Change::Returned)
            }
            _ if is_persistent && (ejected + 1) * 3 <= peers.len() => {
                record.ejections = (record.ejections + 1).min(MAX_COUNTED_EJECTIONS);
                let until = now + EJECTION_TIME * record.ejections;
                record.state = EjectionState::Ejected { until };
                Some(Change::Ejected)
            }
            _ => None,
        }
    }

    /// Puts upstreams whose ejection has ended on probation, and clears their samples.
    pub fn tick(&mut self, now: Now) {
        for record in self.records.values_mut() {
            if matches!(record.state, EjectionState::Ejected { until } if now >= until) {
                *record = Record {
                    state: EjectionState::Probation { good: 0 },
                    ejections: record.ejections,
                    ..Record::default()
                };
            }
        }
    }

    /// Whether an upstream should get no new request: it is ejected, or on probation with a request
    /// in flight.
    #[must_use]
    pub fn is_avoided(&self, now: Now, host: &HostId, own_in_flight: u32) -> bool {
        let on_probation = |r: &Record| matches!(r.state, EjectionState::Probation { .. });
        self.records
            .get(host)
            .is_some_and(|r| r.ejected(now) || on_probation(r) && own_in_flight > 0)
    }

    /// Drops the records of upstreams for which `known` returns false.
    pub fn retain(&mut self, known: impl Fn(&HostId) -> bool) {
        self.records.retain(|host, _| known(host));
    }

    fn is_ejected(&self, now: Now, host: &HostId) -> bool {
        self.records.get(host).is_some_and(|r| r.ejected(now))
    }

    fn is_outlier(&self, host: &HostId, peers: &[HostId]) -> bool {
        let Some(record) = self.records.get(host) else {
            return false;
        };
        let has_enough_samples = |r: &&Record| r.samples >= MIN_SAMPLES;
        let others = || {
            let others = peers.iter().filter(|p| *p != host);
            others
                .filter_map(|p| self.records.get(p))
                .filter(has_enough_samples)
        };
        if !has_enough_samples(&record) || others().next().is_none() {
            return false;
        }
        let latency_s = median(others().map(|r| r.latency_s));
        let error_rate = median(others().map(|r| r.error_rate));
        record.error_rate > error_rate + ERROR_MARGIN
            || record.latency_s > latency_s * SLOW_RATIO
                && record.latency_s > latency_s + SLOW_MARGIN_S
    }
}

/// Lower median; 0 if there are no values.
fn median(values: impl Iterator<Item = f64>) -> f64 {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    let middle = values.len().saturating_sub(1) / 2;
    values.get(middle).copied().unwrap_or_default()
}
