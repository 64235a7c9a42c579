//! What one entry host knows about the load of an upstream.

use std::time::Duration;

use crate::types::{Load, Now};

/// Time in which a report loses half its worth. Requests of other entry hosts
/// that a report counted end within seconds.
const REPORT_HALF_LIFE_S: f64 = 4.0;
/// Age up to which a reported wait counts as certain.
const FRESH_REPORT_AGE: Duration = Duration::from_millis(500);
/// Time that a request loses to each other one in flight: a larger batch makes
/// each of its steps longer, and a full one makes it wait.
const COST_PER_REQUEST_MS: f64 = 50.0;

/// Longest time for which an upstream is shunned that refused work because its engine is down.
/// A probe that finds the engine up ends it earlier, so that no request has to try.
const MAX_AVOIDANCE: Duration = Duration::from_secs(30);
/// Time between two probes of a shunned upstream.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// What one entry host knows about the load of an upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadView {
    /// Own requests in flight.
    pub own_in_flight: u32,
    reported: Load,
    /// Own requests in flight when the report came, which it counted too.
    own_at_report: u32,
    reported_at: Option<Now>,
    /// Until when nothing is sent, and when the next probe is due.
    avoided_until: Now,
    probe_at: Now,
}

impl LoadView {
    /// Takes a report of the upstream.
    pub fn report(&mut self, now: Now, load: Load) {
        self.reported = load;
        self.own_at_report = self.own_in_flight;
        self.reported_at = Some(now);
    }

    /// Notes that the upstream can't take any work, so that its empty queue attracts none.
    pub fn record_refusal(&mut self, now: Now) {
        self.avoided_until = now + MAX_AVOIDANCE;
        self.probe_at = now + PROBE_INTERVAL;
    }

    /// Notes that the upstream began to answer, or that a probe found its engine up.
    pub fn record_answer(&mut self) {
        self.avoided_until = Now::ZERO;
    }

    /// Whether to probe the upstream now; if so, the next probe is due an interval later.
    pub fn take_probe(&mut self, now: Now) -> bool {
        let due = self.is_avoided(now) && now >= self.probe_at;
        if due {
            self.probe_at = now + PROBE_INTERVAL;
        }
        due
    }

    /// Whether nothing is sent to the upstream for now.
    #[must_use]
    pub fn is_avoided(&self, now: Now) -> bool {
        now < self.avoided_until
    }

    /// Estimated requests that the upstream holds: own ones, and others by the last report.
    #[must_use]
    pub fn in_flight(&self, now: Now) -> f64 {
        let held = self.reported.in_flight.saturating_add(self.reported.queued);
        let others = f64::from(held.saturating_sub(self.own_at_report));
        f64::from(self.own_in_flight) + others * self.report_weight(now)
    }

    /// Time that a new request is expected to lose to the upstream's load, in milliseconds.
    #[must_use]
    pub fn cost_ms(&self, now: Now) -> f64 {
        let wait = f64::from(self.reported.predicted_wait_ms) * self.report_weight(now);
        wait + self.in_flight(now) * COST_PER_REQUEST_MS
    }

    /// Whether new work probably waits, by the last report.
    #[must_use]
    pub fn predicts_wait(&self, now: Now) -> bool {
        self.reported.predicted_wait_ms > 0 && self.report_weight(now) > 0.5
    }

    /// Predicted wait of a new request; zero if the last report is too old to tell.
    #[must_use]
    pub fn fresh_wait(&self, now: Now) -> Duration {
        let fresh = |at: Now| now.saturating_sub(at) <= FRESH_REPORT_AGE;
        if !self.reported_at.is_some_and(fresh) {
            return Duration::ZERO;
        }
        Duration::from_millis(self.reported.predicted_wait_ms.into())
    }

    /// Share of the last report that still counts.
    fn report_weight(&self, now: Now) -> f64 {
        let Some(at) = self.reported_at else {
            return 0.0;
        };
        (-now.saturating_sub(at).as_secs_f64() / REPORT_HALF_LIFE_S).exp2()
    }
}
