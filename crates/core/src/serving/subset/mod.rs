//! Deterministic subsetting: each entry host uses a bounded subset of a service's upstreams.
//!
//! The entry hosts and the upstreams of a data centre are ordered by hash on one ring
//! each. The entry host with index `r` out of `n` starts at the fraction `r / n` of the
//! upstream ring and takes the upstreams that follow. All upstreams are therefore in
//! the same number of subsets, plus or minus one, and a host that joins or leaves shifts
//! each subset by one or two upstreams. A few upstreams come from other data centres,
//! mostly from those that have too few entry hosts for their upstreams.

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet};

use crate::rendezvous;
use crate::types::{DataCentreId, HostId};

/// Number of upstreams of a service that an entry host uses.
pub const SUBSET_SIZE: usize = 20;
/// Minimum number of upstreams in other data centres, so that some are already connected when the
/// local data centre fails.
const MIN_REMOTE: usize = 4;
/// Minimum weight of a remote upstream, as a fraction of the average coverage.
const MIN_REMOTE_WEIGHT: f64 = 0.01;

/// Returns the upstreams of one service that the entry host `me` uses.
///
/// Both maps give the data centre of each host. An entry host that isn't in `entries` uses all
/// upstreams, and so does every entry host if there are at most [`SUBSET_SIZE`] of them.
#[must_use]
pub fn subset(
    me: &HostId,
    entries: &BTreeMap<HostId, DataCentreId>,
    upstreams: &BTreeMap<HostId, DataCentreId>,
) -> Vec<HostId> {
    let all = || upstreams.keys().cloned().collect();
    let Some(local_data_centre) = entries.get(me) else {
        return all();
    };
    if upstreams.len() <= SUBSET_SIZE {
        return all();
    }
    let local_entries = ring(entries, |data_centre| data_centre == local_data_centre);
    let index = local_entries.iter().position(|p| *p == me).unwrap_or(0);
    let local = ring(upstreams, |data_centre| data_centre == local_data_centre);
    let from_local = local_count(entries, upstreams, local_data_centre);
    let mut chosen = consecutive(&local, index, local_entries.len(), from_local);
    let remote = remote_weights(entries, upstreams, local_data_centre);
    chosen.extend(equidistant(
        &remote,
        index,
        local_entries.len(),
        SUBSET_SIZE - from_local,
    ));
    chosen
}

/// Returns `size` upstreams for the entry host `me`, whatever their data centres, or all if there
/// are no more. All upstreams are in the same number of subsets, plus or minus one. An entry host
/// that isn't in `entries` uses all upstreams.
#[must_use]
pub fn even_subset(
    me: &HostId,
    entries: &BTreeSet<HostId>,
    upstreams: &BTreeSet<HostId>,
    size: usize,
) -> BTreeSet<HostId> {
    if upstreams.len() <= size || !entries.contains(me) {
        return upstreams.clone();
    }
    let by_hash = |hosts: &BTreeSet<HostId>| {
        let mut hosts: Vec<_> = hosts
            .iter()
            .map(|h| (rendezvous::hash(h), h.clone()))
            .collect();
        hosts.sort_unstable();
        hosts
    };
    let entries = by_hash(entries);
    let index = entries.iter().position(|(_, p)| p == me).unwrap_or(0);
    let upstreams = by_hash(upstreams);
    let ring: Vec<&HostId> = upstreams.iter().map(|(_, host)| host).collect();
    consecutive(&ring, index, entries.len(), size)
        .into_iter()
        .collect()
}

/// Number of local upstreams in a subset. It is set so that a local upstream is used by as many
/// entry hosts as the average upstream. A data centre with more entry hosts than its share of the
/// upstreams sends the rest of its requests to other data centres.
fn local_count(
    entries: &BTreeMap<HostId, DataCentreId>,
    upstreams: &BTreeMap<HostId, DataCentreId>,
    local_data_centre: &DataCentreId,
) -> usize {
    let local = count(upstreams, local_data_centre);
    let other = upstreams.len() - local;
    let balanced_count = SUBSET_SIZE * entries.len() * local;
    let balanced_count =
        balanced_count.div_ceil((upstreams.len() * count(entries, local_data_centre)).max(1));
    let max_local = SUBSET_SIZE - MIN_REMOTE.min(other);
    // If the other data centres have too few upstreams, local ones fill the subset.
    balanced_count
        .min(max_local)
        .min(local)
        .max(SUBSET_SIZE.saturating_sub(other))
}

/// Upstreams of other data centres, weighted by the coverage that the entry hosts there don't
/// provide. Fully covered ones keep a small weight, since every subset needs remote upstreams.
fn remote_weights<'a>(
    entries: &BTreeMap<HostId, DataCentreId>,
    upstreams: &'a BTreeMap<HostId, DataCentreId>,
    local_data_centre: &DataCentreId,
) -> Vec<(&'a HostId, f64)> {
    let average_coverage = (SUBSET_SIZE * entries.len()) as f64 / upstreams.len() as f64;
    let uncovered: BTreeMap<&DataCentreId, f64> = upstreams
        .values()
        .collect::<BTreeSet<_>>()
        .into_iter()
        .map(|at| {
            let covered = count(entries, at) * local_count(entries, upstreams, at);
            let coverage = covered as f64 / count(upstreams, at) as f64;
            (
                at,
                (average_coverage - coverage).max(average_coverage * MIN_REMOTE_WEIGHT),
            )
        })
        .collect();
    let remote = ring(upstreams, |data_centre| data_centre != local_data_centre);
    remote
        .into_iter()
        .map(|host| (host, uncovered[&upstreams[host]]))
        .collect()
}

fn count(locations: &BTreeMap<HostId, DataCentreId>, data_centre: &DataCentreId) -> usize {
    locations.values().filter(|at| *at == data_centre).count()
}

fn ring(
    locations: &BTreeMap<HostId, DataCentreId>,
    wanted: impl Fn(&DataCentreId) -> bool,
) -> Vec<&HostId> {
    let mut hosts: Vec<_> = locations
        .iter()
        .filter(|(_, data_centre)| wanted(data_centre))
        .map(|(host, _)| (rendezvous::hash(host), host))
        .collect();
    hosts.sort_unstable();
    hosts.into_iter().map(|(_, host)| host).collect()
}

/// Returns `count` consecutive hosts of a ring, starting at the fraction `index / total`.
fn consecutive(ring: &[&HostId], index: usize, total: usize, count: usize) -> Vec<HostId> {
    let start = index * ring.len() / total.max(1);
    let around = ring.iter().cycle().skip(start);
    around
        .take(count.min(ring.len()))
        .map(|h| (*h).clone())
        .collect()
}

/// Selects `count` hosts at equal distances on a ring on which the length of each host is its
/// weight. The positions of all `total` entry hosts together are equidistant too.
fn equidistant(ring: &[(&HostId, f64)], index: usize, total: usize, count: usize) -> Vec<HostId> {
    let length: f64 = ring.iter().map(|(_, weight)| weight).sum();
    let distance = length / count as f64;
    let mut next_position = distance * index as f64 / total.max(1) as f64;
    let mut end = 0.0;
    let mut chosen = Vec::with_capacity(count);
    for (hosts_left, (host, weight)) in (1..=ring.len()).rev().zip(ring) {
        end += weight;
        // A host that spans several positions is selected once; later hosts fill the subset.
        let must_select = count - chosen.len() >= hosts_left;
        if chosen.len() < count && (next_position < end || must_select) {
            chosen.push((*host).clone());
            next_position += distance;
        }
    }
    chosen
}
