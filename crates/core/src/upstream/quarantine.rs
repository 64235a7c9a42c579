//! Quarantine of a request that is suspected of crashing upstreams.
//!
//! It runs alone, so that a crash has only one possible cause. While it waits for running and
//! queued work to end, and while it runs, new work is bounced.

use crate::serving::queue::Item;
use crate::types::{AttemptId, Now};

/// Holds at most one suspect, waiting or running.
#[derive(Clone, Debug, Default)]
pub(super) struct Quarantine {
    waiting: Option<Item>,
    running: Option<AttemptId>,
}

impl Quarantine {
    /// Whether there is a suspect, so that no new work is accepted.
    pub(super) fn is_active(&self) -> bool {
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

    /// Marks the waiting suspect as running and returns it.
    pub(super) fn start(&mut self) -> Option<Item> {
        let item = self.waiting.take()?;
        self.running = Some(item.attempt);
        Some(item)
    }

    /// Removes and returns the waiting suspect if it can no longer meet its deadline.
    pub(super) fn expire(&mut self, now: Now) -> Option<Item> {
        self.waiting.take_if(|item| item.latest_start <= now)
    }

    /// Ends the quarantine if it is for this attempt; returns the item if it was still waiting.
    pub(super) fn end(&mut self, attempt: AttemptId) -> Option<Item> {
        if self.running == Some(attempt) {
            self.running = None;
        }
        self.waiting.take_if(|item| item.attempt == attempt)
    }

    /// Ends any quarantine; returns the item if it was still waiting.
    pub(super) fn clear(&mut self) -> Option<Item> {
        self.running = None;
        self.waiting.take()
    }
}
