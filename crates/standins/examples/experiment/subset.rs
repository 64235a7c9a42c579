//! Coverage of upstreams by the subsets of 380 entry hosts.

use std::collections::BTreeMap;

use eelgrasshold_core::serving::subset::{SUBSET_SIZE, subset};
use eelgrasshold_core::types::{DataCentreId, HostId};
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

use crate::report::Row;

const ENTRIES: usize = 380;
const DATA_CENTRES: usize = 4;

type Sites = BTreeMap<HostId, DataCentreId>;

/// Runs the experiment.
pub fn run(seed: u64) -> Vec<Row> {
    let mut rows = Vec::new();
    for upstreams in [12, 24, 60, 120, 300, 600] {
        let mut rng = SmallRng::seed_from_u64(seed);
        let entries = sites(&mut rng, "entry", ENTRIES);
        let sites = sites(&mut rng, "up", upstreams);
        let ours: BTreeMap<_, _> = entries
            .keys()
            .map(|e| (e, subset(e, &entries, &sites)))
            .collect();
        let random: BTreeMap<_, _> = entries
            .keys()
            .map(|e| (e, random_subset(&mut rng, &sites)))
            .collect();
        for (policy, subsets) in [("eelgrasshold", &ours), ("random", &random)] {
            let mut row = |metric, value| {
                rows.push(Row {
                    experiment: "subset",
                    policy,
                    metric,
                    x: upstreams as f64,
                    value,
                    extrapolated: false,
                });
            };
            let coverage = coverage(subsets, &sites);
            let mean = coverage.iter().sum::<usize>() as f64 / coverage.len() as f64;
            let max = coverage.iter().copied().max().unwrap_or(0);
            let min = coverage.iter().copied().min().unwrap_or(0);
            row("coverage_skew", max as f64 / mean);
            row("coverage_min_ratio", min as f64 / mean);
            let most = subsets.values().map(Vec::len).max().unwrap_or(0);
            row("connections_per_host", most as f64);
            row(
                "own_data_centre_share",
                own_share(subsets, &entries, &sites),
            );
        }
        rows.push(Row {
            experiment: "subset",
            policy: "eelgrasshold",
            metric: "moved_share",
            x: upstreams as f64,
            value: moved_share(&mut rng, &ours, &entries, &sites),
            extrapolated: false,
        });
    }
    rows
}

/// Hosts in data centres at random, so that the data centres differ in size.
fn sites(rng: &mut SmallRng, prefix: &str, count: usize) -> Sites {
    let mut site = |n| {
        let data_centre = rng.random_range(0..DATA_CENTRES);
        (format!("{prefix}-{n}"), format!("dc-{data_centre}"))
    };
    (0..count).map(&mut site).collect()
}

fn random_subset(rng: &mut SmallRng, upstreams: &Sites) -> Vec<HostId> {
    let mut hosts: Vec<_> = upstreams.keys().cloned().collect();
    hosts.shuffle(rng);
    hosts.truncate(SUBSET_SIZE);
    hosts
}

fn coverage(subsets: &BTreeMap<&HostId, Vec<HostId>>, upstreams: &Sites) -> Vec<usize> {
    let mut coverage: BTreeMap<_, _> = upstreams.keys().map(|u| (u, 0)).collect();
    for upstream in subsets.values().flatten() {
        *coverage.entry(upstream).or_default() += 1;
    }
    coverage.into_values().collect()
}

fn own_share(subsets: &BTreeMap<&HostId, Vec<HostId>>, entries: &Sites, ups: &Sites) -> f64 {
    let own = |(entry, chosen): (&&HostId, &Vec<HostId>)| {
        let here = &entries[*entry];
        chosen.iter().filter(|u| ups[*u] == *here).count()
    };
    let all: usize = subsets.values().map(Vec::len).sum();
    subsets.iter().map(own).sum::<usize>() as f64 / all as f64
}

/// Share of connections that move when one entry host and one upstream are replaced.
fn moved_share(
    rng: &mut SmallRng,
    before: &BTreeMap<&HostId, Vec<HostId>>,
    entries: &Sites,
    upstreams: &Sites,
) -> f64 {
    let replace = |rng: &mut SmallRng, sites: &Sites, new: &str| {
        let mut sites = sites.clone();
        let gone = sites.keys().nth(rng.random_range(0..sites.len())).cloned();
        if let Some(data_centre) = gone.and_then(|host| sites.remove(&host)) {
            sites.insert(new.into(), data_centre);
        }
        sites
    };
    let entries = replace(rng, entries, "entry-new");
    let upstreams = replace(rng, upstreams, "up-new");
    let (mut moved, mut all) = (0, 0);
    for (entry, before) in before {
        if !entries.contains_key(*entry) {
            continue;
        }
        let after = subset(entry, &entries, &upstreams);
        moved += after.iter().filter(|u| !before.contains(u)).count();
        all += after.len();
    }
    f64::from(moved as u32) / f64::from(all as u32)
}
