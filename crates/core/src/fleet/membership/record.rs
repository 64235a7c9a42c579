//! Records of members and which of two is newer.

use serde::{Deserialize, Serialize};

use crate::fleet::message::Summary;
use crate::rendezvous;
use crate::types::{DataCentreId, HostId, Incarnation, RegionId, Revision, ServiceId};

/// What a process does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Entry host.
    Entry,
    /// Process next to an upstream.
    Upstream,
}

/// State of a member. A later one overrides an earlier one of the same version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It serves.
    Live,
    /// It takes nothing new.
    Leaving,
    /// It did not answer and may object.
    Suspect,
    /// It is no longer there.
    Gone,
}

/// A member as others know it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// Name.
    pub host: HostId,
    /// Role.
    pub role: Role,
    /// Region.
    pub region: RegionId,
    /// Data centre.
    pub data_centre: DataCentreId,
    /// Service of an upstream process.
    pub service: ServiceId,
    /// Address of the data listener.
    pub data_address: String,
    /// Address for messages between daemons.
    pub control_address: String,
    /// Address of the admin listener.
    pub admin_address: String,
    /// Life of the process.
    pub incarnation: Incarnation,
    /// Number of its own announcement in this life; it raises it to object to a suspicion.
    pub version: u32,
    /// State.
    pub state: State,
    /// It announced that it is leaving; kept while it is suspect.
    pub leaving: bool,
    /// Revision in force when the record was made or the member was last heard.
    pub revision: Revision,
    /// Load when the member was last heard, 0 to 100.
    pub load: u8,
}

/// Order of two statements about the same member.
pub type Precedence = (Incarnation, u32, State);

impl Record {
    /// Age of the statement; a higher one wins.
    #[must_use]
    pub fn precedence(&self) -> Precedence {
        (self.incarnation, self.version, self.state)
    }

    /// Hash of the name.
    #[must_use]
    pub fn key(&self) -> u64 {
        rendezvous::hash(&self.host)
    }

    /// The record in short.
    #[must_use]
    pub fn summary(&self) -> Summary {
        Summary {
            key: self.key(),
            incarnation: self.incarnation,
            version: self.version,
            state: self.state,
        }
    }

    /// Upper bound of its size in a message, in bytes.
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
    /// Age of the statement; a higher one wins.
    #[must_use]
    pub fn precedence(&self) -> Precedence {
        (self.incarnation, self.version, self.state)
    }
}
