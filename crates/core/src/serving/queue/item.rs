//! Queued work.

use std::time::Duration;

use crate::types::{AttemptId, Now, Request};

/// Cost of a prompt token relative to a generated one. Engines prefill some 30 to 60 times faster
/// than they generate.
const PROMPT_TOKEN_COST: f64 = 1.0 / 40.0;

/// An attempt that is queued at the upstream.
#[derive(Clone, Debug)]
pub struct Item {
    /// Identifies the attempt in all messages about it.
    pub attempt: AttemptId,
    /// Request that the attempt runs.
    pub request: Request,
    /// Arrival time at the upstream.
    pub arrived: Now,
    /// Latest start that is expected to meet the deadline; the item is dropped at this time.
    pub latest_start: Now,
    /// Wait that was predicted on arrival, before correction by [`super::WaitCorrections`].
    pub predicted_wait: Duration,
    /// Tokens that are expected to be generated; a plain call counts as one.
    pub expected_tokens: f64,
    /// Whether the expected tokens reach [`super::Policy::long_tokens`].
    pub long: bool,
}

impl Item {
    /// Expected cost in generated tokens, with the prompt included at its lower cost.
    #[must_use]
    pub fn cost(&self) -> f64 {
        self.expected_tokens + f64::from(self.request.prompt_tokens) * PROMPT_TOKEN_COST
    }
}
