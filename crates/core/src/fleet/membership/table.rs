//! The members that a process knows.

use std::collections::BTreeMap;

use super::record::{Record, Role, State};
use crate::fleet::message::{Summary, Update};
use crate::rendezvous;
use crate::types::{HostId, Now};

/// A member as status pages show it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberView {
    /// Its record.
    pub record: Record,
    /// Its data centre can be reached.
    pub reachable: bool,
}

/// A member and what this process noted about it.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its record.
    pub record: Record,
    /// Hash of its name.
    pub key: u64,
    /// When a message of it arrived last, or when it became this process's duty to hear it.
    pub last_contact: Now,
    /// When the present state was noted.
    pub state_since: Now,
    /// When it was last told what others say about it, or asked for its record.
    pub notified_at: Option<Now>,
}

/// Effect of a statement on the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// It is known already or older.
    Outdated,
    /// Only the whole record would help.
    RecordNeeded(u64),
    /// The member is new or changed. `new_life` if others need its whole record.
    Changed {
        /// Name.
        host: HostId,
        /// State before.
        before: Option<State>,
        /// State after.
        after: State,
        /// It is a new life.
        new_incarnation: bool,
    },
}

/// Members by name. It includes the process itself.
#[derive(Clone, Debug, Default)]
pub struct Table {
    members: BTreeMap<HostId, Member>,
    host_by_key: BTreeMap<u64, HostId>,
    /// Grows with each change of an entry host's state.
    pub entry_generation: u64,
    /// Grows with each change.
    pub generation: u64,
}

impl Table {
    /// Looks a member up.
    pub fn get(&self, host: &str) -> Option<&Member> {
        self.members.get(host)
    }

    /// Looks a member up for notes that don't change its state.
    pub fn get_mut(&mut self, host: &str) -> Option<&mut Member> {
        self.members.get_mut(host)
    }

    /// Looks a member up by the hash of its name.
    pub fn by_key(&self, key: u64) -> Option<&Member> {
        self.host_by_key.get(&key).and_then(|n| self.members.get(n))
    }

    /// All members by name.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Members whose names follow `after`.
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

    /// Takes an update in.
    pub fn merge(&mut self, now: Now, update: &Update) -> Change {
        match update {
            Update::Full(record) => self.merge_record(now, record),
            Update::Brief(summary) => self.merge_summary(now, summary),
        }
    }

    /// Takes a whole record in.
    pub fn merge_record(&mut self, now: Now, record: &Record) -> Change {
        let known = self.members.get(&record.host);
        if known.is_some_and(|m| m.record.precedence() >= record.precedence()) {
            return Change::Outdated;
        }
        // The end of something that nobody here knows is no news.
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

    /// Takes a short statement in.
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

    /// Forgets members that have been gone since before `oldest`.
    pub fn forget_gone(&mut self, oldest: Now) {
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

    /// Treats all members as just heard and all suspicions as new, after a pause.
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
