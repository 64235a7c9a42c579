//! Requests that crash upstreams.
//!
//! A crash is attributed to each request that was in flight there. A
//! fingerprint with one crash may run once more, alone, after every entry host
//! knows of this trial; a trial counts as a crash until it ends otherwise. A
//! fingerprint with two crashes runs nowhere until it is forgotten.

mod broadcast;

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::types::{Fingerprint, Now};

pub use broadcast::{BroadcastId, SuspectBroadcasts};

/// Crashes that a fingerprint may cause in all.
const MAX_CRASHES: usize = 2;
/// Time after which a crash is forgotten.
const MEMORY: Duration = Duration::from_secs(600);

/// A crash of an upstream that is attributed to a fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Suspect {
    /// Fingerprint of a request that was in flight.
    pub fingerprint: Fingerprint,
    /// Random number of the crash, or of a trial that counts as one until it ends.
    pub crash: u64,
    /// The fingerprint did not cause it after all.
    pub cleared: bool,
}

/// How a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// As any other.
    Free,
    /// Alone, after all entry hosts know.
    Trial,
    /// Not at all.
    Blocked,
}

#[derive(Clone, Copy, Debug)]
struct Crash {
    cleared: bool,
    at: Now,
}

/// Known suspects.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    crashes: BTreeMap<Fingerprint, BTreeMap<u64, Crash>>,
}

impl Suspects {
    /// Takes a crash or its clearing, from this host or another.
    pub fn record(&mut self, now: Now, suspect: Suspect) {
        let crashes = self.crashes.entry(suspect.fingerprint).or_default();
        let crash = crashes.entry(suspect.crash).or_insert(Crash {
            cleared: false,
            at: now,
        });
        crash.cleared |= suspect.cleared;
    }

    /// How a fingerprint may run, apart from its own trial `own`.
    #[must_use]
    pub fn verdict(&self, fingerprint: Fingerprint, own: Option<u64>) -> Verdict {
        let open = |(number, crash): &(&u64, &Crash)| !crash.cleared && Some(**number) != own;
        let crashes = self.crashes.get(&fingerprint);
        match crashes.map_or(0, |c| c.iter().filter(open).count()) {
            0 => Verdict::Free,
            n if n < MAX_CRASHES => Verdict::Trial,
            _ => Verdict::Blocked,
        }
    }

    /// All crashes that are not cleared.
    #[must_use]
    pub fn uncleared(&self) -> Vec<Suspect> {
        let of = |(fingerprint, crashes): (&Fingerprint, &BTreeMap<u64, Crash>)| {
            let fingerprint = *fingerprint;
            let open = crashes.iter().filter(|(_, c)| !c.cleared);
            let suspect = move |(crash, _): (&u64, &Crash)| Suspect {
                fingerprint,
                crash: *crash,
                cleared: false,
            };
            open.map(suspect).collect::<Vec<_>>()
        };
        self.crashes.iter().flat_map(of).collect()
    }

    /// Clears a fingerprint that succeeded, and returns what other entry hosts should know.
    #[must_use]
    pub fn clear(&mut self, fingerprint: Fingerprint) -> Vec<Suspect> {
        let Some(crashes) = self.crashes.get_mut(&fingerprint) else {
            return Vec::new();
        };
        let open = crashes.iter_mut().filter(|(_, c)| !c.cleared);
        open.map(|(crash, c)| {
            c.cleared = true;
            Suspect {
                fingerprint,
                crash: *crash,
                cleared: true,
            }
        })
        .collect()
    }

    /// Forgets old crashes.
    pub fn expire(&mut self, now: Now) {
        self.crashes.retain(|_, crashes| {
            crashes.retain(|_, c| now < c.at + MEMORY);
            !crashes.is_empty()
        });
    }
}
