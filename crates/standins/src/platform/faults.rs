//! Faults of the platform that tests switch on.

use std::time::Duration;

use super::Store;

/// Failure of the whole platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Outage {
    /// The platform works.
    #[default]
    None,
    /// Each call is answered with status 503 and has no effect.
    Unavailable,
    /// The connection of each call is closed without an answer, and the call has no effect.
    HangUp,
}

/// Faults that are switched on.
#[derive(Debug, Default)]
pub(super) struct Faults {
    pub(super) outage: Outage,
    /// Delay before each call is handled.
    pub(super) delay: Duration,
    /// Number of further writes with [`Self::lost_prefix`] whose answer is lost.
    pub(super) lost_answers: u32,
    pub(super) lost_prefix: String,
    /// Snapshot from which reads are answered while stale reads are on.
    pub(super) stale_store: Option<Store>,
}

impl Faults {
    /// Whether to lose the answer of a write that has taken effect; counts the answer as lost.
    pub(super) fn take_lost_answer(&mut self, key: &str) -> bool {
        let lost = self.lost_answers > 0 && key.starts_with(&self.lost_prefix);
        if lost {
            self.lost_answers -= 1;
        }
        lost
    }
}
