//! Attempts per request while a share of the upstreams is down.

use std::time::Duration;

use eelgrasshold_core::types::Now;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::load;
use crate::report::Row;
use crate::simulation::{self, CORE, Call, Fault, Fleet, LEAST_OUTSTANDING, RETRY_ALWAYS};

/// Offered load as a fraction of the capacity of all upstreams.
const LOAD: f64 = 0.4;
const OUTAGE_START: Duration = Duration::from_secs(20);
const OUTAGE_DURATION: Duration = Duration::from_secs(30);
const RUN_END: Duration = Duration::from_secs(60);

/// Runs all policies with growing shares of failed upstreams.
pub fn run(seed: u64) -> Vec<Row> {
    let mut rows = Vec::new();
    for variant in [CORE, LEAST_OUTSTANDING, RETRY_ALWAYS] {
        for x in [0.0, 0.25, 0.5, 0.75, 1.0] {
            let mut fleet = Fleet::reference(&load::teams());
            let failing = (x * fleet.upstreams as f64) as usize;
            let fault = |n| (OUTAGE_START, n, Fault::Crash(OUTAGE_DURATION));
            fleet.faults = (0..failing).map(fault).collect();
            let calls = calls(&fleet, seed);
            let results = simulation::run(&fleet, variant, &calls, seed);
            let mut row = |metric, value| {
                rows.push(Row {
                    experiment: "retries",
                    policy: variant.0,
                    metric,
                    x,
                    value,
                    extrapolated: false,
                });
            };
            // Only calls that arrive during the outage; those before it would dilute its effect.
            let during: Vec<_> = calls
                .iter()
                .zip(&results.outcomes)
                .filter(|(c, _)| (OUTAGE_START..OUTAGE_START + OUTAGE_DURATION).contains(&c.at))
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
    let times = load::arrivals(&mut rng, RUN_END, rate, |_: Now| rate);
    let mut call = |at| {
        let team = load::draw_team(&mut rng);
        let size = load::heavy_tailed(&mut rng);
        load::call(&mut rng, at, fleet.entries, team, size)
    };
    times.into_iter().map(&mut call).collect()
}
