//! What entry hosts know of one another, spread by short datagrams.
//!
//! Each host counts its own beats. A datagram carries the sender's record, the newest beats that
//! it has heard of, and a few records; each round goes to [`FAN_OUT`] hosts, so that the cost of a
//! host doesn't grow with the fleet beyond [`MAX_PULSES`]. A host whose beat stands still for
//! [`SILENCE_LIMIT`], or longer in a fleet whose beats don't fit into one datagram, is left out of
//! answers to callers until it is heard again.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};

use super::routes::TableVersion;
use crate::platform::Version;
use crate::rendezvous;
use crate::types::{DataCentreId, HostId, Incarnation, Now, RegionId};

/// Time between two rounds.
pub const ROUND_INTERVAL: Duration = Duration::from_millis(500);
/// Hosts that a round goes to: a beat reaches 100 hosts in four rounds.
const FAN_OUT: usize = 3;
/// Time without a new beat after which a host counts as silent: five rounds of spreading, and one
/// that was lost. In a larger fleet than a datagram has beats, it grows with the fleet, as the
/// share of callers who are sent to one dead host shrinks.
const SILENCE_LIMIT: Duration = Duration::from_secs(3);
/// Time without a new beat after which a host is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(120);
/// Beats in one datagram, of about ten bytes each; with them a host sends about 3 KB a second.
const MAX_PULSES: usize = 48;
/// Records in one datagram.
const MAX_RECORDS: usize = 1;
/// Records that are asked for at once.
const MAX_WANTED: usize = 32;
/// Records in the answer to a host that starts.
const MAX_JOIN_RECORDS: usize = 64;
/// Time for which another host must have known more before it is asked: two rounds, in which the
/// store's own news arrive unless it can't be reached.
const PULL_AFTER: Duration = Duration::from_millis(900);
/// Rounds between two datagrams to a seed, which find a part of the fleet that was cut off.
const SEED_ROUNDS: u32 = 8;
/// A gap between two rounds that shows that this process was paused.
const PAUSE: Duration = Duration::from_millis(1_500);

/// Whether a host takes callers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerState {
    /// It lacks a configuration or the list of upstreams.
    #[default]
    Starting,
    /// It serves callers.
    Ready,
    /// It ends what it holds and takes no new callers.
    Leaving,
}

/// What a host says about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerRecord {
    /// Name.
    pub host: HostId,
    /// Life of the process.
    pub incarnation: Incarnation,
    /// Number of the record in this life.
    pub version: u32,
    /// Region.
    pub region: RegionId,
    /// Data centre.
    pub data_centre: DataCentreId,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where datagrams and pulls of other hosts go.
    pub peers: SocketAddr,
    /// Whether it takes callers.
    #[serde(rename = "standing")]
    pub state: PeerState,
}

/// Hash of a host's name.
type PeerKey = u32;

/// The newest beat of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pulse {
    /// Hash of its name.
    pub key: PeerKey,
    /// Hash of the life and the number of its record.
    pub tag: u16,
    /// Beat in this life.
    pub beat: u32,
}

/// What a host knows of the platform's store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreVersions {
    /// Version of the route table in force; 0 if none is.
    pub table: TableVersion,
    /// Revision of the last change of the registry that it knows; 0 if it has no list.
    pub registry: Version,
}

/// What to ask another host for, since it has known more for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pull {
    /// Its route table.
    Table(SocketAddr),
    /// Its list of upstreams.
    Registry(SocketAddr),
}

/// A datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Gossip {
    /// The sender.
    pub from: PeerRecord,
    /// Beat of the sender.
    pub beat: u32,
    /// The sender knows no other host and asks for records.
    pub joining: bool,
    /// What the sender knows of the platform's store.
    #[serde(rename = "knowledge")]
    pub store_versions: StoreVersions,
    /// Beats of others.
    pub pulses: Vec<Pulse>,
    /// Records of others.
    pub records: Vec<PeerRecord>,
    /// Keys of records that the sender lacks.
    pub wanted: Vec<PeerKey>,
}

/// What a host's news did, for logs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerChange {
    /// A host, or a new life of one, was heard of.
    Discovered(HostId),
    /// A host began to leave.
    Leaving(HostId),
    /// A host's beat stands still.
    Unresponsive(HostId),
    /// A silent host was heard again.
    Recovered(HostId),
}

