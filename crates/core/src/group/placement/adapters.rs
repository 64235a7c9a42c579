//! Placement of adapters on the upstreams of one assignment.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::types::HostId;

/// Name of an adapter.
pub type AdapterId = String;

/// An adapter replaces another only if its copy would serve more than this many times the demand,
/// so that similar demands don't evict each other in turn.
const EVICTION_GAIN_FACTOR: f64 = 1.5;

/// Adapters of an upstream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdapterHost {
    /// Adapters that are loaded.
    pub loaded: BTreeSet<AdapterId>,
    /// Number of adapters that the upstream has memory for.
    pub slots: u32,
}

/// Loads an adapter, into an empty slot or in place of another adapter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdapterChange {
    /// Host of the upstream.
    pub host: HostId,
    /// Adapter to load.
    pub load: AdapterId,
    /// Adapter to unload first; none if a slot is empty.
    pub evict: Option<AdapterId>,
}

/// Plans at most `max_loads` loads. `demand` is the work for each adapter, as a number of fully
/// used upstreams. An adapter with any demand gets at least one copy, and one copy for each started
/// unit of demand. The value of a copy is the demand that it serves.
#[must_use]
pub fn plan_adapters(
    demand: &BTreeMap<AdapterId, f64>,
    hosts: &BTreeMap<HostId, AdapterHost>,
    max_loads: usize,
) -> Vec<AdapterChange> {
    let mut hosts = hosts.clone();
    let mut changes = Vec::new();
    while changes.len() < max_loads {
        let copies = |a: &AdapterId| hosts.values().filter(|h| h.loaded.contains(a)).count();
        let value = |a: &AdapterId, copies: usize| {
            let demand = demand.get(a).copied().unwrap_or(0.0);
            demand / copies.max(1) as f64
        };
        let short_of_copies = demand.iter().filter(|(a, d)| {
            let wanted_copies = if **d > 0.0 {
                d.ceil().max(1.0) as usize
            } else {
                0
            };
            copies(a) < wanted_copies.min(hosts.len())
        });
        let gain = |a: &AdapterId| value(a, copies(a) + 1);
        let mut ordered: Vec<&AdapterId> = short_of_copies.map(|(a, _)| a).collect();
        ordered.sort_by(|a, b| gain(b).total_cmp(&gain(a)));
        let present_value = |a: &AdapterId| value(a, copies(a));
        let Some(change) = ordered
            .iter()
            .find_map(|a| choose_host(a, gain(a), &hosts, &present_value))
        else {
            break;
        };
        if let Some(host) = hosts.get_mut(&change.host) {
            if let Some(evicted) = &change.evict {
                host.loaded.remove(evicted);
            }
            host.loaded.insert(change.load.clone());
        }
        changes.push(change);
    }
    changes
}

/// Chooses the upstream for a copy: one with an empty slot, or the one with the least valuable
/// copy.
fn choose_host(
    adapter: &AdapterId,
    gain: f64,
    hosts: &BTreeMap<HostId, AdapterHost>,
    present_value: &impl Fn(&AdapterId) -> f64,
) -> Option<AdapterChange> {
    let change = |host: &HostId, evict: Option<&AdapterId>| AdapterChange {
        host: host.clone(),
        load: adapter.clone(),
        evict: evict.cloned(),
    };
    let candidates = || hosts.iter().filter(|(_, h)| !h.loaded.contains(adapter));
    let free = candidates().filter(|(_, h)| h.loaded.len() < h.slots as usize);
    if let Some((host, _)) = free.min_by_key(|(_, h)| h.loaded.len()) {
        return Some(change(host, None));
    }
    let victims = candidates().flat_map(|(host, h)| h.loaded.iter().map(move |a| (host, a)));
    let (host, victim) =
        victims.min_by(|a, b| present_value(a.1).total_cmp(&present_value(b.1)))?;
    (gain > EVICTION_GAIN_FACTOR * present_value(victim)).then(|| change(host, Some(victim)))
}
