//! Selection of an upstream: the better of two random choices, or an upstream that
//! is likely to have the prompt's prefix cached.
//!
//! All costs are expected delays in milliseconds, so that load and saved prefill
//! time can be compared.

mod view;

#[cfg(test)]
mod tests;

use rand::Rng;
use rand::rngs::SmallRng;

use crate::rendezvous;
use crate::types::{HostId, Now, Request};

pub use view::LoadView;

/// Time to prefill one prompt token, in milliseconds. For engines that prefill faster, the saving
/// is overestimated and affinity is preferred too often, but [`MAX_LOAD_RATIO`] still applies.
const PREFILL_TOKEN_MS: f64 = 0.05;
/// Preferred upstreams of a prefix; the second is used while the first is loaded.
const PREFERRED_PER_PREFIX: usize = 2;
/// Maximum ratio of the load of a preferred upstream to that of the sampled one.
const MAX_LOAD_RATIO: f64 = 1.25;
/// Requests allowed above `MAX_LOAD_RATIO`, since small counts vary by chance.
const LOAD_SLACK_REQUESTS: f64 = 2.0;

/// An upstream that is eligible for a request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Host name of the upstream, which is also its key in rendezvous hashing.
    pub host: &'a HostId,
    /// Load as estimated by this entry host.
    pub load: LoadView,
}

/// Chooses one of the candidates for a request; `None` only if there are no candidates.
pub fn choose<'a>(
    rng: &mut SmallRng,
    now: Now,
    request: &Request,
    candidates: &[Candidate<'a>],
) -> Option<&'a HostId> {
    let sampled = better_of_two(rng, now, candidates)?;
    let Some(prefix) = request.prefix else {
        return Some(sampled.host);
    };
    let saved_ms = f64::from(request.prompt_tokens) * PREFILL_TOKEN_MS;
    let preferred = preferred_for_prefix(prefix, candidates)
        .into_iter()
        .find(|candidate| is_affinity_worthwhile(now, candidate, sampled, saved_ms));
    Some(preferred.unwrap_or(sampled).host)
}

/// The better of two sampled candidates. If its report predicts a wait, two more are sampled. This
/// is rare, so requests of many entry hosts are still spread.
fn better_of_two<'c, 'a>(
    rng: &mut SmallRng,
    now: Now,
    candidates: &'c [Candidate<'a>],
) -> Option<&'c Candidate<'a>> {
    let first = sample(rng, now, candidates)?;
    if !first.load.predicts_wait(now) {
        return Some(first);
    }
    sample(rng, now, candidates).map(|second| better(now, first, second))
}

fn sample<'c, 'a>(
    rng: &mut SmallRng,
    now: Now,
    candidates: &'c [Candidate<'a>],
) -> Option<&'c Candidate<'a>> {
    if candidates.len() < 2 {
        return candidates.first();
    }
    let first = rng.random_range(0..candidates.len());
    let second = (first + rng.random_range(1..candidates.len())) % candidates.len();
    Some(better(now, &candidates[first], &candidates[second]))
}

fn better<'c, 'a>(
    now: Now,
    first: &'c Candidate<'a>,
    second: &'c Candidate<'a>,
) -> &'c Candidate<'a> {
    if second.load.cost_ms(now) < first.load.cost_ms(now) {
        second
    } else {
        first
    }
}

/// Preferred candidates of a prefix by rendezvous weight, highest first.
fn preferred_for_prefix<'c, 'a>(
    prefix: u64,
    candidates: &'c [Candidate<'a>],
) -> Vec<&'c Candidate<'a>> {
    let mut preferred: Vec<(u64, &Candidate<'a>)> = Vec::with_capacity(PREFERRED_PER_PREFIX + 1);
    for candidate in candidates {
        let weight = rendezvous::weight(prefix, rendezvous::hash(candidate.host));
        let position = preferred.partition_point(|(w, _)| *w > weight);
        preferred.insert(position, (weight, candidate));
        preferred.truncate(PREFERRED_PER_PREFIX);
    }
    preferred.into_iter().map(|(_, c)| c).collect()
}

fn is_affinity_worthwhile(
    now: Now,
    preferred: &Candidate,
    sampled: &Candidate,
    saved_ms: f64,
) -> bool {
    let bound = sampled.load.in_flight(now) * MAX_LOAD_RATIO + LOAD_SLACK_REQUESTS;
    preferred.load.in_flight(now) <= bound
        && preferred.load.cost_ms(now) <= sampled.load.cost_ms(now) + saved_ms
}
