//! Ring buffer of a process's latest events.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use super::{Event, Fact, Stamp};
use crate::types::{GroupId, HostId, RequestId};

/// An event with its timestamp and origin, as stored and sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// Hybrid logical timestamp, by which a timeline is sorted.
    pub stamp: Stamp,
    /// Host whose process recorded the event.
    pub host: HostId,
    /// Number of the kind in the catalogue.
    pub number: u16,
    /// Name of the kind in the catalogue.
    pub name: String,
    /// Id of the request that the event concerns, if any.
    pub request: Option<RequestId>,
    /// Id of the model group that the event concerns, if any.
    pub group: Option<GroupId>,
    /// Short description for operators.
    pub detail: String,
    /// Machine-readable facts by name; empty if the sender has none.
    #[serde(default)]
    pub facts: BTreeMap<String, Fact>,
}

/// Ring buffer of a process's latest events; the oldest are overwritten.
#[derive(Clone, Debug)]
pub struct Ring {
    host: HostId,
    capacity: usize,
    records: VecDeque<Record>,
    dropped: u64,
}

impl Ring {
    /// Creates a ring for at most `capacity` events; at least one.
    #[must_use]
    pub fn new(host: HostId, capacity: usize) -> Self {
        Self {
            host,
            capacity: capacity.max(1),
            records: VecDeque::new(),
            dropped: 0,
        }
    }

    /// Stores an event, in place of the oldest one if the ring is full, and returns its record.
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

    /// Iterates over the stored events, oldest first.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.records.iter()
    }

    /// Number of events that have been overwritten by newer ones.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}