#[derive(Clone, Debug)]
struct Peer {
    record: PeerRecord,
    beat: u32,
    /// When its beat last rose.
    heard: Now,
    silent: bool,
    store_versions: StoreVersions,
}

/// The hosts that one host knows.
#[derive(Clone, Debug)]
pub struct Peers {
    me: PeerRecord,
    beat: u32,
    seeds: Vec<SocketAddr>,
    others: BTreeMap<PeerKey, Peer>,
    wanted: BTreeSet<PeerKey>,
    /// Since when another host has had a newer route table, and a newer list of upstreams.
    table_behind: Option<Now>,
    registry_behind: Option<Now>,
    last_round: Option<Now>,
    rng: SmallRng,
}

impl Peers {
    /// A host that knows only the addresses of a few others.
    #[must_use]
    pub fn new(me: PeerRecord, seeds: Vec<SocketAddr>, seed: u64) -> Self {
        let own = me.peers;
        Self {
            me,
            beat: 0,
            seeds: seeds.into_iter().filter(|s| *s != own).collect(),
            others: BTreeMap::new(),
            wanted: BTreeSet::new(),
            table_behind: None,
            registry_behind: None,
            last_round: None,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// This host's record.
    #[must_use]
    pub fn me(&self) -> &PeerRecord {
        &self.me
    }

    /// Changes this host's state.
    pub fn set_state(&mut self, state: PeerState) {
        if self.me.state != state {
            self.me.state = state;
            self.me.version += 1;
        }
    }

    /// Adds addresses to ask when no host is known.
    pub fn add_seeds(&mut self, seeds: impl IntoIterator<Item = SocketAddr>) {
        for seed in seeds {
            if seed != self.me.peers && !self.seeds.contains(&seed) {
                self.seeds.push(seed);
            }
        }
    }

    /// Whether any other host was heard lately.
    #[must_use]
    pub fn is_alone(&self) -> bool {
        self.others.values().all(|p| p.silent)
    }

    /// Hosts that are known, this one and silent ones included: a host that is cut off from this
    /// one may go on.
    #[must_use]
    pub fn count(&self) -> usize {
        1 + self.others.len()
    }

    /// Makes a round: what to send to whom, and what became silent.
    pub fn round(
        &mut self,
        now: Now,
        store_versions: StoreVersions,
    ) -> (Vec<(SocketAddr, Gossip)>, Vec<PeerChange>) {
        self.allow_for_pause(now);
        self.beat += 1;
        let changes = self.judge(now);
        let mut targets: Vec<SocketAddr> = self.random_peers(FAN_OUT);
        let joining = self.is_alone();
        if joining {
            targets.extend(&self.seeds);
        } else if self.beat.is_multiple_of(SEED_ROUNDS) {
            targets.extend(self.seeds.choose(&mut self.rng));
        }
        targets.sort();
        targets.dedup();
        let gossip = self.gossip(store_versions, joining, MAX_RECORDS);
        let sends = targets.into_iter().map(|t| (t, gossip.clone())).collect();
        (sends, changes)
    }

    /// A datagram that tells a change of this host at once, to all that are known.
    pub fn announce(&mut self, store_versions: StoreVersions) -> Vec<(SocketAddr, Gossip)> {
        self.beat += 1;
        let gossip = self.gossip(store_versions, false, 0);
        let live = self.others.values().filter(|p| !p.silent);
        live.map(|p| (p.record.peers, gossip.clone())).collect()
    }

    /// Takes a datagram; returns an answer, if one is due, and what changed.
    pub fn receive(
        &mut self,
        now: Now,
        gossip: &Gossip,
        store_versions: StoreVersions,
    ) -> (Option<(SocketAddr, Gossip)>, Vec<PeerChange>) {
        let mut changes = Vec::new();
        let (to, joining) = (gossip.from.peers, gossip.joining);
        let sender = key_of(&gossip.from.host);
        self.merge(now, &gossip.from, gossip.beat, &mut changes);
        if let Some(peer) = self.others.get_mut(&sender) {
            peer.store_versions = gossip.store_versions;
        }
        for record in &gossip.records {
            self.merge(now, record, 0, &mut changes);
        }
        for pulse in &gossip.pulses {
            self.merge_pulse(now, *pulse, &mut changes);
        }
        let known = |key: &PeerKey| self.others.get(key).map(|p| p.record.clone());
        let asked: Vec<PeerRecord> = gossip.wanted.iter().filter_map(known).collect();
        // The clock that numbers lives was ahead in an earlier life of the sender, which has to
        // hear of it.
        let later = self.others.get(&sender).map(|p| &p.record);
        let later = later
            .filter(|r| r.incarnation > gossip.from.incarnation)
            .cloned();
        if !joining && asked.is_empty() && later.is_none() && self.wanted.is_empty() {
            return (None, changes);
        }
        let records = if joining { MAX_JOIN_RECORDS } else { 0 };
        let mut answer = self.gossip(store_versions, false, records);
        answer.records.extend(asked);
        answer.records.extend(later);
        (Some((to, answer)), changes)
    }

    /// Hosts that callers may use, this one included if it is ready.
    ///
    /// When most known hosts fell silent and the store does not answer either, it is likely this
    /// host that is cut off, so they are named nevertheless.
    #[must_use]
    pub fn usable_hosts(&self, store_answers: bool) -> Vec<&PeerRecord> {
        let silent = self.others.values().filter(|p| p.silent).count();
        let cut_off = !store_answers && silent * 2 > self.others.len();
        let usable = |p: &&Peer| p.record.state == PeerState::Ready && (cut_off || !p.silent);
        let mut named: Vec<&PeerRecord> = self
            .others
            .values()
            .filter(usable)
            .map(|p| &p.record)
            .collect();
        if self.me.state == PeerState::Ready {
            named.push(&self.me);
        }
        named
    }

    /// Addresses for an answer to a caller. Where more hosts are known than it names, each answer
    /// names others, so that callers spread over all.
    pub fn caller_addresses(&mut self, store_answers: bool, most: usize) -> Vec<SocketAddr> {
        let named: Vec<SocketAddr> = self
            .usable_hosts(store_answers)
            .iter()
            .map(|p| p.callers)
            .collect();
        if named.len() <= most {
            return named;
        }
        named
            .choose_multiple(&mut self.rng, most)
            .copied()
            .collect()
    }

    /// What to pull from a host that has known more than this one for [`PULL_AFTER`]. The store
    /// tells each host by itself, so a host that stays behind can't see it.
    pub fn pull(&mut self, now: Now, own: StoreVersions) -> Option<Pull> {
        let live = || self.others.values().filter(|p| !p.silent);
        let newest_table = live().max_by_key(|p| p.store_versions.table);
        let table = newest_table.filter(|p| p.store_versions.table > own.table);
        let newest_registry = live().max_by_key(|p| p.store_versions.registry);
        let registry = newest_registry.filter(|p| p.store_versions.registry > own.registry);
        let table = table.map(|p| Pull::Table(p.record.peers));
        let registry = registry.map(|p| Pull::Registry(p.record.peers));
        let has_none = own.table == 0 || own.registry == 0;
        if is_due(&mut self.table_behind, now, table.is_some(), has_none) {
            return table;
        }
        if is_due(&mut self.registry_behind, now, registry.is_some(), has_none) {
            return registry;
        }
        None
    }

    /// Addresses of live hosts for pulls, in random order.
    pub fn random_peers(&mut self, count: usize) -> Vec<SocketAddr> {
        let live: Vec<SocketAddr> = self
            .others
            .values()
            .filter(|p| !p.silent)
            .map(|p| p.record.peers)
            .collect();
        live.choose_multiple(&mut self.rng, count)
            .copied()
            .collect()
    }

    fn gossip(&mut self, store_versions: StoreVersions, joining: bool, records: usize) -> Gossip {
        let live: Vec<(&PeerKey, &Peer)> = self.others.iter().filter(|(_, p)| !p.silent).collect();
        let told = live.choose_multiple(&mut self.rng, MAX_PULSES);
        let pulses = told.map(|(key, p)| pulse_of(**key, p)).collect();
        let chosen = live.choose_multiple(&mut self.rng, records);
        let records = chosen.map(|(_, p)| p.record.clone()).collect();
        Gossip {
            from: self.me.clone(),
            beat: self.beat,
            joining,
            store_versions,
            pulses,
            records,
            wanted: self.take_wanted(),
        }
    }

    fn take_wanted(&mut self) -> Vec<PeerKey> {
        let wanted = std::mem::take(&mut self.wanted);
        wanted.into_iter().take(MAX_WANTED).collect()
    }

    /// Takes a record. Only the beats of its host show that it lives, so a record from a third
    /// host gives a host that was not known a short time to be heard.
    fn merge(&mut self, now: Now, record: &PeerRecord, beat: u32, changes: &mut Vec<PeerChange>) {
        if record.host == self.me.host {
            if record.incarnation > self.me.incarnation {
                self.me.incarnation = record.incarnation + 1;
            }
            return;
        }
        let key = key_of(&record.host);
        let Some(peer) = self.others.get_mut(&key) else {
            changes.push(PeerChange::Discovered(record.host.clone()));
            let peer = Peer {
                record: record.clone(),
                beat,
                heard: now,
                silent: false,
                store_versions: StoreVersions::default(),
            };
            self.others.insert(key, peer);
            return;
        };
        let (known, new) = (&peer.record, record);
        if new.incarnation > known.incarnation {
            changes.push(PeerChange::Discovered(record.host.clone()));
            *peer = Peer {
                record: record.clone(),
                beat,
                heard: now,
                silent: false,
                store_versions: StoreVersions::default(),
            };
            return;
        }
        if new.incarnation < known.incarnation {
            return;
        }
        if new.version > known.version {
            if new.state == PeerState::Leaving {
                changes.push(PeerChange::Leaving(record.host.clone()));
            }
            peer.record = record.clone();
        }
        if beat > peer.beat {
            Self::heard(peer, now, beat, changes);
        }
    }

    fn merge_pulse(&mut self, now: Now, pulse: Pulse, changes: &mut Vec<PeerChange>) {
        if pulse.key == key_of(&self.me.host) {
            return;
        }
        let Some(peer) = self.others.get_mut(&pulse.key) else {
            self.wanted.insert(pulse.key);
            return;
        };
        if pulse.tag != tag_of(&peer.record) {
            self.wanted.insert(pulse.key);
        } else if pulse.beat > peer.beat {
            Self::heard(peer, now, pulse.beat, changes);
        }
    }

    fn heard(peer: &mut Peer, now: Now, beat: u32, changes: &mut Vec<PeerChange>) {
        peer.beat = beat;
        peer.heard = now;
        if peer.silent {
            peer.silent = false;
            changes.push(PeerChange::Recovered(peer.record.host.clone()));
        }
    }

    fn judge(&mut self, now: Now) -> Vec<PeerChange> {
        let mut changes = Vec::new();
        let datagrams = (self.others.len() as f64 / MAX_PULSES as f64).max(1.0);
        let limit = SILENCE_LIMIT.mul_f64(datagrams);
        for peer in self.others.values_mut() {
            if !peer.silent && now.saturating_sub(peer.heard) > limit {
                peer.silent = true;
                changes.push(PeerChange::Unresponsive(peer.record.host.clone()));
            }
        }
        let forgotten = |p: &Peer| now.saturating_sub(p.heard) > FORGET_AFTER;
        self.others.retain(|_, p| !forgotten(p));
        changes
    }

    /// After a pause of this process, nobody was heard because nobody could be.
    fn allow_for_pause(&mut self, now: Now) {
        let Some(last) = self.last_round.replace(now) else {
            return;
        };
        let gap = now.saturating_sub(last);
        if gap > PAUSE {
            for peer in self.others.values_mut() {
                peer.heard = (peer.heard + gap).min(now);
            }
        }
    }
}

/// Whether a host has been behind for long enough to ask another; it is asked once in that time.
fn is_due(behind: &mut Option<Now>, now: Now, is_behind: bool, at_once: bool) -> bool {
    if !is_behind {
        *behind = None;
        return false;
    }
    let since = *behind.get_or_insert(now);
    let due = at_once || now.saturating_sub(since) >= PULL_AFTER;
    if due {
        *behind = Some(now);
    }
    due
}

fn pulse_of(key: PeerKey, peer: &Peer) -> Pulse {
    Pulse {
        key,
        tag: tag_of(&peer.record),
        beat: peer.beat,
    }
}

fn tag_of(record: &PeerRecord) -> u16 {
    let hash = rendezvous::mix(record.incarnation ^ u64::from(record.version).rotate_left(48));
    (hash >> 48) as u16
}

fn key_of(host: &str) -> PeerKey {
    (rendezvous::hash(host) >> 32) as PeerKey
}
