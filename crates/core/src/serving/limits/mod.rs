//! Team limits across entry hosts, without a coordinator.
//!
//! For each team one entry host, selected by rendezvous hashing, acts as the
//! [`Accountant`]: it divides the limit among the entry hosts. Entry hosts with
//! traffic of the team report their demand to it every [`REPORT_INTERVAL`] and
//! receive a share of the limit that is valid for [`SHARE_VALIDITY`]. The state is
//! not persisted: a new accountant rebuilds it from the next reports.
//!
//! Bound: the sum of the shares that an accountant has granted and that may still be
//! valid never exceeds the limit. A host without a valid share admits limit / N, for
//! N entry hosts in the fleet. With `c` hosts that are partitioned from the accountant
//! or have not reported yet, a team gets at most `limit * (1 + c / N)`, plus a single
//! burst of [`BURST`] times its rate. While the accountant role moves to another host,
//! old and new shares may add up to twice the limit for at most [`SHARE_VALIDITY`];
//! during that time the new accountant grants at most limit / N to each host that
//! reports no valid share.

mod accountant;
mod meter;

#[cfg(test)]
mod tests;

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::rendezvous;
use crate::types::{HostId, TeamId};

pub use accountant::Accountant;
pub use meter::Meter;

/// Interval at which a host reports its demand for one team's limit.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Validity of a share. It covers four report intervals, so three reports may be lost in a row.
pub const SHARE_VALIDITY: Duration = Duration::from_secs(2);
/// Token bucket depth, as the time in which a host's rate fills it.
pub const BURST: Duration = Duration::from_millis(250);

/// A host's demand for a team's limit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Demand {
    /// Team whose limit is meant.
    pub team: TeamId,
    /// Smoothed arrival rate at this host, in requests per second, including refused requests.
    pub requests_per_s: f64,
    /// Share that the host holds, in requests per second; 0 if it has no valid share.
    pub share_per_s: f64,
}

/// A host's share of a team's limit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Share {
    /// Team whose limit is divided.
    pub team: TeamId,
    /// Rate that the host may admit, in requests per second.
    pub requests_per_s: f64,
}

/// Entry host that acts as the accountant of a team; `None` if `hosts` is empty.
#[must_use]
pub fn accountant_of<'a>(team: &TeamId, hosts: &'a [HostId]) -> Option<&'a HostId> {
    let key = rendezvous::hash(team);
    hosts
        .iter()
        .max_by_key(|host| rendezvous::weight(key, rendezvous::hash(host)))
}
