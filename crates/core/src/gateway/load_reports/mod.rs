//! Load of upstreams as the sidecars beside them report it.
//!
//! A host sees a small part of the requests of an upstream. The sidecar beside the engine reads the whole
//! load at no cost, and sends it to the hosts that have subscribed. A host adds the requests of others to its
//! own, which it knows without delay. It uses a report for [`MAX_AGE`]; without one, it takes the mean of the
//! upstreams that have one, and without any its own requests alone.

mod publisher;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::registry::{Born, Upstream, UpstreamId};
use crate::types::Now;

pub use publisher::Publisher;

/// Time between two subscriptions of a host.
pub const SUBSCRIBE_INTERVAL: Duration = Duration::from_secs(1);
/// Age up to which a report is used.
const MAX_AGE: Duration = Duration::from_secs(1);
/// Age up to which a report tells the group of its upstream: groups change rarely, and a host that forgot them
/// while sidecars are silent would limit the streams of all groups as those of one.
const MAX_GROUP_AGE: Duration = Duration::from_secs(60);
/// Highest pace that is believed.
const MAX_PACE: f64 = 100.0;
/// Requests at an upstream, relative to its slots, beyond which a report is not believed: queues are shorter.
const MAX_REQUESTS_PER_SLOT: u32 = 16;

/// Hash of the name of a group.
pub type GroupKey = u64;

/// Load of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadReport {
    /// Address at which the engine accepts requests.
    pub engine: SocketAddr,
    /// When the engine started, if it says so.
    pub born: Option<Born>,
    /// Requests that it runs.
    pub active: u32,
    /// Requests that wait at it.
    pub queued: u32,
    /// Time that it needs for its work, relative to a healthy one.
    pub pace: f64,
    /// Hash of the name of the group of ranks that it belongs to.
    pub group: Option<GroupKey>,
}

/// Message between a host and a sidecar.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// Asks for reports for [`publisher::SUBSCRIPTION_TIME`].
    Subscribe,
    /// The load of the engine beside the sender.
    Report(LoadReport),
}

#[derive(Clone, Copy, Debug)]
struct Reported {
    /// Requests of other hosts.
    others: u32,
    pace: f64,
    group: Option<GroupKey>,
    at: Now,
}

/// Newest report of each upstream.
#[derive(Clone, Debug, Default)]
pub struct LoadReports {
    reports: BTreeMap<UpstreamId, Reported>,
}

impl LoadReports {
    /// Records the report of an upstream at which this host has `own` requests in flight. Returns false if
    /// the report can't be true, or is of another incarnation.
    pub fn record(&mut self, now: Now, upstream: &Upstream, report: &LoadReport, own: u32) -> bool {
        let is_other = matches!((report.born, upstream.born), (Some(a), Some(b)) if a != b);
        let requests = report.active.saturating_add(report.queued);
        let most = upstream.slots.max(1).saturating_mul(MAX_REQUESTS_PER_SLOT);
        let has_pace = report.pace.is_finite() && (0.0..=MAX_PACE).contains(&report.pace);
        if is_other || requests > most || !has_pace {
            return false;
        }
        let reported = Reported {
            others: requests.saturating_sub(own),
            pace: report.pace.max(1.0),
            group: report.group,
            at: now,
        };
        self.reports.insert(upstream.id.clone(), reported);
        true
    }

    fn newest(&self, now: Now, id: &str) -> Option<&Reported> {
        let reported = self.reports.get(id)?;
        (now < reported.at + MAX_AGE).then_some(reported)
    }

    /// Requests of other hosts at an upstream; `None` without a report.
    #[must_use]
    pub fn others(&self, now: Now, id: &str) -> Option<u32> {
        self.newest(now, id).map(|r| r.others)
    }

    /// Time that an upstream needs for its work, relative to a healthy one; 1 without a report.
    #[must_use]
    pub fn pace(&self, now: Now, id: &str) -> f64 {
        self.newest(now, id).map_or(1.0, |r| r.pace)
    }

    /// Number of groups of ranks that some upstreams belong to, as far as they report it.
    pub fn groups<'a>(&self, now: Now, ids: impl Iterator<Item = &'a UpstreamId>) -> usize {
        let reports = ids.filter_map(|id| self.reports.get(id));
        let known = reports.filter(|r| now < r.at + MAX_GROUP_AGE);
        let groups = known.filter_map(|r| r.group);
        groups.collect::<BTreeSet<_>>().len()
    }

    /// Drops the reports of upstreams that are no longer known.
    pub fn retain(&mut self, known: impl Fn(&UpstreamId) -> bool) {
        self.reports.retain(|id, _| known(id));
    }

    /// Number of upstreams with a report that is used.
    #[must_use]
    pub fn len(&self, now: Now) -> usize {
        let used = |r: &&Reported| now < r.at + MAX_AGE;
        self.reports.values().filter(used).count()
    }
}
