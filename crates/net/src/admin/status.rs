//! Status document of a daemon.

use eelgrasshold_core::types::{DataCentreId, HostId, Incarnation, Load, RegionId, Revision};
use serde::{Deserialize, Serialize};

/// Answer of `GET /v1/status`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Status {
    /// Name.
    pub host: HostId,
    /// `entry` or `upstream`.
    pub role: String,
    /// Region.
    pub region: RegionId,
    /// Data centre.
    pub data_centre: DataCentreId,
    /// Incarnation that the process currently announces.
    pub incarnation: Incarnation,
    /// Whether it serves.
    pub ready: bool,
    /// Why it is not ready; empty if it is.
    pub reason: String,
    /// Revision of the configuration in force; 0 if none.
    pub revision: Revision,
    /// A graceful shutdown is going on.
    pub draining: bool,
    /// Requests that have not ended.
    pub held: u64,
    /// Load of the upstream; zero on entry hosts.
    pub load: Load,
    /// Time since the start, in milliseconds.
    pub uptime_ms: u64,
    /// Bytes sent to other daemons for control.
    pub control_sent_bytes: u64,
    /// Bytes received from other daemons for control.
    pub control_received_bytes: u64,
    /// Calls to the platform.
    pub platform_calls: u64,
    /// Processes that it knows of, itself included; only entry hosts know any.
    pub members: Vec<MemberStatus>,
}

/// What an entry host knows about a process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MemberStatus {
    /// Name.
    pub host: HostId,
    /// `entry` or `upstream`.
    pub role: String,
    /// Data centre.
    pub data_centre: DataCentreId,
    /// Service; empty for entry hosts.
    pub service: String,
    /// `live`, `leaving`, `suspect` or `gone`.
    pub state: String,
    /// Revision of the configuration that it announced last.
    pub revision: Revision,
    /// Admin address.
    pub admin_address: String,
}
