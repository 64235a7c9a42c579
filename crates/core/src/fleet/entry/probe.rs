//! Probes of other entry hosts, direct and through others.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::Rng;
use rand::seq::{IndexedRandom, SliceRandom};

use super::FleetEntry;
use crate::event::EventKind;
use crate::fleet::membership::State;
use crate::fleet::membership::gossip::Room;
use crate::fleet::membership::table::Member;
use crate::fleet::message::{Body, PIGGYBACK_BYTES, Peer, SHORT_BYTES, Update};
use crate::types::{DataCentreId, HostId, Now};

/// Time between probes.
const PERIOD: Duration = Duration::from_secs(1);
/// Time for a direct answer before others are asked.
const DIRECT: Duration = Duration::from_millis(400);
/// Others that are asked.
const HELPERS: usize = 3;
/// Time for which a helper remembers for whom it probes.
const RELAY_LIFETIME: Duration = Duration::from_secs(2);
/// Outcomes of own probes that are remembered after a pause.
const TRUST_WINDOW: u32 = 3;

#[derive(Clone, Debug)]
struct Probe {
    seq: u64,
    target: Peer,
    data_centre: DataCentreId,
    sent_at: Now,
    indirect: bool,
}

#[derive(Clone, Debug)]
struct Relay {
    address: String,
    seq: u64,
    at: Now,
}

/// State of probing.
#[derive(Clone, Debug, Default)]
pub struct Probing {
    pub(super) next_at: Now,
    seq: u64,
    open: Option<Probe>,
    relays: BTreeMap<u64, Relay>,
    centres: Vec<DataCentreId>,
    queues: BTreeMap<DataCentreId, Vec<HostId>>,
    /// After a pause: answered and unanswered probes since. None otherwise.
    probation: Option<(u32, u32)>,
}

impl Probing {
    pub(super) fn resume(&mut self, now: Now) {
        self.open = None;
        self.relays.clear();
        self.probation = Some((0, 0));
        self.next_at = now;
    }

    /// Whether the process may accuse others.
    pub(super) fn is_trusted(&self) -> bool {
        self.probation.is_none()
    }

    fn note(&mut self, answered: bool) {
        let Some((yes, no)) = &mut self.probation else {
            return;
        };
        if answered {
            *yes += 1;
        } else {
            *no += 1;
        }
        if *yes * 2 > TRUST_WINDOW {
            self.probation = None;
        } else if *yes + *no >= TRUST_WINDOW {
            self.probation = Some((0, 0));
        }
    }
}

impl FleetEntry {
    pub(super) fn probe(&mut self, now: Now) {
        let relays = &mut self.probing.relays;
        relays.retain(|_, r| now.saturating_sub(r.at) < RELAY_LIFETIME);
        if let Some(open) = self.probing.open.clone() {
            let waited = now.saturating_sub(open.sent_at);
            if waited >= PERIOD {
                self.probing.open = None;
                self.probe_failed(now, &open);
            } else if waited >= DIRECT && !open.indirect {
                self.ask_helpers(&open);
            }
        }
        if now >= self.probing.next_at && self.probing.open.is_none() {
            self.probing.next_at = (self.probing.next_at + PERIOD).max(now);
            self.probe_next(now);
        }
    }

    fn probe_next(&mut self, now: Now) {
        let Some((target, data_centre)) = self.choose_target() else {
            return;
        };
        self.probing.seq += 1;
        let seq = self.probing.seq;
        let address = target.address.clone();
        let updates = self.updates_for(&target.host);
        self.probing.open = Some(Probe {
            seq,
            target,
            data_centre,
            sent_at: now,
            indirect: false,
        });
        self.send(&address, Body::Probe { seq, updates });
    }

    /// Changes for a host: first what it must know about itself, then the queue.
    pub(super) fn updates_for(&mut self, host: &str) -> Vec<Update> {
        let accused = self.table.get(host);
        let accused = accused.is_some_and(|m| m.record.state >= State::Suspect);
        let mut updates = Vec::new();
        if accused {
            updates.extend(self.brief(host));
        }
        let spare = self.budget.has_spare();
        let room = Room {
            bytes: if spare { PIGGYBACK_BYTES } else { SHORT_BYTES },
            urgent_only: false,
            short_only: !spare,
        };
        updates.extend(self.gossip.pack(&self.table, room, 1));
        updates
    }

    /// Data centres in turn, and the hosts of each in a random order: each host is probed by
    /// somebody about once a second, and a silent data centre is noticed after two turns.
    fn choose_target(&mut self) -> Option<(Peer, DataCentreId)> {
        let me = &self.settings.host;
        let others = self.table.entry_hosts().filter(|m| m.record.host != *me);
        let present: BTreeSet<DataCentreId> =
            others.map(|m| m.record.data_centre.clone()).collect();
        for _ in 0..=present.len() {
            self.probing.centres.retain(|c| present.contains(c));
            if self.probing.centres.is_empty() {
                self.probing.centres = present.iter().cloned().collect();
                self.probing.centres.shuffle(&mut self.rng);
            }
            let centre = self.probing.centres.pop()?;
            if let Some(peer) = self.next_of(&centre) {
                return Some((peer, centre));
            }
        }
        None
    }

