//! Membership records and their precedence.

use serde::{Deserialize, Serialize};

use crate::fleet::message::Summary;
use crate::rendezvous;
use crate::types::{DataCentreId, HostId, Incarnation, RegionId, Revision, ServiceId};

/// Role of a process in the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Entry host: takes requests from callers and takes part in gossip.
    Entry,
    /// Process next to an upstream: sends heartbeats to entry hosts.
    Upstream,
}

/// State of a member. Within a version, a state overrides those that are listed before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The member serves requests.
    Live,
    /// A graceful shutdown has begun: the member takes no new work.
    Leaving,
    /// The member did not answer. It may refute the suspicion with a higher version.
    Suspect,
    /// The member did not refute a suspicion in time.
    Gone,
}

/// Membership record, as disseminated in the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// Name of the process, unique in the fleet.
    pub host: HostId,
    /// Whether it is an entry host or runs next to an upstream.
    pub role: Role,
    /// Region of the data centre.
    pub region: RegionId,
    /// Data centre that the process runs in.
    pub data_centre: DataCentreId,
    /// Service of the upstream next to the process; empty on entry hosts.
    pub service: ServiceId,
    /// Address of the data listener, `IP:PORT`.
    pub data_address: String,
    /// Address for messages between daemons, `IP:PORT`.
    pub control_address: String,
    /// Address of the admin listener, `IP:PORT`.
    pub admin_address: String,
    /// Incarnation of the process; a restart or a long pause raises it.
    pub incarnation: Incarnation,
    /// Version within the incarnation. Only the member itself raises it, to refute a suspicion.
    pub version: u32,
    /// State of the member in this version.
    pub state: State,
    /// Whether the member announced that it is leaving; kept while it is suspect.
    pub leaving: bool,
    /// Configuration revision in force, from the record or the member's last message.
    pub revision: Revision,
    /// Load, 0 to 100, from the record or the member's last message.
    pub load: u8,
}

/// Precedence among states of the same member: the greater one is newer.
pub type Precedence = (Incarnation, u32, State);

impl Record {
    /// Precedence of this state over others of the same member; the greater one wins.
    #[must_use]
    pub fn precedence(&self) -> Precedence {
        (self.incarnation, self.version, self.state)
    }

    /// Hash of the name, which identifies the member in a [`Summary`].
    #[must_use]
    pub fn key(&self) -> u64 {
        rendezvous::hash(&self.host)
    }

    /// Key, incarnation, version and state of the record.
    #[must_use]
    pub fn summary(&self) -> Summary {
        Summary {
            key: self.key(),
            incarnation: self.incarnation,
            version: self.version,
            state: self.state,
        }
    }

    /// Upper bound of the encoded size.
    #[must_use]
    pub fn size_bytes(&self) -> usize {
        let texts = [
            &self.host,
            &self.region,
            &self.data_centre,
            &self.service,
            &self.data_address,
            &self.control_address,
            &self.admin_address,
        ];
        let lengths: usize = texts.iter().map(|t| t.len() + 1).sum();
        lengths + 36
    }
}

impl Summary {
    /// Precedence of this state over others of the same member; the greater one wins.
    #[must_use]
    pub fn precedence(&self) -> Precedence {
        (self.incarnation, self.version, self.state)
    }
}
