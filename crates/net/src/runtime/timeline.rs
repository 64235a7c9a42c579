//! The process's event timeline: its ring of events and its hybrid clock.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime};

use eelgrasshold_core::event::{
    Event, EventKind, Fact, HybridClock, LineVerdict, LogLimiter, Record, Ring, Stamp,
};
use eelgrasshold_core::types::HostId;
use log::kv::{self, Key, Source, Value, VisitSource};

use super::Clock;
use crate::metrics::Metrics;

/// Events that a process keeps.
const RING_CAPACITY: usize = 4_096;
/// Events that a process keeps whose log has all of them.
const SHORT_RING_CAPACITY: usize = 256;
/// Events of requests and work, which are frequent, are logged at a lower level.
const FREQUENT_EVENT_NUMBERS: std::ops::Range<u16> = 2_000..4_000;

#[derive(Debug)]
struct State {
    clock: HybridClock,
    ring: Ring,
    cap: LogLimiter,
}

/// Keeps, stamps and logs events.
#[derive(Debug)]
pub struct Timeline {
    state: Mutex<State>,
    metrics: Option<Metrics>,
    /// Clock of the budgets of lines, where the log has all events.
    logs_all: Option<Clock>,
}

impl Timeline {
    /// An empty event timeline of a process; with metrics, events are counted there.
    #[must_use]
    pub fn new(host: HostId, metrics: Option<Metrics>) -> Self {
        Self::with_ring(Ring::new(host, RING_CAPACITY), metrics, None)
    }

    /// A event timeline whose events all go to the log, within a budget for each kind.
    #[must_use]
    pub fn logging_all(host: HostId, metrics: Option<Metrics>, clock: Clock) -> Self {
        Self::with_ring(Ring::new(host, SHORT_RING_CAPACITY), metrics, Some(clock))
    }

    fn with_ring(ring: Ring, metrics: Option<Metrics>, logs_all: Option<Clock>) -> Self {
        Self {
            state: Mutex::new(State {
                clock: HybridClock::default(),
                ring,
                cap: LogLimiter::default(),
            }),
            metrics,
            logs_all,
        }
    }

    /// Stamps, keeps and logs an event.
    pub fn record(&self, event: Event) {
        if let Some(metrics) = &self.metrics {
            metrics.count_event(event.kind.number(), event.kind.name());
        }
        let kind = event.kind;
        let mut state = self.lock();
        let stamp = state.clock.tick(SystemTime::now());
        let Some(clock) = &self.logs_all else {
            write(Self::level(kind.number()), state.ring.push(stamp, event));
            return;
        };
        let now = clock.now();
        let verdict = state.cap.decide(now, kind);
        let record = state.ring.push(stamp, event);
        if verdict == LineVerdict::Write {
            write(log::Level::Info, record);
        }
        for (kind, count) in state.cap.take_left_out(now) {
            let stamp = state.clock.tick(SystemTime::now());
            let event = Event::new(EventKind::LinesLeftOut, kind.name()).with("count", count);
            write(log::Level::Warn, state.ring.push(stamp, event));
        }
    }

    fn level(number: u16) -> log::Level {
        if FREQUENT_EVENT_NUMBERS.contains(&number) {
            log::Level::Debug
        } else {
            log::Level::Info
        }
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

/// Writes one line of the log.
fn write(level: log::Level, record: &Record) {
    let facts = Facts(record);
    log::logger().log(
        &log::Record::builder()
            .level(level)
            .target(module_path!())
            .key_values(&facts)
            .args(format_args!("{}", record.detail))
            .build(),
    );
}

/// What a record names, as key-value pairs.
struct Facts<'a>(&'a Record);

impl Source for Facts<'_> {
    fn visit<'kvs>(&'kvs self, visitor: &mut dyn VisitSource<'kvs>) -> Result<(), kv::Error> {
        let record = self.0;
        visitor.visit_pair(Key::from_str("event"), Value::from(record.number))?;
        visitor.visit_pair(Key::from_str("name"), Value::from(record.name.as_str()))?;
        visitor.visit_pair(Key::from_str("host"), Value::from(record.host.as_str()))?;
        if let Some(request) = &record.request {
            visitor.visit_pair(Key::from_str("request"), Value::from(request.as_str()))?;
        }
        if let Some(group) = &record.group {
            visitor.visit_pair(Key::from_str("group"), Value::from(group.as_str()))?;
        }
        visitor.visit_pair(Key::from_str("stamp"), Value::from_display(&record.stamp))?;
        for (name, fact) in &record.facts {
            let value = match fact {
                Fact::Number(number) => Value::from(*number),
                Fact::Text(text) => Value::from(text.as_str()),
            };
            visitor.visit_pair(Key::from_str(name), value)?;
        }
        Ok(())
    }
}
