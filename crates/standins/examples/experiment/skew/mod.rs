//! Step-time skew across the ranks of an expert group, and the cost of rebalancing.
//!
//! A group runs in lock-step on a trace of 256 experts in 4 layers, with 512 tokens per rank and
//! step. Each layer ends when its slowest rank does. All policies start from the same map, which
//! is planned from the counts of the first step, with 1/8 of spare slots. Each report covers 20
//! steps and is used one report later.
//!
//! `skew_over_bound` is the time relative to [`bound::min_layer_time`], computed for each step
//! from the counts of the same step. `skew_over_bound_settled` leaves out the first 100 steps
//! after the shift of popularity, which no report could announce. `switch_held_steps` counts the
//! steps that the group loses in one switch, see [`switching`].

mod bound;
mod model;
mod plan_time;
mod switching;
mod trace;

use crate::report::Row;
use model::{Outcome, Policy};
use switching::Fault;

const TOKENS_PER_RANK: usize = 512;

/// Measures skew and load cost of all policies, switches under faults, and planning times.
pub fn run(seed: u64) -> Vec<Row> {
    let mut rows = Vec::new();
    for ranks in [8, 16, 32] {
        let outcomes: Vec<(Policy, Outcome)> = Policy::ALL
            .into_iter()
            .map(|p| (p, model::run(p, seed, ranks, TOKENS_PER_RANK, false)))
            .collect();
        let full_replan = outcomes.iter().find(|(p, _)| *p == Policy::FullReplan);
        let full_replan_loads = full_replan.map_or(0, |(_, o)| o.loads);
        for (policy, outcome) in &outcomes {
            push_policy_rows(*policy, ranks, outcome, full_replan_loads, &mut rows);
        }
        for policy in Policy::ALL {
            let outcome = model::run(policy, seed, ranks, TOKENS_PER_RANK, true);
            rows.push(row(
                policy.name(),
                "straggler_over_bound",
                ranks,
                outcome.over_bound,
            ));
        }
    }
    for fault in Fault::ALL {
        let (held_steps, switched) = switching::measure_switch(fault, 32);
        rows.push(row(
            fault.name(),
            "switch_held_steps",
            32,
            held_steps as f64,
        ));
        let switched = f64::from(u8::from(switched));
        rows.push(row(fault.name(), "switch_took_place", 32, switched));
    }
    for tokens in [128, 256, 1_024] {
        let outcome = model::run(Policy::Planned, seed, 32, tokens, false);
        let metric = "step_skew_by_tokens";
        rows.push(row(
            Policy::Planned.name(),
            metric,
            tokens,
            mean(&outcome.skew),
        ));
    }
    for layers in [15, 29, 58] {
        let (mean, max) = plan_time::plan_ms(seed, layers);
        rows.push(row("eelgrasshold", "plan_ms", layers, mean));
        rows.push(row("eelgrasshold", "plan_ms_max", layers, max));
    }
    rows
}

fn push_policy_rows(
    policy: Policy,
    ranks: usize,
    outcome: &Outcome,
    full_replan_loads: usize,
    rows: &mut Vec<Row>,
) {
    let mut push = |metric, value| rows.push(row(policy.name(), metric, ranks, value));
    push("step_skew", mean(&outcome.skew));
    push("step_skew_p99", p99(&outcome.skew));
    push("skew_over_bound", outcome.over_bound);
    push("skew_over_bound_settled", outcome.over_bound_settled);
    let ratio = outcome.loads as f64 / full_replan_loads.max(1) as f64;
    push("moved_bytes_ratio", ratio);
    let recovery = outcome.recovery_steps.map_or(f64::INFINITY, |s| s as f64);
    push("recovery_steps", recovery);
    push("switches", outcome.switches as f64);
}

fn row(policy: &'static str, metric: &'static str, x: usize, value: f64) -> Row {
    Row {
        experiment: "skew",
        policy,
        metric,
        x: x as f64,
        value,
        extrapolated: false,
    }
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

fn p99(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let last = sorted.len().saturating_sub(1);
    sorted.get(last * 99 / 100).copied().unwrap_or(f64::NAN)
}
