//! The process's time line: its ring of events and its hybrid clock.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime};

use eelgrasshold_core::event::{Event, HybridClock, Record, Ring, Stamp};
use eelgrasshold_core::types::HostId;

use crate::metrics::Metrics;

/// Events that a process keeps.
const RING_CAPACITY: usize = 4_096;
/// Events of requests and work, which are frequent, are logged at a lower level.
const FREQUENT: std::ops::Range<u16> = 2_000..4_000;

#[derive(Debug)]
struct State {
    clock: HybridClock,
    ring: Ring,
}

/// Keeps, stamps and logs events.
#[derive(Debug)]
pub struct Timeline {
    state: Mutex<State>,
    metrics: Option<Metrics>,
}

impl Timeline {
    /// An empty time line of a process; with metrics, events are counted there.
    #[must_use]
    pub fn new(host: HostId, metrics: Option<Metrics>) -> Self {
        let ring = Ring::new(host, RING_CAPACITY);
        Self {
            state: Mutex::new(State {
                clock: HybridClock::default(),
                ring,
            }),
            metrics,
        }
    }

    /// Stamps, keeps and logs an event.
    pub fn record(&self, event: Event) {
        if let Some(metrics) = &self.metrics {
            metrics.count_event(event.kind.number(), event.kind.name());
        }
        let mut state = self.lock();
        let stamp = state.clock.tick(SystemTime::now());
        let record = state.ring.push(stamp, event);
        let level = if FREQUENT.contains(&record.number) {
            log::Level::Debug
        } else {
            log::Level::Info
        };
        log::log!(
            level,
            event = record.number,
            name = record.name.as_str(),
            request = record.request.as_deref().unwrap_or(""),
            group = record.group.as_deref().unwrap_or(""),
            stamp:% = record.stamp;
            "{}",
            record.detail
        );
    }

    /// Stamp for an outgoing message.
    pub fn stamp(&self) -> Stamp {
        self.lock().clock.tick(SystemTime::now())
    }

    /// Takes the stamp of an incoming message and returns the message's age.
    pub fn observe(&self, remote: Stamp) -> Duration {
        let here = self.lock().clock.observe(remote, SystemTime::now());
        Duration::from_millis(here.wall_ms.saturating_sub(remote.wall_ms))
    }

    /// Kept events, oldest first.
    #[must_use]
    pub fn records(&self) -> Vec<Record> {
        self.lock().ring.records().cloned().collect()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
