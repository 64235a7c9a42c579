//! Retry-After of requests that were refused without being run.
//!
//! There are three cases. Full upstreams have capacity again as soon as a few requests end. A group
//! with a crashed rank serves nothing until the rank is back and the group has formed again, which
//! takes seconds; a caller that retries sooner is refused again and has used up its attempts. Upstreams that
//! have reached the limits of requests a second that they name take the next request at a known time,
//! but other callers wait for it too. In all cases the delays are randomized, so that callers who were refused together do not return
//! together.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

use crate::types::Now;

/// Largest share of a caller's remaining time that it may be asked to wait.
const MAX_SHARE_OF_TIME_LEFT: f64 = 1.0 / 3.0;
/// Shortest and longest delay in seconds while upstreams are full: some short requests end in that
/// time.
const FULL_DELAY_S: (f64, f64) = (0.25, 0.7);
/// Shortest and longest delay in seconds while a group forms: it has probably formed again by then.
const STALLED_DELAY_S: (f64, f64) = (1.5, 2.6);

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// All upstreams that were tried are full.
    Full,
    /// No upstream is available, or the group waits for one of its ranks.
    Stalled,
    /// All upstreams have reached the limits that they name, for this time or longer.
    Limited(Duration),
}

/// Delay after which a caller should retry; `left` is the time until its deadline.
#[must_use]
pub fn delay(rng: &mut SmallRng, cause: Cause, left: Now) -> Duration {
    let (shortest, longest) = match cause {
        Cause::Full => FULL_DELAY_S,
        Cause::Stalled => STALLED_DELAY_S,
        Cause::Limited(wait) => {
            let wait = wait.as_secs_f64();
            (wait + FULL_DELAY_S.0, 2.0 * wait + FULL_DELAY_S.1)
        }
    };
    let limit = left.as_secs_f64() * MAX_SHARE_OF_TIME_LEFT;
    let longest = longest.min(limit);
    let shortest = shortest.min(longest * 0.7);
    Duration::from_secs_f64(rng.random_range(shortest..=longest.max(shortest)))
}
