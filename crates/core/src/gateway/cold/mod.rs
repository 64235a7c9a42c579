//! Rate limit of requests to upstreams that have just started.
//!
//! A cold upstream may get only so many requests in any second, summed over all entry hosts, and
//! crashes at rates well above that. Hosts send no messages for this: each keeps to an equal share of
//! the rate. Shares are below one request a second in large fleets, so permits are issued one at a
//! time at regular intervals that begin at a random phase, see [`permits`]. The requests of all hosts
//! then add up to a nearly constant rate, which [`share`] keeps below the bound.
//!
//! A host that started less than the settle time ago may not know the others, and divides by at least
//! [`share::MIN_HOSTS_WHILE_NEW`]. After the cold period, the limit doubles with each [`RAMP_DOUBLING`]
//! and is lifted after [`RAMP_TIME`].

mod permits;
mod share;

use std::collections::BTreeMap;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::Outcome;
use super::registry::{Born, Registry, Upstream, UpstreamId};
use super::routes::BackendService;
use crate::platform::Version;
use crate::types::{Now, ServiceId};
use permits::Permits;

/// Longest time between two entries of an upstream: one written just before an evacuation ended may
/// be the newest for this time after it.
const ENTRY_INTERVAL: Duration = Duration::from_millis(1_200);
/// Time in which the limit doubles after the cold period.
pub const RAMP_DOUBLING: Duration = Duration::from_secs(1);
/// Time after the cold period at which the limit is lifted, at eight times the share.
pub const RAMP_TIME: Duration = Duration::from_secs(3);

/// Bound on the requests that all hosts together send to a cold upstream in any second: the rate of the
/// service times `overage`, plus `slack`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdBound {
    /// Factor on the rate of the service.
    pub overage: f64,
    /// Further requests in a second.
    pub slack: f64,
}

/// Start or end of an upstream's cold period, for logs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ColdChange {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Whether it is cold now.
    pub is_cold: bool,
    /// Time until it is warm, if that is known.
    pub left: Option<Duration>,
}

/// Limit of a service's cold upstreams.
#[derive(Clone, Copy, Debug)]
struct Limit {
    start: Duration,
    per_s: f64,
    /// Requests a second that this host may send to a cold upstream.
    share: f64,
}

#[derive(Clone, Debug)]
struct Record {
    version: Version,
    born: Option<Born>,
    /// End of the cold period that the newest entry reports.
    reported_until: Option<Now>,
    /// End of the cold period that is assumed for another reason, until a newer entry says that there is
    /// none.
    assumed_until: Option<Now>,
    /// Whether the upstream was found to be unreachable and was not reached since.
    is_unreachable: bool,
    permits: Permits,
    /// State of the last change that was reported.
    was_cold: bool,
}

impl Record {
    /// End of the cold period; `None` if there was none.
    fn cold_until(&self) -> Option<Now> {
        self.reported_until.max(self.assumed_until)
    }

    fn is_cold(&self, now: Now) -> bool {
        self.is_unreachable || self.cold_until().is_some_and(|until| now < until)
    }

    /// Requests a second that may be sent; `None` if there is no limit.
    fn rate(&self, now: Now, share: f64) -> Option<f64> {
        if self.is_cold(now) {
            return Some(share);
        }
        let warm_for = now.saturating_sub(self.cold_until()?);
        let doublings = warm_for.as_secs_f64() / RAMP_DOUBLING.as_secs_f64();
        (warm_for < RAMP_TIME).then(|| share * doublings.exp2())
    }

    fn assume(&mut self, until: Now) {
        self.assumed_until = self.assumed_until.max(Some(until));
    }

