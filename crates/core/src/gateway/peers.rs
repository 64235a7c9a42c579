//! State that entry hosts share about one another, spread by gossip in short datagrams.
//!
//! Each host counts its own heartbeats. A datagram carries the sender's record, the newest
//! heartbeats that it knows of, and a few records. Each round goes to [`GOSSIP_FANOUT`] hosts, so
//! that the cost per host does not grow with the fleet beyond [`MAX_HEARTBEATS`]. A host whose
//! heartbeat has not advanced for [`HEARTBEAT_TIMEOUT`] is excluded from answers to callers until
//! its heartbeat advances again.
//!
//! In a fleet whose heartbeats exceed one datagram, the hosts of a data centre watch each other:
//! most heartbeats and datagrams stay within it, and the heartbeats at which hosts fell silent or
//! returned spread to the other data centres. So does the time at which any host had a datagram
//! from each data centre; one that nobody has heard of for [`PLACE_TIMEOUT`] counts as silent as a
//! whole.

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

/// Time between two gossip rounds.
pub const ROUND_INTERVAL: Duration = Duration::from_millis(500);
/// Number of hosts that each round is sent to: a heartbeat reaches 100 hosts in four rounds.
const GOSSIP_FANOUT: usize = 3;
/// Time without a new heartbeat after which a host counts as unresponsive: five rounds of spreading
/// and one lost round. It grows with a data centre that has more heartbeats than a datagram holds;
/// the share of callers that one dead host affects shrinks accordingly.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(3);
/// The same in a large fleet, whose datagrams hold fewer of the heartbeats.
const LARGE_FLEET_TIMEOUT: Duration = Duration::from_secs(4);
/// Hosts of the own data centre that each round is sent to in a large fleet.
const NEAR_FANOUT: usize = 3;
/// Rounds between two that are also sent to a host of another data centre in a large fleet.
const ROUNDS_PER_FAR_CONTACT: u32 = 2;
/// Time without a datagram from any host of a data centre to any other host after which all hosts
/// there count as unresponsive.
const PLACE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time without a new heartbeat after which a host of another data centre counts as unresponsive
/// although no host there says so.
const DISTANT_TIMEOUT: Duration = Duration::from_secs(30);
/// Heartbeats in one datagram that are of hosts in other data centres, in a large fleet.
const MAX_DISTANT_HEARTBEATS: usize = 8;
/// Unresponsive hosts in one datagram, those that fell silent last.
const MAX_SILENT: usize = 12;
/// Hosts that joined or returned lately whose heartbeats are in each datagram.
const MAX_NEWS: usize = 12;
/// Time for which it is spread that a host fell silent, joined or returned.
const NEWS_TIME: Duration = Duration::from_secs(12);
/// Time without a new heartbeat after which a host is removed.
const EXPIRY_TIMEOUT: Duration = Duration::from_secs(120);
/// Heartbeats in one datagram, of about ten bytes each; a host then sends about 3 KB a second.
const MAX_HEARTBEATS: usize = 48;
/// Records in one datagram.
const MAX_RECORDS: usize = 1;
/// Records that one datagram may request.
const MAX_WANTED: usize = 32;
/// Records in the answer to a joining host.
const MAX_JOIN_RECORDS: usize = 64;
/// Time for which another host must have been ahead before a pull: two rounds, in which updates
/// from the store itself arrive unless it is unreachable.
const PULL_DELAY: Duration = Duration::from_millis(900);
/// Rounds between two datagrams to a seed; these reconnect parts of the fleet after a network
/// partition.
const ROUNDS_PER_SEED_CONTACT: u32 = 8;
/// Gap between two rounds from which on this process is assumed to have been paused.
const MIN_PAUSE_GAP: Duration = Duration::from_millis(1_500);

/// Lifecycle state of an entry host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerState {
    /// It lacks a configuration or the list of upstreams.
    #[default]
    Starting,
    /// It serves callers.
    Ready,
    /// It finishes its requests and accepts no new callers.
    Leaving,
}

