//! Quarantine of a request that is suspected of crashing upstreams.
//!
//! It runs with nothing beside it, so that a crash has one possible cause.
//! While it waits for running and queued work to end, new work is returned.

use crate::serving::queue::Item;
use crate::types::{AttemptId, Now};

/// At most one suspect, waiting or running.
#[derive(Clone, Debug, Default)]
pub(super) struct Quarantine {
    waiting: Option<Item>,
    running: Option<AttemptId>,
}

impl Quarantine {
    /// Whether nothing else may come in.
    pub(super) fn is_closed(&self) -> bool {
        self.waiting.is_some() || self.running.is_some()
    }

    pub(super) fn is_waiting_for(&self, attempt: AttemptId) -> bool {
        self.waiting
            .as_ref()
            .is_some_and(|item| item.attempt == attempt)
    }

    pub(super) fn wait(&mut self, item: Item) {
        self.waiting = Some(item);
    }

    /// Takes the waiting suspect, to be started now.
    pub(super) fn start(&mut self) -> Option<Item> {
        let item = self.waiting.take()?;
        self.running = Some(item.attempt);
        Some(item)
    }

    /// Takes the waiting suspect out if it can no longer meet its deadline.
    pub(super) fn expire(&mut self, now: Now) -> Option<Item> {
        self.waiting.take_if(|item| item.latest_start <= now)
    }

    /// Ends the quarantine of an attempt; returns the item if it was still waiting.
    pub(super) fn end(&mut self, attempt: AttemptId) -> Option<Item> {
        if self.running == Some(attempt) {
            self.running = None;
        }
        self.waiting.take_if(|item| item.attempt == attempt)
    }

    /// Ends the quarantine; returns the item if it was still waiting.
    pub(super) fn clear(&mut self) -> Option<Item> {
        self.running = None;
        self.waiting.take()
    }
}
