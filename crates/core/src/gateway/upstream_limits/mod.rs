//! Limits of requests a second that upstreams name in their answers.
//!
//! A limit is meant for all hosts together, and it is in effect as long as the upstream's answers say so.
//! For each upstream, one host is the accountant, by rendezvous hashing over the live hosts. Before a
//! host sends a request to an upstream with a limit, it asks the accountant, which counts the requests
//! of all hosts in a token bucket. Shares of the limit would not do: of a few requests a second, the
//! share of one of many hosts is less than a request in the time in which a limit is judged.
//!
//! If an accountant does not answer, the next host in the order takes its place, and if that one is silent
//! too, the asking host counts an equal part for itself. A host that hears only some of the others gives
//! out as much of a limit as these hosts are of all, since the rest may be serving elsewhere.

mod message;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::registry::UpstreamId;
use crate::rendezvous;
use crate::types::{HostId, Now};

pub use message::{Message, Observation, Permit, QuestionId};

/// Requests a second.
pub type Rate = f64;

/// Highest limit that is told from none, in requests a second.
const MAX_RATE: Rate = 1e6;
/// Lowest rate at which requests are sent, in requests a second: only an answer tells that a limit has
/// ended.
const MIN_RATE: Rate = 0.25;
/// Requests that a bucket holds, beside the rate of [`BURST_TIME`].
const BURST_REQUESTS: f64 = 2.0;
/// Time whose unused rate a bucket holds.
const BURST_TIME: Duration = Duration::from_millis(500);
/// Time after which the bucket of an upstream that is not used is dropped.
const BUCKET_RETENTION: Duration = Duration::from_secs(60);
/// Hosts that may be asked about one upstream, one after the other.
const ACCOUNTANTS: usize = 2;
/// Time for which a host that did not answer once is not asked; doubles with each further time. While
/// hosts disagree on who answers, two accountants count for themselves.
const MIN_SILENT_TIME: Duration = Duration::from_millis(200);
/// Longest time for which a host is not asked.
const MAX_SILENT_TIME: Duration = Duration::from_secs(1);
/// Longest time for which an upstream counts as exhausted after a denial.
const MAX_EXHAUSTED_TIME: Duration = Duration::from_secs(4);

/// Limit that an upstream named last.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Limit {
    /// `None` if it no longer names a limit.
    rate: Option<Rate>,
    observed_at: Now,
}

/// Requests that may still be sent to an upstream.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    tokens: f64,
    filled_at: Now,
}

impl Bucket {
    fn take(&mut self, now: Now, rate: Rate) -> Permit {
        let rate = rate.max(MIN_RATE);
        let passed = now.saturating_sub(self.filled_at).as_secs_f64();
        let capacity = BURST_REQUESTS + rate * BURST_TIME.as_secs_f64();
        self.tokens = (self.tokens + rate * passed).min(capacity);
        self.filled_at = now;
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Permit::Granted;
        }
        let wait = Duration::from_secs_f64((1.0 - self.tokens) / rate);
        Permit::Denied { wait }
    }
}

/// A host that did not answer.
#[derive(Clone, Copy, Debug, Default)]
struct Silence {
    /// Questions in a row without an answer.
    count: u32,
    until: Now,
}

/// Who decides on a send to an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decider {
    /// Nobody: the upstream names no limit.
    Nobody,
    /// The local host.
    Local,
    /// Another host, which has to be asked.
    Host(HostId),
}

/// Limits that upstreams have named, as one host knows them, and the sends that it allows as their
/// accountant.
#[derive(Clone, Debug)]
pub struct UpstreamLimits {
    local: HostId,
    /// Live hosts, with the local one, and the hashes of their names.
    live: BTreeMap<HostId, u64>,
    /// Hosts that are not heard and did not say that they leave.
    absent: usize,
    limits: BTreeMap<UpstreamId, Limit>,
    buckets: BTreeMap<UpstreamId, Bucket>,
    exhausted_until: BTreeMap<UpstreamId, Now>,
    silences: BTreeMap<HostId, Silence>,
    rng: SmallRng,
}

/// A limit as an upstream may name it; `None` if the number can't be one.
#[must_use]
pub fn valid_rate(rate: Rate) -> Option<Rate> {
    (rate.is_finite() && rate >= 0.0).then(|| rate.min(MAX_RATE))
}

