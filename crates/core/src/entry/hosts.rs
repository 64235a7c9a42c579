//! The other entry hosts: their list, their messages, and the suspects fetched at the start.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::machine::Entry;
use super::{Output, PeerMessage, Timer};
use crate::types::{HostId, Now};

/// Largest number of entry hosts from which a starting process requests suspects.
const MAX_SUSPECT_SOURCES: usize = 5;
/// Longest time for which a starting process holds dispatches until it has all suspects.
const STARTUP_HOLD: Duration = Duration::from_secs(2);
/// Time between two requests for suspects to a host that has not answered.
const SUSPECTS_REQUEST_INTERVAL: Duration = Duration::from_millis(200);
/// Longest time until the list of live hosts contains a host that has started.
const MAX_LISTING_DELAY: Duration = Duration::from_secs(10);

/// Other entry hosts, as known to this one.
#[derive(Clone, Debug, Default)]
pub(super) struct Hosts {
    live: Vec<HostId>,
    /// Hosts that requested suspects at their start, with the time.
    recently_started: BTreeMap<HostId, Now>,
    /// Hosts that have not answered the request for suspects.
    awaiting_suspects: BTreeSet<HostId>,
    next_suspects_request: Now,
}

impl Hosts {
    /// Live entry hosts, including this one.
    pub(super) fn live(&self) -> &[HostId] {
        &self.live
    }

    /// Other entry hosts that are live, or have started recently and may not be listed yet.
    pub(super) fn others(&self, now: Now, this: &HostId) -> BTreeSet<HostId> {
        let recent = |at: &Now| now < *at + MAX_LISTING_DELAY;
        let started = self.recently_started.iter().filter(|(_, at)| recent(at));
        let all = self.live.iter().chain(started.map(|(host, _)| host));
        all.filter(|h| *h != this).cloned().collect()
    }
}

impl Entry {
    /// Dispatches the requests on hold, and holds no more.
    fn release_hold(&mut self, now: Now, out: &mut Vec<Output>) {
        self.hold_until = self.hold_until.min(now);
        for handle in std::mem::take(&mut self.on_hold) {
            self.dispatch(now, handle, out);
        }
    }

    /// Requests suspects from hosts that have not answered, until the hold at the start ends.
    pub(super) fn request_suspects(&mut self, now: Now, out: &mut Vec<Output>) {
        let done = now >= self.hold_until || self.hosts.awaiting_suspects.is_empty();
        if done || now < self.hosts.next_suspects_request {
            return;
        }
        self.hosts.next_suspects_request = now + SUSPECTS_REQUEST_INTERVAL;
        out.push(Output::SetTimer {
            at: self.hosts.next_suspects_request,
            timer: Timer::Suspects,
        });
        for to in &self.hosts.awaiting_suspects {
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
            self.hosts.awaiting_suspects = others.take(MAX_SUSPECT_SOURCES).cloned().collect();
            if !self.hosts.awaiting_suspects.is_empty() {
                self.hold_until = now + STARTUP_HOLD;
            }
            self.request_suspects(now, out);
        }
        self.limiting.set_hosts(now, &list);
        self.hosts.live = list;
        self.update_subsets();
        self.broadcasts
            .retain_hosts(&self.hosts.others(now, &self.host));
        self.request_suspects(now, out);
        self.resume_after_broadcast(now, out);
    }

    pub(super) fn peer_message(
        &mut self,
        now: Now,
        from: HostId,
        message: PeerMessage,
        out: &mut Vec<Output>,
    ) {
        match message {
            PeerMessage::Claims(claims) => {
                for claim in claims {
                    self.claim_local(now, Some(from.clone()), claim, out);
                }
            }
            PeerMessage::ClaimResults(results) => {
                for (nonce, result) in results {
                    self.claim_settled(now, nonce, result, out);
                }
            }
            PeerMessage::Release(claims) => {
                for (key, nonce) in claims {
                    self.release_local(now, key, nonce, out);
                }
            }
            PeerMessage::Suspects(suspects) => self.receive_suspects(now, from, suspects, out),
            PeerMessage::SuspectsWanted => {
                self.hosts.recently_started.insert(from.clone(), now);
                let message = PeerMessage::AllSuspects(self.suspects.uncleared());
                out.push(Output::Send { to: from, message });
            }
            PeerMessage::AllSuspects(suspects) => {
                self.hosts.awaiting_suspects.remove(&from);
                self.record_suspects(now, &suspects);
                if self.hosts.awaiting_suspects.is_empty() {
                    self.release_hold(now, out);
                }
            }
            PeerMessage::Demands(demands) => {
                let message = PeerMessage::Shares(self.divide_limits(now, &from, &demands));
                out.push(Output::Send { to: from, message });
            }
            PeerMessage::Shares(shares) => self.apply_shares(now, &shares),
            PeerMessage::SuspectsSeen(suspects) => {
                self.record_suspects(now, &suspects);
                self.broadcasts.acknowledge(&from, &suspects);
                self.resume_after_broadcast(now, out);
            }
        }
    }
}
