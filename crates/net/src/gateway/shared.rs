//! What all tasks of a gateway share.

use std::sync::atomic::{AtomicBool, AtomicUsize};
use std::sync::{Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use eelgrasshold_core::gateway::Gateway;
use eelgrasshold_core::gateway::peers::{Knowledge, Peers};
use eelgrasshold_core::gateway::routes::TableVersion;
use eelgrasshold_core::types::Now;
use tokio::sync::Notify;

use super::GatewayOptions;
use super::pool::Pool;
use crate::platform::Platform;
use crate::runtime::Clock;

/// State of a running gateway.
#[derive(Debug)]
pub(super) struct Shared {
    pub(super) options: GatewayOptions,
    pub(super) clock: Clock,
    pub(super) core: Mutex<Gateway>,
    pub(super) peers: Mutex<Peers>,
    pub(super) pool: Pool,
    pub(super) platform: Platform,
    /// Version and document of the configuration in force, for hosts that can't see the store.
    pub(super) document: Mutex<(TableVersion, Bytes)>,
    /// The host takes no new callers.
    pub(super) draining: AtomicBool,
    /// Requests that are being served.
    pub(super) held: AtomicUsize,
    /// Wakes those who wait for the last request to end.
    pub(super) ended: Notify,
    /// Wakes the task that tells peers of a change.
    pub(super) standing_changed: Notify,
}

impl Shared {
    pub(super) fn now(&self) -> Now {
        self.clock.now()
    }

    pub(super) fn core(&self) -> MutexGuard<'_, Gateway> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What this host knows of the store.
    pub(super) fn knowledge(&self) -> Knowledge {
        let core = self.core();
        Knowledge {
            table: core.table_version(),
            registry: core.registry.revision(),
        }
    }

    /// Keeps the document of the configuration in force.
    pub(super) fn keep_document(&self, version: TableVersion, document: &[u8]) {
        let mut kept = self.document.lock().unwrap_or_else(PoisonError::into_inner);
        *kept = (version, Bytes::copy_from_slice(document));
    }

    pub(super) fn peers(&self) -> MutexGuard<'_, Peers> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
