//! Changes that still have to be passed on.

use std::collections::BTreeMap;

use super::record::State;
use super::table::Table;
use crate::fleet::message::Update;
use crate::types::HostId;

/// Bytes of a short statement in a message, at most.
pub const SUMMARY_BYTES: usize = 28;
/// Rounds in which a change is sent to a few hosts at once, besides riding on probes.
const URGENT_ROUNDS: u32 = 3;

#[derive(Clone, Copy, Debug)]
struct Pending {
    sent: u32,
    urgent_rounds: u32,
    whole: bool,
}

/// Queue of changes, one per member: a newer change replaces an older one.
#[derive(Clone, Debug, Default)]
pub struct Gossip {
    queue: BTreeMap<HostId, Pending>,
}

impl Gossip {
    /// Queues a member's present state.
    pub fn push(&mut self, host: HostId, whole: bool) {
        let whole = whole || self.queue.get(&host).is_some_and(|p| p.whole);
        let pending = Pending {
            sent: 0,
            urgent_rounds: URGENT_ROUNDS,
            whole,
        };
        self.queue.insert(host, pending);
    }

    /// Whether changes wait for a message of their own.
    #[must_use]
    pub fn is_urgent(&self) -> bool {
        self.queue.values().any(|p| p.urgent_rounds > 0)
    }

    /// Ends a round of messages sent for changes alone.
    pub fn end_round(&mut self) {
        for pending in self.queue.values_mut() {
            pending.urgent_rounds = pending.urgent_rounds.saturating_sub(1);
        }
    }

    /// Takes changes for one message: leaving members first, then the least sent.
    pub fn pack(&mut self, table: &Table, budget_bytes: usize, urgent: bool) -> Vec<Update> {
        let mut order: Vec<(bool, u32, HostId)> = Vec::new();
        for (host, pending) in &self.queue {
            if urgent && pending.urgent_rounds == 0 {
                continue;
            }
            let leaving = table
                .get(host)
                .is_some_and(|m| m.record.state == State::Leaving);
            order.push((!leaving, pending.sent, host.clone()));
        }
        order.sort();
        let mut updates = Vec::new();
        let mut left = budget_bytes;
        for (_, _, host) in order {
            if left < SUMMARY_BYTES {
                break;
            }
            if let Some((update, size)) = self.take(table, &host, left) {
                left -= size;
                updates.push(update);
            }
        }
        self.drop_finished(table);
        updates
    }

    fn take(&mut self, table: &Table, host: &str, left: usize) -> Option<(Update, usize)> {
        let record = &table.get(host)?.record;
        let pending = self.queue.get_mut(host)?;
        let whole = pending.whole && record.state != State::Gone;
        let size = if whole {
            record.size_bytes()
        } else {
            SUMMARY_BYTES
        };
        if size > left {
            return None;
        }
        pending.sent += 1;
        let update = if whole {
            Update::Full(Box::new(record.clone()))
        } else {
            Update::Brief(record.summary())
        };
        Some((update, size))
    }

    /// A change is sent a few times the logarithm of the number of hosts; what that misses is
    /// found by comparing tables.
    fn drop_finished(&mut self, table: &Table) {
        let hosts = table.entry_hosts().count() as u32;
        let limit = 3 * (u32::BITS - hosts.leading_zeros()) + 3;
        self.queue
            .retain(|host, p| p.sent < limit && table.get(host).is_some());
    }
}
