//! Answers to `GET /v1/entry-hosts`: the addresses that a caller should send requests to.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::membership::{MemberView, Record, Role, State};
use crate::rendezvous;
use crate::types::HostId;

/// How long a caller may use an answer.
pub const VALIDITY: Duration = Duration::from_secs(10);
/// Time after which no entry host names a leaving one any more: gossip needs 2 s, and a host that
/// is partitioned from the leaving one needs two failed probes to each of 4 data centres.
pub const LEAVE_PROPAGATION: Duration = Duration::from_secs(10);
/// Two or three hosts suffice for a caller; the others replace hosts that fail within the
/// validity of the answer.
const MAX_HOSTS: usize = 6;
/// Limit for hosts of the own data centre, so that others remain if it is lost.
const MAX_NEAR_HOSTS: usize = 4;
/// Loads are rounded down to multiples of this, so that small changes don't alter the answer.
const LOAD_STEP: u8 = 10;

/// One entry host in an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntryHost {
    /// Name of the entry host, unique in the fleet.
    pub host: HostId,
    /// Address of the data listener, `IP:PORT`.
    pub address: String,
    /// Relative share of requests that the caller should send to it, 1 to 100.
    pub weight: u32,
}

/// Answer to `GET /v1/entry-hosts`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntryHosts {
    /// Entry hosts, nearest first.
    pub hosts: Vec<EntryHost>,
    /// How long the answer may be used, in milliseconds.
    pub validity_ms: u64,
}

/// Builds the answer of the host `me` from the members that it knows.
#[must_use]
pub fn answer(me: &Record, members: &[MemberView]) -> EntryHosts {
    let usable = members.iter().filter(|m| {
        m.record.role == Role::Entry
            && m.reachable
            && !m.record.leaving
            && m.record.state == State::Live
    });
    let mut ranked: Vec<&MemberView> = usable.collect();
    ranked.sort_by_key(|m| (distance(me, &m.record), rank(me, &m.record)));
    let chosen = choose(me, &ranked);
    let hosts = chosen.into_iter().map(|m| EntryHost {
        host: m.record.host.clone(),
        address: m.record.data_address.clone(),
        weight: weight(m.record.load),
    });
    EntryHosts {
        hosts: hosts.collect(),
        validity_ms: u64::try_from(VALIDITY.as_millis()).unwrap_or(u64::MAX),
    }
}

fn choose<'a>(me: &Record, ranked: &[&'a MemberView]) -> Vec<&'a MemberView> {
    let near = |m: &&&MemberView| m.record.data_centre == me.data_centre;
    let mut chosen: Vec<&MemberView> = ranked
        .iter()
        .filter(near)
        .take(MAX_NEAR_HOSTS)
        .copied()
        .collect();
    let mut per_centre: BTreeMap<&str, usize> = BTreeMap::new();
    // One host of each other data centre first, so that the loss of one affects few.
    let mut others: Vec<(usize, &MemberView)> = Vec::new();
    for m in ranked
        .iter()
        .filter(|m| m.record.data_centre != me.data_centre)
    {
        let count = per_centre.entry(&m.record.data_centre).or_default();
        others.push((*count, m));
        *count += 1;
    }
    others.sort_by_key(|(n, m)| (*n, distance(me, &m.record)));
    chosen.extend(
        others
            .into_iter()
            .map(|(_, m)| m)
            .take(MAX_HOSTS - chosen.len()),
    );
    chosen
}

fn distance(me: &Record, other: &Record) -> u8 {
    if me.data_centre == other.data_centre {
        return 0;
    }
    if me.region == other.region { 1 } else { 2 }
}

/// Ranks the host itself first, since the caller could reach it. The order of the others differs
/// between answering hosts, which spreads the load.
fn rank(me: &Record, other: &Record) -> u64 {
    if me.host == other.host {
        return 0;
    }
    u64::MAX - rendezvous::weight(me.key(), other.key())
}

fn weight(load: u8) -> u32 {
    let rounded = load.min(100) / LOAD_STEP * LOAD_STEP;
    u32::from(100 - rounded).max(1)
}
