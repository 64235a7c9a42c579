//! What all tasks of a gateway share.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use eelgrasshold_core::event::{Event, EventKind};
use eelgrasshold_core::gateway::Gateway;
use eelgrasshold_core::gateway::peers::{Peers, StoreVersions};
use eelgrasshold_core::gateway::registry::{Change, Upstream};
use eelgrasshold_core::types::Now;
use eelgrasshold_platform::callers::MAX_ADDRESSES;
use tokio::sync::Notify;

use super::GatewayOptions;
use super::metrics::GatewayMetrics;
use super::pool::{Pool, Sender};
use crate::platform::Platform;
use crate::runtime::{Clock, Timeline};

/// State of a running gateway.
#[derive(Debug)]
pub(super) struct Shared {
    pub(super) options: GatewayOptions,
    pub(super) clock: Clock,
    pub(super) timeline: Timeline,
    pub(super) metrics: GatewayMetrics,
    pub(super) core: Mutex<Gateway>,
    pub(super) peers: Mutex<Peers>,
    pub(super) pool: Pool,
    pub(super) platform: Platform,
    /// Document of the configuration in force, for hosts that can't see the store; empty at first.
    pub(super) document: Mutex<Bytes>,
    /// The host takes no new callers.
    pub(super) draining: AtomicBool,
    /// Requests that are being served.
    pub(super) open_requests: AtomicUsize,
    /// Wakes those who wait for the last request to end.
    pub(super) requests_ended: Notify,
    /// Wakes the task that tells peers of a change.
    pub(super) state_changed: Notify,
}

impl Shared {
    pub(super) fn now(&self) -> Now {
        self.clock.now()
    }

    pub(super) fn core(&self) -> MutexGuard<'_, Gateway> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn peers(&self) -> MutexGuard<'_, Peers> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Addresses for an answer to a caller.
    pub(super) fn addresses(&self) -> Vec<SocketAddr> {
        let store_answers = self.core().registry.store_answers();
        self.peers().caller_addresses(store_answers, MAX_ADDRESSES)
    }

    /// Entry hosts that callers may be told of.
    pub(super) fn usable_host_count(&self) -> usize {
        let store_answers = self.core().registry.store_answers();
        self.peers().usable_hosts(store_answers).len()
    }

    /// What this host knows of the store.
    pub(super) fn store_versions(&self) -> StoreVersions {
        let core = self.core();
        StoreVersions {
            table: core.table_version(),
            registry: core.registry.revision(),
        }
    }

    /// Keeps the document of the configuration in force.
    pub(super) fn store_document(&self, document: &[u8]) {
        let mut kept = self.document.lock().unwrap_or_else(PoisonError::into_inner);
        *kept = Bytes::copy_from_slice(document);
    }

    /// An idle connection to an upstream, or a new one.
    ///
    /// # Errors
    ///
    /// If no connection comes about; nothing was sent then.
    pub(super) async fn connection(&self, upstream: &Upstream) -> io::Result<Sender> {
        if let Some(sender) = self.pool.take(self.now(), &upstream.id) {
            return Ok(sender);
        }
        let opened = Pool::open(upstream).await;
        self.metrics.connection_opened(opened.is_ok());
        opened
    }

    /// Keeps a connection whose answer ended exactly.
    pub(super) fn keep_connection(&self, upstream: &str, sender: Sender, limit: Option<Duration>) {
        self.pool.keep(self.now(), upstream, sender, limit);
    }

    /// Notes changes of the registry.
    pub(super) fn record_registry_changes(&self, changes: Vec<Change>) {
        for change in changes {
            let (kind, upstream) = match change {
                Change::Joined(id) => (EventKind::UpstreamListed, id),
                Change::Leaving(id) => (EventKind::UpstreamLeaving, id),
                Change::Lapsed(id) => (EventKind::UpstreamLapsed, id),
                Change::Returned(id) => (EventKind::UpstreamRelisted, id),
                Change::Gone(id) => (EventKind::UpstreamGone, id),
            };
            let registry = self.core().registry.revision();
            let event = Event::new(kind, "")
                .with("upstream", upstream)
                .with("registry", registry);
            self.timeline.record(event);
        }
    }

    /// Tells peers and the log when the host becomes ready.
    pub(super) fn record_readiness(&self, was_ready: bool) {
        let ready = self.core().is_ready();
        if ready == was_ready {
            return;
        }
        self.state_changed.notify_one();
        if ready {
            let known = self.store_versions();
            let event = Event::new(EventKind::DaemonReady, "")
                .with("table", known.table)
                .with("registry", known.registry);
            self.timeline.record(event);
        }
    }
}

/// Counts a request that is being served, until it is dropped.
pub(super) struct OpenRequest(Arc<Shared>);

impl OpenRequest {
    pub(super) fn new(shared: &Arc<Shared>) -> Self {
        shared.open_requests.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(shared))
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        if self.0.open_requests.fetch_sub(1, Ordering::Relaxed) == 1 {
            self.0.requests_ended.notify_waiters();
        }
    }
}
