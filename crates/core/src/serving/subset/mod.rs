//! Bounded subsets: each entry host uses a few of a service's upstreams.
//!
//! Entry hosts and upstreams of a data centre are put on rings in the order of
//! their hashes. The entry host of rank `r` out of `n` begins `r / n` of the way
//! round and takes the upstreams that follow, so each upstream is in as many
//! subsets as any other, give or take one, and a host that comes or goes moves
//! each subset by an upstream or two. A few upstreams come from the other data
//! centres, mostly from those whose own entry hosts don't cover them.

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet};

use crate::rendezvous;
use crate::types::{DataCentreId, HostId};

/// Upstreams of a service that an entry host uses.
pub const SUBSET_SIZE: usize = 20;
/// Upstreams outside the own data centre, so that its loss leaves some that
/// are connected and known.
const MIN_REMOTE: usize = 4;
/// Least coverage that counts as open, as a share of the average.
const LEAST_OPEN: f64 = 0.01;

/// The upstreams that the entry host `me` uses, out of those of one service. Both sides are
/// given with their data centres; an entry host that isn't listed uses all upstreams.
#[must_use]
pub fn subset(
    me: &HostId,
    entries: &BTreeMap<HostId, DataCentreId>,
    upstreams: &BTreeMap<HostId, DataCentreId>,
) -> Vec<HostId> {
    let all = || upstreams.keys().cloned().collect();
    let Some(here) = entries.get(me) else {
        return all();
    };
    if upstreams.len() <= SUBSET_SIZE {
        return all();
    }
    let peers = ring(entries, |data_centre| data_centre == here);
    let rank = peers.iter().position(|p| *p == me).unwrap_or(0);
    let own = ring(upstreams, |data_centre| data_centre == here);
    let from_own = own_count(entries, upstreams, here);
    let mut chosen = arc(&own, rank, peers.len(), from_own);
    let remote = remote_weights(entries, upstreams, here);
    chosen.extend(spread(&remote, rank, peers.len(), SUBSET_SIZE - from_own));
    chosen
}

/// Upstreams of the own data centre in a subset: as many as give each of them the entry hosts
/// that an average upstream has. A data centre with more entry hosts than its share of the
/// upstreams sends the rest of its work elsewhere.
fn own_count(
    entries: &BTreeMap<HostId, DataCentreId>,
    upstreams: &BTreeMap<HostId, DataCentreId>,
    here: &DataCentreId,
) -> usize {
    let own = count(upstreams, here);
    let other = upstreams.len() - own;
    let fair = SUBSET_SIZE * entries.len() * own;
    let fair = fair.div_ceil((upstreams.len() * count(entries, here)).max(1));
    let most = SUBSET_SIZE - MIN_REMOTE.min(other);
    // What the other data centres lack comes from the own one.
    fair.min(most)
        .min(own)
        .max(SUBSET_SIZE.saturating_sub(other))
}

/// The upstreams of other data centres, each with the coverage that its own entry hosts leave
/// open. Covered ones keep a small weight, since a subset needs some in any case.
fn remote_weights<'a>(
    entries: &BTreeMap<HostId, DataCentreId>,
    upstreams: &'a BTreeMap<HostId, DataCentreId>,
    here: &DataCentreId,
) -> Vec<(&'a HostId, f64)> {
    let fair = (SUBSET_SIZE * entries.len()) as f64 / upstreams.len() as f64;
    let open: BTreeMap<&DataCentreId, f64> = upstreams
        .values()
        .collect::<BTreeSet<_>>()
        .into_iter()
        .map(|at| {
            let covered = count(entries, at) * own_count(entries, upstreams, at);
            let coverage = covered as f64 / count(upstreams, at) as f64;
            (at, (fair - coverage).max(fair * LEAST_OPEN))
        })
        .collect();
    let remote = ring(upstreams, |data_centre| data_centre != here);
    remote
        .into_iter()
        .map(|host| (host, open[&upstreams[host]]))
        .collect()
}

fn count(sites: &BTreeMap<HostId, DataCentreId>, data_centre: &DataCentreId) -> usize {
    sites.values().filter(|at| *at == data_centre).count()
}

fn ring(
    sites: &BTreeMap<HostId, DataCentreId>,
    wanted: impl Fn(&DataCentreId) -> bool,
) -> Vec<&HostId> {
    let mut hosts: Vec<_> = sites
        .iter()
        .filter(|(_, data_centre)| wanted(data_centre))
        .map(|(host, _)| (rendezvous::hash(host), host))
        .collect();
    hosts.sort_unstable();
    hosts.into_iter().map(|(_, host)| host).collect()
}

/// `count` places of a ring from the place that belongs to `rank` out of `ranks`.
fn arc(ring: &[&HostId], rank: usize, ranks: usize, count: usize) -> Vec<HostId> {
    let start = rank * ring.len() / ranks.max(1);
    let around = ring.iter().cycle().skip(start);
    around
        .take(count.min(ring.len()))
        .map(|h| (*h).clone())
        .collect()
}

/// `count` places at equal distances on a ring on which each host takes up its weight. The
/// places of all ranks together are at equal distances too.
fn spread(ring: &[(&HostId, f64)], rank: usize, ranks: usize, count: usize) -> Vec<HostId> {
    let length: f64 = ring.iter().map(|(_, weight)| weight).sum();
    let distance = length / count as f64;
    let mut next = distance * rank as f64 / ranks.max(1) as f64;
    let mut passed = 0.0;
    let mut chosen = Vec::with_capacity(count);
    for (left, (host, weight)) in (1..=ring.len()).rev().zip(ring) {
        passed += weight;
        // A host that takes up several places counts once, and others fill up the subset.
        let needed = count - chosen.len() >= left;
        if chosen.len() < count && (next < passed || needed) {
            chosen.push((*host).clone());
            next += distance;
        }
    }
    chosen
}
