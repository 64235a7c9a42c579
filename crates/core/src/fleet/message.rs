//! Messages between daemons about the fleet.
//!
//! They go over bincode, which isn't self-describing: no field may be skipped.

use serde::{Deserialize, Serialize};

use super::membership::{Record, Role, State};
use crate::event::Stamp;
use crate::types::{DataCentreId, HostId, Incarnation, Revision};

/// Most bytes of updates on a probe or its answer.
pub const PIGGYBACK_BYTES: usize = 256;
/// Most bytes of updates on a probe or its answer when the budget is spent.
pub const OVER_BUDGET_PIGGYBACK_BYTES: usize = 112;
/// Most bytes of updates in a message that is sent for them alone.
pub const RUMOUR_BYTES: usize = 1_000;
/// Most bytes of records in one page for a joining host or one repair.
pub const MAX_PAGE_BYTES: usize = 8 << 10;
/// Most bytes of shards in one message, unless a single shard is larger.
pub const MAX_CONFIG_MESSAGE_BYTES: usize = 256 << 10;

/// A message between two processes, in either direction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetMessage {
    /// Who sends it.
    pub from: Sender,
    /// Sender's hybrid clock; the driver fills it in.
    pub clock: Stamp,
    /// What it says.
    pub body: Body,
}

/// What each message says about its sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sender {
    /// Name.
    pub host: HostId,
    /// Control address, where answers go.
    pub address: String,
    /// Role.
    pub role: Role,
    /// Data centre.
    pub data_centre: DataCentreId,
    /// Life of the process.
    pub incarnation: Incarnation,
    /// Number of the sender's own announcement in this life.
    pub version: u32,
    /// Revision in force; 0 if none.
    pub revision: Revision,
    /// Digest of the configuration in force; 0 if none.
    pub digest: u64,
    /// Load, 0 to 100.
    pub load: u8,
}

/// Name and control address of an entry host.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Peer {
    /// Name.
    pub host: HostId,
    /// Control address.
    pub address: String,
}

/// State of a member in short, for receivers that know its record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Summary {
    /// Hash of its name.
    pub key: u64,
    /// Life.
    pub incarnation: Incarnation,
    /// Number of the announcement in this life.
    pub version: u32,
    /// State.
    pub state: State,
}

/// A change of a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// The whole record, for a new life.
    Full(Box<Record>),
    /// A change of a known life.
    Brief(Summary),
}

/// What a message says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// Asks for a sign of life.
    Probe {
        /// Number of the probe at its sender.
        seq: u64,
        /// Piggybacked changes.
        updates: Vec<Update>,
    },
    /// The sign of life, from the target or from a host that asked for another.
    ProbeAck {
        /// Number of the probe at the receiver.
        seq: u64,
        /// Piggybacked changes.
        updates: Vec<Update>,
    },
    /// Asks the receiver to probe a third host.
    ProbeIndirect {
        /// Number of the probe at its sender.
        seq: u64,
        /// Whom to probe.
        target: Peer,
    },
    /// Changes that don't wait for the next probe, and the sender's new revision.
    Rumour {
        /// Changes.
        updates: Vec<Update>,
    },
    /// A starting host asks for the records after a name.
    Join {
        /// The starting host's own record.
        record: Box<Record>,
        /// Last name of the page before; empty at first.
        after: HostId,
    },
    /// Records in order of names.
    JoinPage {
        /// Records.
        records: Vec<Record>,
        /// Whether there are more.
        more: bool,
    },
    /// Hashes of the sender's table, to find differences.
    Digest {
        /// One hash per bucket of names.
        buckets: Vec<u64>,
    },
    /// What the sender holds in the buckets that differed.
    Summaries {
        /// Bits of the buckets that are listed.
        buckets: u64,
        /// Their members.
        members: Vec<Summary>,
    },
    /// Changes that the receiver lacks, and keys of records that the sender lacks.
    Repair {
        /// Changes.
        updates: Vec<Update>,
        /// Keys of records that the sender asks for.
        wanted: Vec<u64>,
    },
    /// An upstream process lives.
    Heartbeat(Heartbeat),
    /// Answer to a heartbeat.
    HeartbeatReply(HeartbeatReply),
    /// Asks for the head of the sender's present configuration.
    AskHead,
    /// Bytes of the head in force.
    Head {
        /// JSON, as in the platform.
        head: Vec<u8>,
    },
    /// Asks for shards by hash.
    AskShards {
        /// Hashes.
        hashes: Vec<String>,
    },
    /// Some of the shards asked for.
    Shards {
        /// Contents; the receiver computes the hashes.
        shards: Vec<Vec<u8>>,
    },
}

