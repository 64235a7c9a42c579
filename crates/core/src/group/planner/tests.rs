use std::time::Duration;

use super::*;
use crate::group::map::{ExpertCopy, WHOLE_SHARE};

fn settings(slots_per_rank: u32) -> PlannerSettings {
    PlannerSettings {
        slots_per_rank,
        ..PlannerSettings::default()
    }
}

/// Heavy-tailed token counts for `experts` experts.
fn heavy_tail(experts: u64) -> Vec<u64> {
    (1..=experts).map(|i| 1_000_000 / i).collect()
}

fn predicted(layers: &[LayerMap], counts: &[u64], speeds: &[f64]) -> f64 {
    let total: u64 = counts.iter().sum();
    let shares = counts.iter().map(|c| *c as f64 / total as f64).collect();
    let layer = Layer::new(&layers[0], shares, speeds, 99).expect("a layer");
    layer.time() / layer.balanced_time()
}

fn check_map(layer: &LayerMap, experts: u32, slots: usize) {
    let mut shares = vec![0; experts as usize];
    for copies in &layer.ranks {
        assert!(copies.len() <= slots, "{} slots used", copies.len());
        let mut seen = std::collections::BTreeSet::new();
        for copy in copies {
            assert!(seen.insert(copy.expert), "two copies on one rank");
            shares[copy.expert as usize] += copy.share;
        }
    }
    assert!(shares.iter().all(|s| *s == WHOLE_SHARE), "{shares:?}");
}

// Guards against maps that lose an expert, exceed a rank's memory or use two slots of a rank for
// the same expert, and against an imbalance that spare slots could remove.
#[test]
fn plans_converge_to_a_balanced_map_within_memory() {
    let mut map = ExpertMap::initial(8, 1, 64);
    let counts = heavy_tail(64);
    let mut planner = Planner::new(settings(9), 8);
    for _ in 0..10 {
        planner.observe(std::slice::from_ref(&counts));
        if let Some(plan) = planner.plan(&map) {
            check_map(&plan.layers[0], 64, 9);
            map.layers = plan.layers;
        }
    }
    let skew = predicted(&map.layers, &counts, &[1.0; 8]);
    assert!(skew < 1.02, "{skew}");
}

// Guards against changes of a balanced map when counts vary only by noise.
#[test]
fn noise_moves_nothing() {
    let map = ExpertMap::initial(4, 1, 16);
    let mut planner = Planner::new(settings(5), 4);
    for i in 0..20_u64 {
        let counts: Vec<u64> = (0..16).map(|e| 10_000 + (e * 7 + i * 13) % 40).collect();
        planner.observe(&[counts]);
        assert_eq!(planner.plan(&map), None);
    }
}

// Guards against loads that cost more than they save over the horizon.
#[test]
fn loads_are_planned_only_if_they_pay() {
    let map = ExpertMap::initial(4, 1, 16);
    let mut expensive_loads = settings(5);
    expensive_loads.load_cost = Duration::from_secs(3_600);
    let mut planner = Planner::new(expensive_loads, 4);
    planner.observe(&[heavy_tail(16)]);
    assert_eq!(planner.plan(&map).map_or(0, |p| p.loads), 0);
}

// Guards against loads for an imbalance that a shift of shares can remove.
#[test]
fn shares_are_shifted_without_loads() {
    let layer = |a, b| LayerMap {
        ranks: vec![
            vec![
                ExpertCopy {
                    expert: 0,
                    share: a,
                },
                ExpertCopy {
                    expert: 1,
                    share: WHOLE_SHARE,
                },
            ],
            vec![
                ExpertCopy {
                    expert: 0,
                    share: b,
                },
                ExpertCopy {
                    expert: 2,
                    share: WHOLE_SHARE,
                },
            ],
        ],
    };
    let mut map = ExpertMap::initial(2, 1, 3);
    map.layers[0] = layer(WHOLE_SHARE / 2, WHOLE_SHARE / 2);
    let mut planner = Planner::new(settings(2), 2);
    planner.observe(&[vec![500, 400, 100]]);
    let plan = planner.plan(&map).expect("a shift");
    assert_eq!(plan.loads, 0);
    assert_eq!(plan.layers[0], layer(200_000, 800_000));
}

// Guards against a rank that loads more weights beside the present map than it has memory for.
#[test]
fn staging_bounds_the_loads_of_each_rank() {
    let map = ExpertMap::initial(8, 4, 64);
    let mut limited = settings(9);
    limited.staging_per_rank = 2;
    let mut planner = Planner::new(limited, 8);
    planner.observe(&vec![heavy_tail(64); 4]);
    let plan = planner.plan(&map).expect("a plan");
    for rank in 0..8 {
        let layers = plan.layers.iter().zip(&map.layers);
        let loads: usize = layers
            .map(|(new, old)| {
                let new = new.ranks[rank as usize].iter();
                new.filter(|c| !old.holds(rank, c.expert)).count()
            })
            .sum();
        assert!(loads <= 2, "rank {rank} loads {loads}");
    }
}

// Guards against confusing a slow rank with an overloaded one.
#[test]
fn slow_rank_is_distinguished_from_an_overloaded_one() {
    let mut speeds = Speeds::new(4);
    let ms = Duration::from_millis;
    for _ in 0..20 {
        // Rank 1 has twice the work at normal speed, rank 2 runs at half speed.
        speeds.observe(&[
            (1_000, ms(10)),
            (2_000, ms(20)),
            (1_000, ms(20)),
            (1_000, ms(10)),
        ]);
    }
    let values = speeds.values();
    assert_eq!((values[0], values[1]), (1.0, 1.0));
    assert!((values[2] - 0.5).abs() < 0.05, "{values:?}");
}

// Guards against a slow rank that gets as much work as a fast one.
#[test]
fn slow_rank_gets_less_work() {
    let mut map = ExpertMap::initial(4, 1, 16);
    let counts = vec![1_000; 16];
    let mut planner = Planner::new(settings(5), 4);
    let ms = Duration::from_millis;
    for _ in 0..20 {
        planner.observe(std::slice::from_ref(&counts));
        planner.observe_speed(&[
            (1_000, ms(10)),
            (1_000, ms(10)),
            (1_000, ms(20)),
            (1_000, ms(10)),
        ]);
        if let Some(plan) = planner.plan(&map) {
            map.layers = plan.layers;
        }
    }
    let skew = predicted(&map.layers, &counts, &[1.0, 1.0, 0.5, 1.0]);
    assert!(skew < 1.05, "{skew}");
}

// Guards against a baseline that isn't a valid map.
#[test]
fn full_layer_places_each_expert() {
    let counts = heavy_tail(64);
    let total: u64 = counts.iter().sum();
    let shares: Vec<f64> = counts.iter().map(|c| *c as f64 / total as f64).collect();
    let layer = full_layer(&shares, &[1.0; 8], 9).expect("a map");
    check_map(&layer, 64, 9);
    assert_eq!(full_layer(&shares, &[1.0; 8], 7), None);
}
