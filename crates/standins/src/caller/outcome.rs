//! What became of a request.

use std::time::Duration;

use http::{HeaderMap, StatusCode};
use serde::{Deserialize, Serialize};

use crate::http_util::header;

/// What became of a request, as its caller sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The whole answer came, and it is the request's own.
    Whole,
    /// Refused, and it certainly did not run.
    RefusedNotRun,
    /// Refused, and it may have run.
    RefusedUnknown,
    /// No answer came, or it broke off and could not be resumed.
    Cut,
    /// No entry host accepted a connection, so nothing was sent.
    Unreachable,
    /// The answer is not the request's own, or it has a gap, a repeat or a wrong end.
    Wrong(String),
}

/// A request's outcome and how it came about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Request id.
    pub request_id: String,
    /// Outcome.
    pub outcome: Outcome,
    /// Status of the last answer that began.
    pub status: Option<StatusCode>,
    /// Tokens that came.
    pub tokens: u32,
    /// How often the draft was resumed.
    pub resumes: u32,
    /// Time until the first token, or until the answer's head for a plain call.
    pub time_to_first: Option<Duration>,
    /// Longest time between two tokens.
    pub longest_gap: Duration,
    /// Time until the end.
    pub total: Duration,
    /// Time after which the refusal asks to try again.
    pub retry_after: Option<Duration>,
    /// What the refusal says, or what else is to be said about the outcome.
    pub detail: String,
    /// Body of a plain answer.
    pub body: bytes::Bytes,
}

impl Report {
    pub(super) fn new(request_id: &str) -> Self {
        Self {
            request_id: request_id.to_owned(),
            outcome: Outcome::Unreachable,
            status: None,
            tokens: 0,
            resumes: 0,
            time_to_first: None,
            longest_gap: Duration::ZERO,
            total: Duration::ZERO,
            retry_after: None,
            detail: String::new(),
            body: bytes::Bytes::new(),
        }
    }
}

/// A refusal of the system.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Refused {
    pub(super) outcome: Outcome,
    pub(super) detail: String,
    pub(super) retry_after: Option<Duration>,
}

#[derive(Deserialize)]
struct Problem {
    #[serde(default)]
    detail: String,
    run: String,
}

/// Whether an answer is a refusal of the system rather than the service's own.
pub(super) fn is_problem(headers: &HeaderMap) -> bool {
    header(headers, "content-type").starts_with("application/problem+json")
}

/// Reads a refusal. Whoever can't read it must assume that the request ran.
pub(super) fn read_problem(headers: &HeaderMap, body: &[u8]) -> Refused {
    let problem: Result<Problem, _> = serde_json::from_slice(body);
    let (outcome, detail) = match problem {
        Ok(problem) if problem.run == "not_run" => (Outcome::RefusedNotRun, problem.detail),
        Ok(problem) if problem.run == "unknown" => (Outcome::RefusedUnknown, problem.detail),
        Ok(problem) => {
            let text = format!("the refusal has the unknown run `{}`", problem.run);
            (Outcome::Wrong(text), problem.detail)
        }
        Err(error) => {
            let text = format!("the refusal can't be read: {error}");
            (Outcome::Wrong(text), String::new())
        }
    };
    let retry_after = header(headers, "retry-after").parse().ok();
    Refused {
        outcome,
        detail,
        retry_after: retry_after.map(Duration::from_secs),
    }
}
