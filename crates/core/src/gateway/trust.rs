//! How far upstreams are trusted, from what requests show.
//!
//! Health checks may say anything, so only requests count. An upstream that can't be reached or
//! breaks its answers is left out for a while that doubles with each failure in a row; one that
//! fails a share of its requests gets fewer of them.

use std::collections::BTreeMap;
use std::time::Duration;

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

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// A whole answer came.
    Good,
    /// The upstream answered with a failure of its own.
    Failed,
    /// It did not answer before the time of the request ran out, which may have been short.
    Late,
    /// It refused the request unrun; it may just be full.
    Refused,
    /// It could not be reached, broke off, or sent what is no answer to the request.
    Broken,
    /// Another upstream has its address.
    Replaced,
}

#[derive(Clone, Copy, Debug, Default)]
struct Record {
    failures: f64,
    streak: u32,
    avoid_until: Now,
}

/// Records of upstreams.
#[derive(Clone, Debug, Default)]
pub struct Trust {
    records: BTreeMap<UpstreamId, Record>,
}

impl Trust {
    /// Takes an observation; returns whether the upstream is now left out.
    pub fn observe(&mut self, now: Now, id: &str, observation: Observation) -> bool {
        let record = self.records.entry(id.to_owned()).or_default();
        let failure = match observation {
            Observation::Good => 0.0,
            Observation::Refused => return false,
            Observation::Replaced => {
                record.avoid_until = now + REPLACED_PAUSE;
                return true;
            }
            Observation::Failed | Observation::Late | Observation::Broken => 1.0,
        };
        record.failures += GAIN * (failure - record.failures);
        if observation == Observation::Late {
            return false;
        }
        if observation != Observation::Broken {
            record.streak = 0;
            record.avoid_until = Now::ZERO;
            return false;
        }
        let pause = (FIRST_PAUSE * (1 << record.streak.min(10))).min(LONGEST_PAUSE);
        record.streak += 1;
        record.avoid_until = now + pause;
        true
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
