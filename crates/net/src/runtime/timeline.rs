//! Event timeline of a process: recent events, stamped by a hybrid logical clock and logged.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime};

use eelgrasshold_core::event::{
    Event, EventKind, Fact, HybridClock, LineVerdict, LogLimiter, Record, Ring, Stamp,
};
use eelgrasshold_core::types::HostId;
use log::kv::{self, Key, Source, Value, VisitSource};

use super::Clock;
use crate::metrics::Metrics;

/// Capacity of the ring of events.
const RING_CAPACITY: usize = 4_096;
/// Capacity of the ring if all events go to the log, which then holds the older ones.
const LOG_ALL_RING_CAPACITY: usize = 256;
/// Events of requests and work are frequent and therefore logged at level debug.
const FREQUENT_EVENT_NUMBERS: std::ops::Range<u16> = 2_000..4_000;

#[derive(Debug)]
struct State {
    clock: HybridClock,
    ring: Ring,
    limiter: LogLimiter,
}

/// Stamps, counts and logs the events of a process, and stores the most recent ones.
#[derive(Debug)]
pub struct Timeline {
    state: Mutex<State>,
    metrics: Option<Metrics>,
    /// Clock of the line limiter; set if all events go to the log.
    limiter_clock: Option<Clock>,
}

impl Timeline {
    /// Creates an empty event timeline. Events are also counted in `metrics`, if given, and logged
    /// at level info, or debug for frequent kinds.
    #[must_use]
    pub fn new(host: HostId, metrics: Option<Metrics>) -> Self {
        Self::with_ring(Ring::new(host, RING_CAPACITY), metrics, None)
    }

    /// Like [`Self::new`], but logs all events at level info, with the number of lines limited for
    /// each kind, and stores fewer events.
    #[must_use]
    pub fn logging_all(host: HostId, metrics: Option<Metrics>, clock: Clock) -> Self {
        Self::with_ring(Ring::new(host, LOG_ALL_RING_CAPACITY), metrics, Some(clock))
    }

    fn with_ring(ring: Ring, metrics: Option<Metrics>, limiter_clock: Option<Clock>) -> Self {
        Self {
            state: Mutex::new(State {
                clock: HybridClock::default(),
                ring,
                limiter: LogLimiter::default(),
            }),
            metrics,
            limiter_clock,
        }
    }

    /// Stamps, stores, counts and logs an event. If all events go to the log, the number of lines
    /// that the limiter omitted is reported periodically, as an event for each kind.
    pub fn record(&self, event: Event) {
        if let Some(metrics) = &self.metrics {
            metrics.count_event(event.kind.number(), event.kind.name());
        }
        let kind = event.kind;
        let mut state = self.lock();
        let stamp = state.clock.tick(SystemTime::now());
        let Some(clock) = &self.limiter_clock else {
            write_line(Self::level(kind.number()), state.ring.push(stamp, event));
            return;
        };
        let now = clock.now();
        let verdict = state.limiter.decide(now, kind);
        let record = state.ring.push(stamp, event);
        if verdict == LineVerdict::Write {
            write_line(log::Level::Info, record);
        }
        for (kind, count) in state.limiter.take_left_out(now) {
            let stamp = state.clock.tick(SystemTime::now());
            let event = Event::new(EventKind::LinesLeftOut, kind.name()).with("count", count);
            write_line(log::Level::Warn, state.ring.push(stamp, event));
        }
    }

    fn level(number: u16) -> log::Level {
        if FREQUENT_EVENT_NUMBERS.contains(&number) {
            log::Level::Debug
        } else {
            log::Level::Info
        }
    }

    /// Advances the hybrid clock and returns the stamp for an outgoing message.
    pub fn stamp(&self) -> Stamp {
        self.lock().clock.tick(SystemTime::now())
    }

    /// Merges the stamp of a received message into the hybrid clock and returns the age of the
    /// message; zero if the sender's clock is ahead.
    pub fn observe(&self, remote: Stamp) -> Duration {
        let here = self.lock().clock.observe(remote, SystemTime::now());
        Duration::from_millis(here.wall_ms.saturating_sub(remote.wall_ms))
    }

    /// Returns the stored events, oldest first.
    #[must_use]
    pub fn records(&self) -> Vec<Record> {
        self.lock().ring.records().cloned().collect()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn write_line(level: log::Level, record: &Record) {
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

/// Key-value pairs of a record, for the structured log.
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
