//! Outcome counters and latency histograms.

use std::time::Duration;

use hdrhistogram::Histogram;

use super::summary::{Latency, Outcomes};
use crate::caller::Outcome;

/// Upper bound of the latency histogram, in microseconds; longer latencies are recorded as this.
const MAX_LATENCY_US: u64 = 600_000_000;

/// Counts outcomes and records the latencies of complete answers.
#[derive(Clone, Debug)]
pub(super) struct Tally {
    outcomes: Outcomes,
    latency_us: Histogram<u64>,
}

impl Tally {
    pub(super) fn new() -> Self {
        Self {
            outcomes: Outcomes::default(),
            latency_us: Histogram::new_with_bounds(1, MAX_LATENCY_US, 3)
                .expect("histogram bounds are valid"),
        }
    }

    pub(super) fn record(&mut self, outcome: &Outcome, latency: Duration) {
        let outcomes = &mut self.outcomes;
        match outcome {
            Outcome::Whole => {
                outcomes.whole += 1;
                self.record_latency(latency);
            }
            Outcome::RefusedNotRun => outcomes.refused_not_run += 1,
            Outcome::RefusedUnknown => outcomes.refused_unknown += 1,
            Outcome::Cut => outcomes.cut += 1,
            Outcome::Unreachable => outcomes.unreachable += 1,
            Outcome::Wrong(text) => {
                outcomes.wrong += 1;
                outcomes.first_wrong.get_or_insert_with(|| text.clone());
            }
        }
    }

    /// Counts a request that was not sent because too many were in flight.
    pub(super) fn record_not_sent(&mut self) {
        self.outcomes.not_sent += 1;
    }

    pub(super) fn record_latency(&mut self, latency: Duration) {
        let us = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        self.latency_us.saturating_record(us.max(1));
    }

    pub(super) fn outcomes(&self) -> Outcomes {
        self.outcomes.clone()
    }

    /// Quantiles of the recorded latencies; `None` without any.
    pub(super) fn latency(&self) -> Option<Latency> {
        if self.latency_us.is_empty() {
            return None;
        }
        let ms = |quantile| self.latency_us.value_at_quantile(quantile) as f64 / 1_000.0;
        Some(Latency {
            p50_ms: ms(0.5),
            p99_ms: ms(0.99),
            max_ms: self.latency_us.max() as f64 / 1_000.0,
        })
    }
}
