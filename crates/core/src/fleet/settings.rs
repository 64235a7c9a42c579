//! What a process knows about itself at start.

use crate::types::{DataCentreId, HostId, Incarnation, RegionId, ServiceId};

/// Settings of a fleet machine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetSettings {
    /// Name, unique in the fleet.
    pub host: HostId,
    /// Region.
    pub region: RegionId,
    /// Data centre.
    pub data_centre: DataCentreId,
    /// Service that it serves; empty on entry hosts.
    pub service: ServiceId,
    /// Address of the data listener, `IP:PORT`.
    pub data_address: String,
    /// Address for messages between daemons, `IP:PORT`.
    pub control_address: String,
    /// Address of the admin listener, `IP:PORT`.
    pub admin_address: String,
    /// Start of this life; the start's wall-clock time in milliseconds, shifted left by 20
    /// bits, with random low bits is unique enough.
    pub incarnation: Incarnation,
    /// Control addresses of entry hosts to join through.
    pub seeds: Vec<String>,
}

impl FleetSettings {
    /// Settings of a process without service, seeds, data and admin address.
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

    /// Sets the service that an upstream process stands next to.
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

    /// Sets the start of this life.
    #[must_use]
    pub fn incarnation(self, incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            ..self
        }
    }

    /// Sets the control addresses of entry hosts to join through.
    #[must_use]
    pub fn seeds(self, seeds: Vec<String>) -> Self {
        Self { seeds, ..self }
    }
}
