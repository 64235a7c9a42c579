//! Choice of an upstream: the better of two sampled ones, or the one that is
//! likely to have the prompt's prefix cached.
//!
//! All costs are in milliseconds that a request is expected to lose, so that
//! load and a saved prefill can be compared.

mod view;

#[cfg(test)]
mod tests;

use rand::Rng;
use rand::rngs::SmallRng;

use crate::rendezvous;
use crate::types::{HostId, Now, Request};

pub use view::LoadView;

/// Time that prefilling a prompt token takes. Engines that prefill faster make
/// the hint stronger than what it saves, but the load stays bounded.
const PREFILL_TOKEN_MS: f64 = 0.05;
/// Upstreams that a prefix is sent to by preference; the second takes over
/// while the first is loaded.
const PREFIX_HOMES: usize = 2;
/// Load of a prefix's upstream over that of the best sampled one, at most.
const LOAD_BOUND: f64 = 1.25;
/// Requests above that bound that are let pass, since small counts differ by chance.
const LOAD_SLACK: f64 = 2.0;

/// An upstream that may be chosen.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Name.
    pub host: &'a HostId,
    /// Load, as far as this host knows.
    pub load: LoadView,
}

/// Chooses one of the candidates for a request; none only if there are none.
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
    let home = prefix_homes(prefix, candidates)
        .into_iter()
        .find(|home| is_worth_it(now, home, sampled, saved_ms));
    Some(home.unwrap_or(sampled).host)
}

/// The better of two sampled candidates. If it is known to make new work wait, two more are
/// sampled; that is rare, so work of many entry hosts still spreads.
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

/// The candidates that a prefix is sent to by preference, best first.
fn prefix_homes<'c, 'a>(prefix: u64, candidates: &'c [Candidate<'a>]) -> Vec<&'c Candidate<'a>> {
    let mut homes: Vec<(u64, &Candidate<'a>)> = Vec::with_capacity(PREFIX_HOMES + 1);
    for candidate in candidates {
        let weight = rendezvous::weight(prefix, rendezvous::hash(candidate.host));
        let place = homes.partition_point(|(w, _)| *w > weight);
        homes.insert(place, (weight, candidate));
        homes.truncate(PREFIX_HOMES);
    }
    homes.into_iter().map(|(_, c)| c).collect()
}

fn is_worth_it(now: Now, home: &Candidate, sampled: &Candidate, saved_ms: f64) -> bool {
    let bound = sampled.load.in_flight(now) * LOAD_BOUND + LOAD_SLACK;
    home.load.in_flight(now) <= bound
        && home.load.cost_ms(now) <= sampled.load.cost_ms(now) + saved_ms
}
