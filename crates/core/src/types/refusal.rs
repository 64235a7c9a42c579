//! Refusals and what they promise about the request.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// What is known about a refused request's execution.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Run {
    /// It certainly did not run.
    NotRun,
    /// It may have run, in part or as a whole.
    Unknown,
}

impl Run {
    /// Name, as in problem documents.
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
    /// The service does not exist.
    UnknownService,
    /// The team does not exist.
    UnknownTeam,
    /// No route takes the request.
    UnknownRoute,
    /// The request carries no known key.
    UnknownKey,
    /// Headers or body exceed their limit.
    TooLarge,
    /// The caller sent too slowly.
    TooSlow,
    /// The team is above its limit.
    TeamLimit,
    /// The deadline can't be met.
    Overloaded,
    /// The deadline passed.
    DeadlineExceeded,
    /// No upstream of the service can take it.
    NoUpstream,
    /// The idempotency key was used before.
    DuplicateKey,
    /// The claim of an idempotency key can't be written now.
    ClaimUnavailable,
    /// The request crashed upstreams before.
    CrashSuspect,
    /// The upstream failed and the retry budget or the rules allow no other attempt.
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
            Self::Overloaded | Self::NoUpstream | Self::ClaimUnavailable | Self::NotReady => 503,
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
            Self::UpstreamFailed => "upstream-failed",
            Self::NotReady => "not-ready",
        }
    }
}

/// A refused request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Refusal {
    /// Reason.
    pub kind: RefusalKind,
    /// Whether the request ran.
    pub run: Run,
    /// What happened and what the caller can do, in a sentence.
    pub detail: String,
    /// When a new try may succeed.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// A refusal of a request that certainly did not run.
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

    /// Adds the time after which a new try may succeed.
    #[must_use]
    pub fn with_retry_after(self, retry_after: Duration) -> Self {
        Self {
            retry_after: Some(retry_after),
            ..self
        }
    }
}
