//! Where a host follows the store's objects: at the store, or at another host's copy.
//!
//! Each watch of the store costs the platform a call per change, so only a few hosts of each data
//! centre watch it: those that come first in an order that all hosts compute from the members they
//! know. The others follow one of these, in their own data centre if they can.
//!
//! A host that none of them answers asks the store itself. It has to be up to date within the settle time
//! after the end of a fault, whatever it was doing then, so the times here are shares of that, and a host
//! that was passed over is asked again if there is no other. The simulation of late changes tests the
//! sum of all steps.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::ops::Range;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::peers::PeerRecord;
use crate::rendezvous;
use crate::types::{DataCentreId, Now};

/// Number of hosts of all data centres that watch the store.
pub const WATCHERS: usize = 10;
/// The same for evacuations: ten more would add half of the idle watches of two kinds.
pub const EVACUATION_WATCHERS: usize = 3;
/// Time for which a host that could not answer is passed over, if there are others.
const AVOID_TIME: Duration = Duration::from_secs(3);
/// Share of the settle time without an answer of any watcher after which a host asks the store, drawn
/// so that not all hosts do so at once.
const SHARE_WITHOUT_SOURCE: Range<f64> = 0.25..0.45;
/// The same for evacuations. With the longer time, hosts were up to 0.23 s late when all three watchers were
/// cut off from the store.
const EVACUATION_SHARE_WITHOUT_SOURCE: Range<f64> = 0.125..0.225;
/// Share of the settle time between two attempts of such a host.
const STORE_RETRY_SHARE: f64 = 2.0 / 3.0;
/// Longest time between two attempts of such a host.
const MAX_STORE_RETRY_INTERVAL: Duration = Duration::from_secs(2);
/// Share of the settle time between two calls to hosts that are passed over, if there are no others.
const HOST_RETRY_SHARE: f64 = 1.0 / 6.0;
/// Settle time unless another one is set.
const DEFAULT_SETTLE_TIME: Duration = Duration::from_secs(3);
/// Time after the first start of a fleet in which hosts find each other before any asks the store.
const MEETING_TIME: Duration = Duration::from_millis(1_800);

/// Where to send the next call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The store.
    Store,
    /// The copy of the host at this address.
    Host(SocketAddr),
    /// None before this time.
    NoneUntil(Now),
}

/// How the hosts of a fleet share the watches of one kind of objects.
#[derive(Clone, Debug, PartialEq)]
pub struct WatchPlan {
    /// Number of hosts of all data centres that watch the store; each data centre has one at least.
    pub watchers: usize,
    /// Share of the settle time without an answer of any watcher after which a host asks the store.
    share_without_source: Range<f64>,
    /// Whether a watcher whose last call failed holds the calls of others until its next call, see
    /// [`Reach::InDoubt`](super::mirror::Reach::InDoubt).
    pub holds_calls_in_doubt: bool,
}

impl Default for WatchPlan {
    fn default() -> Self {
        Self {
            watchers: WATCHERS,
            share_without_source: SHARE_WITHOUT_SOURCE,
            holds_calls_in_doubt: true,
        }
    }
}

impl WatchPlan {
    /// The plan for evacuations. All of the few watchers may fail at once, so others go elsewhere earlier.
    #[must_use]
    pub fn of_evacuations() -> Self {
        Self {
            watchers: EVACUATION_WATCHERS,
            share_without_source: EVACUATION_SHARE_WITHOUT_SOURCE,
            holds_calls_in_doubt: false,
        }
    }
}

/// Choice of the source for one kind of objects.
#[derive(Clone, Debug)]
pub struct Sources {
    started_at: Now,
    first_start: bool,
    /// The first list was read.
    begun: bool,
    avoided: BTreeMap<SocketAddr, Now>,
    /// When the store is asked, as no source has answered since the last answer.
    ask_store_at: Option<Now>,
    next_store_attempt: Now,
    /// When a host that is passed over may be asked, if there is no other.
    next_host_retry: Now,
    settle_time: Duration,
    plan: WatchPlan,
    rng: SmallRng,
}

