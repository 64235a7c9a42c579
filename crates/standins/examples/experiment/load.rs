//! Offered load: teams, heavy-tailed answer lengths and Poisson arrivals.

use std::time::Duration;

use eelgrasshold_core::types::{Now, Request, TeamId, WorkClass};
use eelgrasshold_standins::model::Spec;
use rand::Rng;
use rand::rngs::SmallRng;

use crate::simulation::{Call, SERVICE};

/// Shares of the large teams in all requests. The rest is spread equally over the small teams.
const LARGE_TEAM_SHARES: [f64; 3] = [0.4, 0.25, 0.15];
const SMALL_TEAMS: usize = 7;
/// Part of each deadline that covers waiting, network and prefill.
const DEADLINE_BASE: Duration = Duration::from_secs(2);
/// Part of each deadline per token of `max_tokens`; a step with a full batch takes 32 ms.
const DEADLINE_PER_TOKEN: Duration = Duration::from_millis(45);

/// Names of the ten teams, large teams first.
pub fn teams() -> Vec<TeamId> {
    let large = (0..LARGE_TEAM_SHARES.len()).map(|n| format!("large-{n}"));
    let small = (0..SMALL_TEAMS).map(|n| format!("small-{n}"));
    large.chain(small).collect()
}

pub fn is_small_team(team: &TeamId) -> bool {
    team.starts_with("small")
}

/// Draws a team, weighted by its share of all requests.
pub fn draw_team(rng: &mut SmallRng) -> TeamId {
    let mut remaining = rng.random::<f64>();
    for (n, share) in LARGE_TEAM_SHARES.iter().enumerate() {
        if remaining < *share {
            return format!("large-{n}");
        }
        remaining -= share;
    }
    format!("small-{}", rng.random_range(0..SMALL_TEAMS))
}

/// Lengths of a call, in tokens.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub prompt_tokens: u32,
    pub output_tokens: u32,
}

/// Draws a uniform prompt length, and an answer length from a Pareto distribution with index 1.5,
/// from 60 to 4,096 tokens. The longest answers are about 30 times as long as the mean.
pub fn heavy_tailed(rng: &mut SmallRng) -> Size {
    let u: f64 = rng.random_range(f64::EPSILON..1.0);
    Size {
        prompt_tokens: rng.random_range(20..600),
        output_tokens: (60.0 * u.powf(-1.0 / 1.5)).min(4_096.0) as u32,
    }
}

/// Calls per second that the engines can serve with full batches, estimated from sampled sizes.
pub fn capacity_per_s(
    spec: &Spec,
    upstreams: usize,
    rng: &mut SmallRng,
    mut draw_size: impl FnMut(&mut SmallRng) -> Size,
) -> f64 {
    const SAMPLES: u32 = 100_000;
    let step = spec.step_base + spec.step_per_job * spec.slots as u32;
    let token_s = step.as_secs_f64() / spec.slots as f64;
    let prompt_token_s = 1.0 / f64::from(spec.prefill_tokens_per_s);
    let call_s: f64 = (0..SAMPLES)
        .map(|_| {
            let size = draw_size(rng);
            f64::from(size.output_tokens) * token_s + f64::from(size.prompt_tokens) * prompt_token_s
        })
        .sum();
    upstreams as f64 * f64::from(SAMPLES) / call_s
}

/// Draws Poisson arrivals from zero up to `end`, with a rate that varies over time and never
/// exceeds `max_per_s`.
pub fn arrivals(
    rng: &mut SmallRng,
    end: Now,
    max_per_s: f64,
    rate_per_s: impl Fn(Now) -> f64,
) -> Vec<Now> {
    let mut times = Vec::new();
    let mut now = Now::ZERO;
    loop {
        let u: f64 = rng.random_range(f64::EPSILON..1.0);
        now += Duration::from_secs_f64(-u.ln() / max_per_s);
        if now >= end {
            return times;
        }
        if rng.random::<f64>() * max_per_s < rate_per_s(now) {
            times.push(now);
        }
    }
}

/// Builds a call at a random entry host. Its `max_tokens` is one to two times the answer length.
pub fn call(rng: &mut SmallRng, at: Now, entries: usize, team: TeamId, size: Size) -> Call {
    let max_tokens = (f64::from(size.output_tokens) * rng.random_range(1.0..2.0)) as u32;
    let request = Request {
        id: format!("r-{}", rng.random::<u32>()),
        service: SERVICE.into(),
        team,
        priority: 4,
        deadline: DEADLINE_BASE + DEADLINE_PER_TOKEN * max_tokens,
        class: WorkClass::Idempotent,
        idempotency_key: None,
        fingerprint: rng.random(),
        prefix: None,
        prompt_tokens: size.prompt_tokens,
        max_tokens,
        resume_from: 0,
    };
    Call {
        at,
        entry: rng.random_range(0..entries),
        request,
        prefix_tokens: 0,
        output_tokens: size.output_tokens,
    }
}

/// The `q`-quantile of the values by the nearest-rank method; 0 if there are none.
pub fn quantile(mut values: Vec<f64>, q: f64) -> f64 {
    if values.is_empty() {
        return 0.0;
    }
    values.sort_by(f64::total_cmp);
    let rank = (values.len() as f64 * q).ceil() as usize;
    values[rank.clamp(1, values.len()) - 1]
}
