//! Requests that were refused with a time to retry, which are recognized when they come back.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::types::{Now, TeamId};

/// Time after the announced one in which a caller may come back.
const GRACE: Duration = Duration::from_secs(2);
/// Largest number of records; the ones that end first make way. At 50 refusals a second, this is enough for 20 s.
const MAX_RECORDS: usize = 1_024;

/// What a request has in common with its own repetitions, which have other ids.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RetryKey {
    /// Hash of all that the request consists of.
    pub content: u64,
    /// Team of the caller.
    pub team: Option<TeamId>,
    /// Name of the route.
    pub route: String,
}

/// Refusals of this host that callers were told to retry after, with the ends of their validity.
#[derive(Clone, Debug, Default)]
pub struct Refused {
    records: BTreeMap<RetryKey, Now>,
}

impl Refused {
    /// Records a refusal whose caller may retry after `delay`.
    pub fn record(&mut self, now: Now, key: RetryKey, delay: Duration) {
        if self.records.len() >= MAX_RECORDS {
            self.records.retain(|_, until| now < *until);
        }
        if self.records.len() >= MAX_RECORDS {
            let first = self.records.iter().min_by_key(|r| *r.1);
            if let Some(key) = first.map(|r| r.0.clone()) {
                self.records.remove(&key);
            }
        }
        self.records.insert(key, now + delay + GRACE);
    }

    /// Whether a request repeats a refused one. Each refusal counts once.
    pub fn take(&mut self, now: Now, key: &RetryKey) -> bool {
        self.records.remove(key).is_some_and(|until| now < until)
    }
}
