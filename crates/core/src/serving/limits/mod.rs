//! Team limits across entry hosts, without a coordinator.
//!
//! For each team one entry host, chosen by rendezvous hashing, keeps the
//! [`Accountant`]'s soft state. Entry hosts with traffic of the team report
//! their demand to it each [`REPORT_INTERVAL`] and get a share of the limit
//! that is valid for [`SHARE_VALIDITY`]. Nothing is stored: a new accountant
//! learns from the next reports.
//!
//! The bound: an accountant never lets the shares that may be in force together
//! exceed the limit. A host without a valid share admits limit / N, for N entry
//! hosts in the fleet. With `c` hosts cut off, or new to the team, a team gets at
//! most `limit * (1 + c / N)`, plus [`BURST`] of its rate once. While an
//! accountant is replaced, old and new shares may add up to twice the limit for
//! at most [`SHARE_VALIDITY`]; a new accountant gives out limit / N meanwhile.

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

/// Time between two reports of a host on one team.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which a share is valid: three reports may be lost in a row.
pub const SHARE_VALIDITY: Duration = Duration::from_secs(2);
/// Time whose worth of requests a host may admit at once.
pub const BURST: Duration = Duration::from_millis(250);

/// A host's demand for a team's limit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Demand {
    /// Team.
    pub team: TeamId,
    /// Requests a second that callers send, refused ones included.
    pub requests_per_s: f64,
    /// Share that the host has, in requests a second; 0 without a valid one.
    pub share_per_s: f64,
}

/// A host's share of a team's limit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Share {
    /// Team.
    pub team: TeamId,
    /// Requests a second that the host may admit.
    pub requests_per_s: f64,
}

/// The entry host that accounts for a team; none if no entry host is known.
#[must_use]
pub fn accountant_of<'a>(team: &TeamId, hosts: &'a [HostId]) -> Option<&'a HostId> {
    let key = rendezvous::hash(team);
    hosts
        .iter()
        .max_by_key(|host| rendezvous::weight(key, rendezvous::hash(host)))
}
