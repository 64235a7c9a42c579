//! Processing of messages from other processes.

use std::time::Duration;

use rand::Rng;

use super::{APPLY_DELAY, FleetEntry};
use crate::fleet::membership::{Record, Role, State, sync};
use crate::fleet::message::{
    Body, FleetMessage, Heartbeat, HeartbeatReply, MAX_PAGE_BYTES, Sender, Update,
};
use crate::fleet::replication::Source;
use crate::fleet::upstream::peers_hash;
use crate::types::Now;

/// Time between attempts to join.
const JOIN_RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Time between notifications of a member whose recorded state differs from its own.
const NOTIFY_INTERVAL: Duration = Duration::from_secs(2);

impl FleetEntry {
    pub(super) fn receive(&mut self, now: Now, message: FleetMessage) {
        let FleetMessage { from, body, .. } = message;
        if from.host == self.me.host {
            return;
        }
        self.record_sender(now, &from, &body);
        let actions = self.replication.observe(now, &from);
        self.run_config_actions(now, actions);
        match body {
            Body::Probe { seq, updates } => {
                self.merge(now, &updates, &from.address);
                let updates = self.updates_for(&from.host);
                self.send(&from.address, Body::ProbeAck { seq, updates });
            }
            Body::ProbeAck { seq, updates } => {
                self.merge(now, &updates, &from.address);
                self.probe_acked(now, seq);
            }
            Body::ProbeIndirect { seq, target } => {
                self.relay_probe(now, &from.address, seq, &target);
            }
            Body::Rumour { updates } => self.merge(now, &updates, &from.address),
            Body::Join { record, after } => self.send_page(now, &from, record, &after),
            Body::JoinPage { records, more } => self.receive_page(now, &from, records, more),
            Body::Digest { buckets } => self.compare_digest(now, &from, &buckets),
            Body::Summaries { buckets, members } => {
                let (updates, wanted) = sync::compare(&self.table, buckets, &members);
                self.sync_soon(now);
                let summaries: Vec<_> = members.into_iter().map(Update::Brief).collect();
                let own = self.me.key();
                let about_me = |u: &Update| matches!(u, Update::Brief(s) if s.key == own);
                let about_me: Vec<_> = summaries.into_iter().filter(about_me).collect();
                self.merge(now, &about_me, "");
                if !updates.is_empty() || !wanted.is_empty() {
                    self.send(&from.address, Body::Repair { updates, wanted });
                }
            }
            Body::Repair { updates, wanted } => self.receive_repair(now, &from, &updates, &wanted),
            Body::Heartbeat(heartbeat) => self.receive_heartbeat(now, &from, heartbeat),
            Body::HeartbeatReply(_) => {}
            Body::AskHead | Body::AskShards { .. } => {
                if let Some(answer) = self.replication.serve(&body) {
                    self.send(&from.address, answer);
                }
            }
            Body::Head { head } => {
                let source = Source::Peer(crate::fleet::Peer {
                    host: from.host,
                    address: from.address,
                });
                let actions = self.replication.receive_head(now, &head, source);
                self.run_config_actions(now, actions);
            }
            Body::Shards { shards } => {
                let actions = self.replication.receive_shards(now, shards);
                self.run_config_actions(now, actions);
            }
        }
        if self.published.outdated && self.published.upstreams.is_none() {
            self.publish_views();
        }
    }

    /// Updates the table from the sender of a message, and notifies the sender if its recorded state
    /// differs.
    fn record_sender(&mut self, now: Now, from: &Sender, body: &Body) {
        self.reachability.record_contact(now, &from.data_centre);
        let Some(member) = self.table.get_mut(&from.host) else {
            let introduces = matches!(body, Body::Join { .. } | Body::Heartbeat(_));
            if from.role == Role::Entry && !introduces {
                self.request_record(from);
            }
            return;
        };
        let theirs = (from.incarnation, from.version);
        let known = (member.record.incarnation, member.record.version);
        if theirs >= known {
            member.last_contact = now;
            member.record.revision = from.revision;
            if member.record.load != from.load {
                member.record.load = from.load;
                self.published.outdated |= from.role == Role::Entry;
            }
        }
        // A sender with an old incarnation, or one that is recorded as suspect or gone, is notified
        // of it; the record of a newer one is requested. Upstream processes get this with the
        // answer to their heartbeat.
        let suspect_or_gone = member.record.state >= State::Suspect && theirs <= known;
        let differs = theirs > known || theirs.0 < known.0 || suspect_or_gone;
        let notified = member
            .notified_at
            .is_some_and(|at| now < at + NOTIFY_INTERVAL);
        if !differs || notified || from.role == Role::Upstream {
            return;
        }
        member.notified_at = Some(now);
        if theirs > known {
            self.request_record(from);
            return;
        }
        let updates: Vec<_> = self.brief(&from.host).into_iter().collect();
        self.send(&from.address, Body::Rumour { updates });
    }

