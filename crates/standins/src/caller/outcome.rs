//! Outcomes of requests, and the problem documents of refusals.

use std::time::Duration;

use http::{HeaderMap, StatusCode};
use serde::{Deserialize, Serialize};

use crate::http_util::header;

/// How a request ended, as observed by its caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The complete answer was received, and it belongs to the request.
    Whole,
    /// The system refused the request and states that it did not run.
    RefusedNotRun,
    /// The system refused the request, which may have run.
    RefusedUnknown,
    /// No answer was received, or it broke off and could not be resumed.
    Cut,
    /// No entry host accepted a connection, so nothing was sent.
    Unreachable,
    /// The answer belongs to another request, lacks or repeats a token, ends early, or
    /// violates the protocol; the text says how.
    Wrong(String),
}

/// The outcome of a request, with its timing and the details of the answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Id under which the request was sent.
    pub request_id: String,
    /// How the request ended, and whether it may have run.
    pub outcome: Outcome,
    /// Status of the last answer whose head was received.
    pub status: Option<StatusCode>,
    /// Tokens received and checked; 0 for plain requests.
    pub tokens: u32,
    /// Number of streams that were opened to resume the completion.
    pub resumes: u32,
    /// Time until the first token of a completion or the answer's head of a plain request.
    pub time_to_first: Option<Duration>,
    /// Longest time between two consecutive tokens, resumptions included; zero with fewer than two.
    pub longest_gap: Duration,
    /// Time from the start of the request to its end.
    pub total: Duration,
    /// Value of the refusal's `retry-after` header.
    pub retry_after: Option<Duration>,
    /// Text of the refusal or of the last error; empty if there was neither.
    pub detail: String,
    /// Body of the answer to a plain request; empty if it was refused or broke off.
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

/// A refusal by the system, read from a problem document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Refusal {
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

/// Whether an answer is a refusal by the system rather than an answer of the service.
pub(super) fn is_problem(headers: &HeaderMap) -> bool {
    header(headers, "content-type").starts_with("application/problem+json")
}

/// Reads the problem document of a refusal. A document that does not say whether the request ran
/// gives [`Outcome::Wrong`], since clients would have to assume that it did.
pub(super) fn read_problem(headers: &HeaderMap, body: &[u8]) -> Refusal {
    let problem: Result<Problem, _> = serde_json::from_slice(body);
    let (outcome, detail) = match problem {
        Ok(problem) if problem.run == "not_run" => (Outcome::RefusedNotRun, problem.detail),
        Ok(problem) if problem.run == "unknown" => (Outcome::RefusedUnknown, problem.detail),
        Ok(problem) => {
            let text = format!("unknown value `{}` of `run` in the refusal", problem.run);
            (Outcome::Wrong(text), problem.detail)
        }
        Err(error) => {
            let text = format!("invalid problem document: {error}");
            (Outcome::Wrong(text), String::new())
        }
    };
    let retry_after = header(headers, "retry-after").parse().ok();
    Refusal {
        outcome,
        detail,
        retry_after: retry_after.map(Duration::from_secs),
    }
}
