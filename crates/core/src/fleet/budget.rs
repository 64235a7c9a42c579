//! Bytes that an entry host sends to others.
//!
//! Signs of life and comparisons of tables always go out: a few messages a
//! second. Other changes wait for their budget, and what is left out is found
//! by a later comparison. Pages of
//! records and shards, which a starting host needs at once, have an allowance
//! of their own that fills slowly.

use super::membership::State;
use super::message::{Body, Update};
use crate::types::Now;

/// Bytes a second for everything but bulk. With bulk it stays below 3 KB a second on average.
const BYTES_PER_S: f64 = 1_200.0;
/// Bytes that may be sent at once, for instance after a partition.
const BURST_BYTES: f64 = 18_000.0;
/// Bytes of a starting process, which may have spent its budget in a life just before.
const START_BYTES: f64 = 6_000.0;
/// Bytes a second of pages and shards in the long run.
const BULK_BYTES_PER_S: f64 = 1_000.0;
/// Bytes of pages and shards at once: several whole configurations.
const BULK_BURST_BYTES: f64 = 4_000_000.0;

/// Signs of life on a bad network must not silence comparisons of tables long after it is well;
/// alone they stay below half of 3 KB a second.
const DEEPEST_DEBT_BYTES: f64 = -2_000.0;
/// Changes in a repair that doesn't wait: it answers a question about a few members.
const FEW: usize = 8;

/// What is left to send.
#[derive(Clone, Debug)]
pub struct Budget {
    bytes: f64,
    bulk: f64,
    filled_at: Option<Now>,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            bytes: START_BYTES,
            bulk: BULK_BURST_BYTES,
            filled_at: None,
        }
    }
}

impl Budget {
    /// Adds what was earned since the last call.
    pub fn fill(&mut self, now: Now) {
        let last = self.filled_at.replace(now).unwrap_or(now);
        let passed = now.saturating_sub(last).as_secs_f64();
        self.bytes = (self.bytes + passed * BYTES_PER_S).min(BURST_BYTES);
        self.bulk = (self.bulk + passed * BULK_BYTES_PER_S).min(BULK_BURST_BYTES);
    }

    /// Whether more than signs of life may be sent.
    pub fn has_spare(&self) -> bool {
        self.bytes > 0.0
    }

    /// Counts a message; returns whether it may be sent.
    pub fn spend(&mut self, body: &Body, bytes: usize) -> bool {
        let bytes = bytes as f64;
        if matches!(
            body,
            Body::JoinPage { .. } | Body::Head { .. } | Body::Shards { .. }
        ) {
            if self.bulk <= 0.0 {
                return false;
            }
            self.bulk -= bytes;
            return true;
        }
        if can_wait(body) && !self.has_spare() {
            return false;
        }
        self.bytes = (self.bytes - bytes).max(DEEPEST_DEBT_BYTES);
        true
    }
}

fn can_wait(body: &Body) -> bool {
    match body {
        Body::Rumour { updates } => !updates.iter().any(is_leaving),
        Body::Repair { updates, wanted } => updates.len() + wanted.len() > FEW,
        _ => false,
    }
}

fn is_leaving(update: &Update) -> bool {
    let state = match update {
        Update::Full(record) => record.state,
        Update::Brief(summary) => summary.state,
    };
    state == State::Leaving
}
