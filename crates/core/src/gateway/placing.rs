//! Choice of an upstream by the requests that this host has in flight.
//!
//! The engines of a group run every pass together, so a pass is as slow as its fullest rank. The
//! choice therefore balances the work in flight: it takes the upstream with the lowest resulting
//! utilization by this host's own work, which is known without delay.
//!
//! Many hosts share many upstreams and decide at the same time, each from its own requests. A host
//! therefore uses a subset of the upstreams, in which a connection is used again before its idle
//! timeout, and among equals it takes the upstream that it has not used for longest: its requests
//! then arrive at each of them at regular intervals, which spreads the sum of all hosts more evenly
//! than random choices.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

use super::health::UpstreamHealth;
use super::load_reports::LoadReports;
use super::registry::{Upstream, UpstreamId};
use crate::types::{DataCentreId, Now};

/// Work that is added for an upstream in another data centre, as a fraction of a usual request, so
/// that nearer upstreams win ties.
const REMOTE_COST: f64 = 0.05;

/// Upstreams of a service that a host uses first.
pub const SUBSET_SIZE: usize = 8;
/// Largest number of upstreams of which a host uses all: each is used often enough to keep its
/// connections, and the few hosts before them would share them unevenly.
pub const MAX_UPSTREAMS_WITHOUT_SUBSETS: usize = 20;
/// Utilization that is added for an upstream that was used just now.
const RECENT_COST: f64 = 0.02;
/// Time after which an upstream no longer counts as recently used.
const RECENT_TIME: Duration = Duration::from_secs(5);
/// Random part of the cost, which decides among upstreams that were not used recently.
const RANDOM_COST: f64 = 0.004;
/// Time for which an upstream that rejected a request counts as full: some requests end within it.
const FULL_TIME: Duration = Duration::from_millis(250);

/// Work of a request, relative to a usual one.
pub type Work = f64;

/// Requests and work that this host has in flight, by upstream.
#[derive(Clone, Debug, Default)]
pub struct Loads {
    in_flight: BTreeMap<UpstreamId, (u32, Work)>,
    used_at: BTreeMap<UpstreamId, Now>,
    full_until: BTreeMap<UpstreamId, Now>,
}

impl Loads {
    /// Adds a request that is sent.
    pub fn add(&mut self, now: Now, id: &str, work: Work) {
        self.used_at.insert(id.to_owned(), now);
        let load = self.in_flight.entry(id.to_owned()).or_default();
        load.0 += 1;
        load.1 += work;
    }

    /// Removes a request that ended.
    pub fn sub(&mut self, id: &str, work: Work) {
        if let Some(load) = self.in_flight.get_mut(id) {
            load.0 = load.0.saturating_sub(1);
            load.1 = (load.1 - work).max(0.0);
            if load.0 == 0 {
                self.in_flight.remove(id);
            }
        }
    }

    /// Records that an upstream rejected a request because it was full.
    pub fn record_full(&mut self, now: Now, id: &str) {
        self.full_until.insert(id.to_owned(), now + FULL_TIME);
    }

    /// Whether an upstream rejected a request a moment ago.
    #[must_use]
    pub fn is_full(&self, now: Now, id: &str) -> bool {
        self.full_until.get(id).is_some_and(|until| now < *until)
    }

    /// Drops what is recorded of upstreams that are no longer known.
    pub fn retain(&mut self, known: impl Fn(&UpstreamId) -> bool) {
        self.used_at.retain(|id, _| known(id));
        self.full_until.retain(|id, _| known(id));
    }

    /// How recently an upstream was used, from 0 to 1.
    fn recency(&self, now: Now, id: &str) -> f64 {
        let age = self.used_at.get(id).map(|at| now.saturating_sub(*at));
        age.map_or(0.0, |age| {
            (1.0 - age.as_secs_f64() / RECENT_TIME.as_secs_f64()).max(0.0)
        })
    }

    /// Number of this host's requests in flight at an upstream.
    #[must_use]
    pub fn requests(&self, id: &str) -> u32 {
        self.in_flight.get(id).map_or(0, |l| l.0)
    }

    /// Work of this host's requests in flight at an upstream.
    #[must_use]
    pub fn work(&self, id: &str) -> Work {
        self.in_flight.get(id).map_or(0.0, |l| l.1)
    }
}

/// What is known of the load of upstreams.
#[derive(Clone, Copy, Debug)]
pub struct Signals<'a> {
    /// This host's own requests.
    pub loads: &'a Loads,
    /// Reports of the sidecars.
    pub reports: &'a LoadReports,
    /// Health as the requests of this host show it.
    pub health: &'a UpstreamHealth,
}

impl Signals<'_> {
    /// Requests of other hosts that a candidate without a report is taken to have: the mean of the others.
    fn usual_others(&self, now: Now, candidates: &[&Upstream]) -> f64 {
        let others = candidates
            .iter()
            .filter_map(|u| self.reports.others(now, &u.id));
        let (count, sum) = others.fold((0, 0), |(count, sum), n| (count + 1, sum + n));
        f64::from(sum) / f64::from(count.max(1))
    }
}

/// Chooses the candidate with the lowest utilization; `None` only if there is no candidate.
pub fn choose<'a>(
    rng: &mut SmallRng,
    now: Now,
    local_data_centre: &DataCentreId,
    candidates: &[&'a Upstream],
    signals: &Signals<'_>,
) -> Option<&'a Upstream> {
    let Signals {
        loads,
        reports,
        health,
    } = signals;
    let usual_others = signals.usual_others(now, candidates);
    let cost = |u: &Upstream, rng: &mut SmallRng| {
        let slots = f64::from(u.slots.max(1));
        let distance = if u.data_centre == *local_data_centre {
            0.0
        } else {
            REMOTE_COST
        };
        let others = reports.others(now, &u.id).map_or(usual_others, f64::from);
        let utilization = (loads.work(&u.id) + others + 1.0 + distance) / slots;
        utilization * health.load_factor(&u.id) * reports.pace(now, &u.id)
            + RECENT_COST * loads.recency(now, &u.id)
            + rng.random_range(0.0..RANDOM_COST)
    };
    let mut best: Option<(f64, &'a Upstream)> = None;
    for &upstream in candidates {
        let cost = cost(upstream, rng);
        if best.is_none_or(|(lowest, _)| cost < lowest) {
            best = Some((cost, upstream));
        }
    }
    best.map(|b| b.1)
}
