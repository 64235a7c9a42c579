//! Offered load: teams, heavy-tailed lengths and arrivals.

use std::time::Duration;

use eelgrasshold_core::types::{Now, Request, TeamId, WorkClass};
use eelgrasshold_standins::model::Spec;
use rand::Rng;
use rand::rngs::SmallRng;

use crate::world::{Call, SERVICE};

/// Shares of the large teams in all requests; the small teams share the rest equally.
const LARGE_SHARES: [f64; 3] = [0.4, 0.25, 0.15];
/// Small teams.
const SMALL_TEAMS: usize = 7;
/// Time that each caller gives to waiting, network and prefill.
const DEADLINE_BASE: Duration = Duration::from_secs(2);
/// Time that each caller gives to each token that it asks for at most; a full batch takes 32 ms.
const DEADLINE_PER_TOKEN: Duration = Duration::from_millis(45);

/// The ten teams, large ones first.
pub fn teams() -> Vec<TeamId> {
    let large = (0..LARGE_SHARES.len()).map(|n| format!("large-{n}"));
    let small = (0..SMALL_TEAMS).map(|n| format!("small-{n}"));
    large.chain(small).collect()
}

/// Whether a team is one of the small ones.
pub fn is_small(team: &TeamId) -> bool {
    team.starts_with("small")
}

/// A team, drawn by its share of all requests.
pub fn draw_team(rng: &mut SmallRng) -> TeamId {
    let mut left = rng.random::<f64>();
    for (n, share) in LARGE_SHARES.iter().enumerate() {
        if left < *share {
            return format!("large-{n}");
        }
        left -= share;
    }
    format!("small-{}", rng.random_range(0..SMALL_TEAMS))
}

/// Prompt and answer of a call.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the answer.
    pub output_tokens: u32,
}

/// Pareto-distributed lengths from 60 to 4,096 tokens with index 1.5: the
/// longest drafts are some 30 times as long as the mean one.
pub fn heavy_tailed(rng: &mut SmallRng) -> Size {
    let u: f64 = rng.random_range(f64::EPSILON..1.0);
    Size {
        prompt_tokens: rng.random_range(20..600),
        output_tokens: (60.0 * u.powf(-1.0 / 1.5)).min(4_096.0) as u32,
    }
}

/// Calls a second that the fleet's engines can serve with full batches.
pub fn capacity_per_s(
    spec: &Spec,
    upstreams: usize,
    rng: &mut SmallRng,
    mut draw: impl FnMut(&mut SmallRng) -> Size,
) -> f64 {
    const SAMPLES: u32 = 100_000;
    let step = spec.step_base + spec.step_per_job * spec.slots as u32;
    let token_s = step.as_secs_f64() / spec.slots as f64;
    let prompt_token_s = 1.0 / f64::from(spec.prefill_tokens_per_s);
    let call_s: f64 = (0..SAMPLES)
        .map(|_| {
            let size = draw(rng);
            f64::from(size.output_tokens) * token_s + f64::from(size.prompt_tokens) * prompt_token_s
        })
        .sum();
    upstreams as f64 * f64::from(SAMPLES) / call_s
}

/// Poisson arrivals from zero to `until` with a rate that changes with time.
pub fn arrivals(
    rng: &mut SmallRng,
    until: Now,
    max_per_s: f64,
    rate_per_s: impl Fn(Now) -> f64,
) -> Vec<Now> {
    let mut times = Vec::new();
    let mut now = Now::ZERO;
    loop {
        let u: f64 = rng.random_range(f64::EPSILON..1.0);
        now += Duration::from_secs_f64(-u.ln() / max_per_s);
        if now >= until {
            return times;
        }
        if rng.random::<f64>() * max_per_s < rate_per_s(now) {
            times.push(now);
        }
    }
}

/// A call of a team; the caller asks for 1 to 2 times the tokens that it will get.
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

/// The value below which the share `q` of the values lies; 0 without values.
pub fn quantile(mut values: Vec<f64>, q: f64) -> f64 {
    if values.is_empty() {
        return 0.0;
    }
    values.sort_by(f64::total_cmp);
    let rank = (values.len() as f64 * q).ceil() as usize;
    values[rank.clamp(1, values.len()) - 1]
}
