//! How many lines of each kind a process writes to its log.
//!
//! Under load, routine lines give way first: each kind has a budget of its own, and that of
//! failures is larger than any host can have failures worth reading. What is left out is counted
//! and told once a second.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{EventKind, Importance};
use crate::types::Now;

/// Lines a second of a routine kind, and lines that may follow each other at once. A host of a
/// quarter of a core serves fewer requests a second.
const ROUTINE: (f64, f64) = (120.0, 240.0);
/// The same for failures and beliefs.
const FAILURE: (f64, f64) = (600.0, 2_400.0);
/// Time between two accounts of lines that were left out.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(1);

/// What to do with a line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LineVerdict {
    /// Write it.
    Write,
    /// Leave it out.
    LeaveOut,
}

#[derive(Clone, Copy, Debug)]
struct Budget {
    lines: f64,
    filled_at: Now,
}

/// Budgets by kind.
#[derive(Clone, Debug, Default)]
pub struct LogLimiter {
    budgets: BTreeMap<EventKind, Budget>,
    left_out: BTreeMap<EventKind, u64>,
    taken_at: Now,
}

impl LogLimiter {
    /// Decides on a line.
    pub fn decide(&mut self, now: Now, kind: EventKind) -> LineVerdict {
        let (rate, burst) = match kind.importance() {
            Importance::Routine => ROUTINE,
            Importance::Failure => FAILURE,
        };
        let budget = self.budgets.entry(kind).or_insert(Budget {
            lines: burst,
            filled_at: now,
        });
        let passed = now.saturating_sub(budget.filled_at).as_secs_f64();
        budget.lines = (budget.lines + passed * rate).min(burst);
        budget.filled_at = now;
        if budget.lines < 1.0 {
            *self.left_out.entry(kind).or_default() += 1;
            return LineVerdict::LeaveOut;
        }
        budget.lines -= 1.0;
        LineVerdict::Write
    }

    /// Lines that were left out since the last account, by kind; empty if there are none or the
    /// next account is not due.
    pub fn take_left_out(&mut self, now: Now) -> BTreeMap<EventKind, u64> {
        let due = now.saturating_sub(self.taken_at) >= SUMMARY_INTERVAL;
        if !due || self.left_out.is_empty() {
            return BTreeMap::new();
        }
        self.taken_at = now;
        std::mem::take(&mut self.left_out)
    }
}
