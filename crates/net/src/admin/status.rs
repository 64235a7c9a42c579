//! Status document of a daemon.

use eelgrasshold_core::types::{DataCentreId, HostId, Incarnation, Load, RegionId, Revision};
use serde::{Deserialize, Serialize};

/// Body of the answer to `GET /v1/status`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Status {
    /// Name of the process, unique in the fleet.
    pub host: HostId,
    /// `entry` for an entry host, `upstream` for a process next to an upstream.
    pub role: String,
    /// Region that the data centre belongs to.
    pub region: RegionId,
    /// Data centre that the process runs in.
    pub data_centre: DataCentreId,
    /// Incarnation that the process currently announces.
    pub incarnation: Incarnation,
    /// Whether the process accepts new requests; decides the answer of `/readyz`.
    pub ready: bool,
    /// Why the process is not ready; empty if it is.
    pub reason: String,
    /// Revision of the configuration in force; 0 if none.
    pub revision: Revision,
    /// Whether a graceful shutdown is in progress.
    pub draining: bool,
    /// Requests that have not ended; on upstreams, those that are running or queued.
    pub held: u64,
    /// Load of the upstream; zero on entry hosts.
    pub load: Load,
    /// Time since the process started, in milliseconds.
    pub uptime_ms: u64,
    /// Bytes sent over control links since the process started.
    pub control_sent_bytes: u64,
    /// Bytes received over control links since the process started.
    pub control_received_bytes: u64,
    /// Calls sent to the platform, without those that the rate limit or the breaker refused.
    pub platform_calls: u64,
    /// Processes in the membership table, including this one; empty on upstreams.
    pub members: Vec<MemberStatus>,
}

/// Entry of the membership table of an entry host.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MemberStatus {
    /// Name of the member, unique in the fleet.
    pub host: HostId,
    /// `entry` for an entry host, `upstream` for a process next to an upstream.
    pub role: String,
    /// Data centre that the member runs in.
    pub data_centre: DataCentreId,
    /// Service of the upstream next to the member; empty for entry hosts.
    pub service: String,
    /// `live`, `leaving`, `suspect` or `gone`.
    pub state: String,
    /// Revision of the configuration that the member last reported as in force; 0 if none.
    pub revision: Revision,
    /// Address of the admin listener, `IP:PORT`.
    pub admin_address: String,
}
