//! Options of a process, given at its start.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use eelgrasshold_core::config::ServiceKind;
use eelgrasshold_core::types::{DataCentreId, HostId, RegionId, ServiceId};

use crate::tls::Identity;

/// The engine or plain service that an upstream process stands next to.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Its address, `IP:PORT`.
    pub address: String,
    /// Service that it serves.
    pub service: ServiceId,
    /// Whether it is a model engine or a plain service.
    pub kind: ServiceKind,
}

/// Options of a process.
#[derive(Clone, Debug)]
pub struct HostOptions {
    pub(super) host: HostId,
    pub(super) region: RegionId,
    pub(super) data_centre: DataCentreId,
    pub(super) data: SocketAddr,
    pub(super) control: SocketAddr,
    pub(super) admin: SocketAddr,
    pub(super) seeds: Vec<String>,
    pub(super) platform: String,
    pub(super) identity: Option<Identity>,
    pub(super) drain_limit: Duration,
    pub(super) seed: u64,
}

/// Builder of [`HostOptions`].
#[derive(Clone, Debug)]
pub struct HostOptionsBuilder {
    options: HostOptions,
}

impl HostOptions {
    /// Options of the process `host` with loopback listeners on free ports.
    #[must_use]
    pub fn builder(host: &str, platform: &str) -> HostOptionsBuilder {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        HostOptionsBuilder {
            options: Self {
                host: host.to_owned(),
                region: "region-1".to_owned(),
                data_centre: "dc-1".to_owned(),
                data: any_port,
                control: any_port,
                admin: any_port,
                seeds: Vec::new(),
                platform: platform.to_owned(),
                identity: None,
                drain_limit: Duration::from_secs(60),
                seed: rand::random(),
            },
        }
    }
}

impl HostOptionsBuilder {
    /// Region and data centre.
    #[must_use]
    pub fn place(mut self, region: &str, data_centre: &str) -> Self {
        region.clone_into(&mut self.options.region);
        data_centre.clone_into(&mut self.options.data_centre);
        self
    }

    /// Listener for callers (entry hosts) or dispatches (upstream processes).
    #[must_use]
    pub fn data(mut self, address: SocketAddr) -> Self {
        self.options.data = address;
        self
    }

    /// Listener for links of other daemons.
    #[must_use]
    pub fn control(mut self, address: SocketAddr) -> Self {
        self.options.control = address;
        self
    }

    /// Listener for operators.
    #[must_use]
    pub fn admin(mut self, address: SocketAddr) -> Self {
        self.options.admin = address;
        self
    }

    /// Control addresses of entry hosts to join through.
    #[must_use]
    pub fn seeds(mut self, seeds: Vec<String>) -> Self {
        self.options.seeds = seeds;
        self
    }

    /// Certificates for mutual TLS between daemons and for operators.
    #[must_use]
    pub fn identity(mut self, identity: Option<Identity>) -> Self {
        self.options.identity = identity;
        self
    }

    /// Longest time of a graceful shutdown.
    #[must_use]
    pub fn drain_limit(mut self, limit: Duration) -> Self {
        self.options.drain_limit = limit;
        self
    }

    /// Seed of the process's random choices.
    #[must_use]
    pub fn seed(mut self, seed: u64) -> Self {
        self.options.seed = seed;
        self
    }

    /// The options.
    #[must_use]
    pub fn build(self) -> HostOptions {
        self.options
    }
}
