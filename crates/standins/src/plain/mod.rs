//! Stand-in for a plain HTTP service: it echoes requests and records each execution.
//!
//! From the records, a test finds out whether a non-idempotent request was
//! executed twice, and from the echo, whether an answer belongs to its request.

mod handler;
mod server;
mod state;

use serde::{Deserialize, Serialize};

pub use server::{PlainBuilder, PlainService};
pub use state::{Counters, Execution, Failure};

/// Answer to each request: the parts of the request that the service received.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Echo {
    /// HTTP method, in upper case.
    pub method: String,
    /// Path and query, with a leading slash.
    pub path: String,
    /// Value of `x-request-id`, or of `eel-request-id` if that is missing.
    pub request_id: String,
    /// Value of `idempotency-key`; empty if it is missing.
    pub idempotency_key: String,
    /// Request body; bytes that are not UTF-8 are replaced.
    pub body: String,
}
