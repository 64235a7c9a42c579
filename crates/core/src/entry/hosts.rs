//! The other entry hosts: which ones are live, and what they say.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::machine::Entry;
use super::{Output, PeerMessage, Timer};
use crate::types::{HostId, Now};

/// Entry hosts that a process asks for suspects at its start.
const ASKED: usize = 5;
/// Time after its start for which a process waits for the answers before it dispatches.
const ASK_TIME: Duration = Duration::from_secs(2);
/// Time after which it asks again where no answer came.
const ASK_AGAIN: Duration = Duration::from_millis(200);
/// Time in which a host that has just started comes into the list of live hosts.
const LISTING_TIME: Duration = Duration::from_secs(10);

/// Entry hosts as this one knows them.
#[derive(Clone, Debug, Default)]
pub(super) struct Hosts {
    live: Vec<HostId>,
    /// Hosts that said that they have started.
    started: BTreeMap<HostId, Now>,
    /// Hosts that are asked for suspects and have not answered.
    unasked: BTreeSet<HostId>,
    ask_again_at: Now,
}

impl Hosts {
    /// Live entry hosts, this one included.
    pub(super) fn live(&self) -> &[HostId] {
        &self.live
    }

    /// Live entry hosts but this one, with those that have just started.
    pub(super) fn others(&self, now: Now, this: &HostId) -> BTreeSet<HostId> {
        let recent = |at: &Now| now < *at + LISTING_TIME;
        let started = self.started.iter().filter(|(_, at)| recent(at));
        let all = self.live.iter().chain(started.map(|(host, _)| host));
        all.filter(|h| *h != this).cloned().collect()
    }
}

impl Entry {
    /// Ends the wait before dispatches.
    fn end_hold(&mut self, now: Now, out: &mut Vec<Output>) {
        self.hold_until = self.hold_until.min(now);
        for handle in std::mem::take(&mut self.on_hold) {
            self.dispatch(now, handle, out);
        }
    }

    /// Asks other entry hosts for their suspects, after the start.
    pub(super) fn ask_for_suspects(&mut self, now: Now, out: &mut Vec<Output>) {
        let done = now >= self.hold_until || self.hosts.unasked.is_empty();
        if done || now < self.hosts.ask_again_at {
            return;
        }
        self.hosts.ask_again_at = now + ASK_AGAIN;
        out.push(Output::SetTimer {
            at: self.hosts.ask_again_at,
            timer: Timer::Suspects,
        });
        for to in &self.hosts.unasked {
            out.push(Output::Send {
                to: to.clone(),
                message: PeerMessage::SuspectsWanted,
            });
        }
    }

    pub(super) fn set_entry_hosts(&mut self, now: Now, list: Vec<HostId>, out: &mut Vec<Output>) {
        self.claiming.set_owners(&list, &self.host);
        if self.hosts.live.is_empty() {
            let others = list.iter().filter(|h| **h != self.host);
            self.hosts.unasked = others.take(ASKED).cloned().collect();
            if !self.hosts.unasked.is_empty() {
                self.hold_until = now + ASK_TIME;
            }
            self.ask_for_suspects(now, out);
        }
        self.limiting.set_hosts(now, &list);
        self.hosts.live = list;
        self.list_peers();
        self.sharing
            .retain_hosts(&self.hosts.others(now, &self.host));
        self.ask_for_suspects(now, out);
        self.end_shares(now, out);
    }

    pub(super) fn peer(
        &mut self,
        now: Now,
        from: HostId,
        message: PeerMessage,
        out: &mut Vec<Output>,
    ) {
        match message {
            PeerMessage::Claims(claims) => {
                for claim in claims {
                    self.claim_for(now, Some(from.clone()), claim, out);
                }
            }
            PeerMessage::ClaimResults(results) => {
                for (nonce, result) in results {
                    self.claim_settled(now, nonce, result, out);
                }
            }
            PeerMessage::Release(claims) => {
                for (key, nonce) in claims {
                    self.release_here(now, key, nonce, out);
                }
            }
            PeerMessage::Suspects(suspects) => self.learn_suspects(now, from, suspects, out),
            PeerMessage::SuspectsWanted => {
                self.hosts.started.insert(from.clone(), now);
                let message = PeerMessage::AllSuspects(self.suspects.uncleared());
                out.push(Output::Send { to: from, message });
            }
            PeerMessage::AllSuspects(suspects) => {
                self.hosts.unasked.remove(&from);
                self.note_suspects(now, &suspects);
                if self.hosts.unasked.is_empty() {
                    self.end_hold(now, out);
                }
            }
            PeerMessage::Demands(demands) => {
                let message = PeerMessage::Shares(self.account(now, &from, &demands));
                out.push(Output::Send { to: from, message });
            }
            PeerMessage::Shares(shares) => self.take_shares(now, &shares),
            PeerMessage::SuspectsSeen(suspects) => {
                self.note_suspects(now, &suspects);
                self.sharing.acknowledge(&from, &suspects);
                self.end_shares(now, out);
            }
        }
    }
}
