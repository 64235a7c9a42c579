//! Rate limit on the log lines of each event kind.
//!
//! Each kind has a token bucket of its own, so that frequent routine lines don't displace
//! failures. The limit for failures is higher than the number that an operator could read.
//! Omitted lines are counted and reported once per second.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{EventKind, Importance};
use crate::types::Now;

/// Lines per second and burst of a routine kind. A host with a quarter of a core serves fewer
/// requests per second.
const ROUTINE_RATE_AND_BURST: (f64, f64) = (120.0, 240.0);
/// Lines per second and burst of a kind that reports a failure or a state change.
const FAILURE_RATE_AND_BURST: (f64, f64) = (600.0, 2_400.0);
/// Minimum interval between two reports of omitted lines.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Decision on a log line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LineVerdict {
    /// The bucket of its kind has a token: write the line.
    Write,
    /// The bucket of its kind is empty: omit the line, which is counted.
    Omit,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    lines: f64,
    filled_at: Now,
}

/// Token buckets and counts of omitted lines by event kind.
#[derive(Clone, Debug, Default)]
pub struct LogLimiter {
    buckets: BTreeMap<EventKind, Bucket>,
    left_out: BTreeMap<EventKind, u64>,
    reported_at: Now,
}

impl LogLimiter {
    /// Decides whether a line of this kind is written at `now`, and takes a token.
    pub fn decide(&mut self, now: Now, kind: EventKind) -> LineVerdict {
        let (rate, burst) = match kind.importance() {
            Importance::Routine => ROUTINE_RATE_AND_BURST,
            Importance::Failure => FAILURE_RATE_AND_BURST,
        };
        let bucket = self.buckets.entry(kind).or_insert(Bucket {
            lines: burst,
            filled_at: now,
        });
        let passed = now.saturating_sub(bucket.filled_at).as_secs_f64();
        bucket.lines = (bucket.lines + passed * rate).min(burst);
        bucket.filled_at = now;
        if bucket.lines < 1.0 {
            *self.left_out.entry(kind).or_default() += 1;
            return LineVerdict::Omit;
        }
        bucket.lines -= 1.0;
        LineVerdict::Write
    }

    /// Returns the lines omitted since the last report, by kind, and resets the counts. Empty if
    /// there are none or the next report is not due.
    pub fn take_left_out(&mut self, now: Now) -> BTreeMap<EventKind, u64> {
        let due = now.saturating_sub(self.reported_at) >= REPORT_INTERVAL;
        if !due || self.left_out.is_empty() {
            return BTreeMap::new();
        }
        self.reported_at = now;
        std::mem::take(&mut self.left_out)
    }
}
