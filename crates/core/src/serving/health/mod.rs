//! Slow failures: upstreams that answer, but later or worse than their peers.
//!
//! An upstream is compared with the median of the service's upstreams, so load
//! that slows all of them ejects none. At most a third is ejected at a time.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::time::Duration;

use crate::types::{HostId, Now};

/// Weight of a new sample in the smoothed figures.
const GAIN: f64 = 0.1;
/// Samples before an upstream is judged.
const MIN_SAMPLES: u32 = 20;
/// An upstream is slow when its latency is this many times the median.
const SLOW_RATIO: f64 = 3.0;
/// Latency above the median, in seconds, below which a ratio means nothing.
const SLOW_MARGIN_S: f64 = 0.05;
/// Share of failures above the median at which an upstream counts as failing.
const ERROR_MARGIN: f64 = 0.3;
/// Observations in a row by which an upstream must stand out. When load rises, one upstream
/// is the first to show it, and its peers follow within a few answers.
const STREAK: u32 = 5;
/// Shortest ejection; each one in a row is longer by the same time.
const EJECTION: Duration = Duration::from_secs(10);
/// Ejections in a row that lengthen the next one.
const MAX_EJECTIONS: u32 = 6;
/// Good answers that end probation.
const PROBATION_ANSWERS: u32 = 5;

/// How an attempt went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// The first answer came after this time.
    Answered(Duration),
    /// The attempt failed.
    Failed,
}

/// What an observation changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The upstream was ejected.
    Ejected,
    /// The upstream ended its probation and takes full load again.
    Returned,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
enum Standing {
    #[default]
    Member,
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
    errors: f64,
    streak: u32,
    standing: Standing,
    ejections: u32,
}

impl Record {
    fn observe(&mut self, observation: Observation) {
        self.samples = self.samples.saturating_add(1);
        let gain = GAIN.max(1.0 / f64::from(self.samples));
        let error = match observation {
            Observation::Answered(latency) => {
                self.latency_s += gain * (latency.as_secs_f64() - self.latency_s);
                0.0
            }
            Observation::Failed => 1.0,
        };
        self.errors += gain * (error - self.errors);
    }

    fn ejected(&self, now: Now) -> bool {
        matches!(self.standing, Standing::Ejected { until } if now < until)
    }
}

/// Health of the upstreams of all services, as one entry host sees it.
#[derive(Clone, Debug, Default)]
pub struct Health {
    records: BTreeMap<HostId, Record>,
}

impl Health {
    /// Takes an observation of `host`; `peers` are all upstreams of its service, itself included.
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
        let stands_out = self.stands_out(host, peers);
        let ejected = peers.iter().filter(|p| self.is_ejected(now, p)).count();
        let record = self.records.get_mut(host)?;
        record.streak = if stands_out { record.streak + 1 } else { 0 };
        let bad = record.streak >= STREAK;
        match record.standing {
            Standing::Ejected { until } if now < until => None,
            Standing::Probation { good } if !stands_out && observation != Observation::Failed => {
                if good + 1 < PROBATION_ANSWERS {
                    record.standing = Standing::Probation { good: good + 1 };
                    return None;
                }
                record.standing = Standing::Member;
                record.ejections = 0;
                Some(Change::Returned)
            }
            _ if bad && (ejected + 1) * 3 <= peers.len() => {
                record.ejections = (record.ejections + 1).min(MAX_EJECTIONS);
                let until = now + EJECTION * record.ejections;
                record.standing = Standing::Ejected { until };
                Some(Change::Ejected)
            }
            _ => None,
        }
    }

    /// Puts upstreams whose ejection ended on probation, with fresh figures.
    pub fn tick(&mut self, now: Now) {
        for record in self.records.values_mut() {
            if matches!(record.standing, Standing::Ejected { until } if now >= until) {
                *record = Record {
                    standing: Standing::Probation { good: 0 },
                    ejections: record.ejections,
                    ..Record::default()
                };
            }
        }
    }

    /// Whether an upstream takes nothing new now. On probation it takes one request at a time.
    #[must_use]
    pub fn is_avoided(&self, now: Now, host: &HostId, own_in_flight: u32) -> bool {
        let on_probation = |r: &Record| matches!(r.standing, Standing::Probation { .. });
        self.records
            .get(host)
            .is_some_and(|r| r.ejected(now) || on_probation(r) && own_in_flight > 0)
    }

    /// Forgets upstreams that are not known any more.
    pub fn retain(&mut self, known: impl Fn(&HostId) -> bool) {
        self.records.retain(|host, _| known(host));
    }

    fn is_ejected(&self, now: Now, host: &HostId) -> bool {
        self.records.get(host).is_some_and(|r| r.ejected(now))
    }

    fn stands_out(&self, host: &HostId, peers: &[HostId]) -> bool {
        let Some(record) = self.records.get(host) else {
            return false;
        };
        let judged = |r: &&Record| r.samples >= MIN_SAMPLES;
        let others = || {
            let others = peers.iter().filter(|p| *p != host);
            others.filter_map(|p| self.records.get(p)).filter(judged)
        };
        if !judged(&record) || others().next().is_none() {
            return false;
        }
        let latency_s = median(others().map(|r| r.latency_s));
        let errors = median(others().map(|r| r.errors));
        record.errors > errors + ERROR_MARGIN
            || record.latency_s > latency_s * SLOW_RATIO
                && record.latency_s > latency_s + SLOW_MARGIN_S
    }
}

/// Lower median; 0 of nothing.
fn median(values: impl Iterator<Item = f64>) -> f64 {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    let middle = values.len().saturating_sub(1) / 2;
    values.get(middle).copied().unwrap_or_default()
}