/// The hosts that watch the store, nearest first. `members` are the live hosts with the local one, and
/// `count` is the number of watchers in all data centres; each data centre has one at least.
#[must_use]
pub fn watchers<'a>(
    local: &PeerRecord,
    members: &[&'a PeerRecord],
    count: usize,
) -> Vec<&'a PeerRecord> {
    let places: BTreeSet<&DataCentreId> = members.iter().map(|m| &m.data_centre).collect();
    let per_place = (count / places.len().max(1)).max(1);
    let mut by_place: BTreeMap<&DataCentreId, Vec<&PeerRecord>> = BTreeMap::new();
    for member in members {
        let members = by_place.entry(&member.data_centre).or_default();
        members.push(member);
    }
    let own = rendezvous::hash(&local.host);
    let mut watchers = Vec::new();
    for (place, mut members) in by_place {
        let key = rendezvous::hash(place);
        members.sort_by_key(|m| rendezvous::weight(key, rendezvous::hash(&m.host)));
        members.truncate(per_place);
        watchers.extend(members);
    }
    // Hosts of one data centre spread over its watchers, and over those of the others.
    watchers.sort_by_key(|m| {
        let far = m.data_centre != local.data_centre;
        (far, rendezvous::weight(own, rendezvous::hash(&m.host)))
    });
    watchers
}

impl Sources {
    /// The choice of a host that starts at `now`. `first_start` is set if the whole fleet starts for
    /// the first time.
    #[must_use]
    pub fn new(now: Now, first_start: bool, seed: u64) -> Self {
        Self {
            started_at: now,
            first_start,
            begun: false,
            avoided: BTreeMap::new(),
            ask_store_at: None,
            next_store_attempt: now,
            next_host_retry: now,
            settle_time: DEFAULT_SETTLE_TIME,
            plan: WatchPlan::default(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Sets the time after a fault within which the host must be up to date again; 3 s by default.
    #[must_use]
    pub fn with_settle_time(self, settle_time: Duration) -> Self {
        Self {
            settle_time,
            ..self
        }
    }

    /// Sets how the hosts share the watches.
    #[must_use]
    pub fn with_plan(self, plan: WatchPlan) -> Self {
        Self { plan, ..self }
    }

    /// Chooses the source of the next call. `members` are the live hosts with the local one.
    pub fn choose(&mut self, now: Now, local: &PeerRecord, members: &[&PeerRecord]) -> Source {
        self.avoided.retain(|_, until| now < *until);
        let meets_until = self.started_at + MEETING_TIME;
        if !self.begun && self.first_start && now < meets_until {
            return Source::NoneUntil(meets_until);
        }
        // A restarted host knows nothing of what left meanwhile. Only the store is sure to.
        if !self.begun && !self.first_start && self.ask_store_at.is_none() {
            return Source::Store;
        }
        let watchers = watchers(local, members, self.plan.watchers);
        if members.len() <= 1 || watchers.iter().any(|w| w.host == local.host) {
            return Source::Store;
        }
        let usable = watchers
            .iter()
            .find(|w| !self.avoided.contains_key(&w.peers));
        if usable.is_none() {
            self.record_none(now);
        }
        // Hosts that are asked one after the other may take longer to fail than a host is passed over.
        let at = self.ask_store_at.map(|at| at.max(self.next_store_attempt));
        if at.is_some_and(|at| now >= at) {
            self.next_store_attempt = now + self.store_retry_interval();
            return Source::Store;
        }
        if let Some(watcher) = usable {
            return Source::Host(watcher.peers);
        }
        if now >= self.next_host_retry {
            self.next_host_retry = now + self.settle_time.mul_f64(HOST_RETRY_SHARE);
            let failed_first = watchers.iter().min_by_key(|w| self.avoided.get(&w.peers));
            if let Some(watcher) = failed_first {
                return Source::Host(watcher.peers);
            }
        }
        let at = at.unwrap_or(now);
        Source::NoneUntil(self.next_host_retry.min(at))
    }

    fn store_retry_interval(&self) -> Duration {
        let interval = self.settle_time.mul_f64(STORE_RETRY_SHARE);
        interval.min(MAX_STORE_RETRY_INTERVAL)
    }

    /// Whether sources were asked and none has answered since.
    #[must_use]
    pub fn is_without(&self) -> bool {
        self.ask_store_at.is_some()
    }

    /// Records an answer of a source.
    pub fn answered(&mut self) {
        self.begun = true;
        self.ask_store_at = None;
    }

    fn record_none(&mut self, now: Now) {
        let share = self
            .rng
            .random_range(self.plan.share_without_source.clone());
        let wait = self.settle_time.mul_f64(share);
        self.ask_store_at.get_or_insert(now + wait);
    }

    /// Records that a source did not answer, or could not.
    pub fn failed(&mut self, now: Now, source: Source) {
        self.record_none(now);
        if let Source::Host(address) = source {
            self.avoided.insert(address, now + AVOID_TIME);
        }
    }
}
