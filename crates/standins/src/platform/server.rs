//! Builder and handle of the platform.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::faults::Faults;
use super::handler;
use super::hosts::Hosts;
use super::rate::Rate;
use super::state::{Shared, State};
use super::{Counters, Host, Outage, Store};
use crate::server::{Bound, Server, StartError};

/// Settings of a platform.
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
    /// Objects at the start.
    #[must_use]
    pub fn store(self, store: Store) -> Self {
        Self { store, ..self }
    }

    /// Hosts that are listed from the start.
    #[must_use]
    pub fn hosts(self, hosts: Vec<Host>) -> Self {
        Self { hosts, ..self }
    }

    /// Reads allowed a second; 2,000 by default. A waiting watch holds one.
    #[must_use]
    pub fn reads_per_s(self, reads_per_s: u32) -> Self {
        Self {
            reads_per_s,
            ..self
        }
    }

    /// Writes allowed a second; 300 by default.
    #[must_use]
    pub fn writes_per_s(self, writes_per_s: u32) -> Self {
        Self {
            writes_per_s,
            ..self
        }
    }

    /// Time after which a new host list becomes visible; 5 s by default.
    #[must_use]
    pub fn host_lag(self, host_lag: Duration) -> Self {
        Self { host_lag, ..self }
    }

    /// Starts the platform. It must be called inside a tokio runtime.
    ///
    /// # Errors
    /// No port on loopback could be bound.
    pub fn start(self) -> Result<Platform, StartError> {
        let shared = Arc::new(Shared::new(State {
            store: self.store,
            faults: Faults::default(),
            reads: Rate::new(self.reads_per_s),
            writes: Rate::new(self.writes_per_s),
            counters: Counters::default(),
            hosts: Hosts::new(self.host_lag, self.hosts),
        }));
        let server = Bound::new()?.serve(handler::new(&shared));
        Ok(Platform { shared, server })
    }
}

/// A running platform.
pub struct Platform {
    shared: Arc<Shared>,
    server: Server,
}

impl Platform {
    /// A builder with default rates.
    #[must_use]
    pub fn builder() -> PlatformBuilder {
        PlatformBuilder::default()
    }

    /// Address of the object API.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Calls since the start.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.shared.lock().counters
    }

    /// A copy of the objects.
    #[must_use]
    pub fn store(&self) -> Store {
        self.shared.lock().store.clone()
    }

    /// Changes the objects directly, past rates and faults, and wakes watches.
    pub fn with_store<T>(&self, change: impl FnOnce(&mut Store) -> T) -> T {
        let result = change(&mut self.shared.lock().store);
        self.shared.changed.notify_waiters();
        result
    }

    /// Sets the host list; it becomes visible after the lag.
    pub fn set_hosts(&self, hosts: Vec<Host>) {
        let now = self.shared.now();
        self.shared.lock().hosts.set(now, hosts);
    }

    /// Begins or ends an outage. Waiting watches meet it too.
    pub fn set_outage(&self, outage: Outage) {
        self.shared.lock().faults.outage = outage;
        self.shared.changed.notify_waiters();
    }

    /// Makes each call wait before it is looked at.
    pub fn set_delay(&self, delay: Duration) {
        self.shared.lock().faults.delay = delay;
    }

    /// Loses the answers of the next `count` writes that take effect on keys with this prefix.
    pub fn lose_answers(&self, count: u32, prefix: &str) {
        let faults = &mut self.shared.lock().faults;
        faults.lost_answers = count;
        prefix.clone_into(&mut faults.lost_prefix);
    }

    /// Answers reads from the objects as they are now, until this is ended.
    pub fn set_stale_reads(&self, on: bool) {
        let mut state = self.shared.lock();
        state.faults.stale = on.then(|| state.store.clone());
        drop(state);
        self.shared.changed.notify_waiters();
    }

    /// Closes all connections and refuses new ones.
    pub async fn stop(&self) {
        self.server.control().stop().await;
    }

    /// Accepts connections again.
    pub async fn start(&self) {
        self.server.control().start().await;
    }

    /// Stops the platform and starts it again after `down`, without waiting for either.
    pub fn crash(&self, down: Duration) {
        self.server.control().crash(down);
    }

    /// Ends the platform.
    pub async fn close(self) {
        self.server.close().await;
    }
}
