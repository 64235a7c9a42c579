//! Table of the members that a process knows.

use std::collections::BTreeMap;

use super::record::{Record, Role, State};
use crate::fleet::message::{Summary, Update};
use crate::rendezvous;
use crate::types::{HostId, Now};

/// A member as shown on status pages.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberView {
    /// Membership record of the member.
    pub record: Record,
    /// Whether this host can reach the member's data centre.
    pub reachable: bool,
}

/// A member with the local state that this process keeps about it.
#[derive(Clone, Debug)]
pub struct Member {
    /// Membership record of the member.
    pub record: Record,
    /// Hash of the member's name.
    pub key: u64,
    /// Time of its last message, or when this process began to monitor its heartbeats.
    pub last_contact: Now,
    /// Time at which the current state was recorded.
    pub state_since: Now,
    /// Time at which the member was last notified of its recorded state, or its record requested.
    pub notified_at: Option<Now>,
}

/// Effect of an update on the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The update is already known or older than the table.
    Outdated,
    /// The update can't be applied without the complete record of this key.
    RecordNeeded(u64),
    /// The member is new or changed.
    Changed {
        /// Name of the member.
        host: HostId,
        /// Previous state; `None` if the member was unknown.
        before: Option<State>,
        /// New state.
        after: State,
        /// Whether the member has a new incarnation, so that others need its complete record.
        new_incarnation: bool,
    },
}

/// Members by name, including the process itself.
#[derive(Clone, Debug, Default)]
pub struct Table {
    members: BTreeMap<HostId, Member>,
    host_by_key: BTreeMap<u64, HostId>,
    /// Incremented with each change of an entry host's state.
    pub entry_generation: u64,
    /// Incremented with each change.
    pub generation: u64,
}

impl Table {
    /// Looks up a member by name.
    pub fn get(&self, host: &str) -> Option<&Member> {
        self.members.get(host)
    }

    /// Looks up a member to update its local fields, load or revision. Its state must only be
    /// changed through [`Table::merge`].
    pub fn get_mut(&mut self, host: &str) -> Option<&mut Member> {
        self.members.get_mut(host)
    }

    /// Looks up a member by the hash of its name.
    pub fn by_key(&self, key: u64) -> Option<&Member> {
        self.host_by_key.get(&key).and_then(|n| self.members.get(n))
    }

    /// All members in order of names.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Members whose names follow `after`, in order.
    pub fn following(&self, after: &str) -> impl Iterator<Item = &Member> {
        use std::ops::Bound::{Excluded, Unbounded};
        self.members
            .range::<str, _>((Excluded(after), Unbounded))
            .map(|(_, m)| m)
    }

    /// Entry hosts that are not gone.
    pub fn entry_hosts(&self) -> impl Iterator<Item = &Member> {
        self.iter()
            .filter(|m| m.record.role == Role::Entry && m.record.state != State::Gone)
    }

    /// Merges an update.
    pub fn merge(&mut self, now: Now, update: &Update) -> Change {
        match update {
            Update::Full(record) => self.merge_record(now, record),
            Update::Brief(summary) => self.merge_summary(now, summary),
        }
    }

    /// Merges a complete record.
    pub fn merge_record(&mut self, now: Now, record: &Record) -> Change {
        let known = self.members.get(&record.host);
        if known.is_some_and(|m| m.record.precedence() >= record.precedence()) {
            return Change::Outdated;
        }
        // A gone member that this process doesn't know needs no entry.
        if known.is_none() && record.state == State::Gone {
            return Change::Outdated;
        }
        let before = known.map(|m| m.record.state);
        let new_incarnation = known.is_none_or(|m| m.record.incarnation != record.incarnation);
        let last_contact = known
            .filter(|_| !new_incarnation)
            .map_or(now, |m| m.last_contact);
        let key = rendezvous::hash(&record.host);
        let member = Member {
            record: record.clone(),
            key,
            last_contact,
            state_since: now,
            notified_at: None,
        };
        self.host_by_key.insert(key, record.host.clone());
        self.members.insert(record.host.clone(), member);
        self.count_change(record.role);
        Change::Changed {
            host: record.host.clone(),
            before,
            after: record.state,
            new_incarnation,
        }
    }

    /// Merges a summary.
    pub fn merge_summary(&mut self, now: Now, summary: &Summary) -> Change {
        let Some(host) = self.host_by_key.get(&summary.key) else {
            return if summary.state == State::Gone {
                Change::Outdated
            } else {
                Change::RecordNeeded(summary.key)
            };
        };
        let Some(member) = self.members.get_mut(host) else {
            return Change::Outdated;
        };
        if member.record.precedence() >= summary.precedence() {
            return Change::Outdated;
        }
        if member.record.incarnation != summary.incarnation && summary.state != State::Gone {
            return Change::RecordNeeded(summary.key);
        }
        let before = Some(member.record.state);
        member.record.incarnation = summary.incarnation;
        member.record.version = summary.version;
        member.record.state = summary.state;
        match summary.state {
            State::Live => member.record.leaving = false,
            State::Leaving => member.record.leaving = true,
            State::Suspect | State::Gone => {}
        }
        member.state_since = now;
        let (host, role) = (host.clone(), member.record.role);
        self.count_change(role);
        Change::Changed {
            host,
            before,
            after: summary.state,
            new_incarnation: false,
        }
    }

    /// Removes members that have been gone since before `oldest`.
    pub fn expire_gone(&mut self, oldest: Now) {
        let old = |m: &Member| m.record.state == State::Gone && m.state_since < oldest;
        let hosts: Vec<HostId> = self
            .iter()
            .filter(|m| old(m))
            .map(|m| m.record.host.clone())
            .collect();
        for host in hosts {
            if let Some(member) = self.members.remove(&host) {
                self.host_by_key.remove(&member.key);
            }
        }
    }

    /// Restarts heartbeat and suspicion timeouts after a pause of the process.
    pub fn reset_timers(&mut self, now: Now) {
        for member in self.members.values_mut() {
            member.last_contact = now;
            if member.record.state == State::Suspect {
                member.state_since = now;
            }
        }
    }

    fn count_change(&mut self, role: Role) {
        self.generation += 1;
        if role == Role::Entry {
            self.entry_generation += 1;
        }
    }
}
