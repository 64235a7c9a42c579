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
const BYTES_PER_S: f64 = 1_300.0;
/// Bytes that may be sent at once, for instance after a partition.
const BURST_BYTES: f64 = 12_000.0;
/// Bytes of a starting process, which may have spent its budget in a life just before.
const INITIAL_BYTES: f64 = 2_000.0;
/// Bytes a second of pages and shards in the long run.
const BULK_BYTES_PER_S: f64 = 1_000.0;
/// Bytes of pages and shards at once: several whole configurations.
const BULK_BURST_BYTES: f64 = 4_000_000.0;

/// Signs of life on a bad network must not silence comparisons of tables long after it is well;
/// alone they stay below half of 3 KB a second.
const MIN_BALANCE_BYTES: f64 = -2_000.0;
/// Changes in a repair that doesn't wait: it answers a question about a few members.
const MAX_URGENT_REPAIR: usize = 8;

/// What is left to send.
#[derive(Clone, Debug)]
pub struct Budget {
    balance_bytes: f64,
    bulk_bytes: f64,
    filled_at: Option<Now>,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            balance_bytes: INITIAL_BYTES,
            bulk_bytes: BULK_BURST_BYTES,
            filled_at: None,
        }
    }
}

impl Budget {
    /// Adds what was earned since the last call.
    pub fn fill(&mut self, now: Now) {
        let last = self.filled_at.replace(now).unwrap_or(now);
        let passed = now.saturating_sub(last).as_secs_f64();
        self.balance_bytes = (self.balance_bytes + passed * BYTES_PER_S).min(BURST_BYTES);
        self.bulk_bytes = (self.bulk_bytes + passed * BULK_BYTES_PER_S).min(BULK_BURST_BYTES);
    }

    /// Whether more than signs of life may be sent.
    pub fn has_spare(&self) -> bool {
        self.balance_bytes > 0.0
    }

    /// Counts a message; returns whether it may be sent.
    pub fn spend(&mut self, body: &Body, bytes: usize) -> bool {
        let bytes = bytes as f64;
        if matches!(
            body,
            Body::JoinPage { .. } | Body::Head { .. } | Body::Shards { .. }
        ) {
            if self.bulk_bytes <= 0.0 {
                return false;
            }
            self.bulk_bytes -= bytes;
            return true;
        }
        if is_deferrable(body) && !self.has_spare() {
            return false;
        }
        self.balance_bytes = (self.balance_bytes - bytes).max(MIN_BALANCE_BYTES);
        true
    }
}

fn is_deferrable(body: &Body) -> bool {
    match body {
        Body::Rumour { updates } => !updates.iter().any(is_leaving),
        Body::Repair { updates, wanted } => updates.len() + wanted.len() > MAX_URGENT_REPAIR,
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
