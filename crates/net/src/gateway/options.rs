//! Start options of a gateway.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use eelgrasshold_core::gateway::budget::RetryBound;
use eelgrasshold_core::gateway::cold::ColdBound;
use eelgrasshold_core::held::DEFAULT_CAPACITY_BYTES;
use eelgrasshold_core::types::{DataCentreId, HostId, RegionId};

/// Start options of a gateway; see the methods of [`GatewayOptionsBuilder`].
#[derive(Clone, Debug)]
pub struct GatewayOptions {
    pub(super) host: HostId,
    pub(super) region: RegionId,
    pub(super) data_centre: DataCentreId,
    pub(super) callers: SocketAddr,
    pub(super) ready: SocketAddr,
    pub(super) directory: SocketAddr,
    pub(super) peers: SocketAddr,
    pub(super) metrics: Option<SocketAddr>,
    pub(super) seeds: Vec<SocketAddr>,
    pub(super) platform: String,
    pub(super) settle_time: Duration,
    pub(super) evacuate_within: Option<Duration>,
    pub(super) retry_bound: RetryBound,
    pub(super) cold_bound: Option<ColdBound>,
    pub(super) first_start: bool,
    pub(super) sidecar_port: Option<u16>,
    pub(super) pause_control: bool,
    pub(super) answer_validity: Duration,
    pub(super) drain_limit: Duration,
    pub(super) connections: usize,
    pub(super) held_bytes: usize,
    pub(super) lines_dropped: fn() -> u64,
    pub(super) seed: u64,
}

/// Builder of [`GatewayOptions`].
#[derive(Clone, Debug)]
pub struct GatewayOptionsBuilder {
    options: GatewayOptions,
}

impl GatewayOptions {
    /// Options of the process `host`, with loopback listeners on free ports. `platform` is the base
    /// URL of the platform's store, such as `http://127.0.0.1:7000`.
    #[must_use]
    pub fn builder(host: &str, platform: &str) -> GatewayOptionsBuilder {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        GatewayOptionsBuilder {
            options: Self {
                host: host.to_owned(),
                region: "region-1".to_owned(),
                data_centre: "dc-1".to_owned(),
                callers: any_port,
                ready: any_port,
                directory: any_port,
                peers: any_port,
                metrics: None,
                seeds: Vec::new(),
                platform: platform.to_owned(),
                settle_time: Duration::from_secs(3),
                evacuate_within: None,
                retry_bound: RetryBound {
                    window: Duration::from_secs(10),
                    ratio: 0.1,
                    allowance: 10.0,
                },
                cold_bound: None,
                first_start: false,
                sidecar_port: None,
                pause_control: false,
                answer_validity: Duration::from_secs(2),
                drain_limit: Duration::from_secs(6),
                connections: 1_000,
                held_bytes: DEFAULT_CAPACITY_BYTES,
                lines_dropped: || 0,
                seed: rand::random(),
            },
        }
    }
}

impl GatewayOptionsBuilder {
    /// Sets the region and data centre of the host; the default is `region-1` and `dc-1`.
    #[must_use]
    pub fn place(mut self, region: &str, data_centre: &str) -> Self {
        region.clone_into(&mut self.options.region);
        data_centre.clone_into(&mut self.options.data_centre);
        self
    }

    /// Sets the address of the listener for callers' requests.
    #[must_use]
    pub fn callers(mut self, address: SocketAddr) -> Self {
        self.options.callers = address;
        self
    }

    /// Sets the address of the listener for readiness checks.
    #[must_use]
    pub fn ready(mut self, address: SocketAddr) -> Self {
        self.options.ready = address;
        self
    }

    /// Sets the address of the listener at which callers resolve entry hosts.
    #[must_use]
    pub fn directory(mut self, address: SocketAddr) -> Self {
        self.options.directory = address;
        self
    }

    /// Sets the address for other entry hosts, whose port is used for UDP and TCP. `seeds` are the
    /// addresses of hosts to contact first.
    #[must_use]
    pub fn peers(mut self, address: SocketAddr, seeds: Vec<SocketAddr>) -> Self {
        self.options.peers = address;
        self.options.seeds = seeds;
        self
    }

    /// Sets the address of the listener for metrics; without one, metrics are not served.
    #[must_use]
    pub fn metrics(mut self, address: Option<SocketAddr>) -> Self {
        self.options.metrics = address;
        self
    }

    /// Sets the time after a fault of the store within which the host must be up to date again.
    #[must_use]
    pub fn settle_time(mut self, time: Duration) -> Self {
        self.options.settle_time = time;
        self
    }

    /// Sets the time after which an evacuated data centre gets no more requests; `None`, the default, if
    /// evacuations are not followed.
    #[must_use]
    pub fn evacuate_within(mut self, limit: Option<Duration>) -> Self {
        self.options.evacuate_within = limit;
        self
    }

    /// Sets the limit on retries, which holds over all entry hosts together.
    #[must_use]
    pub fn retry_bound(mut self, bound: RetryBound) -> Self {
        self.options.retry_bound = bound;
        self
    }

    /// Sets the bound on requests to cold upstreams, which holds over all entry hosts together; without
    /// one, they are not limited.
    #[must_use]
    pub fn cold_bound(mut self, bound: Option<ColdBound>) -> Self {
        self.options.cold_bound = bound;
        self
    }

    /// Sets whether the fleet starts for the first time, so that no earlier incarnation of the
    /// process can have spent the retry allowance.
    #[must_use]
    pub fn first_start(mut self, first_start: bool) -> Self {
        self.options.first_start = first_start;
        self
    }

    /// Sets the port at which the sidecars of upstreams listen; without one, their load is not asked for.
    #[must_use]
    pub fn sidecar_port(mut self, port: Option<u16>) -> Self {
        self.options.sidecar_port = port;
        self
    }

    /// Sets whether streams are held back so that pauses between events stay within their targets; the default
    /// is that they are not.
    #[must_use]
    pub fn pause_control(mut self, pause_control: bool) -> Self {
        self.options.pause_control = pause_control;
        self
    }

    /// Sets how long callers may use resolved addresses.
    #[must_use]
    pub fn answer_validity(mut self, validity: Duration) -> Self {
        self.options.answer_validity = validity;
        self
    }

    /// Sets the time limit of a graceful shutdown.
    #[must_use]
    pub fn drain_limit(mut self, limit: Duration) -> Self {
        self.options.drain_limit = limit;
        self
    }

    /// Sets the maximum number of concurrent connections of callers, at least 1. Further ones wait
    /// in the listener's backlog.
    #[must_use]
    pub fn connections(mut self, connections: usize) -> Self {
        self.options.connections = connections.max(1);
        self
    }

    /// Sets the most bytes of request bodies and answers that the host holds.
    #[must_use]
    pub fn held_bytes(mut self, bytes: usize) -> Self {
        self.options.held_bytes = bytes;
        self
    }

    /// Sets the function that returns the number of dropped log lines, for a gauge.
    #[must_use]
    pub fn lines_dropped(mut self, read: fn() -> u64) -> Self {
        self.options.lines_dropped = read;
        self
    }

    /// Returns the options as set so far.
    #[must_use]
    pub fn build(self) -> GatewayOptions {
        self.options
    }
}
