//! Messages from others.

use std::time::Duration;

use rand::Rng;

use super::{FleetEntry, LISTEN};
use crate::fleet::membership::{Record, Role, State, sync};
use crate::fleet::message::{
    Body, FleetMessage, Heartbeat, HeartbeatReply, MAX_PAGE_BYTES, Sender, Update,
};
use crate::fleet::spread::Source;
use crate::fleet::upstream::peers_hash;
use crate::types::Now;

/// Time between attempts to join.
const JOIN_AGAIN: Duration = Duration::from_secs(1);
/// Time between messages that tell a sender what others say about it.
const TELL_AGAIN: Duration = Duration::from_secs(2);

impl FleetEntry {
    pub(super) fn receive(&mut self, now: Now, message: FleetMessage) {
        let FleetMessage { from, body, .. } = message;
        if from.host == self.me.host {
            return;
        }
        self.note_sender(now, &from, &body);
        let steps = self.spread.hear(now, &from);
        self.config_steps(now, steps);
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
            Body::ProbeIndirect { seq, target } => self.probe_for(now, &from.address, seq, &target),
            Body::Rumour { updates } => self.merge(now, &updates, &from.address),
            Body::Join { record, after } => self.page(now, &from, record, &after),
            Body::JoinPage { records, more } => self.joined_page(now, &from, records, more),
            Body::Digest { buckets } => self.compare_digest(now, &from, &buckets),
            Body::Summaries { buckets, members } => {
                let (updates, wanted) = sync::compare(&self.table, buckets, &members);
                self.sync_soon(now);
                let objections: Vec<_> = members.into_iter().map(Update::Brief).collect();
                let own = self.me.key();
                let about_me = |u: &Update| matches!(u, Update::Brief(s) if s.key == own);
                let about_me: Vec<_> = objections.into_iter().filter(about_me).collect();
                self.merge(now, &about_me, "");
                if !updates.is_empty() || !wanted.is_empty() {
                    self.send(&from.address, Body::Repair { updates, wanted });
                }
            }
            Body::Repair { updates, wanted } => self.repair(now, &from, &updates, &wanted),
            Body::Heartbeat(heartbeat) => self.heartbeat(now, &from, heartbeat),
            Body::HeartbeatReply(_) => {}
            Body::AskHead | Body::AskShards { .. } => {
                if let Some(answer) = self.spread.serve(&body) {
                    self.send(&from.address, answer);
                }
            }
            Body::Head { head } => {
                let source = Source::Peer(crate::fleet::Peer {
                    host: from.host,
                    address: from.address,
                });
                let steps = self.spread.take_head(now, &head, source);
                self.config_steps(now, steps);
            }
            Body::Shards { shards } => {
                let steps = self.spread.take_shards(now, shards);
                self.config_steps(now, steps);
            }
        }
        if self.shown.due && self.shown.upstreams.is_none() {
            self.show();
        }
    }

    /// Notes what each message says about its sender, and tells it what others say about it.
    fn note_sender(&mut self, now: Now, from: &Sender, body: &Body) {
        self.reach.heard(now, &from.data_centre);
        let Some(member) = self.table.get_mut(&from.host) else {
            let introduces = matches!(body, Body::Join { .. } | Body::Heartbeat(_));
            if from.role == Role::Entry && !introduces {
                self.ask_record(from);
            }
            return;
        };
        let theirs = (from.incarnation, from.version);
        let known = (member.record.incarnation, member.record.version);
        if theirs >= known {
            member.heard = now;
            member.record.revision = from.revision;
            if member.record.load != from.load {
                member.record.load = from.load;
                self.shown.due |= from.role == Role::Entry;
            }
        }
        // An old life, or one that was given up, hears of it; a newer one is asked for its
        // record. Upstream processes get this with the answer to their heartbeat.
        let given_up = member.record.state >= State::Suspect && theirs <= known;
        let unlike = theirs > known || theirs.0 < known.0 || given_up;
        let told = member.told.is_some_and(|at| now < at + TELL_AGAIN);
        if !unlike || told || from.role == Role::Upstream {
            return;
        }
        member.told = Some(now);
        if theirs > known {
            self.ask_record(from);
            return;
        }
        let updates: Vec<_> = self.brief(&from.host).into_iter().collect();
        self.send(&from.address, Body::Rumour { updates });
    }

    fn ask_record(&mut self, from: &Sender) {
        let wanted = vec![crate::rendezvous::hash(&from.host)];
        let updates = Vec::new();
        self.send(&from.address, Body::Repair { updates, wanted });
    }

    pub(super) fn join(&mut self, now: Now) {
        if self.joined || now < self.next_join_at {
            return;
        }
        self.next_join_at = now + JOIN_AGAIN;
        if !self.join_after.is_empty() {
            self.ask_page();
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

    /// Asks any host for the next page, so that the seeds don't carry a restart of many hosts.
    fn ask_page(&mut self) {
        let Some(peer) = self.random_peers(1).pop() else {
            return;
        };
        let record = Box::new(self.me.clone());
        let after = self.join_after.clone();
        self.send(&peer.address, Body::Join { record, after });
    }

    fn page(&mut self, now: Now, from: &Sender, record: Box<Record>, after: &str) {
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

    fn joined_page(&mut self, now: Now, from: &Sender, records: Vec<Record>, more: bool) {
        self.unanswered_seeds.remove(&from.address);
        let last = records.last().map(|r| r.host.clone());
        let updates: Vec<_> = records
            .into_iter()
            .map(|r| Update::Full(Box::new(r)))
            .collect();
        self.merge(now, &updates, "");
        // One table is enough; what differs is found by comparison.
        match last.filter(|last| more && !self.joined && *last > self.join_after) {
            Some(last) => {
                self.join_after = last;
                self.next_join_at = now + JOIN_AGAIN;
                self.ask_page();
            }
            None if !more => {
                self.joined = true;
                self.join_after.clear();
            }
            None => {}
        }
        if self.unanswered_seeds.is_empty() {
            let steps = self.spread.open(now);
            self.config_steps(now, steps);
        }
    }

    pub(super) fn may_apply(&self, now: Now) -> bool {
        now >= self.started_at + LISTEN
    }

    fn compare_digest(&mut self, now: Now, from: &Sender, theirs: &[u64]) {
        let first = self.rng.random_range(0..sync::BUCKETS);
        if let Some((buckets, members)) = sync::differing(&self.table, theirs, first) {
            self.sync_soon(now);
            self.send(&from.address, Body::Summaries { buckets, members });
        }
    }

    fn repair(&mut self, now: Now, from: &Sender, updates: &[Update], wanted: &[u64]) {
        self.merge(now, updates, "");
        let records = wanted.iter().filter_map(|k| self.table.by_key(*k));
        let updates = sync::whole(records.map(|m| &m.record));
        if !updates.is_empty() {
            let wanted = Vec::new();
            self.send(&from.address, Body::Repair { updates, wanted });
        }
    }

    fn heartbeat(&mut self, now: Now, from: &Sender, heartbeat: Heartbeat) {
        if let Some(record) = heartbeat.record {
            self.merge(now, &[Update::Full(record)], "");
        }
        if heartbeat.leaving {
            self.note_leaving(now, from);
        }
        let lucky = self.chance(2);
        let held = self.table.get(&from.host);
        let peers = held.map(|m| self.targets(m)).unwrap_or_default();
        // On a bad network the list changes with each suspicion; half of the answers carry it.
        let tell = self.budget.has_spare() || heartbeat.peers == 0 || lucky;
        let changed = tell && peers_hash(&peers) != heartbeat.peers;
        let reply = HeartbeatReply {
            held: held.map(|m| m.record.summary()),
            peers: if changed { peers } else { Vec::new() },
        };
        self.send(&from.address, Body::HeartbeatReply(reply));
    }

    fn note_leaving(&mut self, now: Now, from: &Sender) {
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
