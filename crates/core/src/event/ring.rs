//! Bounded memory of a process's latest events.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use super::{Event, Fact, Stamp};
use crate::types::{GroupId, HostId, RequestId};

/// A stamped event as it is kept and sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// When, in hybrid time.
    pub stamp: Stamp,
    /// Process that saw it.
    pub host: HostId,
    /// Number in the catalogue.
    pub number: u16,
    /// Name in the catalogue.
    pub name: String,
    /// Request that it is about.
    pub request: Option<RequestId>,
    /// Group that it is about.
    pub group: Option<GroupId>,
    /// Particulars.
    pub detail: String,
    /// What it names, for machines.
    #[serde(default)]
    pub facts: BTreeMap<String, Fact>,
}

/// The latest events of a process; the oldest give way.
#[derive(Clone, Debug)]
pub struct Ring {
    host: HostId,
    capacity: usize,
    records: VecDeque<Record>,
    dropped: u64,
}

impl Ring {
    /// A ring that keeps at most `capacity` events.
    #[must_use]
    pub fn new(host: HostId, capacity: usize) -> Self {
        Self {
            host,
            capacity: capacity.max(1),
            records: VecDeque::new(),
            dropped: 0,
        }
    }

    /// Keeps an event and returns its record.
    pub fn push(&mut self, stamp: Stamp, event: Event) -> &Record {
        if self.records.len() == self.capacity {
            self.records.pop_front();
            self.dropped += 1;
        }
        self.records.push_back(Record {
            stamp,
            host: self.host.clone(),
            number: event.kind.number(),
            name: event.kind.name().to_owned(),
            request: event.request,
            group: event.group,
            detail: event.detail,
            facts: event
                .facts
                .into_iter()
                .map(|(name, fact)| (name.to_owned(), fact))
                .collect(),
        });
        &self.records[self.records.len() - 1]
    }

    /// Kept events, oldest first.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.records.iter()
    }

    /// Events that gave way to newer ones.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}
