//! Quarantine of requests that crash upstreams.
//!
//! A crash is attributed to each request that was in flight at the upstream. A
//! fingerprint with one crash may run once more, alone at an upstream, after all entry
//! hosts have been notified of this trial; the trial counts as a crash until it ends
//! without one. A fingerprint with two crashes is blocked until they expire.

mod broadcast;

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::types::{Fingerprint, Now};

pub use broadcast::{BroadcastId, SuspectBroadcasts};

/// Crashes after which a fingerprint is blocked.
const MAX_CRASHES: usize = 2;
/// Time for which a crash is remembered.
const CRASH_RETENTION: Duration = Duration::from_secs(600);

/// A crash of an upstream that is attributed to a fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Suspect {
    /// Fingerprint of a request that was in flight when the upstream crashed.
    pub fingerprint: Fingerprint,
    /// Random id of the crash, or of a trial, which counts as a crash until it ends.
    pub crash: u64,
    /// Whether the fingerprint has been cleared of this crash. A cleared crash never counts again,
    /// even if the message that reports it arrives later.
    pub cleared: bool,
}

/// Restriction on running a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// No crash is attributed to it: it runs without restriction.
    Unrestricted,
    /// One crash: it may run alone at an upstream, after all entry hosts have been notified.
    Trial,
    /// Two crashes or more: it must not run.
    Blocked,
}

#[derive(Clone, Copy, Debug)]
struct Crash {
    cleared: bool,
    at: Now,
}

/// Crashes known to this entry host, by fingerprint.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    crashes: BTreeMap<Fingerprint, BTreeMap<u64, Crash>>,
}

impl Suspects {
    /// Records a crash or its clearance, reported by this host or another. Repeated reports have no
    /// effect.
    pub fn record(&mut self, now: Now, suspect: Suspect) {
        let crashes = self.crashes.entry(suspect.fingerprint).or_default();
        let crash = crashes.entry(suspect.crash).or_insert(Crash {
            cleared: false,
            at: now,
        });
        crash.cleared |= suspect.cleared;
    }

    /// Restriction on a fingerprint. Its current trial `own_trial`, if any, is not counted.
    #[must_use]
    pub fn verdict(&self, fingerprint: Fingerprint, own_trial: Option<u64>) -> Verdict {
        let counts = |(id, crash): &(&u64, &Crash)| !crash.cleared && Some(**id) != own_trial;
        let crashes = self.crashes.get(&fingerprint);
        match crashes.map_or(0, |c| c.iter().filter(counts).count()) {
            0 => Verdict::Unrestricted,
            n if n < MAX_CRASHES => Verdict::Trial,
            _ => Verdict::Blocked,
        }
    }

    /// Returns all crashes that are not cleared.
    #[must_use]
    pub fn uncleared(&self) -> Vec<Suspect> {
        let of = |(fingerprint, crashes): (&Fingerprint, &BTreeMap<u64, Crash>)| {
            let fingerprint = *fingerprint;
            let uncleared = crashes.iter().filter(|(_, c)| !c.cleared);
            let suspect = move |(crash, _): (&u64, &Crash)| Suspect {
                fingerprint,
                crash: *crash,
                cleared: false,
            };
            uncleared.map(suspect).collect::<Vec<_>>()
        };
        self.crashes.iter().flat_map(of).collect()
    }

    /// Clears a fingerprint whose run succeeded, and returns the clearances to be sent to the other
    /// entry hosts.
    #[must_use]
    pub fn clear(&mut self, fingerprint: Fingerprint) -> Vec<Suspect> {
        let Some(crashes) = self.crashes.get_mut(&fingerprint) else {
            return Vec::new();
        };
        let uncleared = crashes.iter_mut().filter(|(_, c)| !c.cleared);
        uncleared
            .map(|(crash, c)| {
                c.cleared = true;
                Suspect {
                    fingerprint,
                    crash: *crash,
                    cleared: true,
                }
            })
            .collect()
    }

    /// Drops crashes that are older than `CRASH_RETENTION`.
    pub fn expire(&mut self, now: Now) {
        self.crashes.retain(|_, crashes| {
            crashes.retain(|_, c| now < c.at + CRASH_RETENTION);
            !crashes.is_empty()
        });
    }
}