    fn next_of(&mut self, centre: &str) -> Option<Peer> {
        let me = &self.settings.host;
        let queue = self.probing.queues.entry(centre.to_owned()).or_default();
        for _ in 0..2 {
            while let Some(host) = queue.pop() {
                let member = self.table.get(&host);
                if let Some(m) = member.filter(|m| m.record.state != State::Gone) {
                    return Some(peer_of(m));
                }
            }
            let here = |m: &&Member| m.record.data_centre == centre && m.record.host != *me;
            let hosts = self.table.entry_hosts().filter(here);
            queue.extend(hosts.map(|m| m.record.host.clone()));
            queue.shuffle(&mut self.rng);
        }
        None
    }

    fn ask_helpers(&mut self, open: &Probe) {
        if let Some(probe) = &mut self.probing.open {
            probe.indirect = true;
        }
        for helper in self.helpers(open) {
            let body = Body::ProbeIndirect {
                seq: open.seq,
                target: open.target.clone(),
            };
            self.send(&helper.address, body);
        }
    }

    /// One of the target's data centre, one of the own and one of any, if there are.
    fn helpers(&mut self, open: &Probe) -> Vec<Peer> {
        let me = &self.settings.host;
        let others = self.table.entry_hosts().filter(|m| {
            let host = &m.record.host;
            host != me && *host != open.target.host && m.record.state <= State::Leaving
        });
        let mut others: Vec<&Member> = others.collect();
        others.shuffle(&mut self.rng);
        let of = |centre: &str| others.iter().find(|m| m.record.data_centre == centre);
        let preferred = [of(&open.data_centre), of(&self.settings.data_centre)];
        let mut helpers: Vec<Peer> = Vec::new();
        for member in preferred.into_iter().flatten().chain(others.iter()) {
            let peer = peer_of(member);
            if helpers.len() < HELPERS && !helpers.contains(&peer) {
                helpers.push(peer);
            }
        }
        helpers
    }

    fn probe_failed(&mut self, now: Now, probe: &Probe) {
        self.probing.note(false);
        let centre = &probe.data_centre;
        self.reach.failed(probe.sent_at, centre);
        let own = *centre == self.settings.data_centre;
        // Without any sign of the target's data centre the fault may lie on the way or here.
        let heard = if own {
            self.reach.heard_any_since(probe.sent_at)
        } else {
            self.reach.heard_since(centre, probe.sent_at)
        };
        if heard && self.probing.is_trusted() {
            self.suspect(now, &probe.target.host);
        }
    }

    pub(super) fn probe_acked(&mut self, now: Now, seq: u64) {
        if self.probing.open.as_ref().is_some_and(|p| p.seq == seq) {
            if let Some(probe) = self.probing.open.take() {
                self.probing.note(true);
                self.reach.heard(now, &probe.data_centre);
            }
            return;
        }
        if let Some(relay) = self.probing.relays.remove(&seq) {
            let body = Body::ProbeAck {
                seq: relay.seq,
                updates: Vec::new(),
            };
            self.send(&relay.address, body);
        }
    }

    pub(super) fn probe_for(&mut self, now: Now, address: &str, seq: u64, target: &Peer) {
        self.probing.seq += 1;
        let own_seq = self.probing.seq;
        let relay = Relay {
            address: address.to_owned(),
            seq,
            at: now,
        };
        self.probing.relays.insert(own_seq, relay);
        let updates = self.updates_for(&target.host);
        let body = Body::Probe {
            seq: own_seq,
            updates,
        };
        self.send(&target.address, body);
        // Shows the asking host that it isn't cut off itself.
        let updates = Vec::new();
        self.send(address, Body::Rumour { updates });
    }

    /// Random entry hosts that are believed to be there.
    pub(super) fn random_peers(&mut self, count: usize) -> Vec<Peer> {
        let me = &self.settings.host;
        let others = self
            .table
            .entry_hosts()
            .filter(|m| m.record.host != *me && !self.reach.is_silent(&m.record.data_centre));
        let others: Vec<&Member> = others.collect();
        let chosen = others.choose_multiple(&mut self.rng, count);
        chosen.map(|m| peer_of(m)).collect()
    }

    pub(super) fn chance(&mut self, one_in: u32) -> bool {
        self.rng.random_range(0..one_in) == 0
    }

    pub(super) fn report_silence(&mut self) {
        let me = &self.settings.host;
        let others = self.table.entry_hosts().filter(|m| m.record.host != *me);
        let centres: BTreeSet<&str> = others.map(|m| m.record.data_centre.as_str()).collect();
        let isolated = self.reach.all_silent(&centres);
        let silent: BTreeSet<String> = centres
            .iter()
            .filter(|c| **c != self.settings.data_centre && self.reach.is_silent(c))
            .map(|c| (*c).to_owned())
            .collect();
        if silent == self.silent && isolated == self.isolated {
            return;
        }
        self.shown.due = true;
        let before = std::mem::replace(&mut self.silent, silent.clone());
        let was_isolated = std::mem::replace(&mut self.isolated, isolated);
        if isolated && !was_isolated {
            self.event(EventKind::HostIsolated, "no other entry host answers");
        }
        if isolated {
            return;
        }
        for centre in silent
            .iter()
            .filter(|c| was_isolated || !before.contains(*c))
        {
            self.event(
                EventKind::DataCentreSilent,
                format!("{centre} does not answer"),
            );
        }
        for centre in before.difference(&silent) {
            self.event(EventKind::DataCentreBack, format!("{centre} answers again"));
        }
    }
}

pub(super) fn peer_of(member: &Member) -> Peer {
    Peer {
        host: member.record.host.clone(),
        address: member.record.control_address.clone(),
    }
}
