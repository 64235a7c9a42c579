//! Failure detector for entry hosts: direct probes, and indirect ones through relays.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::Rng;
use rand::seq::{IndexedRandom, SliceRandom};

use super::FleetEntry;
use crate::event::EventKind;
use crate::fleet::membership::State;
use crate::fleet::membership::gossip::PackLimits;
use crate::fleet::membership::table::Member;
use crate::fleet::message::{Body, OVER_BUDGET_PIGGYBACK_BYTES, PIGGYBACK_BYTES, Peer, Update};
use crate::types::{DataCentreId, HostId, Now};

/// Time between probes, after which an unanswered probe counts as failed.
const PROBE_PERIOD: Duration = Duration::from_secs(1);
/// Time for an answer to the direct probe before indirect ones are requested.
const DIRECT_PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// Relays that are requested to probe a target.
const MAX_RELAYS: usize = 3;
/// Time for which a relay keeps the origin of an indirect probe.
const RELAYED_PROBE_TIMEOUT: Duration = Duration::from_secs(2);
/// Probes after a pause, most of which must be answered before the process may suspect others.
const PROBATION_PROBES: u32 = 3;

#[derive(Clone, Debug)]
struct Probe {
    seq: u64,
    target: Peer,
    data_centre: DataCentreId,
    sent_at: Now,
    indirect: bool,
}

#[derive(Clone, Debug)]
struct RelayedProbe {
    address: String,
    seq: u64,
    at: Now,
}

/// State of the failure detector.
#[derive(Clone, Debug, Default)]
pub struct Probing {
    pub(super) next_at: Now,
    seq: u64,
    in_flight: Option<Probe>,
    relayed: BTreeMap<u64, RelayedProbe>,
    centres: Vec<DataCentreId>,
    queues: BTreeMap<DataCentreId, Vec<HostId>>,
    /// Answered and unanswered probes since a pause; `None` outside the probation.
    probation: Option<(u32, u32)>,
}

impl Probing {
    pub(super) fn resume(&mut self, now: Now) {
        self.in_flight = None;
        self.relayed.clear();
        self.probation = Some((0, 0));
        self.next_at = now;
    }

    /// Whether the process may suspect others.
    pub(super) fn may_suspect(&self) -> bool {
        self.probation.is_none()
    }

    fn count_outcome(&mut self, answered: bool) {
        let Some((yes, no)) = &mut self.probation else {
            return;
        };
        if answered {
            *yes += 1;
        } else {
            *no += 1;
        }
        if *yes * 2 > PROBATION_PROBES {
            self.probation = None;
        } else if *yes + *no >= PROBATION_PROBES {
            self.probation = Some((0, 0));
        }
    }
}

