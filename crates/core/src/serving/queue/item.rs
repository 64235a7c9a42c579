//! Work that waits.

use std::time::Duration;

use crate::types::{AttemptId, Now, Request};

/// Cost of a prompt token in tokens produced. Engines prefill some 30 to 60
/// times faster than they produce.
const PROMPT_TOKEN_COST: f64 = 1.0 / 40.0;

/// An attempt that waits for the upstream.
#[derive(Clone, Debug)]
pub struct Item {
    /// Attempt.
    pub attempt: AttemptId,
    /// Its request.
    pub request: Request,
    /// When it arrived.
    pub arrived: Now,
    /// Latest start that is expected to meet the deadline; then the work is dropped.
    pub latest_start: Now,
    /// Wait that was predicted, before correction.
    pub predicted_wait: Duration,
    /// Tokens that it is expected to produce; a plain call counts as one.
    pub expected_tokens: f64,
    /// It is expected to be long.
    pub long: bool,
}

impl Item {
    /// Expected cost in tokens produced.
    #[must_use]
    pub fn cost(&self) -> f64 {
        self.expected_tokens + f64::from(self.request.prompt_tokens) * PROMPT_TOKEN_COST
    }
}