    fn request_record(&mut self, from: &Sender) {
        let wanted = vec![crate::rendezvous::hash(&from.host)];
        let updates = Vec::new();
        self.send(&from.address, Body::Repair { updates, wanted });
    }

    pub(super) fn join(&mut self, now: Now) {
        if self.joined || now < self.next_join_at {
            return;
        }
        self.next_join_at = now + JOIN_RETRY_INTERVAL;
        if !self.join_after.is_empty() {
            self.request_page();
            return;
        }
        if self.unanswered_seeds.is_empty() {
            self.joined = true;
            return;
        }
        for seed in self.unanswered_seeds.clone() {
            let record = Box::new(self.me.clone());
            let after = String::new();
            self.send(&seed, Body::Join { record, after });
        }
    }

    /// Requests the next page from any host, so that a restart of many hosts doesn't overload the
    /// seeds.
    fn request_page(&mut self) {
        let Some(peer) = self.random_peers(1).pop() else {
            return;
        };
        let record = Box::new(self.me.clone());
        let after = self.join_after.clone();
        self.send(&peer.address, Body::Join { record, after });
    }

    fn send_page(&mut self, now: Now, from: &Sender, record: Box<Record>, after: &str) {
        if after.is_empty() {
            self.merge(now, &[Update::Full(record)], "");
        }
        let mut left = MAX_PAGE_BYTES;
        let mut more = false;
        let mut records = Vec::new();
        for member in self.table.following(after) {
            let gone = member.record.state == State::Gone && member.record.host != from.host;
            if gone {
                continue;
            }
            let Some(rest) = left.checked_sub(member.record.size_bytes()) else {
                more = true;
                break;
            };
            left = rest;
            records.push(member.record.clone());
        }
        self.send(&from.address, Body::JoinPage { records, more });
    }

    fn receive_page(&mut self, now: Now, from: &Sender, records: Vec<Record>, more: bool) {
        self.unanswered_seeds.remove(&from.address);
        let last = records.last().map(|r| r.host.clone());
        let updates: Vec<_> = records
            .into_iter()
            .map(|r| Update::Full(Box::new(r)))
            .collect();
        self.merge(now, &updates, "");
        // One table is enough; later comparisons find the differences from others.
        match last.filter(|last| more && !self.joined && *last > self.join_after) {
            Some(last) => {
                self.join_after = last;
                self.next_join_at = now + JOIN_RETRY_INTERVAL;
                self.request_page();
            }
            None if !more => {
                self.joined = true;
                self.join_after.clear();
            }
            None => {}
        }
        if self.unanswered_seeds.is_empty() {
            let actions = self.replication.allow_apply(now);
            self.run_config_actions(now, actions);
        }
    }

    pub(super) fn may_apply(&self, now: Now) -> bool {
        now >= self.started_at + APPLY_DELAY
    }

    fn compare_digest(&mut self, now: Now, from: &Sender, theirs: &[u64]) {
        let first = self.rng.random_range(0..sync::BUCKETS);
        if let Some((buckets, members)) = sync::differing_buckets(&self.table, theirs, first) {
            self.sync_soon(now);
            self.send(&from.address, Body::Summaries { buckets, members });
        }
    }

    fn receive_repair(&mut self, now: Now, from: &Sender, updates: &[Update], wanted: &[u64]) {
        self.merge(now, updates, "");
        let records = wanted.iter().filter_map(|k| self.table.by_key(*k));
        let updates = sync::full_updates(records.map(|m| &m.record));
        if !updates.is_empty() {
            let wanted = Vec::new();
            self.send(&from.address, Body::Repair { updates, wanted });
        }
    }

    fn receive_heartbeat(&mut self, now: Now, from: &Sender, heartbeat: Heartbeat) {
        if let Some(record) = heartbeat.record {
            self.merge(now, &[Update::Full(record)], "");
        }
        if heartbeat.leaving {
            self.record_leaving(now, from);
        }
        let half_the_time = self.chance(2);
        let held = self.table.get(&from.host);
        let peers = held.map(|m| self.heartbeat_targets(m)).unwrap_or_default();
        // On a lossy network the list changes with each suspicion, so only half of the answers
        // contain it.
        let include_peers = self.budget.has_spare() || heartbeat.peers == 0 || half_the_time;
        let changed = include_peers && peers_hash(&peers) != heartbeat.peers;
        let reply = HeartbeatReply {
            held: held.map(|m| m.record.summary()),
            peers: if changed { peers } else { Vec::new() },
        };
        self.send(&from.address, Body::HeartbeatReply(reply));
    }

    fn record_leaving(&mut self, now: Now, from: &Sender) {
        let Some(member) = self.table.get(&from.host) else {
            return;
        };
        let same = member.record.incarnation == from.incarnation;
        if !same || member.record.version != from.version || member.record.state != State::Live {
            return;
        }
        let summary = crate::fleet::message::Summary {
            state: State::Leaving,
            ..member.record.summary()
        };
        self.merge(now, &[Update::Brief(summary)], "");
    }
}
