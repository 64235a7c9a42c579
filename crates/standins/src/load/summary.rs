//! Results of a load run.

use serde::Serialize;

/// Numbers of requests by outcome.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Outcomes {
    /// Requests whose complete answer was received and passed the check.
    pub whole: u64,
    /// Requests that the system refused and states not to have run.
    pub refused_not_run: u64,
    /// Refused requests that may have run.
    pub refused_unknown: u64,
    /// Requests without an answer, or whose answer broke off.
    pub cut: u64,
    /// Requests that were not sent, since no host accepted a connection.
    pub unreachable: u64,
    /// Requests whose answer failed the check.
    pub wrong: u64,
    /// Requests that were not sent at their time, since too many were in flight.
    pub not_sent: u64,
    /// Reason why the first wrong answer failed the check.
    pub first_wrong: Option<String>,
}

/// Quantiles of a latency, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Latency {
    /// Median; the quantiles have three significant digits.
    pub p50_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// Largest recorded latency; longer ones than 10 min are recorded as 10 min.
    pub max_ms: f64,
}

/// Results of the plain requests to one target.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TargetSummary {
    /// Complete answers per second, over the time without the warm-up.
    pub requests_per_s: f64,
    /// Latency of complete answers, from the scheduled time of the request; none without one.
    pub latency: Option<Latency>,
    /// Requests by outcome, without those of the warm-up.
    pub outcomes: Outcomes,
}

/// Latency through the system, compared with that of direct requests.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Comparison {
    /// Median through the system divided by the direct median.
    pub p50_ratio: f64,
    /// 99th percentile through the system divided by the direct one.
    pub p99_ratio: f64,
    /// Median through the system minus the direct median, in milliseconds.
    pub p50_added_ms: f64,
    /// 99th percentile through the system minus the direct one, in milliseconds.
    pub p99_added_ms: f64,
}

/// Results of the completion streams.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct StreamSummary {
    /// Streams that ended during the run, by outcome.
    pub outcomes: Outcomes,
    /// Streams that were still open at the end of the run.
    pub open_at_end: u64,
    /// Tokens received by streams that ended.
    pub tokens: u64,
    /// Resumptions of streams that ended.
    pub resumes: u64,
    /// Time to the first token of complete answers.
    pub first_token: Option<Latency>,
    /// Longest time between two tokens of each complete answer.
    pub longest_gap: Option<Latency>,
}

/// Results of a load run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Summary {
    /// Plain requests through the system.
    pub system: TargetSummary,
    /// Direct requests; none if the run had no URL for them.
    pub direct: Option<TargetSummary>,
    /// Comparison of both; none unless both targets gave complete answers.
    pub comparison: Option<Comparison>,
    /// Completion streams; all zero if the run had none.
    pub streams: StreamSummary,
}

impl Summary {
    pub(super) fn new(
        system: TargetSummary,
        direct: Option<TargetSummary>,
        streams: StreamSummary,
    ) -> Self {
        let system_latency = system.latency;
        let direct_latency = direct.as_ref().and_then(|direct| direct.latency);
        let comparison = system_latency.zip(direct_latency).map(|(s, d)| Comparison {
            p50_ratio: s.p50_ms / d.p50_ms,
            p99_ratio: s.p99_ms / d.p99_ms,
            p50_added_ms: s.p50_ms - d.p50_ms,
            p99_added_ms: s.p99_ms - d.p99_ms,
        });
        Self {
            system,
            direct,
            comparison,
            streams,
        }
    }

    /// Number of wrong answers, over plain requests, direct requests and streams.
    #[must_use]
    pub fn wrong_answers(&self) -> u64 {
        let direct = self.direct.as_ref().map_or(0, |d| d.outcomes.wrong);
        self.system.outcomes.wrong + direct + self.streams.outcomes.wrong
    }

    /// Number of complete answers through the system, over plain requests and streams.
    #[must_use]
    pub fn complete_answers(&self) -> u64 {
        self.system.outcomes.whole + self.streams.outcomes.whole
    }
}
