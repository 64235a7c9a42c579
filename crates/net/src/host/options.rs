//! Options of a process, given at its start.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use eelgrasshold_core::config::ServiceKind;
use eelgrasshold_core::types::{DataCentreId, HostId, RegionId, ServiceId};

use crate::tls::Identity;

/// The engine or plain service to which an upstream process forwards work.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Address for HTTP/1 requests, `IP:PORT`.
    pub address: String,
    /// Service whose requests it runs; the configuration has the service's settings.
    pub service: ServiceId,
    /// Whether it is a model engine or a plain service.
    pub kind: ServiceKind,
}

/// Options that both kinds of process have: an entry host and an upstream process.
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

/// Builder of [`HostOptions`]. All options have defaults.
#[derive(Clone, Debug)]
pub struct HostOptionsBuilder {
    options: HostOptions,
}

impl HostOptions {
    /// Starts from the defaults: loopback listeners on free ports, no seeds, no TLS, a drain limit
    /// of 60 s and a random seed.
    ///
    /// `host` is the name of the process, unique in the fleet; `platform` is the platform's URL.
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
    /// Region and data centre of the host; by default `region-1` and `dc-1`.
    #[must_use]
    pub fn place(mut self, region: &str, data_centre: &str) -> Self {
        region.clone_into(&mut self.options.region);
        data_centre.clone_into(&mut self.options.data_centre);
        self
    }

    /// Address to listen on for callers (entry host) or for dispatches (upstream process). Port 0
    /// takes a free port. The actual address is announced, so it can't be `0.0.0.0` or `::`.
    #[must_use]
    pub fn data(mut self, address: SocketAddr) -> Self {
        self.options.data = address;
        self
    }

    /// Address to listen on for links of other daemons, with the same rules as
    /// [`data`](Self::data).
    #[must_use]
    pub fn control(mut self, address: SocketAddr) -> Self {
        self.options.control = address;
        self
    }

    /// Address to listen on for operators, with the same rules as [`data`](Self::data).
    #[must_use]
    pub fn admin(mut self, address: SocketAddr) -> Self {
        self.options.admin = address;
        self
    }

    /// Control addresses, `IP:PORT`, of entry hosts through which to join the fleet.
    #[must_use]
    pub fn seeds(mut self, seeds: Vec<String>) -> Self {
        self.options.seeds = seeds;
        self
    }

    /// Certificate and key for mutual TLS with daemons and operators; plain TCP if `None`.
    #[must_use]
    pub fn identity(mut self, identity: Option<Identity>) -> Self {
        self.options.identity = identity;
        self
    }

    /// Time limit of a graceful shutdown; requests still open then are cut. 60 s by default.
    #[must_use]
    pub fn drain_limit(mut self, limit: Duration) -> Self {
        self.options.drain_limit = limit;
        self
    }

    /// Seed of the pseudo-random choices; a fixed value makes them repeatable.
    #[must_use]
    pub fn seed(mut self, seed: u64) -> Self {
        self.options.seed = seed;
        self
    }

    /// Returns the options. Addresses are checked when the process starts.
    #[must_use]
    pub fn build(self) -> HostOptions {
        self.options
    }
}