/// Heartbeat of an upstream process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Heartbeat {
    /// Whole record, until the receiver has answered this life and version.
    pub record: Option<Box<Record>>,
    /// It is leaving.
    pub leaving: bool,
    /// Hash of the entry hosts that it knows.
    pub peers: u64,
}

/// Answer of an entry host to a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HeartbeatReply {
    /// Life and version of the record that the entry host holds, in any state; none if unknown.
    pub held: Option<Summary>,
    /// Entry hosts to send heartbeats to, then spare ones; empty if unchanged.
    pub peers: Vec<Peer>,
}

/// Upper bound of a short statement, in bytes.
pub const SUMMARY_BYTES: usize = 28;
/// Bytes of a message besides names and content: frame, call envelope and headers of IP and TCP
/// are about 96, the numbers of the sender about 50.
const OVERHEAD_BYTES: usize = 146;

impl Update {
    /// Upper bound of its size in a message, in bytes.
    #[must_use]
    pub fn size_bytes(&self) -> usize {
        match self {
            Self::Full(record) => record.size_bytes() + 1,
            Self::Brief(_) => SUMMARY_BYTES,
        }
    }
}

impl Peer {
    fn size_bytes(&self) -> usize {
        self.host.len() + self.address.len() + 2
    }
}

impl FleetMessage {
    /// Upper bound of its size on the wire, in bytes, with what carries it.
    #[must_use]
    pub fn size_bytes(&self) -> usize {
        let from = &self.from;
        let names = from.host.len() + from.address.len() + from.data_centre.len();
        OVERHEAD_BYTES + names + self.body.size_bytes()
    }
}

impl Body {
    fn size_bytes(&self) -> usize {
        let sum = |updates: &[Update]| updates.iter().map(Update::size_bytes).sum::<usize>() + 9;
        match self {
            Self::Probe { updates, .. }
            | Self::ProbeAck { updates, .. }
            | Self::Rumour { updates } => sum(updates) + 9,
            Self::ProbeIndirect { target, .. } => target.size_bytes() + 9,
            Self::Join { record, after } => record.size_bytes() + after.len() + 1,
            Self::JoinPage { records, .. } => {
                records.iter().map(Record::size_bytes).sum::<usize>() + 10
            }
            Self::Digest { buckets } => buckets.len() * 9 + 1,
            Self::Summaries { members, .. } => members.len() * SUMMARY_BYTES + 18,
            Self::Repair { updates, wanted } => sum(updates) + wanted.len() * 9 + 9,
            Self::Heartbeat(h) => h.record.as_ref().map_or(0, |r| r.size_bytes()) + 12,
            Self::HeartbeatReply(r) => {
                SUMMARY_BYTES + r.peers.iter().map(Peer::size_bytes).sum::<usize>() + 2
            }
            Self::AskHead => 0,
            Self::Head { head } => head.len() + 9,
            Self::AskShards { hashes } => hashes.iter().map(|h| h.len() + 1).sum::<usize>() + 9,
            Self::Shards { shards } => shards.iter().map(|s| s.len() + 9).sum::<usize>() + 9,
        }
    }
}
