//! Quality of service during a peak in demand that may exceed the capacity.

use std::collections::BTreeMap;
use std::time::Duration;

use eelgrasshold_core::types::{Now, TeamId};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::load;
use crate::report::Row;
use crate::simulation::{
    self, CORE, Call, End, FIFO, Fleet, LEAST_OUTSTANDING, Outcome, ROUND_ROBIN, Results,
};

/// Offered load before and after the peak, as a fraction of the capacity.
const BASE_LOAD: f64 = 0.5;
const RAMP_UP_START: Duration = Duration::from_secs(30);
/// Time in which the load rises to the peak, and in which it falls again.
const RAMP_DURATION: Duration = Duration::from_secs(5);
const RAMP_DOWN_START: Duration = Duration::from_secs(70);
const RUN_END: Duration = Duration::from_secs(80);

/// Runs all policies with peaks from half to four times the capacity.
pub fn run(seed: u64) -> Vec<Row> {
    let mut rows = Vec::new();
    for variant in [CORE, FIFO, LEAST_OUTSTANDING, ROUND_ROBIN] {
        let fleet = Fleet::reference(&load::teams());
        let at_capacity = simulation::run(&fleet, variant, &calls(&fleet, 1.0, seed), seed);
        let goodput_at_capacity = goodput(&at_capacity);
        for x in [0.5, 1.0, 2.0, 3.0, 4.0] {
            let calls = calls(&fleet, x, seed);
            let results = simulation::run(&fleet, variant, &calls, seed);
            let mut row = |metric, value| {
                rows.push(Row {
                    experiment: "crest",
                    policy: variant.0,
                    metric,
                    x,
                    value,
                    extrapolated: false,
                });
            };
            row("goodput_ratio", goodput(&results) / goodput_at_capacity);
            row("refusal_ms_p99", refusal_ms_p99(&calls, &results));
            row(
                "small_team_share",
                small_team_share(&fleet, &calls, &results),
            );
            row("ttft_ms_p95", ttft_ms_p95(&calls, &results));
            row("refused_share", ended_share(&results, true));
            row("late_share", ended_share(&results, false));
        }
    }
    rows
}

fn calls(fleet: &Fleet, peak_load: f64, seed: u64) -> Vec<Call> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let capacity = load::capacity_per_s(&fleet.spec, fleet.upstreams, &mut rng, load::heavy_tailed);
    let rate = |now: Now| {
        let risen = now.saturating_sub(RAMP_UP_START).as_secs_f64() / RAMP_DURATION.as_secs_f64();
        let fallen =
            now.saturating_sub(RAMP_DOWN_START).as_secs_f64() / RAMP_DURATION.as_secs_f64();
        capacity * (BASE_LOAD + (peak_load - BASE_LOAD) * (risen.min(1.0) - fallen.min(1.0)))
    };
    let times = load::arrivals(&mut rng, RUN_END, capacity * peak_load.max(BASE_LOAD), rate);
    let mut call = |at| {
        let team = load::draw_team(&mut rng);
        let size = load::heavy_tailed(&mut rng);
        load::call(&mut rng, at, fleet.entries, team, size)
    };
    times.into_iter().map(&mut call).collect()
}

fn in_peak(at: Now) -> bool {
    (RAMP_UP_START + RAMP_DURATION..RAMP_DOWN_START).contains(&at)
}

/// Number of answers that were completed within their deadlines during the peak.
fn goodput(results: &Results) -> f64 {
    let finished = results.outcomes.iter().filter_map(Outcome::finished);
    finished.filter(|at| in_peak(*at)).count() as f64
}

/// 99th percentile of the time to refusal of calls that were refused before their first token.
fn refusal_ms_p99(calls: &[Call], results: &Results) -> f64 {
    let pairs = calls.iter().zip(&results.outcomes);
    let times = pairs.filter_map(|(call, outcome)| match outcome.end {
        Some((at, End::Refused(..))) if outcome.first_token_at.is_none() => {
            Some(at.saturating_sub(call.at).as_secs_f64() * 1_000.0)
        }
        _ => None,
    });
    load::quantile(times.collect(), 0.99)
}

fn ttft_ms_p95(calls: &[Call], results: &Results) -> f64 {
    let pairs = calls.iter().zip(&results.outcomes);
    let times = pairs
        .filter(|(c, _)| in_peak(c.at))
        .filter_map(|(c, o)| Some(o.first_token_at?.saturating_sub(c.at).as_secs_f64() * 1_000.0));
    load::quantile(times.collect(), 0.95)
}

/// Share of calls that were refused before their first token, or cut off after it if
/// `without_token` is false.
fn ended_share(results: &Results, without_token: bool) -> f64 {
    let outcomes = &results.outcomes;
    let refused = outcomes.iter().filter(|o| {
        o.first_token_at.is_none() == without_token && matches!(o.end, Some((_, End::Refused(..))))
    });
    refused.count() as f64 / outcomes.len() as f64
}

/// Tokens of complete answers to the small teams' calls during the peak, divided by the tokens
/// that they are entitled to: their offered tokens, up to the max-min fair share of the capacity.
fn small_team_share(fleet: &Fleet, calls: &[Call], results: &Results) -> f64 {
    let mut offered: BTreeMap<&TeamId, f64> = BTreeMap::new();
    let mut served = 0.0;
    for (call, outcome) in calls.iter().zip(&results.outcomes) {
        if !in_peak(call.at) {
            continue;
        }
        let tokens = f64::from(call.output_tokens);
        *offered.entry(&call.request.team).or_default() += tokens;
        if load::is_small_team(&call.request.team) && outcome.finished().is_some() {
            served += tokens;
        }
    }
    let step = fleet.spec.step_base + fleet.spec.step_per_job * fleet.spec.slots as u32;
    let per_s = (fleet.upstreams * fleet.spec.slots) as f64 / step.as_secs_f64();
    let peak = RAMP_DOWN_START.saturating_sub(RAMP_UP_START + RAMP_DURATION);
    let share = fair_share(&offered, per_s * peak.as_secs_f64());
    let small = offered.iter().filter(|(team, _)| load::is_small_team(team));
    let entitled: f64 = small.map(|(_, tokens)| tokens.min(share)).sum();
    served / entitled
}

/// Max-min fair share: the tokens that each team gets whose demand is not met in full.
fn fair_share(offered: &BTreeMap<&TeamId, f64>, capacity: f64) -> f64 {
    let mut demands: Vec<f64> = offered.values().copied().collect();
    demands.sort_by(f64::total_cmp);
    let mut remaining = capacity;
    for (n, demand) in demands.iter().enumerate() {
        let share = remaining / (demands.len() - n) as f64;
        if *demand >= share {
            return share;
        }
        remaining -= demand;
    }
    f64::INFINITY
}
