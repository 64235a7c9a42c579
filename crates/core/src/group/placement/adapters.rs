//! Adapters on the upstreams of one duty.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::types::HostId;

/// Name of an adapter.
pub type AdapterId = String;

/// An adapter gives way only to one that is wanted this many times as much.
const EVICT_FACTOR: f64 = 1.5;

/// Adapters of an upstream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdapterHost {
    /// Loaded adapters.
    pub loaded: BTreeSet<AdapterId>,
    /// Adapters that it has memory for.
    pub slots: u32,
}

/// An adapter to load, in an empty slot or in place of another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdapterChange {
    /// Upstream.
    pub host: HostId,
    /// Adapter to load.
    pub load: AdapterId,
    /// Adapter to drop first.
    pub evict: Option<AdapterId>,
}

/// Plans at most `most` loads. `demand` is each adapter's work in upstreams that it
/// would fill; an adapter with any demand gets at least one copy, and one more for each
/// upstream's worth. A copy's value is the demand that it serves.
#[must_use]
pub fn plan_adapters(
    demand: &BTreeMap<AdapterId, f64>,
    hosts: &BTreeMap<HostId, AdapterHost>,
    most: usize,
) -> Vec<AdapterChange> {
    let mut hosts = hosts.clone();
    let mut changes = Vec::new();
    while changes.len() < most {
        let copies = |a: &AdapterId| hosts.values().filter(|h| h.loaded.contains(a)).count();
        let value = |a: &AdapterId, copies: usize| {
            let wanted = demand.get(a).copied().unwrap_or(0.0);
            wanted / copies.max(1) as f64
        };
        let lacking = demand.iter().filter(|(a, d)| {
            let wanted = if **d > 0.0 {
                d.ceil().max(1.0) as usize
            } else {
                0
            };
            copies(a) < wanted.min(hosts.len())
        });
        let gain = |a: &AdapterId| value(a, copies(a) + 1);
        let mut ordered: Vec<&AdapterId> = lacking.map(|(a, _)| a).collect();
        ordered.sort_by(|a, b| gain(b).total_cmp(&gain(a)));
        let worth = |a: &AdapterId| value(a, copies(a));
        let Some(change) = ordered
            .iter()
            .find_map(|a| place(a, gain(a), &hosts, &worth))
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

/// The best place for a copy: an empty slot, or that of the least valuable copy.
fn place(
    adapter: &AdapterId,
    gain: f64,
    hosts: &BTreeMap<HostId, AdapterHost>,
    worth: &impl Fn(&AdapterId) -> f64,
) -> Option<AdapterChange> {
    let change = |host: &HostId, evict: Option<&AdapterId>| AdapterChange {
        host: host.clone(),
        load: adapter.clone(),
        evict: evict.cloned(),
    };
    let open = || hosts.iter().filter(|(_, h)| !h.loaded.contains(adapter));
    let free = open().filter(|(_, h)| h.loaded.len() < h.slots as usize);
    if let Some((host, _)) = free.min_by_key(|(_, h)| h.loaded.len()) {
        return Some(change(host, None));
    }
    let victims = open().flat_map(|(host, h)| h.loaded.iter().map(move |a| (host, a)));
    let (host, victim) = victims.min_by(|a, b| worth(a.1).total_cmp(&worth(b.1)))?;
    (gain > EVICT_FACTOR * worth(victim)).then(|| change(host, Some(victim)))
}