/// Record that a host publishes about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerRecord {
    /// Name of the host, unique in the fleet.
    pub host: HostId,
    /// Incarnation of the process; a higher one replaces all records of lower ones.
    pub incarnation: Incarnation,
    /// Version of the record in this incarnation; rises with each change.
    pub version: u32,
    /// Region that the host runs in.
    pub region: RegionId,
    /// Data centre that the host runs in.
    pub data_centre: DataCentreId,
    /// Address that callers connect to.
    pub callers: SocketAddr,
    /// Address for datagrams and pulls of other hosts.
    pub peers: SocketAddr,
    /// Lifecycle state of the host.
    #[serde(rename = "standing")]
    pub state: PeerState,
}

/// Hash of a host's name.
type PeerKey = u32;

/// Newest known heartbeat of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerHeartbeat {
    /// Hash of the host's name.
    pub key: PeerKey,
    /// Hash of the incarnation and version of the host's record; a mismatch shows that the
    /// receiver's record is outdated.
    pub tag: u16,
    /// Heartbeat counter in this incarnation.
    #[serde(rename = "beat")]
    pub heartbeat: u32,
}

/// Versions of the platform's data that a host has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreVersions {
    /// Version of the route table in force; 0 if none is.
    pub table: TableVersion,
    /// Revision of the last known registry change; 0 without a list.
    pub registry: Version,
}

/// Data to fetch from another host that has been ahead for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pull {
    /// The route table, from this address.
    Table(SocketAddr),
    /// The list of upstreams, from this address.
    Registry(SocketAddr),
}

/// Gossip datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Gossip {
    /// Record of the sender.
    pub from: PeerRecord,
    /// Heartbeat counter of the sender.
    #[serde(rename = "beat")]
    pub heartbeat: u32,
    /// Whether the sender knows no live host and requests records.
    pub joining: bool,
    /// Versions of the platform's data that the sender has.
    #[serde(rename = "knowledge")]
    pub store_versions: StoreVersions,
    /// Heartbeats of some other hosts.
    #[serde(rename = "pulses")]
    pub heartbeats: Vec<PeerHeartbeat>,
    /// Hosts that fell silent lately, each with its last heartbeat.
    pub silent: Vec<PeerHeartbeat>,
    /// Hashes of data centres, with the time in milliseconds since any host had a datagram from
    /// there.
    pub heard: Vec<(u32, u32)>,
    /// Records of some other hosts.
    pub records: Vec<PeerRecord>,
    /// Keys of the records that the sender requests.
    pub wanted: Vec<PeerKey>,
}

/// Change of the known hosts, for logs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerChange {
    /// A host, or a new incarnation of one, was discovered.
    Discovered(HostId),
    /// A host announced that it is leaving.
    Leaving(HostId),
    /// The heartbeat of a host has not advanced within the timeout.
    Unresponsive(HostId),
    /// The heartbeat of an unresponsive host advanced again.
    Recovered(HostId),
}

#[derive(Clone, Debug)]
struct Peer {
    record: PeerRecord,
    heartbeat: u32,
    /// When its heartbeat last advanced.
    last_heartbeat_at: Now,
    unresponsive: bool,
    /// When the host was discovered, became unresponsive or returned.
    changed_at: Now,
    store_versions: StoreVersions,
}

/// Hosts that the local host knows.
#[derive(Clone, Debug)]
pub struct Peers {
    local: PeerRecord,
    heartbeat: u32,
    seeds: Vec<SocketAddr>,
    others: BTreeMap<PeerKey, Peer>,
    /// When any host last had a datagram from each data centre, by the hash of its name.
    heard_at: BTreeMap<u32, Now>,
    wanted: BTreeSet<PeerKey>,
    /// Since when another host has had a newer route table.
    table_behind_since: Option<Now>,
    /// Since when another host has had a newer list of upstreams.
    registry_behind_since: Option<Now>,
    last_round: Option<Now>,
    /// When datagrams with new versions were last sent between rounds.
    spread_at: Option<Now>,
    rng: SmallRng,
}

