//! State that all tasks of a gateway share.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use eelgrasshold_core::event::{Event, EventKind};
use eelgrasshold_core::gateway::cold::ColdChange;
use eelgrasshold_core::gateway::peers::{Peers, StoreVersions};
use eelgrasshold_core::gateway::registry::{Change, Upstream};
use eelgrasshold_core::gateway::silence::Prospect;
use eelgrasshold_core::gateway::stopping::Shutdown;
use eelgrasshold_core::gateway::{Admitted, Gateway, Outcome};
use eelgrasshold_core::types::Now;
use eelgrasshold_platform::callers::MAX_ADDRESSES;
use tokio::sync::Notify;
use tokio_util::task::TaskTracker;

use super::GatewayOptions;
use super::buffer::AnswerBuffers;
use super::copies::Copies;
use super::ends::EndChecks;
use super::metrics::GatewayMetrics;
use super::permits::Permits;
use super::pool::Pool;
use super::turns::Turns;
use crate::http::{HeldBytes, Hold, Sender};
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
    pub(super) copies: Copies,
    pub(super) permits: Permits,
    /// Memory for request bodies and answers.
    pub(super) held: HeldBytes,
    pub(super) answer_buffers: AnswerBuffers,
    /// Requests that wait for the limits of their services.
    pub(super) turns: Turns,
    /// Connections of callers.
    pub(super) connections: TaskTracker,
    /// Checks whether upstreams have ended.
    pub(super) end_checks: EndChecks,
    /// Notified when other hosts have to get reports of requests that end upstreams.
    pub(super) quarantine_news: Notify,
    /// Notified when requests in flight may be refused by now.
    pub(super) quarantine_changed: Notify,
    /// Document of the configuration in force, for pulls of other hosts; empty until there is one.
    pub(super) document: Mutex<Bytes>,
    /// When the store, or a host for it, last confirmed the configuration.
    pub(super) table_confirmed_at: Mutex<Now>,
    /// A graceful shutdown has begun; the host is no longer ready for new callers.
    pub(super) draining: AtomicBool,
    /// The graceful shutdown, once it has begun.
    pub(super) shutdown: OnceLock<Shutdown>,
    /// Number of requests whose answers are not written to the end.
    pub(super) open_requests: AtomicUsize,
    /// Notified when the number of open requests drops to 0.
    pub(super) requests_ended: Notify,
    /// Notified when the lifecycle state changed, so that the gossip task announces it.
    pub(super) state_changed: Notify,
    /// Notified when the configuration or the registry changed, so that the gossip task tells others.
    pub(super) versions_changed: Notify,
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

    /// Addresses of entry hosts for a caller that resolves them.
    pub(super) fn addresses(&self) -> Vec<SocketAddr> {
        let store_answers = self.core().registry.store_answers();
        self.peers().caller_addresses(store_answers, MAX_ADDRESSES)
    }

    /// Number of entry hosts whose addresses callers may use.
    pub(super) fn usable_host_count(&self) -> usize {
        let store_answers = self.core().registry.store_answers();
        self.peers().usable_hosts(store_answers).len()
    }

    /// Versions of the configuration and the registry that this host has.
    pub(super) fn store_versions(&self) -> StoreVersions {
        let core = self.core();
        StoreVersions {
            table: core.table_version(),
            registry: core.registry.revision(),
        }
    }

    /// Stores the document of the configuration in force, for pulls of other hosts.
    pub(super) fn store_document(&self, document: &[u8]) {
        let mut stored = self.document.lock().unwrap_or_else(PoisonError::into_inner);
        *stored = Bytes::copy_from_slice(document);
    }

    /// Records that the store, or a host for it, has confirmed the configuration.
    pub(super) fn confirm_table(&self) {
        let confirmed_at = &self.table_confirmed_at;
        *confirmed_at.lock().unwrap_or_else(PoisonError::into_inner) = self.now();
    }

    /// When the store, or a host for it, last confirmed the configuration; 0 before the first time.
    pub(super) fn table_confirmed_at(&self) -> Now {
        let confirmed_at = &self.table_confirmed_at;
        *confirmed_at.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes an idle connection to an upstream from the pool or opens a new one.
    ///
    /// # Errors
    ///
    /// If a new connection can't be opened; nothing was sent then.
    pub(super) async fn connection(&self, upstream: &Upstream) -> io::Result<Sender> {
        if let Some(sender) = self.pool.take(self.now(), &upstream.id) {
            return Ok(sender);
        }
        let opened = Pool::open(upstream.address).await;
        self.metrics.connection_opened(opened.is_ok());
        opened
    }

    /// Returns a connection to the pool after a complete answer.
    pub(super) fn keep_connection(
        &self,
        upstream: &Upstream,
        sender: Sender,
        limit: Option<Duration>,
    ) {
        self.pool.keep(self.now(), upstream, sender, limit);
    }

    /// Waits until the attempt of a request that was sent to an upstream at `sent_at` has to be given
    /// up, and returns why. `has_begun` tells that an event of the stream has arrived.
    pub(super) async fn given_up(
        &self,
        request: &Admitted,
        upstream: &str,
        sent_at: Now,
        has_begun: bool,
    ) -> Outcome {
        loop {
            let changed = self.quarantine_changed.notified();
            let now = self.now();
            let prospect = self
                .core()
                .prospect(now, request, upstream, sent_at, has_begun);
            match prospect {
                Prospect::GoesOn(until) => tokio::select! {
                    () = tokio::time::sleep_until(self.clock.instant(until)) => {}
                    () = changed => {}
                },
                Prospect::Lost => return Outcome::Silent,
                Prospect::Withdrawn => return Outcome::Withdrawn,
                Prospect::Expired => return Outcome::Expired,
            }
        }
    }

    /// Records changes of the registry in the event timeline.
    pub(super) fn record_registry_changes(&self, changes: Vec<Change>) {
        if !changes.is_empty() {
            self.versions_changed.notify_one();
        }
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

    /// Records upstreams that have become cold or warm.
    pub(super) fn record_cold_changes(&self, changes: Vec<ColdChange>) {
        for change in changes {
            let mut event = Event::new(EventKind::UpstreamCold, "")
                .with("upstream", change.upstream)
                .with("cold", u64::from(change.is_cold));
            if let Some(left) = change.left.filter(|_| change.is_cold) {
                event = event.with("left_ms", left);
            }
            self.timeline.record(event);
        }
    }

    /// Announces a changed readiness to other entry hosts and records when the host becomes ready.
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

/// Counts a request as open until dropped, which is when its answer is written.
pub(super) struct OpenRequest {
    shared: Arc<Shared>,
    /// Bytes of the answer.
    answer: Option<Arc<Hold>>,
}

impl OpenRequest {
    pub(super) fn new(shared: &Arc<Shared>) -> Self {
        shared.open_requests.fetch_add(1, Ordering::Relaxed);
        Self {
            shared: Arc::clone(shared),
            answer: None,
        }
    }

    /// Adds the bytes of an answer, which its caller reads from now on.
    pub(super) fn with_answer(mut self, answer: Option<Arc<Hold>>) -> Self {
        if let Some(hold) = &answer {
            hold.leave();
        }
        self.answer = answer;
        self
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        if self.shared.open_requests.fetch_sub(1, Ordering::Relaxed) == 1 {
            self.shared.requests_ended.notify_waiters();
        }
    }
}
