//! State changes of members: suspicion, refutation, heartbeats, comparison of tables.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::Rng;

use super::FleetEntry;
use super::probe::peer_of;
use crate::event::EventKind;
use crate::fleet::membership::gossip::PackLimits;
use crate::fleet::membership::table::{Change, Member};
use crate::fleet::membership::{Role, State, sync};
use crate::fleet::message::{Body, Peer, RUMOUR_BYTES, Summary, Update};
use crate::rendezvous;
use crate::types::{HostId, Now};

/// Time without a heartbeat after which an upstream process is suspected: two periods and a
/// margin.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(3_500);
/// Messages from others prove a working network only if they arrive at least this long after the
/// last heartbeat.
const EVIDENCE_DELAY: Duration = Duration::from_millis(1_500);
/// Entry hosts that each upstream process sends heartbeats to.
pub const HEARTBEAT_TARGETS: usize = 3;
/// Further entry hosts that the process is given in case those fail.
const SPARE_HEARTBEAT_TARGETS: usize = 3;
/// Hosts that an urgent change is sent to in each round.
const FAN_OUT: usize = 3;
/// Time between requests for records that a message named and this host lacks.
const RECORD_REQUEST_INTERVAL: Duration = Duration::from_millis(500);
/// Time between comparisons of tables.
const SYNC_PERIOD: Duration = Duration::from_secs(5);
const SYNC_PERIOD_AFTER_DIFFERENCE: Duration = Duration::from_secs(1);

impl FleetEntry {
    /// Merges updates and disseminates those that change the table. `from` is the address for
    /// requests and corrections; empty if none are wanted.
    pub(super) fn merge(&mut self, now: Now, updates: &[Update], from: &str) {
        let mut wanted = Vec::new();
        let mut corrections = Vec::new();
        for update in updates {
            let about_me = match update {
                Update::Full(r) => r.host == self.me.host,
                Update::Brief(s) => s.key == self.me.key(),
            };
            if about_me {
                self.refute(now, update);
                continue;
            }
            match self.table.merge(now, update) {
                Change::Outdated => corrections.extend(self.correction(update)),
                Change::RecordNeeded(key) => wanted.push(key),
                change @ Change::Changed { .. } => self.handle_change(change),
            }
        }
        if !wanted.is_empty() && !from.is_empty() && now >= self.next_record_request_at {
            self.next_record_request_at = now + RECORD_REQUEST_INTERVAL;
            let updates = Vec::new();
            self.send(from, Body::Repair { updates, wanted });
        }
        if !corrections.is_empty() && !from.is_empty() {
            let updates = corrections;
            self.send(from, Body::Rumour { updates });
        }
    }

    /// The answer to a suspicion that the suspect has refuted in the meantime.
    fn correction(&self, update: &Update) -> Option<Update> {
        let Update::Brief(summary) = update else {
            return None;
        };
        let known = &self.table.by_key(summary.key)?.record;
        let refuted = known.incarnation == summary.incarnation && known.version > summary.version;
        let is_suspicion = summary.state >= State::Suspect;
        (is_suspicion && refuted).then(|| Update::Brief(known.summary()))
    }

    /// Refutes an update that says this process is suspect or gone, or has a later incarnation.
    fn refute(&mut self, now: Now, update: &Update) {
        let (incarnation, version, state) = match update {
            Update::Full(r) => r.precedence(),
            Update::Brief(s) => s.precedence(),
        };
        if incarnation > self.me.incarnation {
            self.me.incarnation = incarnation + 1;
            self.me.version = 0;
            self.out
                .push(super::Output::Incarnation(self.me.incarnation));
            self.announce(now, true);
        } else if incarnation == self.me.incarnation
            && version >= self.me.version
            && state >= State::Suspect
        {
            self.me.version = version + 1;
            self.announce(now, false);
        }
    }

    fn handle_change(&mut self, change: Change) {
        let Change::Changed {
            host,
            before,
            after,
            new_incarnation,
        } = change
        else {
            return;
        };
        self.published.outdated = true;
        let kind = match after {
            State::Live if new_incarnation => Some(EventKind::MemberJoined),
            State::Live => Some(EventKind::MemberConfirmed),
            State::Leaving => Some(EventKind::MemberLeaving),
            State::Suspect => Some(EventKind::MemberSuspected),
            State::Gone => Some(EventKind::MemberGone),
        };
        if let Some(kind) = kind.filter(|_| before != Some(after) || new_incarnation) {
            self.event(kind, host.clone());
        }
        self.gossip.push(host, after, new_incarnation);
        if after == State::Leaving {
            // Published at once: new work must stop within 3 s of the announcement.
            self.publish_views();
        }
    }

