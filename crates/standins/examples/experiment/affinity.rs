//! Prefix-cache hit ratio and load balance of the routing policies.

use std::time::Duration;

use eelgrasshold_core::types::Now;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::load::{self, Size};
use crate::report::Row;
use crate::simulation::{self, CORE, Call, FIFO, Fleet, LEAST_OUTSTANDING, ROUND_ROBIN, Results};

/// Offered loads as fractions of the capacity with cold prefix caches.
const LOADS: [f64; 3] = [0.3, 0.6, 0.8];
const RUN_END: Duration = Duration::from_secs(180);
/// Earlier calls fill the prefix caches and are left out of the times to first token.
const WARM_UP: Duration = Duration::from_secs(30);
/// Number of prefixes. Together they hold about twice the tokens that fit in all caches.
const PREFIXES: u32 = 400;

/// Runs all policies at all loads.
pub fn run(seed: u64) -> Vec<Row> {
    let fleet = Fleet::reference(&load::teams());
    let mut rows = Vec::new();
    for variant in [CORE, FIFO, LEAST_OUTSTANDING, ROUND_ROBIN] {
        for x in LOADS {
            let calls = calls(&fleet, x, seed);
            let results = simulation::run(&fleet, variant, &calls, seed);
            let (lookups, hits) = results.prefix_counts;
            let mut row = |metric, value| {
                rows.push(Row {
                    experiment: "affinity",
                    policy: variant.0,
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

fn draw_size(rng: &mut SmallRng) -> Size {
    Size {
        prompt_tokens: rng.random_range(1_000..3_000),
        output_tokens: rng.random_range(60..300),
    }
}

fn calls(fleet: &Fleet, load: f64, seed: u64) -> Vec<Call> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let rate = load * load::capacity_per_s(&fleet.spec, fleet.upstreams, &mut rng, draw_size);
    let times = load::arrivals(&mut rng, RUN_END, rate, |_: Now| rate);
    let mut call = |at| {
        let team = load::draw_team(&mut rng);
        let size = draw_size(&mut rng);
        let mut call = load::call(&mut rng, at, fleet.entries, team, size);
        let prefix = draw_prefix(&mut rng);
        call.request.prefix = Some(prefix);
        // The length of a prefix depends on the prefix only; the rest of the prompt varies.
        call.prefix_tokens = 800 + (prefix.wrapping_mul(7_919) % 1_600) as u32;
        call.request.prompt_tokens = call.prefix_tokens + rng.random_range(20..400);
        call
    };
    times.into_iter().map(&mut call).collect()
}

/// Draws a prefix from a Zipf distribution: the most popular one gets about 15% of the calls.
fn draw_prefix(rng: &mut SmallRng) -> u64 {
    let total: f64 = (1..=PREFIXES).map(|rank| 1.0 / f64::from(rank)).sum();
    let mut remaining = rng.random::<f64>() * total;
    for rank in 1..PREFIXES {
        remaining -= 1.0 / f64::from(rank);
        if remaining < 0.0 {
            return u64::from(rank);
        }
    }
    u64::from(PREFIXES)
}

/// Largest number of tokens that an engine produced, divided by the mean over all engines.
fn load_skew(results: &Results) -> f64 {
    let max = results.tokens_by_engine.iter().copied().max().unwrap_or(0);
    let mean =
        results.tokens_by_engine.iter().sum::<u64>() as f64 / results.tokens_by_engine.len() as f64;
    max as f64 / mean
}

fn ttft_ms_p95(calls: &[Call], results: &Results) -> f64 {
    let pairs = calls.iter().zip(&results.outcomes);
    let times = pairs
        .filter(|(c, _)| c.at >= WARM_UP)
        .filter_map(|(c, o)| Some(o.first_token_at?.saturating_sub(c.at).as_secs_f64() * 1_000.0));
    load::quantile(times.collect(), 0.95)
}