impl Peers {
    /// Creates the state of a host that knows only the addresses of a few others.
    #[must_use]
    pub fn new(local: PeerRecord, seeds: Vec<SocketAddr>, seed: u64) -> Self {
        let own = local.peers;
        Self {
            local,
            heartbeat: 0,
            seeds: seeds.into_iter().filter(|s| *s != own).collect(),
            others: BTreeMap::new(),
            heard_at: BTreeMap::new(),
            wanted: BTreeSet::new(),
            table_behind_since: None,
            registry_behind_since: None,
            last_round: None,
            spread_at: None,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Record of the local host.
    #[must_use]
    pub fn local_record(&self) -> &PeerRecord {
        &self.local
    }

    /// Sets the lifecycle state of the local host.
    pub fn set_state(&mut self, state: PeerState) {
        if self.local.state != state {
            self.local.state = state;
            self.local.version += 1;
        }
    }

    /// Adds addresses that are contacted while no host is known, and now and then later.
    pub fn add_seeds(&mut self, seeds: impl IntoIterator<Item = SocketAddr>) {
        for seed in seeds {
            if seed != self.local.peers && !self.seeds.contains(&seed) {
                self.seeds.push(seed);
            }
        }
    }

    /// Whether all other known hosts are unresponsive, or none is known.
    #[must_use]
    pub fn is_alone(&self) -> bool {
        self.others.values().all(|p| p.unresponsive)
    }

    /// Number of known hosts, including the local one and unresponsive ones: a host that is
    /// unreachable from here may still be serving.
    #[must_use]
    pub fn count(&self) -> usize {
        1 + self.others.len()
    }

    /// Number of hosts that are unresponsive and did not say that they leave: they may still be serving.
    #[must_use]
    pub fn absent(&self) -> usize {
        let absent = |p: &&Peer| p.unresponsive && p.record.state != PeerState::Leaving;
        self.others.values().filter(absent).count()
    }

    /// Address for datagrams to another host, if it is known.
    #[must_use]
    pub fn address_of(&self, host: &str) -> Option<SocketAddr> {
        self.others.get(&key_of(host)).map(|p| p.record.peers)
    }

    /// Runs a gossip round: returns the datagrams to send with their addresses, and the hosts that
    /// became unresponsive.
    pub fn round(
        &mut self,
        now: Now,
        store_versions: StoreVersions,
    ) -> (Vec<(SocketAddr, Gossip)>, Vec<PeerChange>) {
        self.allow_for_pause(now);
        self.heartbeat += 1;
        let changes = self.check_heartbeats(now);
        let mut targets = self.gossip_targets();
        let joining = self.is_alone();
        if joining {
            targets.extend(&self.seeds);
        } else if self.heartbeat.is_multiple_of(ROUNDS_PER_SEED_CONTACT) {
            targets.extend(self.seeds.choose(&mut self.rng));
        }
        targets.sort();
        targets.dedup();
        let gossip = self.gossip(now, store_versions, joining, MAX_RECORDS);
        let sends = targets.into_iter().map(|t| (t, gossip.clone())).collect();
        (sends, changes)
    }

    /// Returns a datagram that announces a change of the local host to all live hosts at once.
    pub fn announce(
        &mut self,
        now: Now,
        store_versions: StoreVersions,
    ) -> Vec<(SocketAddr, Gossip)> {
        self.heartbeat += 1;
        let gossip = self.gossip(now, store_versions, false, 0);
        let live = self.others.values().filter(|p| !p.unresponsive);
        live.map(|p| (p.record.peers, gossip.clone())).collect()
    }

    /// Returns datagrams that tell a few hosts of new versions at once, so that hosts whose own source
    /// is late hear of them. There are none if some were sent less than [`ROUND_INTERVAL`] ago.
    pub fn spread(&mut self, now: Now, store_versions: StoreVersions) -> Vec<(SocketAddr, Gossip)> {
        if self.spread_at.is_some_and(|at| now < at + ROUND_INTERVAL) {
            return Vec::new();
        }
        self.spread_at = Some(now);
        let gossip = self.gossip(now, store_versions, false, 0);
        let targets = self.gossip_targets();
        targets.into_iter().map(|t| (t, gossip.clone())).collect()
    }

    /// Processes a datagram. Returns the reply, if one is due, and what changed.
    pub fn receive(
        &mut self,
        now: Now,
        gossip: &Gossip,
        store_versions: StoreVersions,
    ) -> (Option<(SocketAddr, Gossip)>, Vec<PeerChange>) {
        let mut changes = Vec::new();
        let (to, joining) = (gossip.from.peers, gossip.joining);
        let sender = key_of(&gossip.from.host);
        self.hear_place(place_key(&gossip.from.data_centre), now);
        for (place, age_ms) in &gossip.heard {
            let age = Duration::from_millis(u64::from(*age_ms));
            self.hear_place(*place, now.saturating_sub(age));
        }
        self.merge_record(now, &gossip.from, gossip.heartbeat, &mut changes);
        if let Some(peer) = self.others.get_mut(&sender) {
            peer.store_versions = gossip.store_versions;
        }
        self.note_versions(now, gossip.store_versions, store_versions);
        for record in &gossip.records {
            self.merge_record(now, record, 0, &mut changes);
        }
        for received in &gossip.heartbeats {
            self.merge_heartbeat(now, *received, &mut changes);
        }
        for received in &gossip.silent {
            self.merge_silence(now, *received, &mut changes);
        }
        let known = |key: &PeerKey| self.others.get(key).map(|p| p.record.clone());
        let requested: Vec<PeerRecord> = gossip.wanted.iter().filter_map(known).collect();
        // Incarnations are numbered by the clock. If it was ahead in an earlier incarnation of the
        // sender, the sender needs the record of that incarnation to choose a higher number.
        let newer_record = self.others.get(&sender).map(|p| &p.record);
        let newer_record = newer_record
            .filter(|r| r.incarnation > gossip.from.incarnation)
            .cloned();
        if !joining && requested.is_empty() && newer_record.is_none() && self.wanted.is_empty() {
            return (None, changes);
        }
        let records = if joining { MAX_JOIN_RECORDS } else { 0 };
        let mut answer = self.gossip(now, store_versions, false, records);
        answer.records.extend(requested);
        answer.records.extend(newer_record);
        (Some((to, answer)), changes)
    }

    /// Hosts that callers may use, including the local one if it is ready.
    ///
    /// If most known hosts are unresponsive and the store does not answer either, the local host is
    /// probably the isolated one, so unresponsive hosts are included.
    #[must_use]
    pub fn usable_hosts(&self, store_answers: bool) -> Vec<&PeerRecord> {
        let unresponsive = self.others.values().filter(|p| p.unresponsive).count();
        let isolated = !store_answers && unresponsive * 2 > self.others.len();
        let usable =
            |p: &&Peer| p.record.state == PeerState::Ready && (isolated || !p.unresponsive);
        let mut hosts: Vec<&PeerRecord> = self
            .others
            .values()
            .filter(usable)
            .map(|p| &p.record)
            .collect();
        if self.local.state == PeerState::Ready {
            hosts.push(&self.local);
        }
        hosts
    }

    /// Addresses for an answer to a caller, at most `limit`. If more hosts are usable, each answer
    /// is a random sample, so that callers spread over all of them.
    pub fn caller_addresses(&mut self, store_answers: bool, limit: usize) -> Vec<SocketAddr> {
        let addresses: Vec<SocketAddr> = self
            .usable_hosts(store_answers)
            .iter()
            .map(|p| p.callers)
            .collect();
        if addresses.len() <= limit {
            return addresses;
        }
        addresses
            .choose_multiple(&mut self.rng, limit)
            .copied()
            .collect()
    }

    /// Live hosts that are not leaving, with the local one.
    #[must_use]
    pub fn live_hosts(&self) -> Vec<&PeerRecord> {
        let live = |p: &&Peer| !p.unresponsive && p.record.state != PeerState::Leaving;
        let mut hosts: Vec<&PeerRecord> = self
            .others
            .values()
            .filter(live)
            .map(|p| &p.record)
            .collect();
        if self.local.state != PeerState::Leaving {
            hosts.push(&self.local);
        }
        hosts
    }

    /// Notes since when a host that sent its versions is ahead.
    fn note_versions(&mut self, now: Now, sent: StoreVersions, own: StoreVersions) {
        if sent.table > own.table {
            self.table_behind_since.get_or_insert(now);
        }
        if sent.registry > own.registry {
            self.registry_behind_since.get_or_insert(now);
        }
    }

    /// When a pull may be due; `None` while no other host is ahead.
    #[must_use]
    pub fn next_pull_at(&self) -> Option<Now> {
        let since = [self.table_behind_since, self.registry_behind_since];
        since.into_iter().flatten().min().map(|at| at + PULL_DELAY)
    }

    /// Returns what to pull from a host that has been ahead of the local one for [`PULL_DELAY`].
    /// Each host follows the store on its own and cannot detect by itself that it has fallen
    /// behind. `own` has the revisions up to which the local host holds all changes.
    pub fn pull(&mut self, now: Now, own: StoreVersions) -> Option<Pull> {
        // Any of the newest hosts may have fallen silent since.
        let mut newest = |version: fn(&StoreVersions) -> u64| {
            let live = self.others.values().filter(|p| !p.unresponsive);
            let max = live.clone().map(|p| version(&p.store_versions)).max()?;
            let ahead = live.filter(|p| max > version(&own) && version(&p.store_versions) == max);
            let ahead: Vec<SocketAddr> = ahead.map(|p| p.record.peers).collect();
            ahead.choose(&mut self.rng).copied()
        };
        let table = newest(|v| v.table).map(Pull::Table);
        let registry = newest(|v| v.registry).map(Pull::Registry);
        let has_none = own.table == 0 || own.registry == 0;
        if pull_is_due(&mut self.table_behind_since, now, table.is_some(), has_none) {
            return table;
        }
        if pull_is_due(
            &mut self.registry_behind_since,
            now,
            registry.is_some(),
            has_none,
        ) {
            return registry;
        }
        None
    }

    /// Addresses of up to `count` live hosts, in random order.
    pub fn random_peers(&mut self, count: usize) -> Vec<SocketAddr> {
        let live: Vec<SocketAddr> = self
            .others
            .values()
            .filter(|p| !p.unresponsive)
            .map(|p| p.record.peers)
            .collect();
        live.choose_multiple(&mut self.rng, count)
            .copied()
            .collect()
    }

    /// Whether the heartbeats of all hosts exceed one datagram.
    fn is_large(&self) -> bool {
        self.others.len() > MAX_HEARTBEATS
    }

    /// Addresses for a round: any hosts in a small fleet, and mostly those of the own data centre
    /// in a large one.
    fn gossip_targets(&mut self) -> Vec<SocketAddr> {
        if !self.is_large() {
            return self.random_peers(GOSSIP_FANOUT);
        }
        let live = self.others.values().filter(|p| !p.unresponsive);
        let (near, far): (Vec<&Peer>, Vec<&Peer>) =
            live.partition(|p| p.record.data_centre == self.local.data_centre);
        let chosen = near.choose_multiple(&mut self.rng, NEAR_FANOUT);
        let mut targets: Vec<SocketAddr> = chosen.map(|p| p.record.peers).collect();
        if near.is_empty() || self.heartbeat.is_multiple_of(ROUNDS_PER_FAR_CONTACT) {
            targets.extend(far.choose(&mut self.rng).map(|p| p.record.peers));
        }
        targets
    }

    fn gossip(
        &mut self,
        now: Now,
        store_versions: StoreVersions,
        joining: bool,
        records: usize,
    ) -> Gossip {
        let large = self.is_large();
        let live: Vec<(&PeerKey, &Peer)> = self
            .others
            .iter()
            .filter(|(_, p)| !p.unresponsive)
            .collect();
        let is_near = |(_, p): &(&PeerKey, &Peer)| p.record.data_centre == self.local.data_centre;
        let (near, far): (Vec<_>, Vec<_>) = live.iter().partition(|p| !large || is_near(p));
        let sampled = near.choose_multiple(&mut self.rng, MAX_HEARTBEATS);
        let mut heartbeats: Vec<PeerHeartbeat> =
            sampled.map(|(key, p)| heartbeat_of(**key, p)).collect();
        let sampled = far.choose_multiple(&mut self.rng, MAX_DISTANT_HEARTBEATS);
        heartbeats.extend(sampled.map(|(key, p)| heartbeat_of(**key, p)));
        let silent = self.news(now, true, MAX_SILENT);
        if large {
            heartbeats.extend(self.news(now, false, MAX_NEWS));
        }
        let age = |at: &Now| u32::try_from(now.saturating_sub(*at).as_millis());
        let heard = self.heard_at.iter().filter(|_| large);
        let heard = heard
            .filter_map(|(place, at)| Some((*place, age(at).ok()?)))
            .collect();
        let chosen = live.choose_multiple(&mut self.rng, records);
        let records = chosen.map(|(_, p)| p.record.clone()).collect();
        Gossip {
            from: self.local.clone(),
            heartbeat: self.heartbeat,
            joining,
            store_versions,
            heartbeats,
            silent,
            heard,
            records,
            wanted: self.take_wanted(),
        }
    }

    /// Last heartbeats of hosts that fell silent, or of those that joined or returned, lately.
    fn news(&self, now: Now, unresponsive: bool, limit: usize) -> Vec<PeerHeartbeat> {
        let lately = |p: &Peer| now.saturating_sub(p.changed_at) < NEWS_TIME;
        let others = self.others.iter();
        let mut news: Vec<(&PeerKey, &Peer)> = others
            .filter(|(_, p)| p.unresponsive == unresponsive && lately(p))
            .collect();
        news.sort_by_key(|(_, p)| std::cmp::Reverse(p.changed_at));
        news.truncate(limit);
        news.into_iter()
            .map(|(key, p)| heartbeat_of(*key, p))
            .collect()
    }

    fn hear_place(&mut self, place: u32, at: Now) {
        let heard_at = self.heard_at.entry(place).or_insert(at);
        *heard_at = at.max(*heard_at);
    }

    fn take_wanted(&mut self) -> Vec<PeerKey> {
        let wanted = std::mem::take(&mut self.wanted);
        wanted.into_iter().take(MAX_WANTED).collect()
    }

    /// Merges a record. Only heartbeats prove that a host is alive, so a record from a third host
    /// merely gives an unknown host one timeout to send some.
    fn merge_record(
        &mut self,
        now: Now,
        record: &PeerRecord,
        heartbeat: u32,
        changes: &mut Vec<PeerChange>,
    ) {
        if record.host == self.local.host {
            if record.incarnation > self.local.incarnation {
                self.local.incarnation = record.incarnation.saturating_add(1);
            }
            return;
        }
        let key = key_of(&record.host);
        let Some(peer) = self.others.get_mut(&key) else {
            changes.push(PeerChange::Discovered(record.host.clone()));
            let peer = Peer {
                record: record.clone(),
                heartbeat,
                last_heartbeat_at: now,
                unresponsive: false,
                changed_at: now,
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
                heartbeat,
                last_heartbeat_at: now,
                unresponsive: false,
                changed_at: now,
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
        if heartbeat > peer.heartbeat {
            Self::record_heartbeat(peer, now, heartbeat, changes);
        }
    }

    fn merge_heartbeat(
        &mut self,
        now: Now,
        received: PeerHeartbeat,
        changes: &mut Vec<PeerChange>,
    ) {
        if received.key == key_of(&self.local.host) {
            return;
        }
        let Some(peer) = self.others.get_mut(&received.key) else {
            self.wanted.insert(received.key);
            return;
        };
        if received.tag != tag_of(&peer.record) {
            self.wanted.insert(received.key);
        } else if received.heartbeat > peer.heartbeat {
            Self::record_heartbeat(peer, now, received.heartbeat, changes);
        }
    }

    /// Processes that another host heard nothing of a host since a heartbeat. It is no news if this
    /// host knows a later heartbeat.
    fn merge_silence(&mut self, now: Now, received: PeerHeartbeat, changes: &mut Vec<PeerChange>) {
        let large = self.is_large();
        let Some(peer) = self.others.get_mut(&received.key).filter(|_| large) else {
            return;
        };
        let same_record = received.tag == tag_of(&peer.record);
        if same_record && !peer.unresponsive && peer.heartbeat <= received.heartbeat {
            peer.heartbeat = received.heartbeat;
            peer.unresponsive = true;
            peer.changed_at = now;
            changes.push(PeerChange::Unresponsive(peer.record.host.clone()));
        }
    }

    fn record_heartbeat(peer: &mut Peer, now: Now, heartbeat: u32, changes: &mut Vec<PeerChange>) {
        peer.heartbeat = heartbeat;
        peer.last_heartbeat_at = now;
        if peer.unresponsive {
            peer.unresponsive = false;
            peer.changed_at = now;
            changes.push(PeerChange::Recovered(peer.record.host.clone()));
        }
    }

    fn check_heartbeats(&mut self, now: Now) -> Vec<PeerChange> {
        let mut changes = Vec::new();
        let large = self.is_large();
        let is_near = |p: &Peer| !large || p.record.data_centre == self.local.data_centre;
        let near = self.others.values().filter(|p| is_near(p)).count();
        let datagrams = (near as f64 / MAX_HEARTBEATS as f64).max(1.0);
        let timeout = if large {
            LARGE_FLEET_TIMEOUT
        } else {
            HEARTBEAT_TIMEOUT
        };
        let near_limit = timeout.mul_f64(datagrams);
        let heard_at = &self.heard_at;
        for peer in self.others.values_mut().filter(|p| !p.unresponsive) {
            let place_heard_at = heard_at.get(&place_key(&peer.record.data_centre));
            let age = now.saturating_sub(peer.last_heartbeat_at);
            let silent = if !large || peer.record.data_centre == self.local.data_centre {
                age > near_limit
            } else {
                let place_age = now.saturating_sub(place_heard_at.copied().unwrap_or(now));
                place_age > PLACE_TIMEOUT || age > DISTANT_TIMEOUT
            };
            if silent {
                peer.unresponsive = true;
                peer.changed_at = now;
                changes.push(PeerChange::Unresponsive(peer.record.host.clone()));
            }
        }
        let expired = |p: &Peer| now.saturating_sub(p.last_heartbeat_at) > EXPIRY_TIMEOUT;
        self.others.retain(|_, p| !expired(p));
        changes
    }

    /// After a pause of this process, missing heartbeats are no evidence, since none could be
    /// received.
    fn allow_for_pause(&mut self, now: Now) {
        let Some(last) = self.last_round.replace(now) else {
            return;
        };
        let gap = now.saturating_sub(last);
        if gap > MIN_PAUSE_GAP {
            for peer in self.others.values_mut() {
                peer.last_heartbeat_at = (peer.last_heartbeat_at + gap).min(now);
            }
            for at in self.heard_at.values_mut() {
                *at = (*at + gap).min(now);
            }
        }
    }
}

/// Whether the host has been behind long enough for a pull, or `immediately` is set. Without that,
/// a pull is due at most once per [`PULL_DELAY`].
fn pull_is_due(
    behind_since: &mut Option<Now>,
    now: Now,
    is_behind: bool,
    immediately: bool,
) -> bool {
    if !is_behind {
        *behind_since = None;
        return false;
    }
    let since = *behind_since.get_or_insert(now);
    let due = immediately || now.saturating_sub(since) >= PULL_DELAY;
    if due {
        *behind_since = Some(now);
    }
    due
}

fn heartbeat_of(key: PeerKey, peer: &Peer) -> PeerHeartbeat {
    PeerHeartbeat {
        key,
        tag: tag_of(&peer.record),
        heartbeat: peer.heartbeat,
    }
}

fn tag_of(record: &PeerRecord) -> u16 {
    let hash = rendezvous::mix(record.incarnation ^ u64::from(record.version).rotate_left(48));
    (hash >> 48) as u16
}

fn place_key(data_centre: &str) -> u32 {
    (rendezvous::hash(data_centre) >> 32) as u32
}

fn key_of(host: &str) -> PeerKey {
    (rendezvous::hash(host) >> 32) as PeerKey
}
