//! Metadata of a caller's request. The core never sees the body.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{Fingerprint, Priority, RequestId, ServiceId, TeamId};

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkClass {
    /// It may run more than once.
    Idempotent,
    /// It must run at most once.
    NonIdempotent,
}

/// Metadata of a caller's request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Request {
    /// Id that the caller resumes by and operators search for.
    pub id: RequestId,
    /// Service whose upstreams run it.
    pub service: ServiceId,
    /// Team whose limit and fair share it counts against.
    pub team: TeamId,
    /// Priority, 0 (highest) to 7.
    pub priority: Priority,
    /// Time left until its deadline when it arrived.
    pub deadline: Duration,
    /// Whether it may run more than once.
    pub class: WorkClass,
    /// Key that identifies retries of the same non-idempotent request.
    pub idempotency_key: Option<String>,
    /// Hash of service and content, the same for each retry.
    pub fingerprint: Fingerprint,
    /// Hash of the prompt's first block, for prefix-cache affinity.
    pub prefix: Option<u64>,
    /// Tokens in the prompt; 0 for services without tokens.
    pub prompt_tokens: u32,
    /// Largest number of tokens to generate; 0 for services without tokens.
    pub max_tokens: u32,
    /// Tokens that the caller has already received; above 0 when it resumes an answer.
    pub resume_from: u32,
}

/// Load of an upstream, reported with each answer and bounce.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Load {
    /// Requests that the upstream is running.
    pub in_flight: u32,
    /// Requests waiting in the upstream process's queue.
    pub queued: u32,
    /// Estimated tokens that the queued requests need.
    pub queued_tokens: u64,
    /// Predicted wait of a new request, in milliseconds.
    pub predicted_wait_ms: u32,
}
