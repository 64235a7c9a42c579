//! Head-of-line blocking of short work behind long work.

use std::time::Duration;

use eelgrasshold_core::types::Now;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::load::{self, Size};
use crate::report::Row;
use crate::simulation::{self, CORE, Call, FIFO, Fleet, LEAST_OUTSTANDING, ROUND_ROBIN, Results};

/// Offered load as a fraction of the capacity.
const LOAD: f64 = 0.8;
/// Earlier calls are left out: long work needs this time to spread over all engines.
const WARM_UP: Duration = Duration::from_secs(120);
const RUN_END: Duration = Duration::from_secs(420);
/// Long enough that no call expires, so that only the order of work affects the results.
const DEADLINE: Duration = Duration::from_secs(600);
/// Output tokens of long calls, on average about 22 times those of short calls.
const LONG_TOKENS: std::ops::Range<u32> = 1_500..3_000;
const SHORT_TOKENS: std::ops::Range<u32> = 40..160;

/// Runs all policies with growing shares of long calls.
pub fn run(seed: u64) -> Vec<Row> {
    let fleet = Fleet::reference(&load::teams());
    let mut rows = Vec::new();
    for variant in [CORE, FIFO, LEAST_OUTSTANDING, ROUND_ROBIN] {
        let mut ttft_without_long = None;
        for x in [0.0, 0.01, 0.02, 0.05, 0.1] {
            let calls = calls(&fleet, x, seed);
            let results = simulation::run(&fleet, variant, &calls, seed);
            let ttft = short_ttft_ms_p99(&calls, &results);
            let baseline = *ttft_without_long.get_or_insert(ttft);
            let mut row = |metric, value| {
                rows.push(Row {
                    experiment: "blocking",
                    policy: variant.0,
                    metric,
                    x,
                    value,
                    extrapolated: false,
                });
            };
            row("short_ttft_p99_ratio", ttft / baseline);
            row("short_ttft_ms_p99", ttft);
            row("finished_share", finished_share(&calls, &results));
            if x > 0.0 {
                row("long_slowdown", long_slowdown(&fleet, &calls, &results));
            }
        }
    }
    rows
}

fn calls(fleet: &Fleet, long_share: f64, seed: u64) -> Vec<Call> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let draw_size = |rng: &mut SmallRng| Size {
        prompt_tokens: rng.random_range(20..600),
        output_tokens: if rng.random::<f64>() < long_share {
            rng.random_range(LONG_TOKENS)
        } else {
            rng.random_range(SHORT_TOKENS)
        },
    };
    let rate = LOAD * load::capacity_per_s(&fleet.spec, fleet.upstreams, &mut rng, draw_size);
    let times = load::arrivals(&mut rng, RUN_END, rate, |_: Now| rate);
    let mut call = |at| {
        let team = load::draw_team(&mut rng);
        let size = draw_size(&mut rng);
        let mut call = load::call(&mut rng, at, fleet.entries, team, size);
        call.request.deadline = DEADLINE;
        // The same limit for all calls, so that it does not reveal which calls are long.
        call.request.max_tokens = LONG_TOKENS.end;
        call
    };
    times.into_iter().map(&mut call).collect()
}

fn is_long(call: &Call) -> bool {
    call.output_tokens >= LONG_TOKENS.start
}

fn short_ttft_ms_p99(calls: &[Call], results: &Results) -> f64 {
    let pairs = calls.iter().zip(&results.outcomes);
    let times = pairs
        .filter(|(c, _)| c.at >= WARM_UP && !is_long(c))
        .filter_map(|(c, o)| Some(o.first_token_at?.saturating_sub(c.at).as_secs_f64() * 1_000.0));
    load::quantile(times.collect(), 0.99)
}

/// Mean time of long answers, relative to the time that they would take on an idle engine.
fn long_slowdown(fleet: &Fleet, calls: &[Call], results: &Results) -> f64 {
    let step = fleet.spec.step_base + fleet.spec.step_per_job;
    let (mut total_time, mut unloaded_time) = (0.0, 0.0);
    for (call, outcome) in calls.iter().zip(&results.outcomes) {
        if call.at < WARM_UP || !is_long(call) {
            continue;
        }
        if let Some(at) = outcome.finished() {
            total_time += at.saturating_sub(call.at).as_secs_f64();
            unloaded_time += (step * call.output_tokens).as_secs_f64();
        }
    }
    total_time / unloaded_time
}

fn finished_share(calls: &[Call], results: &Results) -> f64 {
    let pairs = calls.iter().zip(&results.outcomes);
    let measured: Vec<_> = pairs.filter(|(c, _)| c.at >= WARM_UP).collect();
    let finished = measured.iter().filter(|(_, o)| o.finished().is_some());
    finished.count() as f64 / measured.len() as f64
}