    pub(super) fn mark_suspect(&mut self, now: Now, host: &str) {
        self.set_state(now, host, State::Suspect);
    }

    fn set_state(&mut self, now: Now, host: &str, state: State) {
        let Some(member) = self.table.get(host) else {
            return;
        };
        let summary = Summary {
            state,
            ..member.record.summary()
        };
        let change = self.table.merge_summary(now, &summary);
        self.handle_change(change);
    }

    /// Time for a suspect to refute; it grows with the rounds that gossip needs.
    fn refutation_timeout(&self) -> Duration {
        let hosts = self.table.entry_hosts().count().max(1) as f64;
        Duration::from_secs_f64(2.5 + 0.5 * hosts.log2())
    }

    /// Declares suspects gone that did not refute in time.
    pub(super) fn expire_suspects(&mut self, now: Now) {
        self.update_reachability();
        if self.isolated || !self.probing.may_suspect() {
            return;
        }
        let limit = self.refutation_timeout();
        let due = |m: &&Member| {
            m.record.state == State::Suspect
                && now.saturating_sub(m.state_since) >= limit
                && !self.is_in_unreachable_centre(m)
        };
        let hosts: Vec<HostId> = self
            .table
            .iter()
            .filter(due)
            .map(|m| m.record.host.clone())
            .collect();
        for host in hosts {
            self.set_state(now, &host, State::Gone);
        }
    }

    fn is_in_unreachable_centre(&self, member: &Member) -> bool {
        let centre = &member.record.data_centre;
        *centre != self.settings.data_centre && self.reachability.is_unreachable(centre)
    }

    /// Suspects monitored upstream processes whose heartbeats stopped.
    pub(super) fn check_heartbeats(&mut self, now: Now) {
        if now < self.next_monitor_at {
            return;
        }
        self.next_monitor_at = now + Duration::from_secs(1);
        self.update_monitored(now);
        if !self.probing.may_suspect() {
            return;
        }
        let mut unresponsive = Vec::new();
        for host in &self.monitored {
            let Some(member) = self.table.get(host) else {
                continue;
            };
            let late = now.saturating_sub(member.last_contact) >= HEARTBEAT_TIMEOUT;
            if late && member.record.state <= State::Leaving && self.has_network_evidence(member) {
                unresponsive.push(host.clone());
            }
        }
        for host in unresponsive {
            self.mark_suspect(now, &host);
        }
    }

    /// Whether a later message from elsewhere shows that the network to the member works.
    fn has_network_evidence(&self, member: &Member) -> bool {
        let since = member.last_contact + EVIDENCE_DELAY;
        let centre = &member.record.data_centre;
        let entry_there = |m: &Member| m.record.data_centre == *centre;
        if *centre == self.settings.data_centre || !self.table.entry_hosts().any(entry_there) {
            return self.reachability.any_contact_since(since);
        }
        self.reachability.contact_since(centre, since)
    }

    fn update_monitored(&mut self, now: Now) {
        if self.monitored_generation == self.table.generation {
            return;
        }
        self.monitored_generation = self.table.generation;
        let mut monitored = BTreeSet::new();
        let usable = self.usable_hosts();
        for member in self
            .table
            .iter()
            .filter(|m| m.record.role == Role::Upstream)
        {
            let targets = choose_targets(member, &usable);
            let first = &targets[..targets.len().min(HEARTBEAT_TARGETS)];
            let is_target = first.iter().any(|m| m.record.host == self.settings.host);
            if is_target && member.record.state != State::Gone {
                monitored.insert(member.record.host.clone());
            }
        }
        for host in monitored.difference(&self.monitored) {
            if let Some(member) = self.table.get_mut(host) {
                member.last_contact = now;
            }
        }
        self.monitored = monitored;
    }

    fn usable_hosts(&self) -> Vec<&Member> {
        let hosts = self.table.entry_hosts();
        hosts.filter(|m| m.record.state == State::Live).collect()
    }

    /// Entry hosts that an upstream process should send heartbeats to, followed by spare ones.
    pub(super) fn heartbeat_targets(&self, upstream: &Member) -> Vec<Peer> {
        let chosen = choose_targets(upstream, &self.usable_hosts());
        chosen.into_iter().map(peer_of).collect()
    }

