//! Sends suspects to all entry hosts, with retransmission until each has acknowledged.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::Suspect;
use crate::types::{HostId, Now};

/// Interval of retransmission to hosts that have not acknowledged.
const RESEND_INTERVAL: Duration = Duration::from_millis(200);
/// Time after which a broadcast ends without the missing acknowledgements.
const ACK_TIMEOUT: Duration = Duration::from_secs(2);

/// Id of a broadcast, unique at this entry host.
pub type BroadcastId = u64;

#[derive(Clone, Debug)]
struct Broadcast {
    suspects: Vec<Suspect>,
    unacknowledged: BTreeSet<HostId>,
    until: Now,
}

/// Broadcasts that some hosts have not acknowledged yet.
#[derive(Clone, Debug, Default)]
pub struct SuspectBroadcasts {
    last_id: BroadcastId,
    broadcasts: BTreeMap<BroadcastId, Broadcast>,
    resend_at: Option<Now>,
}

impl SuspectBroadcasts {
    /// Starts a broadcast of `suspects` to `hosts`.
    pub fn start(
        &mut self,
        now: Now,
        hosts: BTreeSet<HostId>,
        suspects: Vec<Suspect>,
    ) -> BroadcastId {
        self.last_id += 1;
        let broadcast = Broadcast {
            suspects,
            unacknowledged: hosts,
            until: now + ACK_TIMEOUT,
        };
        self.broadcasts.insert(self.last_id, broadcast);
        self.last_id
    }

    /// Processes an acknowledgement: `from` has received the suspects in `seen`.
    pub fn acknowledge(&mut self, from: &HostId, seen: &[Suspect]) {
        for broadcast in self.broadcasts.values_mut() {
            if broadcast.suspects.iter().all(|s| seen.contains(s)) {
                broadcast.unacknowledged.remove(from);
            }
        }
    }

    /// Stops waiting for hosts that are not in `live`.
    pub fn retain_hosts(&mut self, live: &BTreeSet<HostId>) {
        for broadcast in self.broadcasts.values_mut() {
            broadcast.unacknowledged.retain(|h| live.contains(h));
        }
    }

    /// Removes the broadcasts that all hosts have acknowledged or that timed out, and returns each
    /// with whether it was acknowledged by all.
    pub fn take_ended(&mut self, now: Now) -> Vec<(BroadcastId, bool)> {
        let mut ended = Vec::new();
        self.broadcasts.retain(|id, broadcast| {
            let complete = broadcast.unacknowledged.is_empty();
            let is_pending = !complete && now < broadcast.until;
            if !is_pending {
                ended.push((*id, complete));
            }
            is_pending
        });
        ended
    }

    /// Messages to the hosts that have not acknowledged, to be sent now.
    #[must_use]
    pub fn messages(&self) -> Vec<(HostId, Vec<Suspect>)> {
        let mut messages = Vec::new();
        for broadcast in self.broadcasts.values() {
            let to_each = |h: &HostId| (h.clone(), broadcast.suspects.clone());
            messages.extend(broadcast.unacknowledged.iter().map(to_each));
        }
        messages
    }

    /// Time of the next retransmission; `None` if there are no broadcasts or the time was already
    /// returned.
    pub fn next_resend(&mut self, now: Now) -> Option<Now> {
        let is_scheduled = self.resend_at.is_some_and(|at| at > now);
        if is_scheduled || self.broadcasts.is_empty() {
            return None;
        }
        self.resend_at = Some(now + RESEND_INTERVAL);
        self.resend_at
    }
}
