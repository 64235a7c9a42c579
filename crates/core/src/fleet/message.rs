//! Messages between daemons for membership and configuration.
//!
//! They are encoded with bincode, which isn't self-describing: no field may be skipped.

use serde::{Deserialize, Serialize};

use super::membership::{Record, Role, State};
use crate::event::Stamp;
use crate::types::{DataCentreId, HostId, Incarnation, Revision};

/// Limit for updates piggybacked on a probe or its answer.
pub const PIGGYBACK_BYTES: usize = 256;
/// Limit for piggybacked updates while the byte budget is overdrawn.
pub const OVER_BUDGET_PIGGYBACK_BYTES: usize = 112;
/// Limit for updates in a [`Body::Rumour`].
pub const RUMOUR_BYTES: usize = 1_000;
/// Limit for records in a [`Body::JoinPage`] or [`Body::Repair`].
pub const MAX_PAGE_BYTES: usize = 8 << 10;
/// Limit for shards in a [`Body::Shards`], unless a single shard is larger.
pub const MAX_CONFIG_MESSAGE_BYTES: usize = 256 << 10;

/// A message between two processes, in either direction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetMessage {
    /// Identity and state of the sender.
    pub from: Sender,
    /// Sender's hybrid logical clock, set by the driver.
    pub clock: Stamp,
    /// Content of the message.
    pub body: Body,
}

/// Identity and state of the sender, part of each message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sender {
    /// Name of the process, unique in the fleet.
    pub host: HostId,
    /// Control address that answers are sent to.
    pub address: String,
    /// Whether it is an entry host or runs next to an upstream.
    pub role: Role,
    /// Data centre of the sender.
    pub data_centre: DataCentreId,
    /// Current incarnation of the sender.
    pub incarnation: Incarnation,
    /// Version of the sender's own record in this incarnation.
    pub version: u32,
    /// Configuration revision in force; 0 if none.
    pub revision: Revision,
    /// Digest of the configuration in force; 0 if none.
    pub digest: u64,
    /// Load of the sender, 0 (idle) to 100 (full).
    pub load: u8,
}

/// Name and control address of an entry host.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Peer {
    /// Name of the process, unique in the fleet.
    pub host: HostId,
    /// Control address, `IP:PORT`.
    pub address: String,
}

/// State of a member without its addresses, for receivers that have its record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Summary {
    /// Hash of the member's name.
    pub key: u64,
    /// Incarnation that the state applies to.
    pub incarnation: Incarnation,
    /// Record version that the state applies to.
    pub version: u32,
    /// State of the member.
    pub state: State,
}

/// A change of a member's state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// The complete record, needed for a new incarnation.
    Full(Box<Record>),
    /// The new state, for receivers that have the record of this incarnation.
    Brief(Summary),
}

/// Content of a [`FleetMessage`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// Checks whether the receiver is alive.
    Probe {
        /// Sequence number at the sender, returned in the answer.
        seq: u64,
        /// Piggybacked membership changes.
        updates: Vec<Update>,
    },
    /// Answer to a probe, from the target itself or from a relay that probed the target.
    ProbeAck {
        /// Sequence number of the probe at the receiver of the answer.
        seq: u64,
        /// Piggybacked membership changes.
        updates: Vec<Update>,
    },
    /// Requests the receiver to probe a third host.
    ProbeIndirect {
        /// Sequence number at the sender, returned in the answer.
        seq: u64,
        /// Host to probe.
        target: Peer,
    },
    /// Changes that can't wait for the next probe. The [`Sender`] announces a new revision, also
    /// if there are no changes.
    Rumour {
        /// Membership changes.
        updates: Vec<Update>,
    },
    /// A starting host requests the records whose names follow `after`.
    Join {
        /// The starting host's own record.
        record: Box<Record>,
        /// Last name of the previous page; empty for the first page.
        after: HostId,
    },
    /// One page of records, in order of names.
    JoinPage {
        /// Records up to [`MAX_PAGE_BYTES`].
        records: Vec<Record>,
        /// Whether further pages follow.
        more: bool,
    },
    /// Hashes over the sender's member table, to find differences.
    Digest {
        /// One hash per bucket of names.
        buckets: Vec<u64>,
    },
    /// The sender's members in buckets whose hashes differ.
    Summaries {
        /// Bit mask of the listed buckets.
        buckets: u64,
        /// Members in the listed buckets.
        members: Vec<Summary>,
    },
    /// Changes that the receiver lacks, and a request for records that the sender lacks.
    Repair {
        /// Membership changes.
        updates: Vec<Update>,
        /// Keys of the records that the sender requests.
        wanted: Vec<u64>,
    },
    /// Regular message of an upstream process that shows it is alive.
    Heartbeat(Heartbeat),
    /// Answer to a heartbeat.
    HeartbeatReply(HeartbeatReply),
    /// Requests the head of the configuration that the receiver has in force.
    AskHead,
    /// The head that the sender has in force.
    Head {
        /// JSON, byte for byte as stored in the platform.
        head: Vec<u8>,
    },
    /// Requests shards by hash.
    AskShards {
        /// Hashes of the requested shards.
        hashes: Vec<String>,
    },
    /// Requested shards, as many as fit into [`MAX_CONFIG_MESSAGE_BYTES`].
    Shards {
        /// Contents of the shards; the receiver computes their hashes.
        shards: Vec<Vec<u8>>,
    },
}

/// Heartbeat of an upstream process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Heartbeat {
    /// Complete record, sent until an entry host confirms this incarnation and version.
    pub record: Option<Box<Record>>,
    /// Whether a graceful shutdown has begun.
    pub leaving: bool,
    /// Hash of the list of entry hosts that the process knows; 0 if it knows none.
    pub peers: u64,
}

/// Answer of an entry host to a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HeartbeatReply {
    /// The record that the entry host holds, in any state; `None` if it holds none.
    pub held: Option<Summary>,
    /// Entry hosts to send heartbeats to, followed by spare ones; empty if unchanged.
    pub peers: Vec<Peer>,
}

/// Upper bound of an encoded [`Summary`].
pub const SUMMARY_BYTES: usize = 28;
/// Size of a message besides names and content: about 96 bytes for frame, RPC envelope and
/// TCP/IP headers, and about 50 for the numbers in [`Sender`].
const OVERHEAD_BYTES: usize = 146;

impl Update {
    /// Upper bound of the encoded size.
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
    /// Upper bound of the size on the wire, including TCP/IP and RPC overhead.
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
