//! Settings of a process that its membership record is built from.

use crate::types::{DataCentreId, HostId, Incarnation, RegionId, ServiceId};

/// Settings of a [`FleetEntry`](super::FleetEntry) or [`FleetUpstream`](super::FleetUpstream).
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetSettings {
    /// Name of the process, unique in the fleet.
    pub host: HostId,
    /// Region of the data centre.
    pub region: RegionId,
    /// Data centre that the process runs in.
    pub data_centre: DataCentreId,
    /// Service of the upstream next to the process; empty on entry hosts.
    pub service: ServiceId,
    /// Address of the data listener, `IP:PORT`.
    pub data_address: String,
    /// Address for [`FleetMessage`](super::FleetMessage)s, `IP:PORT`.
    pub control_address: String,
    /// Address of the admin listener, `IP:PORT`.
    pub admin_address: String,
    /// Incarnation at start. It must be higher than those of earlier starts: for instance the
    /// wall-clock time in milliseconds, shifted left by 20 bits, with random low bits.
    pub incarnation: Incarnation,
    /// Control addresses of entry hosts that the process joins the fleet through.
    pub seeds: Vec<String>,
}

impl FleetSettings {
    /// Settings with incarnation 1 and without service, seeds, data address and admin address.
    #[must_use]
    pub fn new(host: &str, region: &str, data_centre: &str, control_address: &str) -> Self {
        Self {
            host: host.into(),
            region: region.into(),
            data_centre: data_centre.into(),
            control_address: control_address.into(),
            incarnation: 1,
            ..Self::default()
        }
    }

    /// Sets the service of the upstream next to the process.
    #[must_use]
    pub fn service(self, service: &str) -> Self {
        Self {
            service: service.into(),
            ..self
        }
    }

    /// Sets the address of the data listener.
    #[must_use]
    pub fn data_address(self, address: &str) -> Self {
        Self {
            data_address: address.into(),
            ..self
        }
    }

    /// Sets the address of the admin listener.
    #[must_use]
    pub fn admin_address(self, address: &str) -> Self {
        Self {
            admin_address: address.into(),
            ..self
        }
    }

    /// Sets the incarnation at start.
    #[must_use]
    pub fn incarnation(self, incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            ..self
        }
    }

    /// Sets the control addresses of entry hosts that the process joins the fleet through.
    #[must_use]
    pub fn seeds(self, seeds: Vec<String>) -> Self {
        Self { seeds, ..self }
    }
}
