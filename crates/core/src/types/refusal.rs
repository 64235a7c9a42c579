//! Refusals, with the reason and whether the request may have run.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// What is known about the execution of a refused request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Run {
    /// It did not run on any upstream, so a retry is safe.
    NotRun,
    /// It may have run, partly or completely.
    Unknown,
}

impl Run {
    /// Name as written in problem documents.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
        }
    }
}

/// Reason of a refusal; each has an HTTP status and a problem type.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalKind {
    /// A header, the path or the body is malformed.
    BadRequest,
    /// The requested service is not configured.
    UnknownService,
    /// The requesting team is not configured.
    UnknownTeam,
    /// No route matches the request.
    UnknownRoute,
    /// The request carries no API key or an unknown one.
    UnknownKey,
    /// Headers or body exceed their size limit.
    TooLarge,
    /// The caller did not send its request within the time limit.
    TooSlow,
    /// The team is above its limit.
    TeamLimit,
    /// The deadline can't be met under the current load.
    Overloaded,
    /// The deadline passed before the request was answered.
    DeadlineExceeded,
    /// No upstream of the service can take the request.
    NoUpstream,
    /// The idempotency key was used before.
    DuplicateKey,
    /// The claim of the idempotency key can't be written at the moment.
    ClaimUnavailable,
    /// Upstreams crashed when they ran the request before.
    CrashSuspect,
    /// Upstreams ended when they began to answer requests that have something in common with this one.
    Quarantined,
    /// The upstream failed, and the retry budget or the retry rules allow no other attempt.
    UpstreamFailed,
    /// This host has no configuration yet or is draining.
    NotReady,
}

impl RefusalKind {
    /// HTTP status of the refusal.
    #[must_use]
    pub fn status(self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::UnknownService | Self::UnknownRoute => 404,
            Self::UnknownKey => 401,
            Self::UnknownTeam => 403,
            Self::TooLarge => 413,
            Self::TooSlow => 408,
            Self::TeamLimit => 429,
            Self::DuplicateKey => 409,
            Self::CrashSuspect => 422,
            Self::UpstreamFailed => 502,
            Self::DeadlineExceeded => 504,
            Self::Overloaded
            | Self::NoUpstream
            | Self::ClaimUnavailable
            | Self::Quarantined
            | Self::NotReady => 503,
        }
    }

    /// Last part of the problem type's URI.
    #[must_use]
    pub fn slug(self) -> &'static str {
        match self {
            Self::BadRequest => "bad-request",
            Self::UnknownService => "unknown-service",
            Self::UnknownTeam => "unknown-team",
            Self::UnknownRoute => "unknown-route",
            Self::UnknownKey => "unknown-key",
            Self::TooLarge => "too-large",
            Self::TooSlow => "too-slow",
            Self::TeamLimit => "team-limit",
            Self::Overloaded => "overloaded",
            Self::DeadlineExceeded => "deadline-exceeded",
            Self::NoUpstream => "no-upstream",
            Self::DuplicateKey => "duplicate-key",
            Self::ClaimUnavailable => "claim-unavailable",
            Self::CrashSuspect => "crash-suspect",
            Self::Quarantined => "quarantined",
            Self::UpstreamFailed => "upstream-failed",
            Self::NotReady => "not-ready",
        }
    }
}

/// A refused request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Refusal {
    /// Reason, which determines HTTP status and problem type.
    pub kind: RefusalKind,
    /// Whether the request may have run.
    pub run: Run,
    /// What happened and what the caller can do, in one sentence.
    pub detail: String,
    /// Time after which a retry may succeed, if it can be predicted.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// A refusal of a request that did not run on any upstream.
    #[must_use]
    pub fn not_run(kind: RefusalKind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            run: Run::NotRun,
            detail: detail.into(),
            retry_after: None,
        }
    }

    /// A refusal of a request that may have run.
    #[must_use]
    pub fn unknown(kind: RefusalKind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            run: Run::Unknown,
            detail: detail.into(),
            retry_after: None,
        }
    }

    /// Sets the time after which a retry may succeed.
    #[must_use]
    pub fn with_retry_after(self, retry_after: Duration) -> Self {
        Self {
            retry_after: Some(retry_after),
            ..self
        }
    }
}