    /// Sends urgent changes and the revision in force to a few hosts.
    pub(super) fn send_rumours(&mut self) {
        let urgent = self.gossip.is_urgent();
        if !urgent && self.config_rounds == 0 {
            return;
        }
        let limits = PackLimits {
            max_bytes: RUMOUR_BYTES,
            urgent_only: true,
            brief_only: !self.budget.has_spare(),
        };
        let updates = self.gossip.pack(&self.table, limits, FAN_OUT as u32);
        for peer in self.random_peers(FAN_OUT) {
            let updates = updates.clone();
            self.send(&peer.address, Body::Rumour { updates });
        }
        self.gossip.end_round();
        self.config_rounds = self.config_rounds.saturating_sub(1);
    }

    /// Compares tables with another host, and contacts seeds and gone hosts to rejoin a fleet that
    /// was split.
    pub(super) fn sync(&mut self, now: Now) {
        if now >= self.next_seed_check_at {
            self.next_seed_check_at = now + Duration::from_secs(10);
            self.sync_with_unknown_seed();
        }
        if now < self.next_sync_at {
            return;
        }
        let jitter = Duration::from_millis(self.rng.random_range(0..500));
        self.next_sync_at = now + SYNC_PERIOD + jitter;
        let gone = if self.chance(4) {
            self.random_gone()
        } else {
            None
        };
        let peer = gone.or_else(|| self.random_peers(1).pop());
        if let Some(peer) = peer {
            let buckets = sync::digest(&self.table);
            self.send(&peer.address, Body::Digest { buckets });
        }
    }

    /// Sends a digest to a seed that is no known entry host: after a split, it may belong to a part
    /// of the fleet that has declared this host gone.
    fn sync_with_unknown_seed(&mut self) {
        let seeds = &self.settings.seeds;
        let known = |address: &str| {
            let mut hosts = self.table.entry_hosts();
            hosts.any(|m| m.record.control_address == address)
        };
        let unknown: Vec<&String> = seeds.iter().filter(|s| !known(s)).collect();
        if unknown.is_empty() {
            return;
        }
        let seed = unknown[self.rng.random_range(0..unknown.len())].clone();
        let buckets = sync::digest(&self.table);
        self.send(&seed, Body::Digest { buckets });
    }

    fn random_gone(&mut self) -> Option<Peer> {
        let gone = self
            .table
            .iter()
            .filter(|m| m.record.role == Role::Entry && m.record.state == State::Gone);
        let gone: Vec<Peer> = gone.map(peer_of).collect();
        if gone.is_empty() {
            return None;
        }
        let chosen = self.rng.random_range(0..gone.len());
        gone.into_iter().nth(chosen)
    }

    pub(super) fn sync_soon(&mut self, now: Now) {
        let spare = self.budget.has_spare();
        let wait = if spare {
            SYNC_PERIOD_AFTER_DIFFERENCE
        } else {
            SYNC_PERIOD_AFTER_DIFFERENCE * 3
        };
        self.next_sync_at = self.next_sync_at.min(now + wait);
    }
}

/// Chooses two entry hosts in the upstream's data centre and one in another, so that the upstream
/// stays visible if one host or the link between data centres fails; then spare ones.
fn choose_targets<'a>(upstream: &Member, usable: &[&'a Member]) -> Vec<&'a Member> {
    let wanted = HEARTBEAT_TARGETS + SPARE_HEARTBEAT_TARGETS;
    let mut near: Vec<(u64, &Member)> = Vec::new();
    let mut far: Vec<((bool, u64), &Member)> = Vec::new();
    for member in usable {
        let weight = u64::MAX - rendezvous::weight(upstream.key, member.key);
        if member.record.data_centre == upstream.record.data_centre {
            insert_bounded(&mut near, wanted, (weight, member));
        } else {
            let elsewhere = member.record.region != upstream.record.region;
            insert_bounded(&mut far, wanted, ((elsewhere, weight), member));
        }
    }
    let mut near = near.into_iter().map(|n| n.1);
    let mut far = far.into_iter().map(|f| f.1);
    let mut chosen: Vec<&Member> = near.by_ref().take(HEARTBEAT_TARGETS - 1).collect();
    chosen.extend(far.by_ref().take(HEARTBEAT_TARGETS - chosen.len()));
    chosen.extend(far.by_ref().take(1));
    chosen.extend(near.take(wanted.saturating_sub(chosen.len())));
    chosen.extend(far.take(wanted.saturating_sub(chosen.len())));
    chosen
}

/// Inserts into a sorted list and truncates it to `count` items.
fn insert_bounded<K: Ord + Copy, V>(list: &mut Vec<(K, V)>, count: usize, item: (K, V)) {
    if list.len() == count && list.last().is_some_and(|last| last.0 <= item.0) {
        return;
    }
    let at = list.partition_point(|i| i.0 < item.0);
    list.insert(at, item);
    list.truncate(count);
}
