//! Attempts for each request while upstreams fail.

use std::time::Duration;

use eelgrasshold_core::types::Now;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::load;
use crate::report::Row;
use crate::world::{self, CORE, Call, Fault, Fleet, LEAST_OUTSTANDING, RETRY_ALWAYS};

/// Load over the capacity of the whole fleet.
const LOAD: f64 = 0.4;
const FAULTS_BEGIN: Duration = Duration::from_secs(20);
const OUTAGE: Duration = Duration::from_secs(30);
const RUN_ENDS: Duration = Duration::from_secs(60);

/// Runs the experiment.
pub fn run(seed: u64) -> Vec<Row> {
    let mut rows = Vec::new();
    for compared in [CORE, LEAST_OUTSTANDING, RETRY_ALWAYS] {
        for x in [0.0, 0.25, 0.5, 0.75, 1.0] {
            let mut fleet = Fleet::today(&load::teams());
            let failing = (x * fleet.upstreams as f64) as usize;
            let fault = |n| (FAULTS_BEGIN, n, Fault::Crash(OUTAGE));
            fleet.faults = (0..failing).map(fault).collect();
            let calls = calls(&fleet, seed);
            let results = world::run(&fleet, compared, &calls, seed);
            let mut row = |metric, value| {
                rows.push(Row {
                    experiment: "retries",
                    policy: compared.0,
                    metric,
                    x,
                    value,
                    extrapolated: false,
                });
            };
            // While the fault lasts, so that the calm before doesn't hide what it causes.
            let during: Vec<_> = calls
                .iter()
                .zip(&results.outcomes)
                .filter(|(c, _)| (FAULTS_BEGIN..FAULTS_BEGIN + OUTAGE).contains(&c.at))
                .map(|(_, o)| o)
                .collect();
            let attempts: u32 = during.iter().map(|o| o.attempts).sum();
            let finished = during.iter().filter(|o| o.finished().is_some()).count();
            row("amplification", f64::from(attempts) / during.len() as f64);
            row("finished_share", finished as f64 / during.len() as f64);
        }
    }
    rows
}

fn calls(fleet: &Fleet, seed: u64) -> Vec<Call> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let capacity = load::capacity_per_s(&fleet.spec, fleet.upstreams, &mut rng, load::heavy_tailed);
    let rate = LOAD * capacity;
    let times = load::arrivals(&mut rng, RUN_ENDS, rate, |_: Now| rate);
    let mut call = |at| {
        let team = load::draw_team(&mut rng);
        let size = load::heavy_tailed(&mut rng);
        load::call(&mut rng, at, fleet.entries, team, size)
    };
    times.into_iter().map(&mut call).collect()
}
