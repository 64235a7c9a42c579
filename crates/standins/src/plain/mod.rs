//! Stand-in for a plain HTTP service: it echoes requests and records each run.
//!
//! The record tells a test whether a non-idempotent request ran twice, and the
//! echo whether an answer belongs to the request it came back for.

mod handler;
mod server;
mod state;

use serde::{Deserialize, Serialize};

pub use server::{PlainBuilder, PlainService};
pub use state::{Counters, Execution, Failure};

/// Answer to each request: what was asked.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Echo {
    /// Method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Value of `x-request-id`, or of `eel-request-id` if that is missing.
    pub request_id: String,
    /// Value of `idempotency-key`.
    pub idempotency_key: String,
    /// Body; bytes that are not UTF-8 are replaced.
    pub body: String,
}
