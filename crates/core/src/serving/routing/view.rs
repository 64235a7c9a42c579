//! Load of an upstream as estimated by one entry host.

use std::time::Duration;

use crate::types::{Load, Now};

/// Half-life of the weight of a load report. Requests of other entry hosts that a report counted
/// end within seconds.
const REPORT_HALF_LIFE_S: f64 = 4.0;
/// Maximum age of a report whose predicted wait is used without decay.
const FRESH_REPORT_AGE: Duration = Duration::from_millis(500);
/// Expected delay, in milliseconds, that each request in flight adds to a new one: a larger batch
/// lengthens each engine step, and a full batch makes the request wait.
const COST_PER_REQUEST_MS: f64 = 50.0;

/// Maximum time for which an upstream is avoided that can't be reached or whose engine is down.
/// Probes test the engine in place of requests, and a successful one ends the avoidance earlier.
const MAX_AVOIDANCE: Duration = Duration::from_secs(30);
/// Interval between probes of an avoided upstream.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Load of an upstream as estimated by one entry host: own requests and the last report.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadView {
    /// Requests of this entry host that are in flight at the upstream.
    pub own_in_flight: u32,
    reported: Load,
    /// Own requests in flight when the report arrived; the report counts them too.
    own_at_report: u32,
    reported_at: Option<Now>,
    /// Time until which no request is sent; `probe_at` is when the next probe is due.
    avoided_until: Now,
    probe_at: Now,
}

impl LoadView {
    /// Stores a load report of the upstream, received at `now`.
    pub fn report(&mut self, now: Now, load: Load) {
        self.reported = load;
        self.own_at_report = self.own_in_flight;
        self.reported_at = Some(now);
    }

    /// Records that the upstream can't be reached, or refused work because its engine is down. It is
    /// avoided from now on, since its empty queue would otherwise attract requests.
    pub fn record_refusal(&mut self, now: Now) {
        self.avoided_until = now + MAX_AVOIDANCE;
        self.probe_at = now + PROBE_INTERVAL;
    }

    /// Records that the upstream began to answer, or that a probe found its engine up, which ends
    /// the avoidance.
    pub fn record_answer(&mut self) {
        self.avoided_until = Now::ZERO;
    }

    /// Whether a probe of the avoided upstream is due; if so, schedules the next one.
    pub fn take_probe(&mut self, now: Now) -> bool {
        let due = self.is_avoided(now) && now >= self.probe_at;
        if due {
            self.probe_at = now + PROBE_INTERVAL;
        }
        due
    }

    /// Whether the upstream recently refused work and gets no requests at `now`.
    #[must_use]
    pub fn is_avoided(&self, now: Now) -> bool {
        now < self.avoided_until
    }

    /// Estimated number of requests at the upstream: own requests, plus those of other entry hosts
    /// from the last report, weighted by its age.
    #[must_use]
    pub fn in_flight(&self, now: Now) -> f64 {
        let total = self.reported.in_flight.saturating_add(self.reported.queued);
        let others = f64::from(total.saturating_sub(self.own_at_report));
        f64::from(self.own_in_flight) + others * self.report_weight(now)
    }

    /// Expected delay of a new request due to the upstream's load, in milliseconds.
    #[must_use]
    pub fn cost_ms(&self, now: Now) -> f64 {
        let wait = f64::from(self.reported.predicted_wait_ms) * self.report_weight(now);
        wait + self.in_flight(now) * COST_PER_REQUEST_MS
    }

    /// Whether the last report predicts a wait for new work and is younger than its half-life.
    #[must_use]
    pub fn predicts_wait(&self, now: Now) -> bool {
        self.reported.predicted_wait_ms > 0 && self.report_weight(now) > 0.5
    }

    /// Predicted wait of a new request; zero if the last report is older than
    /// `FRESH_REPORT_AGE`.
    #[must_use]
    pub fn fresh_wait(&self, now: Now) -> Duration {
        let fresh = |at: Now| now.saturating_sub(at) <= FRESH_REPORT_AGE;
        if !self.reported_at.is_some_and(fresh) {
            return Duration::ZERO;
        }
        Duration::from_millis(self.reported.predicted_wait_ms.into())
    }

    /// Weight of the last report by its age, from 1 down to 0; 0 if there is none.
    fn report_weight(&self, now: Now) -> f64 {
        let Some(at) = self.reported_at else {
            return 0.0;
        };
        (-now.saturating_sub(at).as_secs_f64() / REPORT_HALF_LIFE_S).exp2()
    }
}
