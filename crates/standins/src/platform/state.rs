//! State that the platform's handlers and its handle share.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde::Serialize;
use tokio::sync::Notify;
use tokio::time::Instant;

use super::Store;
use super::faults::Faults;
use super::hosts::Hosts;
use super::rate::Rate;

/// Calls by kind since the start. Each call counts once, also if it was refused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counters {
    /// Reads of an object.
    pub gets: u64,
    /// Watches.
    pub watches: u64,
    /// Listings by prefix.
    pub lists: u64,
    /// Reads of the host list.
    pub host_lists: u64,
    /// Conditional writes.
    pub puts: u64,
    /// Deletions.
    pub deletes: u64,
    /// Calls refused with status 429.
    pub over_rate: u64,
    /// Calls that met an outage.
    pub outage: u64,
    /// Writes whose condition did not hold.
    pub conflicts: u64,
    /// Writes that took effect and whose answer was lost.
    pub lost_answers: u64,
    /// Watches that wait now.
    pub waiting_watches: u64,
    /// Most watches that waited at once.
    pub peak_waiting_watches: u64,
}

impl Counters {
    /// All calls that read, watches included.
    #[must_use]
    pub fn reads(&self) -> u64 {
        self.gets + self.watches + self.lists + self.host_lists
    }

    /// All calls that write.
    #[must_use]
    pub fn writes(&self) -> u64 {
        self.puts + self.deletes
    }
}

/// What the lock guards.
pub(super) struct State {
    pub(super) store: Store,
    pub(super) faults: Faults,
    pub(super) reads: Rate,
    pub(super) writes: Rate,
    pub(super) counters: Counters,
    pub(super) hosts: Hosts,
}

impl State {
    /// The store that reads see.
    pub(super) fn read_store(&self) -> &Store {
        self.faults.stale.as_ref().unwrap_or(&self.store)
    }
}

/// State with its lock, its clock and the signal that wakes watches.
pub(super) struct Shared {
    state: Mutex<State>,
    started: Instant,
    pub(super) changed: Notify,
}

impl Shared {
    pub(super) fn new(state: State) -> Self {
        Self {
            state: Mutex::new(state),
            started: Instant::now(),
            changed: Notify::new(),
        }
    }

    pub(super) fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Locks the state. A panic of another holder leaves it usable.
    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
