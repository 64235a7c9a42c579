//! Telling all entry hosts of suspects, until each has acknowledged.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::Suspect;
use crate::types::{HostId, Now};

/// Time between two messages to a host that has not acknowledged.
const RESEND: Duration = Duration::from_millis(200);
/// Time after which a host that has not acknowledged is no longer waited for.
const PATIENCE: Duration = Duration::from_secs(2);

/// Number of a share.
pub type BroadcastId = u64;

#[derive(Clone, Debug)]
struct Broadcast {
    suspects: Vec<Suspect>,
    missing: BTreeSet<HostId>,
    until: Now,
}

/// Shares that some hosts have not acknowledged.
#[derive(Clone, Debug, Default)]
pub struct SuspectBroadcasts {
    last: BroadcastId,
    shares: BTreeMap<BroadcastId, Broadcast>,
    resend_at: Option<Now>,
}

impl SuspectBroadcasts {
    /// Begins to tell `hosts`.
    pub fn start(
        &mut self,
        now: Now,
        hosts: BTreeSet<HostId>,
        suspects: Vec<Suspect>,
    ) -> BroadcastId {
        self.last += 1;
        let share = Broadcast {
            suspects,
            missing: hosts,
            until: now + PATIENCE,
        };
        self.shares.insert(self.last, share);
        self.last
    }

    /// Takes a host's acknowledgement.
    pub fn acknowledge(&mut self, from: &HostId, seen: &[Suspect]) {
        for share in self.shares.values_mut() {
            if share.suspects.iter().all(|s| seen.contains(s)) {
                share.missing.remove(from);
            }
        }
    }

    /// Waits no longer for hosts that are not live.
    pub fn retain_hosts(&mut self, live: &BTreeSet<HostId>) {
        for share in self.shares.values_mut() {
            share.missing.retain(|h| live.contains(h));
        }
    }

    /// Ends the shares that all hosts have acknowledged or that took too long, and returns
    /// them with whether all acknowledged.
    pub fn take_ended(&mut self, now: Now) -> Vec<(BroadcastId, bool)> {
        let mut ended = Vec::new();
        self.shares.retain(|id, share| {
            let complete = share.missing.is_empty();
            let goes_on = !complete && now < share.until;
            if !goes_on {
                ended.push((*id, complete));
            }
            goes_on
        });
        ended
    }

    /// Messages to hosts that have not acknowledged.
    #[must_use]
    pub fn messages(&self) -> Vec<(HostId, Vec<Suspect>)> {
        let mut messages = Vec::new();
        for share in self.shares.values() {
            let to_each = |h: &HostId| (h.clone(), share.suspects.clone());
            messages.extend(share.missing.iter().map(to_each));
        }
        messages
    }

    /// Time of the next messages, if there will be any and it was not returned before.
    pub fn next_resend(&mut self, now: Now) -> Option<Now> {
        let planned = self.resend_at.is_some_and(|at| at > now);
        if planned || self.shares.is_empty() {
            return None;
        }
        self.resend_at = Some(now + RESEND);
        self.resend_at
    }
}
