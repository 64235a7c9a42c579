//! Builder and control handle of the platform.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::faults::Faults;
use super::handler;
use super::hosts::DelayedHostList;
use super::rate::RateLimit;
use super::state::{Shared, State};
use super::{Counters, Host, Outage, Store};
use crate::server::{BoundServer, Server, StartError};

/// Builder of a [`Platform`].
#[derive(Clone, Debug)]
pub struct PlatformBuilder {
    store: Store,
    hosts: Vec<Host>,
    reads_per_s: u32,
    writes_per_s: u32,
    host_lag: Duration,
}

impl Default for PlatformBuilder {
    fn default() -> Self {
        Self {
            store: Store::new(),
            hosts: Vec::new(),
            reads_per_s: 2_000,
            writes_per_s: 300,
            host_lag: Duration::from_secs(5),
        }
    }
}

impl PlatformBuilder {
    /// Sets the initial objects; none by default.
    #[must_use]
    pub fn store(self, store: Store) -> Self {
        Self { store, ..self }
    }

    /// Sets the hosts that are listed from the start, without a lag; none by default.
    #[must_use]
    pub fn hosts(self, hosts: Vec<Host>) -> Self {
        Self { hosts, ..self }
    }

    /// Sets the limit of reads per second; 2,000 by default. A waiting watch counts as one read per
    /// second.
    #[must_use]
    pub fn reads_per_s(self, reads_per_s: u32) -> Self {
        Self {
            reads_per_s,
            ..self
        }
    }

    /// Sets the limit of writes and deletions per second; 300 by default.
    #[must_use]
    pub fn writes_per_s(self, writes_per_s: u32) -> Self {
        Self {
            writes_per_s,
            ..self
        }
    }

    /// Sets the time after which a new host list becomes visible; 5 s by default.
    #[must_use]
    pub fn host_lag(self, host_lag: Duration) -> Self {
        Self { host_lag, ..self }
    }

    /// Starts the platform. Must be called within a tokio runtime.
    ///
    /// # Errors
    /// If no loopback port can be bound.
    pub fn start(self) -> Result<Platform, StartError> {
        let shared = Arc::new(Shared::new(State {
            store: self.store,
            faults: Faults::default(),
            read_limit: RateLimit::new(self.reads_per_s),
            write_limit: RateLimit::new(self.writes_per_s),
            counters: Counters::default(),
            hosts: DelayedHostList::new(self.host_lag, self.hosts),
        }));
        let server = BoundServer::new()?.serve(handler::new(&shared));
        Ok(Platform { shared, server })
    }
}

/// A running platform and the control of its faults.
pub struct Platform {
    shared: Arc<Shared>,
    server: Server,
}

impl Platform {
    /// Creates a builder with default limits, no objects and no hosts.
    #[must_use]
    pub fn builder() -> PlatformBuilder {
        PlatformBuilder::default()
    }

    /// Address of the HTTP API; it stays the same over stops and crashes.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Numbers of calls since the platform was built.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.shared.lock().counters
    }

    /// Copies the current objects, regardless of stale reads.
    #[must_use]
    pub fn store(&self) -> Store {
        self.shared.lock().store.clone()
    }

    /// Changes the objects directly, bypassing rate limits and faults, and wakes waiting watches.
    pub fn with_store<T>(&self, change: impl FnOnce(&mut Store) -> T) -> T {
        let result = change(&mut self.shared.lock().store);
        self.shared.changed.notify_waiters();
        result
    }

    /// Sets the host list, which becomes visible after the lag.
    pub fn set_hosts(&self, hosts: Vec<Host>) {
        let now = self.shared.now();
        self.shared.lock().hosts.set(now, hosts);
    }

    /// Begins or ends an outage. It also fails the watches that wait.
    pub fn set_outage(&self, outage: Outage) {
        self.shared.lock().faults.outage = outage;
        self.shared.changed.notify_waiters();
    }

    /// Sets the delay before each further call is handled; zero switches it off.
    pub fn set_delay(&self, delay: Duration) {
        self.shared.lock().faults.delay = delay;
    }

    /// Closes the connection instead of answering the next `count` writes that take effect on keys
    /// with this prefix.
    pub fn lose_answers(&self, count: u32, prefix: &str) {
        let faults = &mut self.shared.lock().faults;
        faults.lost_answers = count;
        prefix.clone_into(&mut faults.lost_prefix);
    }

    /// Switches stale reads on or off. While they are on, reads and watches see the objects as they
    /// were at this call.
    pub fn set_stale_reads(&self, on: bool) {
        let mut state = self.shared.lock();
        state.faults.stale_store = on.then(|| state.store.clone());
        drop(state);
        self.shared.changed.notify_waiters();
    }

    /// Closes all connections and refuses new ones; the objects are kept.
    pub async fn stop(&self) {
        self.server.control().stop().await;
    }

    /// Accepts connections again after a stop.
    pub async fn start(&self) {
        self.server.control().start().await;
    }

    /// Stops the platform and starts it again after `down`. Returns immediately.
    pub fn crash(&self, down: Duration) {
        self.server.control().crash(down);
    }

    /// Closes all connections and frees the port.
    pub async fn close(self) {
        self.server.close().await;
    }
}
