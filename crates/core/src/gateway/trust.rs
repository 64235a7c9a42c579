//! How far upstreams are trusted, from what requests show.
//!
//! Health checks may say anything, so only requests count. An upstream that can't be reached or
//! breaks its answers is left out for a while that doubles with each failure in a row; one that
//! fails a share of its requests gets fewer of them.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Outcome;
use super::registry::UpstreamId;
use crate::types::Now;

/// First time for which an upstream that failed is left out.
const FIRST_PAUSE: Duration = Duration::from_millis(250);
/// Longest time for which it is left out without a new try.
const LONGEST_PAUSE: Duration = Duration::from_secs(4);
/// Time for which an upstream is left out whose address another one has. The registry drops its
/// entry sooner, unless the platform is away.
const REPLACED_PAUSE: Duration = Duration::from_secs(30);
/// Weight of a new observation in the share of failures.
const GAIN: f64 = 0.15;
/// Factor by which an upstream that fails everything seems fuller than it is.
const FAILING_FACTOR: f64 = 6.0;

#[derive(Clone, Copy, Debug, Default)]
struct Record {
    failures: f64,
    streak: u32,
    avoid_until: Now,
}

impl Record {
    fn count(&mut self, failure: f64) {
        self.failures += GAIN * (failure - self.failures);
    }

    /// Takes a whole answer, which ends a row of failures; the upstream is not left out.
    fn answered(&mut self, failure: f64) -> bool {
        self.count(failure);
        self.streak = 0;
        self.avoid_until = Now::ZERO;
        false
    }
}

/// Records of upstreams.
#[derive(Clone, Debug, Default)]
pub struct Trust {
    records: BTreeMap<UpstreamId, Record>,
}

impl Trust {
    /// Takes how an attempt ended; returns whether the upstream is now left out.
    pub fn observe(&mut self, now: Now, id: &str, outcome: Outcome) -> bool {
        let record = self.records.entry(id.to_owned()).or_default();
        match outcome {
            // It may just be full, or the caller impatient.
            Outcome::Full | Outcome::Stalled | Outcome::GivenUp => false,
            Outcome::Answered => record.answered(0.0),
            Outcome::Failed => record.answered(1.0),
            Outcome::TimedOut => {
                // The time of the request may have been short.
                record.count(1.0);
                false
            }
            Outcome::Misdirected => {
                record.avoid_until = now + REPLACED_PAUSE;
                true
            }
            Outcome::Unreachable | Outcome::Broken => {
                record.count(1.0);
                let pause = (FIRST_PAUSE * (1 << record.streak.min(10))).min(LONGEST_PAUSE);
                record.streak += 1;
                record.avoid_until = now + pause;
                true
            }
        }
    }

    /// Whether an upstream is left out now.
    #[must_use]
    pub fn avoid(&self, now: Now, id: &str) -> bool {
        self.records.get(id).is_some_and(|r| now < r.avoid_until)
    }

    /// Factor by which an upstream's load seems higher than it is; 1 if it fails nothing.
    #[must_use]
    pub fn slowness(&self, id: &str) -> f64 {
        let failures = self.records.get(id).map_or(0.0, |r| r.failures);
        1.0 + (FAILING_FACTOR - 1.0) * failures
    }

    /// Forgets upstreams that are not known any more.
    pub fn retain(&mut self, known: impl Fn(&UpstreamId) -> bool) {
        self.records.retain(|id, _| known(id));
    }
}
