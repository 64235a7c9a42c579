//! Faults of the platform.

use std::time::Duration;

use super::Store;

/// How the platform fails as a whole.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Outage {
    /// It works.
    #[default]
    None,
    /// Each call is answered with status 503 and has no effect.
    Unavailable,
    /// No call is answered and none has an effect; its connection is closed.
    HangUp,
}

/// Faults in force.
#[derive(Debug, Default)]
pub(super) struct Faults {
    pub(super) outage: Outage,
    /// Time that each call waits before it is looked at.
    pub(super) delay: Duration,
    /// Writes whose answer is still to be lost, and the prefix of their keys.
    pub(super) lost_answers: u32,
    pub(super) lost_prefix: String,
    /// Store from which reads are answered while reads are stale.
    pub(super) stale: Option<Store>,
}

impl Faults {
    /// Whether the answer of a write that took effect is lost.
    pub(super) fn loses_answer(&mut self, key: &str) -> bool {
        let lost = self.lost_answers > 0 && key.starts_with(&self.lost_prefix);
        if lost {
            self.lost_answers -= 1;
        }
        lost
    }
}
