//! Prefix-cache hits against the balance of load.

use std::time::Duration;

use eelgrasshold_core::types::Now;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::load::{self, Size};
use crate::report::Row;
use crate::world::{self, CORE, Call, FIFO, Fleet, LEAST_OUTSTANDING, ROUND_ROBIN, Results};

/// Loads over the capacity without any cached prefix.
const LOADS: [f64; 3] = [0.3, 0.6, 0.8];
const RUN_ENDS: Duration = Duration::from_secs(180);
/// Calls that arrive before fill the caches and are not measured for their first token.
const WARM: Duration = Duration::from_secs(30);
/// Prefixes; their tokens are some twice what all caches together hold.
const PREFIXES: u32 = 400;

/// Runs the experiment.
pub fn run(seed: u64) -> Vec<Row> {
    let fleet = Fleet::today(&load::teams());
    let mut rows = Vec::new();
    for compared in [CORE, FIFO, LEAST_OUTSTANDING, ROUND_ROBIN] {
        for x in LOADS {
            let calls = calls(&fleet, x, seed);
            let results = world::run(&fleet, compared, &calls, seed);
            let (lookups, hits) = results.prefix_counts;
            let mut row = |metric, value| {
                rows.push(Row {
                    experiment: "affinity",
                    policy: compared.0,
                    metric,
                    x,
                    value,
                    extrapolated: false,
                });
            };
            row("prefix_hit_ratio", hits as f64 / lookups as f64);
            row("load_skew", load_skew(&results));
            row("ttft_ms_p95", ttft_ms_p95(&calls, &results));
        }
    }
    rows
}

fn draw(rng: &mut SmallRng) -> Size {
    Size {
        prompt_tokens: rng.random_range(1_000..3_000),
        output_tokens: rng.random_range(60..300),
    }
}

fn calls(fleet: &Fleet, x: f64, seed: u64) -> Vec<Call> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let rate = x * load::capacity_per_s(&fleet.spec, fleet.upstreams, &mut rng, draw);
    let times = load::arrivals(&mut rng, RUN_ENDS, rate, |_: Now| rate);
    let mut call = |at| {
        let team = load::draw_team(&mut rng);
        let size = draw(&mut rng);
        let mut call = load::call(&mut rng, at, fleet.entries, team, size);
        let prefix = draw_prefix(&mut rng);
        call.request.prefix = Some(prefix);
        // Each prefix has a length of its own; the rest of the prompt is the caller's.
        call.prefix_tokens = 800 + (prefix.wrapping_mul(7_919) % 1_600) as u32;
        call.request.prompt_tokens = call.prefix_tokens + rng.random_range(20..400);
        call
    };
    times.into_iter().map(&mut call).collect()
}

/// Prefix of a rank by Zipf's law: the most popular one gets some 15% of the calls.
fn draw_prefix(rng: &mut SmallRng) -> u64 {
    let total: f64 = (1..=PREFIXES).map(|rank| 1.0 / f64::from(rank)).sum();
    let mut left = rng.random::<f64>() * total;
    for rank in 1..PREFIXES {
        left -= 1.0 / f64::from(rank);
        if left < 0.0 {
            return u64::from(rank);
        }
    }
    u64::from(PREFIXES)
}

/// Tokens of the engine that produced most over the mean.
fn load_skew(results: &Results) -> f64 {
    let max = results.tokens.iter().copied().max().unwrap_or(0);
    let mean = results.tokens.iter().sum::<u64>() as f64 / results.tokens.len() as f64;
    max as f64 / mean
}

fn ttft_ms_p95(calls: &[Call], results: &Results) -> f64 {
    let both = calls.iter().zip(&results.outcomes);
    let times = both
        .filter(|(c, _)| c.at >= WARM)
        .filter_map(|(c, o)| Some(o.first_token?.saturating_sub(c.at).as_secs_f64() * 1_000.0));
    load::quantile(times.collect(), 0.95)
}