impl FleetEntry {
    pub(super) fn probe(&mut self, now: Now) {
        let relayed = &mut self.probing.relayed;
        relayed.retain(|_, r| now.saturating_sub(r.at) < RELAYED_PROBE_TIMEOUT);
        if let Some(probe) = self.probing.in_flight.clone() {
            let waited = now.saturating_sub(probe.sent_at);
            if waited >= PROBE_PERIOD {
                self.probing.in_flight = None;
                self.probe_failed(now, &probe);
            } else if waited >= DIRECT_PROBE_TIMEOUT && !probe.indirect {
                self.probe_indirectly(&probe);
            }
        }
        if now >= self.probing.next_at && self.probing.in_flight.is_none() {
            self.probing.next_at = (self.probing.next_at + PROBE_PERIOD).max(now);
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
        self.probing.in_flight = Some(Probe {
            seq,
            target,
            data_centre,
            sent_at: now,
            indirect: false,
        });
        self.send(&address, Body::Probe { seq, updates });
    }

    /// Updates for a host: first a suspicion of the host itself, then queued changes.
    pub(super) fn updates_for(&mut self, host: &str) -> Vec<Update> {
        let suspected = self.table.get(host);
        let suspected = suspected.is_some_and(|m| m.record.state >= State::Suspect);
        let mut updates = Vec::new();
        if suspected {
            updates.extend(self.brief(host));
        }
        let spare = self.budget.has_spare();
        let limits = PackLimits {
            max_bytes: if spare {
                PIGGYBACK_BYTES
            } else {
                OVER_BUDGET_PIGGYBACK_BYTES
            },
            urgent_only: false,
            brief_only: !spare,
        };
        updates.extend(self.gossip.pack(&self.table, limits, 1));
        updates
    }

    /// Chooses data centres in turn and the hosts of each in random order. Each host is probed about
    /// once a second, and an unreachable data centre is detected after two turns.
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
            if let Some(peer) = self.next_target_in(&centre) {
                return Some((peer, centre));
            }
        }
        None
    }

    fn next_target_in(&mut self, centre: &str) -> Option<Peer> {
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

    fn probe_indirectly(&mut self, probe: &Probe) {
        if let Some(probe) = &mut self.probing.in_flight {
            probe.indirect = true;
        }
        for relay in self.choose_relays(probe) {
            let body = Body::ProbeIndirect {
                seq: probe.seq,
                target: probe.target.clone(),
            };
            self.send(&relay.address, body);
        }
    }

    /// Chooses a relay in the target's data centre, one in the own and one in any, if there are.
    fn choose_relays(&mut self, probe: &Probe) -> Vec<Peer> {
        let me = &self.settings.host;
        let others = self.table.entry_hosts().filter(|m| {
            let host = &m.record.host;
            host != me && *host != probe.target.host && m.record.state <= State::Leaving
        });
        let mut others: Vec<&Member> = others.collect();
        others.shuffle(&mut self.rng);
        let of = |centre: &str| others.iter().find(|m| m.record.data_centre == centre);
        let preferred = [of(&probe.data_centre), of(&self.settings.data_centre)];
        // If the network is slow everywhere, indirect probes cost many bytes and fail as well.
        let count = if self.budget.has_spare() {
            MAX_RELAYS
        } else {
            1
        };
        let mut relays: Vec<Peer> = Vec::new();
        for member in preferred.into_iter().flatten().chain(others.iter()) {
            let peer = peer_of(member);
            if relays.len() < count && !relays.contains(&peer) {
                relays.push(peer);
            }
        }
        relays
    }

    fn probe_failed(&mut self, now: Now, probe: &Probe) {
        self.probing.count_outcome(false);
        let centre = &probe.data_centre;
        self.reachability.record_failed_probe(probe.sent_at, centre);
        let own = *centre == self.settings.data_centre;
        // Without any message from the target's data centre, the network or this host may be at fault.
        let has_contact = if own {
            self.reachability.any_contact_since(probe.sent_at)
        } else {
            self.reachability.contact_since(centre, probe.sent_at)
        };
        if has_contact && self.probing.may_suspect() {
            self.mark_suspect(now, &probe.target.host);
        }
    }

    pub(super) fn probe_acked(&mut self, now: Now, seq: u64) {
        if self
            .probing
            .in_flight
            .as_ref()
            .is_some_and(|p| p.seq == seq)
        {
            if let Some(probe) = self.probing.in_flight.take() {
                self.probing.count_outcome(true);
                self.reachability.record_contact(now, &probe.data_centre);
            }
            return;
        }
        if let Some(relay) = self.probing.relayed.remove(&seq) {
            let body = Body::ProbeAck {
                seq: relay.seq,
                updates: Vec::new(),
            };
            self.send(&relay.address, body);
        }
    }

    pub(super) fn relay_probe(&mut self, now: Now, address: &str, seq: u64, target: &Peer) {
        self.probing.seq += 1;
        let own_seq = self.probing.seq;
        let relay = RelayedProbe {
            address: address.to_owned(),
            seq,
            at: now,
        };
        self.probing.relayed.insert(own_seq, relay);
        let updates = self.updates_for(&target.host);
        let body = Body::Probe {
            seq: own_seq,
            updates,
        };
        self.send(&target.address, body);
        // Shows the requesting host that it isn't isolated itself.
        let updates = Vec::new();
        self.send(address, Body::Rumour { updates });
    }

    /// Random entry hosts that are not gone, in reachable data centres.
    pub(super) fn random_peers(&mut self, count: usize) -> Vec<Peer> {
        let me = &self.settings.host;
        let others = self.table.entry_hosts().filter(|m| {
            m.record.host != *me && !self.reachability.is_unreachable(&m.record.data_centre)
        });
        let others: Vec<&Member> = others.collect();
        let chosen = others.choose_multiple(&mut self.rng, count);
        chosen.map(|m| peer_of(m)).collect()
    }

    pub(super) fn chance(&mut self, one_in: u32) -> bool {
        self.rng.random_range(0..one_in) == 0
    }

    pub(super) fn update_reachability(&mut self) {
        let me = &self.settings.host;
        let others = self.table.entry_hosts().filter(|m| m.record.host != *me);
        let centres: BTreeSet<&str> = others.map(|m| m.record.data_centre.as_str()).collect();
        let isolated = self.reachability.all_unreachable(&centres);
        let unreachable: BTreeSet<String> = centres
            .iter()
            .filter(|c| **c != self.settings.data_centre && self.reachability.is_unreachable(c))
            .map(|c| (*c).to_owned())
            .collect();
        if unreachable == self.unreachable_centres && isolated == self.isolated {
            return;
        }
        self.published.outdated = true;
        let before = std::mem::replace(&mut self.unreachable_centres, unreachable.clone());
        let was_isolated = std::mem::replace(&mut self.isolated, isolated);
        if isolated && !was_isolated {
            self.event(EventKind::HostIsolated, "no other entry host answers");
        }
        if isolated {
            return;
        }
        for centre in unreachable
            .iter()
            .filter(|c| was_isolated || !before.contains(*c))
        {
            self.event(
                EventKind::DataCentreSilent,
                format!("{centre} does not answer"),
            );
        }
        for centre in before.difference(&unreachable) {
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
