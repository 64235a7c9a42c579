//! Changes that still have to be passed on.

use std::collections::BTreeMap;

use super::record::State;
use super::table::Table;
use crate::fleet::message::{SUMMARY_BYTES, Update};
use crate::types::HostId;

/// Rounds in which a change is sent to a few hosts at once, besides riding on probes.
const URGENT_ROUNDS: u32 = 2;

/// Room for changes in a message.
#[derive(Clone, Copy, Debug)]
pub struct Room {
    /// Bytes.
    pub bytes: usize,
    /// Only changes that don't wait for a probe.
    pub urgent_only: bool,
    /// Only changes of known lives: objections to suspicions must flow whatever the budget.
    pub short_only: bool,
}

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
    pub fn push(&mut self, host: HostId, state: State, whole: bool) {
        let whole = whole || self.queue.get(&host).is_some_and(|p| p.whole);
        let pending = Pending {
            sent: 0,
            urgent_rounds: match state {
                State::Leaving | State::Gone => URGENT_ROUNDS,
                State::Live if whole => URGENT_ROUNDS,
                // On a bad network suspicions and objections are many.
                State::Live | State::Suspect => 1,
            },
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

    /// Takes changes for a message to `copies` hosts: leaving members first, then the least sent.
    pub fn pack(&mut self, table: &Table, room: Room, copies: u32) -> Vec<Update> {
        let mut order: Vec<(bool, u32, HostId)> = Vec::new();
        for (host, pending) in &self.queue {
            if (room.urgent_only && pending.urgent_rounds == 0)
                || (room.short_only && pending.whole)
            {
                continue;
            }
            let leaving = table
                .get(host)
                .is_some_and(|m| m.record.state == State::Leaving);
            order.push((!leaving, pending.sent, host.clone()));
        }
        order.sort();
        let mut updates = Vec::new();
        let mut left = room.bytes;
        for (_, _, host) in order {
            if left < SUMMARY_BYTES {
                break;
            }
            if let Some(update) = self.take(table, &host, left, copies) {
                left -= update.size_bytes();
                updates.push(update);
            }
        }
        self.drop_finished(table);
        updates
    }

    fn take(&mut self, table: &Table, host: &str, left: usize, copies: u32) -> Option<Update> {
        let record = &table.get(host)?.record;
        let pending = self.queue.get_mut(host)?;
        let whole = pending.whole && record.state != State::Gone;
        let update = if whole {
            Update::Full(Box::new(record.clone()))
        } else {
            Update::Brief(record.summary())
        };
        if update.size_bytes() > left {
            return None;
        }
        pending.sent += copies;
        Some(update)
    }

    /// A change is sent about twice the logarithm of the number of hosts; what that misses is
    /// found by comparing tables.
    fn drop_finished(&mut self, table: &Table) {
        let hosts = table.entry_hosts().count() as u32;
        let limit = 2 * (u32::BITS - hosts.leading_zeros()) + 2;
        self.queue
            .retain(|host, p| p.sent < limit && table.get(host).is_some());
    }
}
