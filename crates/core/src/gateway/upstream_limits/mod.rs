//! Limits of requests a second that upstreams name in their answers.
//!
//! A limit is meant for all hosts together, and it is in effect as long as the upstream's answers say so.

use std::collections::BTreeMap;

use super::registry::UpstreamId;
use crate::types::Now;

/// Requests a second.
pub type Rate = f64;

/// Highest limit that is told from none, in requests a second.
const MAX_RATE: Rate = 1e6;

/// What an upstream last said.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Limit {
    /// `None` if it no longer names a limit.
    rate: Option<Rate>,
    said_at: Now,
}

/// Limits that upstreams have named, as one host knows them.
#[derive(Clone, Debug, Default)]
pub struct UpstreamLimits {
    limits: BTreeMap<UpstreamId, Limit>,
}

/// A limit as an upstream may name it; `None` if the number can't be one.
#[must_use]
pub fn valid_rate(rate: Rate) -> Option<Rate> {
    (rate.is_finite() && rate >= 0.0).then(|| rate.min(MAX_RATE))
}

impl UpstreamLimits {
    /// The limit of an upstream, if it names one.
    #[must_use]
    pub fn rate(&self, upstream: &str) -> Option<Rate> {
        self.limits.get(upstream)?.rate
    }

    /// Number of upstreams that name a limit.
    #[must_use]
    pub fn len(&self) -> usize {
        self.limits.values().filter(|l| l.rate.is_some()).count()
    }

    /// Whether no upstream names a limit.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Records the limit that an answer to a request sent at `sent_at` names, or that it names none.
    /// Returns whether the limit is another one now.
    pub fn record_answer(
        &mut self,
        now: Now,
        upstream: &str,
        sent_at: Now,
        rate: Option<Rate>,
    ) -> bool {
        let known = self.limits.get(upstream).copied();
        match (known, rate) {
            (None, None) => return false,
            // The answer may have been on its way when the limit was named.
            (Some(known), None) if known.said_at > sent_at => return false,
            _ => {}
        }
        let limit = Limit { rate, said_at: now };
        self.limits.insert(upstream.to_owned(), limit);
        known.and_then(|k| k.rate) != rate
    }

    /// Drops what is known of upstreams that are no longer listed.
    pub fn retain(&mut self, known: impl Fn(&UpstreamId) -> bool) {
        self.limits.retain(|id, _| known(id));
    }
}
