//! Counters and histograms of a gateway.

use std::time::Duration;

use eelgrasshold_core::gateway::Outcome;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram, Meter};

use crate::metrics::Metrics;

/// Bucket bounds for latencies, in seconds: from a short call to the time limit of a request.
const LATENCY_BOUNDS_S: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 10.0,
];
/// Bucket bounds for pauses between events of a stream, in seconds.
const PAUSE_BOUNDS_S: [f64; 8] = [0.03, 0.06, 0.09, 0.12, 0.2, 0.4, 1.0, 2.0];

/// OpenTelemetry instruments of a gateway.
#[derive(Clone, Debug)]
pub(super) struct GatewayMetrics {
    requests: Counter<u64>,
    refusals: Counter<u64>,
    evictions: Counter<u64>,
    attempts: Counter<u64>,
    resumes: Counter<u64>,
    moved: Counter<u64>,
    not_sent_evacuated: Counter<u64>,
    connections_opened: Counter<u64>,
    store_calls: Counter<u64>,
    store_latency: Histogram<f64>,
    first_answer_latency: Histogram<f64>,
    request_latency: Histogram<f64>,
    event_pauses: Histogram<f64>,
}

impl GatewayMetrics {
    /// Counts a request that was not sent to the upstream that was chosen for it.
    pub(super) fn request_moved(&self) {
        self.moved.add(1, &[]);
    }

    /// Counts a request that was not sent somewhere, or refused, since data centres are evacuated. `step` is
    /// where that was decided.
    pub(super) fn request_not_sent_evacuated(&self, step: &'static str) {
        self.not_sent_evacuated
            .add(1, &[KeyValue::new("step", step)]);
    }

    /// Registers the instruments with the metrics of the process.
    pub(super) fn new(metrics: &Metrics) -> Self {
        let meter = metrics.meter();
        let histogram = |name: &'static str, text: &'static str, bounds: &[f64]| {
            let builder = meter.f64_histogram(name).with_description(text);
            builder
                .with_unit("s")
                .with_boundaries(bounds.to_vec())
                .build()
        };
        Self {
            requests: counter(
                &meter,
                "eelgrasshold_requests",
                "Requests that ended, by kind and outcome",
            ),
            refusals: counter(
                &meter,
                "eelgrasshold_refusals",
                "Refused requests by reason",
            ),
            evictions: counter(
                &meter,
                "eelgrasshold_requests_evicted",
                "Requests or answers given up since the held bytes exceeded their limit",
            ),
            attempts: counter(
                &meter,
                "eelgrasshold_attempts",
                "Sends to upstreams by outcome",
            ),
            moved: counter(
                &meter,
                "eelgrasshold_requests_moved",
                "Requests whose chosen upstream said meanwhile that it leaves or wants none",
            ),
            not_sent_evacuated: counter(
                &meter,
                "eelgrasshold_not_sent_evacuated",
                "Requests not sent to upstreams of evacuated data centres, by step",
            ),
            resumes: counter(
                &meter,
                "eelgrasshold_resumes",
                "Streams that went on at another upstream",
            ),
            connections_opened: counter(
                &meter,
                "eelgrasshold_upstream_connections_opened",
                "Connections to upstreams by result",
            ),
            store_calls: counter(
                &meter,
                "eelgrasshold_store_calls",
                "Calls to the platform's store by kind and result",
            ),
            store_latency: histogram(
                "eelgrasshold_store_call_duration",
                "Time of calls to the store that are no watches",
                &LATENCY_BOUNDS_S,
            ),
            first_answer_latency: histogram(
                "eelgrasshold_first_answer_duration",
                "Time from a request to the head or first event of its answer",
                &LATENCY_BOUNDS_S,
            ),
            request_latency: histogram(
                "eelgrasshold_request_duration",
                "Time from a request to the end of its answer",
                &LATENCY_BOUNDS_S,
            ),
            event_pauses: histogram(
                "eelgrasshold_event_pause_duration",
                "Time between two events of a stream",
                &PAUSE_BOUNDS_S,
            ),
        }
    }

    pub(super) fn request_ended(&self, kind: &'static str, outcome: &'static str, took: Duration) {
        let kind = KeyValue::new("kind", kind);
        self.request_latency
            .record(took.as_secs_f64(), std::slice::from_ref(&kind));
        self.requests
            .add(1, &[kind, KeyValue::new("outcome", outcome)]);
    }

    pub(super) fn request_refused(&self, reason: &'static str) {
        self.refusals.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts a request whose `what`, body or answer, was given up for lack of memory.
    pub(super) fn request_evicted(&self, what: &'static str) {
        self.evictions.add(1, &[KeyValue::new("what", what)]);
    }

    pub(super) fn attempt_ended(&self, outcome: Outcome) {
        self.attempts
            .add(1, &[KeyValue::new("outcome", outcome.name())]);
    }

    pub(super) fn stream_resumed(&self) {
        self.resumes.add(1, &[]);
    }

    pub(super) fn connection_opened(&self, succeeded: bool) {
        let result = if succeeded { "open" } else { "failed" };
        self.connections_opened
            .add(1, &[KeyValue::new("result", result)]);
    }

    pub(super) fn store_call_ended(
        &self,
        call: &'static str,
        result: &'static str,
        took: Duration,
    ) {
        let labels = [KeyValue::new("call", call), KeyValue::new("result", result)];
        self.store_calls.add(1, &labels);
        if call != "watch" {
            self.store_latency.record(took.as_secs_f64(), &labels[..1]);
        }
    }

    pub(super) fn first_answer(&self, kind: &'static str, took: Duration) {
        let kind = KeyValue::new("kind", kind);
        self.first_answer_latency
            .record(took.as_secs_f64(), &[kind]);
    }

    pub(super) fn event_pause(&self, pause: Duration) {
        self.event_pauses.record(pause.as_secs_f64(), &[]);
    }
}

fn counter(meter: &Meter, name: &'static str, text: &'static str) -> Counter<u64> {
    meter.u64_counter(name).with_description(text).build()
}

/// Resident memory of the process, in bytes; 0 if `/proc` is not available.
pub(super) fn resident_bytes() -> u64 {
    const PAGE_BYTES: u64 = 4_096;
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm
        .split_whitespace()
        .nth(1)
        .and_then(|p| p.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

/// Number of open descriptors of the process; 0 if `/proc` is not available.
pub(super) fn open_descriptors() -> u64 {
    let listed = std::fs::read_dir("/proc/self/fd");
    listed.map_or(0, |entries| entries.count() as u64)
}
