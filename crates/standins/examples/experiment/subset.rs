//! How evenly the subsets of 380 entry hosts cover the upstreams.

use std::collections::BTreeMap;

use eelgrasshold_core::serving::subset::{SUBSET_SIZE, subset};
use eelgrasshold_core::types::{DataCentreId, HostId};
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

use crate::report::Row;

const ENTRY_COUNT: usize = 380;
const DATA_CENTRE_COUNT: usize = 4;

type HostLocations = BTreeMap<HostId, DataCentreId>;

/// Compares the subsets of the core with random ones for several numbers of upstreams.
pub fn run(seed: u64) -> Vec<Row> {
    let mut rows = Vec::new();
    for upstream_count in [12, 24, 60, 120, 300, 600] {
        let mut rng = SmallRng::seed_from_u64(seed);
        let entries = place_hosts(&mut rng, "entry", ENTRY_COUNT);
        let upstreams = place_hosts(&mut rng, "up", upstream_count);
        let core_subsets: BTreeMap<_, _> = entries
            .keys()
            .map(|e| (e, subset(e, &entries, &upstreams)))
            .collect();
        let random_subsets: BTreeMap<_, _> = entries
            .keys()
            .map(|e| (e, draw_random_subset(&mut rng, &upstreams)))
            .collect();
        for (policy, subsets) in [("eelgrasshold", &core_subsets), ("random", &random_subsets)] {
            let mut row = |metric, value| {
                rows.push(Row {
                    experiment: "subset",
                    policy,
                    metric,
                    x: upstream_count as f64,
                    value,
                    extrapolated: false,
                });
            };
            let coverage = coverage(subsets, &upstreams);
            let mean = coverage.iter().sum::<usize>() as f64 / coverage.len() as f64;
            let max = coverage.iter().copied().max().unwrap_or(0);
            let min = coverage.iter().copied().min().unwrap_or(0);
            row("coverage_skew", max as f64 / mean);
            row("coverage_min_ratio", min as f64 / mean);
            let max_connections = subsets.values().map(Vec::len).max().unwrap_or(0);
            row("connections_per_host", max_connections as f64);
            row(
                "own_data_centre_share",
                own_data_centre_share(subsets, &entries, &upstreams),
            );
        }
        rows.push(Row {
            experiment: "subset",
            policy: "eelgrasshold",
            metric: "moved_share",
            x: upstream_count as f64,
            value: moved_share(&mut rng, &core_subsets, &entries, &upstreams),
            extrapolated: false,
        });
    }
    rows
}

/// Places hosts in random data centres, so that the data centres differ in size.
fn place_hosts(rng: &mut SmallRng, prefix: &str, count: usize) -> HostLocations {
    let mut place = |n| {
        let data_centre = rng.random_range(0..DATA_CENTRE_COUNT);
        (format!("{prefix}-{n}"), format!("dc-{data_centre}"))
    };
    (0..count).map(&mut place).collect()
}

fn draw_random_subset(rng: &mut SmallRng, upstreams: &HostLocations) -> Vec<HostId> {
    let mut hosts: Vec<_> = upstreams.keys().cloned().collect();
    hosts.shuffle(rng);
    hosts.truncate(SUBSET_SIZE);
    hosts
}

fn coverage(subsets: &BTreeMap<&HostId, Vec<HostId>>, upstreams: &HostLocations) -> Vec<usize> {
    let mut coverage: BTreeMap<_, _> = upstreams.keys().map(|u| (u, 0)).collect();
    for upstream in subsets.values().flatten() {
        *coverage.entry(upstream).or_default() += 1;
    }
    coverage.into_values().collect()
}

fn own_data_centre_share(
    subsets: &BTreeMap<&HostId, Vec<HostId>>,
    entries: &HostLocations,
    upstreams: &HostLocations,
) -> f64 {
    let own = |(entry, chosen): (&&HostId, &Vec<HostId>)| {
        let here = &entries[*entry];
        chosen.iter().filter(|u| upstreams[*u] == *here).count()
    };
    let total: usize = subsets.values().map(Vec::len).sum();
    subsets.iter().map(own).sum::<usize>() as f64 / total as f64
}

/// Share of connections that change when one entry host and one upstream are replaced.
fn moved_share(
    rng: &mut SmallRng,
    before: &BTreeMap<&HostId, Vec<HostId>>,
    entries: &HostLocations,
    upstreams: &HostLocations,
) -> f64 {
    let replace = |rng: &mut SmallRng, hosts: &HostLocations, new: &str| {
        let mut hosts = hosts.clone();
        let removed = hosts.keys().nth(rng.random_range(0..hosts.len())).cloned();
        if let Some(data_centre) = removed.and_then(|host| hosts.remove(&host)) {
            hosts.insert(new.into(), data_centre);
        }
        hosts
    };
    let entries = replace(rng, entries, "entry-new");
    let upstreams = replace(rng, upstreams, "up-new");
    let (mut moved, mut total) = (0, 0);
    for (entry, before) in before {
        if !entries.contains_key(*entry) {
            continue;
        }
        let after = subset(entry, &entries, &upstreams);
        moved += after.iter().filter(|u| !before.contains(u)).count();
        total += after.len();
    }
    f64::from(moved as u32) / f64::from(total as u32)
}
