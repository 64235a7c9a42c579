//! Timers of a state machine, in one ordered set instead of one task per timer.

use std::collections::BTreeSet;
use std::sync::{Mutex, PoisonError};

use eelgrasshold_core::types::Now;
use tokio::sync::Notify;

use super::Clock;

/// Pending timers by due time. A timer that is set again for the same time fires once.
#[derive(Debug)]
pub struct Timers<T> {
    pending: Mutex<BTreeSet<(Now, T)>>,
    earliest_changed: Notify,
}

impl<T: Ord + Copy> Timers<T> {
    /// Creates an empty set.
    #[must_use]
    pub fn new() -> Self {
        Self {
            pending: Mutex::new(BTreeSet::new()),
            earliest_changed: Notify::new(),
        }
    }

    /// Adds a timer that fires at `at`, or as soon as possible if that has passed. Timers can't be
    /// cancelled.
    pub fn set(&self, at: Now, timer: T) {
        let mut pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        let earliest = pending.first().is_none_or(|(first, _)| at < *first);
        pending.insert((at, timer));
        drop(pending);
        if earliest {
            self.earliest_changed.notify_one();
        }
    }

    /// Calls `fire` for each timer when it is due, earliest first; never returns.
    pub async fn run(&self, clock: Clock, fire: impl Fn(T)) {
        loop {
            let next = self.next_due();
            match next {
                None => self.earliest_changed.notified().await,
                Some(at) if at > clock.now() => {
                    tokio::select! {
                        () = tokio::time::sleep_until(clock.instant(at)) => {}
                        () = self.earliest_changed.notified() => {}
                    }
                }
                Some(_) => {
                    for timer in self.take_due(clock.now()) {
                        fire(timer);
                    }
                }
            }
        }
    }

    fn next_due(&self) -> Option<Now> {
        let pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        pending.first().map(|(at, _)| *at)
    }

    fn take_due(&self, now: Now) -> Vec<T> {
        let mut pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        let mut due = Vec::new();
        while let Some((at, timer)) = pending.first().copied() {
            if at > now {
                break;
            }
            pending.pop_first();
            due.push(timer);
        }
        due
    }
}

impl<T: Ord + Copy> Default for Timers<T> {
    fn default() -> Self {
        Self::new()
    }
}