    /// Takes the remaining cold time of a new entry in.
    fn record_entry(&mut self, now: Now, upstream: &Upstream, start: Duration) {
        if self.born != upstream.born && upstream.warm_up.is_none() {
            self.assume(now + start);
        }
        self.version = upstream.version;
        self.born = upstream.born;
        match upstream.warm_up {
            Some(Duration::ZERO) => {
                self.reported_until = self.reported_until.map(|until| until.min(now));
                self.assumed_until = self.assumed_until.map(|until| until.min(now));
                if self.is_unreachable {
                    self.is_unreachable = false;
                    self.assume(now);
                }
            }
            Some(left) => self.reported_until = Some(now + left),
            None => {}
        }
    }
}

/// Cold upstreams, and the permits of this host for them.
#[derive(Clone, Debug)]
pub struct Cold {
    /// `None` if upstreams are not limited.
    bound: Option<ColdBound>,
    /// End of the time in which this host may not know the others.
    settled_at: Now,
    /// Known hosts, with the local one.
    hosts: usize,
    /// Limits of the services that have one.
    limits: BTreeMap<ServiceId, Limit>,
    /// Whether the shares are those of a host that has settled.
    has_settled: bool,
    records: BTreeMap<UpstreamId, Record>,
    skipped: u64,
    rng: SmallRng,
}

