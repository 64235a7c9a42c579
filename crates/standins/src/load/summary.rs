//! Results of a load run.

use serde::Serialize;

/// Requests by what became of them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Outcomes {
    /// Whole answers.
    pub whole: u64,
    /// Refused, certainly not run.
    pub refused_not_run: u64,
    /// Refused, perhaps run.
    pub refused_unknown: u64,
    /// Without an answer, or broken off.
    pub cut: u64,
    /// No entry host accepted a connection.
    pub unreachable: u64,
    /// Answers that were wrong.
    pub wrong: u64,
    /// Due while too many were under way, and therefore not sent.
    pub not_sent: u64,
    /// What was wrong with the first wrong answer.
    pub first_wrong: Option<String>,
}

/// Quantiles of a latency, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Latency {
    /// Median.
    pub p50_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// Maximum.
    pub max_ms: f64,
}

/// Plain calls to one target.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TargetSummary {
    /// Whole answers a second.
    pub requests_per_s: f64,
    /// Latency of whole answers, from the time at which the call was due.
    pub latency: Option<Latency>,
    /// Outcomes.
    pub outcomes: Outcomes,
}

/// The system's latency against the direct one.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Comparison {
    /// Median through the system over the direct one.
    pub p50_ratio: f64,
    /// 99th percentile through the system over the direct one.
    pub p99_ratio: f64,
    /// Median through the system less the direct one.
    pub p50_added_ms: f64,
    /// 99th percentile through the system less the direct one.
    pub p99_added_ms: f64,
}

/// Drafts that were kept open.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct StreamSummary {
    /// Drafts that ended, by outcome.
    pub outcomes: Outcomes,
    /// Drafts that were still open at the end.
    pub open_at_end: u64,
    /// Tokens of drafts that ended.
    pub tokens: u64,
    /// Resumptions of drafts that ended.
    pub resumes: u64,
    /// Time to the first token.
    pub first_token: Option<Latency>,
    /// Longest time between two tokens of each draft.
    pub longest_gap: Option<Latency>,
}

/// Results of a load run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Summary {
    /// Calls through the system.
    pub system: TargetSummary,
    /// Direct calls.
    pub direct: Option<TargetSummary>,
    /// Both against each other.
    pub comparison: Option<Comparison>,
    /// Drafts.
    pub streams: StreamSummary,
}

impl Summary {
    pub(super) fn new(
        system: TargetSummary,
        direct: Option<TargetSummary>,
        streams: StreamSummary,
    ) -> Self {
        let through = system.latency;
        let direct_latency = direct.as_ref().and_then(|direct| direct.latency);
        let comparison = through.zip(direct_latency).map(|(s, d)| Comparison {
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

    /// Wrong answers of all kinds.
    #[must_use]
    pub fn wrong_answers(&self) -> u64 {
        let direct = self.direct.as_ref().map_or(0, |d| d.outcomes.wrong);
        self.system.outcomes.wrong + direct + self.streams.outcomes.wrong
    }

    /// Whole answers through the system.
    #[must_use]
    pub fn complete_answers(&self) -> u64 {
        self.system.outcomes.whole + self.streams.outcomes.whole
    }
}
