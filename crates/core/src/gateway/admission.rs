//! Refuses streams that could not begin in time.
//!
//! Requests that wait at overloaded upstreams can't be cancelled there if their machines stand still,
//! and most of their callers leave without an answer. A host therefore sends no more than what will
//! begin soon: by Little's law, a request waits for as long as the requests before it take at the
//! present rate, which is that of first events. The estimate counts only while requests do wait: at
//! an idle service, the rate says nothing.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::types::{Now, RequestId, ServiceId};

/// Share of a caller's patience in which the first event has to be expected. The rest is for another
/// upstream, if the first one stands still.
const WAIT_SHARE_OF_PATIENCE: f64 = 0.4;
/// Share of the patience for which some request has waited if the service is overloaded.
const OVERLOAD_SHARE_OF_PATIENCE: f64 = 0.25;
/// Period over which first events are counted.
const RATE_PERIOD: Duration = Duration::from_secs(2);
/// Waiting requests that are few at any rate.
const FEW_WAITING: usize = 4;

/// A request that was sent and has got no event yet.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    sent_at: Now,
    priority: u8,
}

#[derive(Clone, Debug, Default)]
struct Service {
    waiting: BTreeMap<RequestId, Waiting>,
    /// Times of the first events within [`RATE_PERIOD`].
    begun_at: VecDeque<Now>,
}

/// Streams of this host that wait for their first events, by service.
#[derive(Clone, Debug, Default)]
pub struct Admission {
    services: BTreeMap<ServiceId, Service>,
}

impl Admission {
    /// Whether a new stream can be expected to begin in time. `left` is the time until its caller
    /// leaves.
    #[must_use]
    pub fn admits(
        &self,
        now: Now,
        service: &str,
        priority: u8,
        patience: Duration,
        left: Duration,
    ) -> bool {
        let time = patience.mul_f64(WAIT_SHARE_OF_PATIENCE).min(left);
        self.expected_wait(now, service, priority, patience) <= time
    }

    /// Time after which a stream that is sent now can be expected to begin; zero unless requests have
    /// to wait. Upstreams begin more urgent requests first, so only those that are as urgent are
    /// before it.
    #[must_use]
    pub fn expected_wait(
        &self,
        now: Now,
        service: &str,
        priority: u8,
        patience: Duration,
    ) -> Duration {
        let Some(state) = self.services.get(service) else {
            return Duration::ZERO;
        };
        let before = state.waiting.values().filter(|w| w.priority <= priority);
        let longest = before.clone().map(|w| now.saturating_sub(w.sent_at)).max();
        let count = before.count();
        let overload = patience.mul_f64(OVERLOAD_SHARE_OF_PATIENCE);
        if count < FEW_WAITING || longest.is_none_or(|l| l < overload) {
            return Duration::ZERO;
        }
        let begun = state.begun_at.iter().filter(|at| now < **at + RATE_PERIOD);
        let rate = begun.count() as f64 / RATE_PERIOD.as_secs_f64();
        Duration::try_from_secs_f64(count as f64 / rate).unwrap_or(Duration::MAX)
    }

    /// Records that a stream is sent to an upstream.
    pub fn record_send(&mut self, now: Now, service: &str, request: &RequestId, priority: u8) {
        let state = self.services.entry(service.to_owned()).or_default();
        let sent_at = now;
        let waiting = Waiting { sent_at, priority };
        state.waiting.insert(request.clone(), waiting);
    }

    /// Records that a stream has begun.
    pub fn record_begin(&mut self, now: Now, service: &str, request: &str) {
        let Some(state) = self.services.get_mut(service) else {
            return;
        };
        if state.waiting.remove(request).is_some() {
            state.begun_at.push_back(now);
            while state
                .begun_at
                .front()
                .is_some_and(|at| now >= *at + RATE_PERIOD)
            {
                state.begun_at.pop_front();
            }
        }
    }

    /// Records that an attempt has ended, with or without an event.
    pub fn record_end(&mut self, service: &str, request: &str) {
        if let Some(state) = self.services.get_mut(service) {
            state.waiting.remove(request);
        }
    }
}