impl Cold {
    /// Creates the state of a host that starts at `now` and knows the others after `settle_time`.
    #[must_use]
    pub fn new(now: Now, bound: Option<ColdBound>, settle_time: Duration, seed: u64) -> Self {
        Self {
            bound,
            settled_at: now + settle_time,
            hosts: 1,
            limits: BTreeMap::new(),
            has_settled: false,
            records: BTreeMap::new(),
            skipped: 0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Sets the services; those without a rate of cold upstreams are not limited.
    pub fn set_services(&mut self, services: &BTreeMap<ServiceId, BackendService>) {
        if self.bound.is_none() {
            return;
        }
        let limited = services.iter().filter(|(_, s)| s.cold_per_s > 0.0);
        let limits = limited.map(|(name, service)| {
            let limit = Limit {
                start: service.cold_start,
                per_s: service.cold_per_s,
                share: 0.0,
            };
            (name.clone(), limit)
        });
        self.limits = limits.collect();
        self.update_shares();
    }

    /// Sets the number of known hosts, with the local one and those that do not respond.
    pub fn set_hosts(&mut self, hosts: usize) {
        if self.hosts != hosts {
            self.hosts = hosts;
            self.update_shares();
        }
    }

    fn update_shares(&mut self) {
        let Some(bound) = self.bound else {
            return;
        };
        let least = if self.has_settled {
            1
        } else {
            share::MIN_HOSTS_WHILE_NEW
        };
        let hosts = self.hosts.max(least);
        for limit in self.limits.values_mut() {
            let most = limit.per_s * bound.overage + bound.slack;
            limit.share = share::share(limit.per_s, most, hosts);
        }
    }

    /// Whether requests to some upstreams may be limited.
    #[must_use]
    pub fn is_enabled(&self) -> bool {
        !self.limits.is_empty()
    }

    /// Number of cold upstreams.
    #[must_use]
    pub fn len(&self, now: Now) -> usize {
        self.records.values().filter(|r| r.is_cold(now)).count()
    }

    /// Times that an upstream was passed over for lack of a permit.
    #[must_use]
    pub fn skipped(&self) -> u64 {
        self.skipped
    }

    /// Whether a request may be sent to an upstream now; counts the upstream as skipped if not.
    pub fn admits(&mut self, now: Now, upstream: &Upstream) -> bool {
        let is_open = self.wait(now, upstream).is_none();
        self.skipped += u64::from(!is_open);
        is_open
    }

    /// Time until the next permit for an upstream; `None` if a request may be sent now.
    pub fn wait(&mut self, now: Now, upstream: &Upstream) -> Option<Duration> {
        let share = self.limits.get(&upstream.service)?.share;
        let record = self.record(now, upstream)?;
        let rate = record.rate(now, share)?;
        record.permits.advance(now, rate);
        record.permits.wait(now, rate)
    }

    /// Uses the permit that [`Self::admits`] found for an upstream, if it needs one.
    pub fn take(&mut self, upstream: &str) {
        if let Some(record) = self.records.get_mut(upstream) {
            record.permits.take();
        }
    }

    /// The record of an upstream, with what its entry says; `None` if its service has no limit.
    fn record(&mut self, now: Now, upstream: &Upstream) -> Option<&mut Record> {
        let start = self.limits.get(&upstream.service)?.start;
        if !self.records.contains_key(&upstream.id) {
            let record = self.new_record(now, upstream, start);
            self.records.insert(upstream.id.clone(), record);
        }
        let record = self.records.get_mut(&upstream.id)?;
        if record.version != upstream.version {
            record.record_entry(now, upstream, start);
        }
        Some(record)
    }

    fn new_record(&mut self, now: Now, upstream: &Upstream, start: Duration) -> Record {
        let is_new_host = now < self.settled_at;
        let reported = upstream.warm_up.unwrap_or_default();
        let is_assumed = match upstream.warm_up {
            None => true,
            Some(left) => is_new_host && !left.is_zero(),
        };
        Record {
            version: upstream.version,
            born: upstream.born,
            reported_until: (!reported.is_zero()).then(|| now + reported),
            assumed_until: is_assumed.then(|| now + start),
            is_unreachable: false,
            permits: Permits::new(now, &mut self.rng),
            was_cold: false,
        }
    }

    /// Records how an attempt at an upstream ended.
    pub fn record_outcome(&mut self, now: Now, upstream: &Upstream, outcome: Outcome) {
        match outcome {
            Outcome::Unreachable | Outcome::Broken => {
                if let Some(record) = self.record(now, upstream) {
                    record.is_unreachable = true;
                }
            }
            Outcome::Answered
            | Outcome::Failed
            | Outcome::Full
            | Outcome::Declined
            | Outcome::Stalled => self.record_reached(now, upstream),
            _ => {}
        }
    }

    /// Records that an upstream responds.
    pub fn record_reached(&mut self, now: Now, upstream: &Upstream) {
        let Some(start) = self.limits.get(&upstream.service).map(|l| l.start) else {
            return;
        };
        let record = self.records.get_mut(&upstream.id);
        if let Some(record) = record.filter(|r| r.is_unreachable) {
            record.is_unreachable = false;
            record.assume(now + start);
        }
    }

    /// Records that the evacuation of an upstream's data centre has ended.
    pub fn record_evacuation_end(&mut self, now: Now, upstream: &Upstream) {
        let Some(start) = self.limits.get(&upstream.service).map(|l| l.start) else {
            return;
        };
        if let Some(record) = self.record(now, upstream) {
            record.assume(now + start + ENTRY_INTERVAL);
        }
    }

    /// Brings the records up to date with the registry and drops those of upstreams that are no longer
    /// listed. Returns the upstreams that have become cold or warm since the last call.
    pub fn refresh(&mut self, now: Now, registry: &Registry) -> Vec<ColdChange> {
        if !self.has_settled && now >= self.settled_at {
            self.has_settled = true;
            self.update_shares();
        }
        let limits = &self.limits;
        self.records.retain(|id, _| {
            let listed = registry.get(id);
            listed.is_some_and(|u| limits.contains_key(&u.service))
        });
        let mut changes = Vec::new();
        if !self.is_enabled() {
            return changes;
        }
        for upstream in registry.all() {
            let Some(record) = self.record(now, upstream) else {
                continue;
            };
            let is_cold = record.is_cold(now);
            if is_cold != record.was_cold {
                record.was_cold = is_cold;
                let until = record.cold_until().filter(|_| !record.is_unreachable);
                changes.push(ColdChange {
                    upstream: upstream.id.clone(),
                    is_cold,
                    left: until.map(|until| until.saturating_sub(now)),
                });
            }
        }
        changes
    }
}
