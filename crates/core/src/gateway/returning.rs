//! When a caller whose request was refused unrun should come back.
//!
//! It answers two loads. Upstreams without room have some again as soon as a few requests end.
//! A group whose rank died serves nothing until the rank is back and the group has formed, which
//! takes seconds, and a caller that comes back sooner is refused again and has used up its tries.
//! In both, callers come back spread out, since those who were refused together would be again.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

use crate::types::Now;

/// Part of its remaining time for which a caller waits at most.
const MOST_OF_TIME_LEFT: f64 = 1.0 / 3.0;
/// Time in which upstreams without room end some requests: a few short answers.
const FULL: (f64, f64) = (0.25, 0.7);
/// Time in which a group is likely to have formed again.
const STALLED: (f64, f64) = (1.5, 2.6);

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The upstreams have no room.
    Full,
    /// No upstream is there, or the group waits for one of its ranks.
    Stalled,
}

/// Time after which a caller that has `left` of its time should come back.
#[must_use]
pub fn after(rng: &mut SmallRng, cause: Cause, left: Now) -> Duration {
    let (least, most) = match cause {
        Cause::Full => FULL,
        Cause::Stalled => STALLED,
    };
    let bound = left.as_secs_f64() * MOST_OF_TIME_LEFT;
    let most = most.min(bound);
    let least = least.min(most * 0.7);
    Duration::from_secs_f64(rng.random_range(least..=most.max(least)))
}
