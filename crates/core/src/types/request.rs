//! A caller's request as the core sees it: metadata, never the body.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{Fingerprint, Priority, RequestId, ServiceId, TeamId};

/// Whether work may be run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkClass {
    /// Running it twice does no harm.
    Idempotent,
    /// It runs at most once.
    NonIdempotent,
}

/// Metadata of a caller's request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Request {
    /// Id by which the caller resumes and operators search.
    pub id: RequestId,
    /// Service that shall run it.
    pub service: ServiceId,
    /// Team that pays for it.
    pub team: TeamId,
    /// Priority, 0 (highest) to 7.
    pub priority: Priority,
    /// Time left to its deadline when it arrived.
    pub deadline: Duration,
    /// Whether it may be run again.
    pub class: WorkClass,
    /// Key that marks repeats of one non-idempotent request.
    pub idempotency_key: Option<String>,
    /// Hash of service and content, the same for each repeat.
    pub fingerprint: Fingerprint,
    /// Hash of the prompt's first block, for prefix-cache affinity.
    pub prefix: Option<u64>,
    /// Tokens in the prompt; 0 for plain services.
    pub prompt_tokens: u32,
    /// Most tokens that the caller asks for; 0 for plain services.
    pub max_tokens: u32,
    /// Tokens that the caller already has, when it resumes an answer.
    pub resume_from: u32,
}

/// Load of an upstream, sent back with each answer and bounce.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Load {
    /// Requests that the upstream is running.
    pub in_flight: u32,
    /// Requests that wait in the upstream process's queue.
    pub queued: u32,
    /// Tokens that queued requests are expected to need.
    pub queued_tokens: u64,
    /// Predicted wait of a new request, in milliseconds.
    pub predicted_wait_ms: u32,
}
