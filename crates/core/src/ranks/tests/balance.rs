use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::ranks::{GroupMap, PlanLimits, plan};

const RANKS: usize = 12;
const EXPERTS: usize = 96;
const SETS: usize = 4;
const LIMITS: PlanLimits = PlanLimits {
    slots_per_rank: 10,
    loads_per_set: 2,
    loads_per_rank: 4,
};

/// Random shares in which some experts of each set take most of the work.
fn skewed(rng: &mut SmallRng) -> Vec<Vec<f64>> {
    let mut set = || {
        let mut shares: Vec<f64> = (0..EXPERTS).map(|_| rng.random_range(0.5..1.5)).collect();
        for _ in 0..6 {
            shares[rng.random_range(0..EXPERTS)] = rng.random_range(8.0..20.0);
        }
        let total: f64 = shares.iter().sum();
        shares.iter().map(|s| s / total).collect()
    };
    (0..SETS).map(|_| set()).collect()
}

/// Guards against a plan that drops an expert, exceeds a rank's memory or loads more than ranks
/// accept in one plan: ranks refuse such a map, or requests that select the expert fail.
#[test]
fn plans_keep_every_expert_and_respect_rank_limits() {
    let mut rng = SmallRng::seed_from_u64(1);
    for _ in 0..40 {
        let mut map = GroupMap::round_robin(SETS, RANKS, EXPERTS);
        let shares = skewed(&mut rng);
        while let Some(step) = plan(&map, &shares, &[], LIMITS) {
            assert!(step.after < step.before, "{step:?}");
            for (old, new) in map.sets.iter().zip(&step.map.sets) {
                assert!(new.copies(EXPERTS).iter().all(|c| *c > 0));
                for (old, new) in old.ranks.iter().zip(&new.ranks) {
                    assert!(new.len() <= LIMITS.slots_per_rank);
                    assert!(new.difference(old).count() <= LIMITS.loads_per_set);
                }
            }
            for rank in 0..RANKS {
                let loads = map.experts_to_load(&step.map, rank);
                assert!(loads <= LIMITS.loads_per_rank);
                assert!(loads <= step.loads);
            }
            map = step.map;
        }
    }
}

/// Guards against plans that leave most of the imbalance: passes are as slow as the busiest rank.
#[test]
fn successive_plans_balance_popular_experts() {
    let mut rng = SmallRng::seed_from_u64(2);
    let mut before = 0.0;
    let mut after = 0.0;
    for _ in 0..20 {
        let shares = skewed(&mut rng);
        let first = plan(
            &GroupMap::round_robin(SETS, RANKS, EXPERTS),
            &shares,
            &[],
            LIMITS,
        )
        .unwrap();
        before += first.before;
        let mut last = first;
        while let Some(next) = plan(&last.map, &shares, &[], LIMITS) {
            last = next;
        }
        after += last.after;
    }
    // A perfectly balanced map has 1.0.
    let excess = |sum: f64| sum / 20.0 - 1.0;
    assert!(excess(after) < 0.5 * excess(before), "{before} to {after}");
}

/// Guards against orders and copies that gain nothing.
#[test]
fn a_balanced_map_gets_no_plan() {
    let balanced = vec![vec![1.0 / EXPERTS as f64; EXPERTS]; SETS];
    assert!(
        plan(
            &GroupMap::round_robin(SETS, RANKS, EXPERTS),
            &balanced,
            &[],
            LIMITS
        )
        .is_none()
    );
}

/// Guards against a slow rank that keeps an equal share of the work: all ranks wait for it in every
/// pass.
#[test]
fn a_slow_rank_gets_proportionally_less_work() {
    let mut rng = SmallRng::seed_from_u64(3);
    let shares = skewed(&mut rng);
    let mut paces = vec![1.0; RANKS];
    paces[4] = 4.0;
    let mut map = GroupMap::round_robin(SETS, RANKS, EXPERTS);
    let mut steps = 0;
    while let Some(step) = plan(&map, &shares, &paces, LIMITS) {
        map = step.map;
        steps += 1;
    }
    for (set, shares) in map.sets.iter().zip(&shares) {
        let loads = set.loads(shares);
        let highest = loads.iter().copied().fold(0.0, f64::max);
        assert!(loads[4] * 4.0 <= highest * 1.001, "{loads:?} after {steps}");
    }
}
