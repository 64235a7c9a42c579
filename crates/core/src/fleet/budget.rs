//! Byte budget for the messages that an entry host sends.
//!
//! Probes, heartbeat replies and comparisons of tables are always sent; they are a few
//! messages a second. Gossip and large repairs are dropped while the budget is overdrawn; a later
//! comparison of tables finds what was dropped. Pages of records and shards, which a
//! starting host needs at once, have a separate budget with a large burst.

use super::membership::State;
use super::message::{Body, Update};
use crate::types::Now;

/// Refill rate for all messages but bulk. With bulk, the average stays below 3 KB a second.
const BYTES_PER_S: f64 = 1_300.0;
/// Largest balance, spent for instance after a partition.
const BURST_BYTES: f64 = 12_000.0;
/// Balance at start. It is low since an earlier incarnation may just have spent a full budget.
const INITIAL_BYTES: f64 = 2_000.0;
/// Refill rate for pages and shards.
const BULK_BYTES_PER_S: f64 = 1_000.0;
/// Largest balance for pages and shards: several complete configurations.
const BULK_BURST_BYTES: f64 = 4_000_000.0;

/// Lower bound of the balance, so that probes sent on a lossy network don't hold back gossip
/// long after the network recovers. Probes alone stay below half of 3 KB a second.
const MIN_BALANCE_BYTES: f64 = -2_000.0;
/// Entries up to which a repair is sent at once: it answers a request for a few members.
const MAX_URGENT_REPAIR_ENTRIES: usize = 8;

/// Token bucket for regular messages and one for bulk messages.
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
    /// Refills both balances for the time since the last call.
    pub fn fill(&mut self, now: Now) {
        let last = self.filled_at.replace(now).unwrap_or(now);
        let passed = now.saturating_sub(last).as_secs_f64();
        self.balance_bytes = (self.balance_bytes + passed * BYTES_PER_S).min(BURST_BYTES);
        self.bulk_bytes = (self.bulk_bytes + passed * BULK_BYTES_PER_S).min(BULK_BURST_BYTES);
    }

    /// Whether messages that can be deferred may be sent.
    pub fn has_spare(&self) -> bool {
        self.balance_bytes > 0.0
    }

    /// Charges a message to the budget. Returns whether it may be sent.
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
        Body::Repair { updates, wanted } => {
            updates.len() + wanted.len() > MAX_URGENT_REPAIR_ENTRIES
        }
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