impl UpstreamLimits {
    /// Creates the state of a host that knows no other one.
    #[must_use]
    pub fn new(local: HostId, seed: u64) -> Self {
        let hash = rendezvous::hash(&local);
        Self {
            live: BTreeMap::from([(local.clone(), hash)]),
            local,
            absent: 0,
            limits: BTreeMap::new(),
            buckets: BTreeMap::new(),
            exhausted_until: BTreeMap::new(),
            silences: BTreeMap::new(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Sets the live hosts, and the number of those that are not heard and did not say that they leave.
    pub fn set_hosts(&mut self, live: &BTreeSet<HostId>, absent: usize) {
        self.absent = absent;
        self.live.retain(|host, _| live.contains(host));
        for host in live {
            if !self.live.contains_key(host) {
                self.live.insert(host.clone(), rendezvous::hash(host));
            }
        }
    }

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
        match (self.limits.get(upstream), rate) {
            (None, None) => return false,
            // The answer may have been on its way when the limit was named.
            (Some(known), None) if known.observed_at > sent_at => return false,
            _ => {}
        }
        self.set(
            upstream,
            Limit {
                rate,
                observed_at: now,
            },
        )
    }

    /// Records what another host knows of an upstream's limit. Returns whether the limit is another one
    /// now.
    pub fn receive(&mut self, now: Now, upstream: &str, observed: Observation) -> bool {
        let observed_at = now.saturating_sub(observed.age);
        let known = self.limits.get(upstream);
        if known.is_some_and(|k| k.observed_at >= observed_at)
            || (known.is_none() && observed.rate.is_none())
        {
            return false;
        }
        let rate = observed.rate.and_then(valid_rate);
        self.set(upstream, Limit { rate, observed_at })
    }

    fn set(&mut self, upstream: &str, limit: Limit) -> bool {
        let before = self.limits.insert(upstream.to_owned(), limit);
        let changed = before.and_then(|b| b.rate) != limit.rate;
        if changed {
            self.exhausted_until.remove(upstream);
        }
        changed
    }

    /// What is known of an upstream's limit, for other hosts.
    #[must_use]
    pub fn observation(&self, now: Now, upstream: &str) -> Option<Observation> {
        let limit = self.limits.get(upstream)?;
        Some(Observation {
            rate: limit.rate,
            age: now.saturating_sub(limit.observed_at),
        })
    }

    /// The limits that the local host is the accountant of, for a host that has just started.
    #[must_use]
    pub fn accounted(&self, now: Now) -> Vec<(UpstreamId, Observation)> {
        let own = self.limits.keys().filter(|u| self.is_accountant(u));
        let observed = own.filter_map(|u| Some((u.clone(), self.observation(now, u)?)));
        observed.filter(|(_, s)| s.rate.is_some()).collect()
    }

    /// The accountant of an upstream, whether it answers or not.
    #[must_use]
    pub fn accountant(&self, upstream: &str) -> Option<&HostId> {
        self.accountants(upstream).into_iter().next()
    }

    /// Whether the local host is the accountant of an upstream.
    #[must_use]
    pub fn is_accountant(&self, upstream: &str) -> bool {
        self.accountant(upstream) == Some(&self.local)
    }

    /// The first live hosts in the order in which they are accountants of an upstream.
    fn accountants(&self, upstream: &str) -> Vec<&HostId> {
        let key = rendezvous::hash(upstream);
        let weight = |hash: &u64| rendezvous::weight(key, *hash);
        let mut hosts: Vec<(&HostId, u64)> = self
            .live
            .iter()
            .map(|(h, hash)| (h, weight(hash)))
            .collect();
        let count = ACCOUNTANTS.min(hosts.len());
        if count < hosts.len() {
            hosts.select_nth_unstable_by_key(count, |(_, weight)| *weight);
            hosts.truncate(count);
        }
        hosts.sort_by_key(|(_, weight)| *weight);
        hosts.into_iter().map(|(host, _)| host).collect()
    }

    /// Who decides on the next send to an upstream.
    #[must_use]
    pub fn decider(&self, now: Now, upstream: &str) -> Decider {
        if self.rate(upstream).is_none() {
            return Decider::Nobody;
        }
        let is_silent = |host: &&HostId| {
            let silence = self.silences.get(*host);
            silence.is_some_and(|s| now < s.until)
        };
        let accountants = self.accountants(upstream);
        match accountants.into_iter().find(|host| !is_silent(host)) {
            Some(host) if *host != self.local => Decider::Host(host.clone()),
            _ => Decider::Local,
        }
    }

    /// Decides on a send to an upstream, as its accountant or because no accountant answers.
    pub fn decide(&mut self, now: Now, upstream: &str) -> Permit {
        let Some(rate) = self.rate(upstream) else {
            return Permit::Granted;
        };
        let is_accountant = self.accountants(upstream).contains(&&self.local);
        let live = self.live.len().max(1) as f64;
        let counted = if is_accountant { live } else { 1.0 };
        let rate = rate * counted / (live + self.absent as f64);
        let empty = Bucket {
            tokens: 0.0,
            filled_at: now,
        };
        let bucket = self.buckets.entry(upstream.to_owned());
        bucket.or_insert(empty).take(now, rate)
    }

    /// Records the answer of an accountant; `None` if it did not answer.
    pub fn record_permit(
        &mut self,
        now: Now,
        upstream: &str,
        accountant: &HostId,
        permit: Option<Permit>,
    ) {
        if permit.is_some() {
            self.silences.remove(accountant);
        } else {
            let silence = self.silences.entry(accountant.clone()).or_default();
            let time = MIN_SILENT_TIME * (1 << silence.count.min(8));
            silence.until = now + time.min(MAX_SILENT_TIME);
            silence.count += 1;
        }
        if let Some(Permit::Denied { wait }) = permit {
            self.record_denial(now, upstream, wait);
        }
    }

    /// Records that no request may be sent to an upstream for a while. Hosts come back at different
    /// times, so that not all of them ask for the same request's place.
    pub fn record_denial(&mut self, now: Now, upstream: &str, wait: Duration) {
        let wait = wait.min(MAX_EXHAUSTED_TIME);
        let wait = wait.mul_f64(self.rng.random_range(1.0..1.5));
        self.exhausted_until.insert(upstream.to_owned(), now + wait);
    }

    /// Time until a request may be sent to an upstream again; `None` if one may be now.
    #[must_use]
    pub fn exhausted_for(&self, now: Now, upstream: &str) -> Option<Duration> {
        let until = self.exhausted_until.get(upstream)?;
        (now < *until).then(|| until.saturating_sub(now))
    }

    /// Drops what is known of upstreams that are no longer listed, and what is too old.
    pub fn expire(&mut self, now: Now, known: impl Fn(&UpstreamId) -> bool) {
        self.limits.retain(|id, _| known(id));
        self.buckets
            .retain(|_, bucket| now < bucket.filled_at + BUCKET_RETENTION);
        self.exhausted_until.retain(|_, until| now < *until);
        let live = &self.live;
        self.silences.retain(|host, _| live.contains_key(host));
    }
}
