//! Messages between hosts about upstreams: their limits, and those that leave.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Rate;
use crate::gateway::notices::LeavingReport;
use crate::gateway::registry::UpstreamId;

/// Number that the asking host gives to a question.
pub type QuestionId = u64;

/// Limit that an upstream named last, as far as a host knows.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Observation {
    /// Requests a second of all hosts together; `None` if it names no limit any more.
    pub rate: Option<Rate>,
    /// Time since the answer that named it.
    pub age: Duration,
}

/// Decision on one send to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Permit {
    /// The request may be sent.
    Granted,
    /// The limit is reached.
    Denied {
        /// Time until the next request may be sent.
        wait: Duration,
    },
}

/// Datagram between hosts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// May one request be sent to an upstream?
    Ask {
        /// Number of the question.
        question: QuestionId,
        /// The upstream.
        upstream: UpstreamId,
        /// What the asking host knows of its limit.
        observed: Observation,
    },
    /// Answer to a question.
    Answer {
        /// Number of the question.
        question: QuestionId,
        /// The decision.
        permit: Permit,
        /// The upstream.
        upstream: UpstreamId,
        /// What the accountant knows of its limit.
        observed: Observation,
    },
    /// Limits that are news to the receiver.
    Limits(Vec<(UpstreamId, Observation)>),
    /// Upstreams that said that they leave.
    Leaving(Vec<LeavingReport>),
}
