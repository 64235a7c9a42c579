//! State that the platform's HTTP handlers and its control handle share.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde::Serialize;
use tokio::sync::Notify;
use tokio::time::Instant;

use super::Store;
use super::faults::Faults;
use super::hosts::DelayedHostList;
use super::rate::RateLimit;

/// Numbers of calls by kind since the platform was built. Each call counts once, refused or not.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counters {
    /// Reads of an object without a watch.
    pub gets: u64,
    /// Watches of an object, which may have waited or ended immediately.
    pub watches: u64,
    /// Listings of the objects with a prefix.
    pub lists: u64,
    /// Reads of the host list.
    pub host_lists: u64,
    /// Conditional writes of an object.
    pub puts: u64,
    /// Conditional deletions of an object.
    pub deletes: u64,
    /// Calls refused with status 429 because the rate limit was exceeded.
    pub over_rate: u64,
    /// Calls that failed because of an outage.
    pub outage: u64,
    /// Writes and deletions whose condition did not hold.
    pub conflicts: u64,
    /// Writes and deletions that took effect and whose answer was lost.
    pub lost_answers: u64,
    /// Watches that are waiting now.
    pub waiting_watches: u64,
    /// Largest number of watches that waited at the same time.
    pub peak_waiting_watches: u64,
}

impl Counters {
    /// Number of calls that count towards the read limit.
    #[must_use]
    pub fn reads(&self) -> u64 {
        self.gets + self.watches + self.lists + self.host_lists
    }

    /// Number of calls that count towards the write limit.
    #[must_use]
    pub fn writes(&self) -> u64 {
        self.puts + self.deletes
    }
}

/// State that the lock protects.
pub(super) struct State {
    pub(super) store: Store,
    pub(super) faults: Faults,
    pub(super) read_limit: RateLimit,
    pub(super) write_limit: RateLimit,
    pub(super) counters: Counters,
    pub(super) hosts: DelayedHostList,
}

impl State {
    /// Store that answers reads: the snapshot while stale reads are on, the current one otherwise.
    pub(super) fn read_store(&self) -> &Store {
        self.faults.stale_store.as_ref().unwrap_or(&self.store)
    }
}

/// State behind its lock, with a monotonic clock and the signal that wakes watches.
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

    /// Locks the state. Poisoning is ignored, so that a panic in one handler does not fail others.
    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
