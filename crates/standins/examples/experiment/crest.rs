//! Quality of service at the peak of a swing in demand.

use std::collections::BTreeMap;
use std::time::Duration;

use eelgrasshold_core::types::{Now, TeamId};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::load;
use crate::report::Row;
use crate::world::{
    self, CORE, Call, End, FIFO, Fleet, LEAST_OUTSTANDING, Outcome, ROUND_ROBIN, Results,
};

/// Load over capacity before and after the crest.
const CALM: f64 = 0.5;
const SWING_BEGINS: Duration = Duration::from_secs(30);
/// The load changes within this time.
const SWING: Duration = Duration::from_secs(5);
const CREST_ENDS: Duration = Duration::from_secs(70);
const RUN_ENDS: Duration = Duration::from_secs(80);

/// Runs the experiment.
pub fn run(seed: u64) -> Vec<Row> {
    let mut rows = Vec::new();
    for compared in [CORE, FIFO, LEAST_OUTSTANDING, ROUND_ROBIN] {
        let fleet = Fleet::today(&load::teams());
        let at_1 = world::run(&fleet, compared, &calls(&fleet, 1.0, seed), seed);
        let goodput_at_1 = goodput(&at_1);
        for x in [0.5, 1.0, 2.0, 3.0, 4.0] {
            let calls = calls(&fleet, x, seed);
            let results = world::run(&fleet, compared, &calls, seed);
            let mut row = |metric, value| {
                rows.push(Row {
                    experiment: "crest",
                    policy: compared.0,
                    metric,
                    x,
                    value,
                    extrapolated: false,
                });
            };
            row("goodput_ratio", goodput(&results) / goodput_at_1);
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

fn calls(fleet: &Fleet, x: f64, seed: u64) -> Vec<Call> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let capacity = load::capacity_per_s(&fleet.spec, fleet.upstreams, &mut rng, load::heavy_tailed);
    let rate = |now: Now| {
        let up = now.saturating_sub(SWING_BEGINS).as_secs_f64() / SWING.as_secs_f64();
        let down = now.saturating_sub(CREST_ENDS).as_secs_f64() / SWING.as_secs_f64();
        capacity * (CALM + (x - CALM) * (up.min(1.0) - down.min(1.0)))
    };
    let times = load::arrivals(&mut rng, RUN_ENDS, capacity * x.max(CALM), rate);
    let mut call = |at| {
        let team = load::draw_team(&mut rng);
        let size = load::heavy_tailed(&mut rng);
        load::call(&mut rng, at, fleet.entries, team, size)
    };
    times.into_iter().map(&mut call).collect()
}

fn in_crest(at: Now) -> bool {
    (SWING_BEGINS + SWING..CREST_ENDS).contains(&at)
}

/// Answers within their deadline that were completed at the crest.
fn goodput(results: &Results) -> f64 {
    let done = results.outcomes.iter().filter_map(Outcome::finished);
    done.filter(|at| in_crest(*at)).count() as f64
}

/// Time from arrival to refusal of all calls that got no token.
fn refusal_ms_p99(calls: &[Call], results: &Results) -> f64 {
    let both = calls.iter().zip(&results.outcomes);
    let times = both.filter_map(|(call, outcome)| match outcome.end {
        Some((at, End::Refused(..))) if outcome.first_token.is_none() => {
            Some(at.saturating_sub(call.at).as_secs_f64() * 1_000.0)
        }
        _ => None,
    });
    load::quantile(times.collect(), 0.99)
}

fn ttft_ms_p95(calls: &[Call], results: &Results) -> f64 {
    let both = calls.iter().zip(&results.outcomes);
    let times = both
        .filter(|(c, _)| in_crest(c.at))
        .filter_map(|(c, o)| Some(o.first_token?.saturating_sub(c.at).as_secs_f64() * 1_000.0));
    load::quantile(times.collect(), 0.95)
}

/// Share of all calls that were refused without a token, or cut after one.
fn ended_share(results: &Results, without_token: bool) -> f64 {
    let outcomes = &results.outcomes;
    let refused = outcomes.iter().filter(|o| {
        o.first_token.is_none() == without_token && matches!(o.end, Some((_, End::Refused(..))))
    });
    refused.count() as f64 / outcomes.len() as f64
}

/// Tokens of whole answers to the small teams' calls of the crest, over what was due: what each
/// offered, but no more than its max-min fair share of the capacity.
fn small_team_share(fleet: &Fleet, calls: &[Call], results: &Results) -> f64 {
    let mut offered: BTreeMap<&TeamId, f64> = BTreeMap::new();
    let mut served = 0.0;
    for (call, outcome) in calls.iter().zip(&results.outcomes) {
        if !in_crest(call.at) {
            continue;
        }
        let tokens = f64::from(call.output_tokens);
        *offered.entry(&call.request.team).or_default() += tokens;
        if load::is_small(&call.request.team) && outcome.finished().is_some() {
            served += tokens;
        }
    }
    let step = fleet.spec.step_base + fleet.spec.step_per_job * fleet.spec.slots as u32;
    let per_s = (fleet.upstreams * fleet.spec.slots) as f64 / step.as_secs_f64();
    let crest = CREST_ENDS.saturating_sub(SWING_BEGINS + SWING);
    let share = fair_share(&offered, per_s * crest.as_secs_f64());
    let small = offered.iter().filter(|(team, _)| load::is_small(team));
    let due: f64 = small.map(|(_, tokens)| tokens.min(share)).sum();
    served / due
}

/// Max-min fair share: what each team gets that wants more.
fn fair_share(offered: &BTreeMap<&TeamId, f64>, capacity: f64) -> f64 {
    let mut wants: Vec<f64> = offered.values().copied().collect();
    wants.sort_by(f64::total_cmp);
    let mut left = capacity;
    for (n, want) in wants.iter().enumerate() {
        let share = left / (wants.len() - n) as f64;
        if *want >= share {
            return share;
        }
        left -= want;
    }
    f64::INFINITY
}
