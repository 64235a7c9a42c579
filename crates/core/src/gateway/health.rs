//! Health of upstreams, judged by the outcomes of requests.
//!
//! Health checks are not reliable evidence, so only requests count. An upstream that cannot be
//! reached or breaks off its answers is ejected for a time that doubles with each consecutive
//! failure; one that fails a share of its requests gets fewer of them.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Outcome;
use super::registry::UpstreamId;
use crate::types::Now;

/// Length of the first ejection after a failure; doubles with each consecutive one.
const MIN_EJECTION: Duration = Duration::from_millis(250);
/// Longest ejection before a new attempt.
const MAX_EJECTION: Duration = Duration::from_secs(4);
/// Ejection of an upstream whose address another upstream has taken over. The registry drops its
/// entry sooner, unless the platform is unavailable.
const REPLACED_EJECTION: Duration = Duration::from_secs(30);
/// Weight of a new outcome in the failure rate.
const FAILURE_SMOOTHING: f64 = 0.15;
/// Factor on the load of an upstream that fails every request.
const MAX_LOAD_FACTOR: f64 = 6.0;

#[derive(Clone, Copy, Debug, Default)]
struct Record {
    failure_rate: f64,
    consecutive_failures: u32,
    ejected_until: Now,
}

impl Record {
    fn update_failure_rate(&mut self, failure: f64) {
        self.failure_rate += FAILURE_SMOOTHING * (failure - self.failure_rate);
    }

    /// Records a complete answer, which ends a series of failures; the upstream is not ejected.
    fn record_answer(&mut self, failure: f64) -> bool {
        self.update_failure_rate(failure);
        self.consecutive_failures = 0;
        self.ejected_until = Now::ZERO;
        false
    }
}

/// Health records of the upstreams that requests were sent to.
#[derive(Clone, Debug, Default)]
pub struct UpstreamHealth {
    records: BTreeMap<UpstreamId, Record>,
}

impl UpstreamHealth {
    /// Records the outcome of an attempt. Returns whether the upstream is now ejected.
    pub fn observe(&mut self, now: Now, id: &str, outcome: Outcome) -> bool {
        let record = self.records.entry(id.to_owned()).or_default();
        match outcome {
            // The upstream may just be full, or the caller may have left early.
            Outcome::Full
            | Outcome::Declined
            | Outcome::Moved
            | Outcome::Stalled
            | Outcome::GivenUp
            | Outcome::Expired
            | Outcome::Withdrawn => false,
            Outcome::Answered => record.record_answer(0.0),
            Outcome::Failed => record.record_answer(1.0),
            Outcome::TimedOut => {
                // The deadline of the request may have been short.
                record.update_failure_rate(1.0);
                false
            }
            Outcome::Misdirected => {
                record.ejected_until = now + REPLACED_EJECTION;
                true
            }
            Outcome::Unreachable | Outcome::Broken | Outcome::Silent => {
                record.update_failure_rate(1.0);
                let ejection =
                    (MIN_EJECTION * (1 << record.consecutive_failures.min(10))).min(MAX_EJECTION);
                record.consecutive_failures += 1;
                record.ejected_until = now + ejection;
                true
            }
        }
    }

    /// Whether an upstream is ejected at the moment.
    #[must_use]
    pub fn is_ejected(&self, now: Now, id: &str) -> bool {
        self.records.get(id).is_some_and(|r| now < r.ejected_until)
    }

    /// Factor to apply to the load of an upstream; 1 without failures.
    #[must_use]
    pub fn load_factor(&self, id: &str) -> f64 {
        let failure_rate = self.records.get(id).map_or(0.0, |r| r.failure_rate);
        1.0 + (MAX_LOAD_FACTOR - 1.0) * failure_rate
    }

    /// Drops the records of upstreams that are no longer known.
    pub fn retain(&mut self, known: impl Fn(&UpstreamId) -> bool) {
        self.records.retain(|id, _| known(id));
    }
}
