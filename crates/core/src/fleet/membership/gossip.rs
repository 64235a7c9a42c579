//! Queue of membership changes to disseminate.

use std::collections::BTreeMap;

use super::record::State;
use super::table::Table;
use crate::fleet::message::{SUMMARY_BYTES, Update};
use crate::types::HostId;

/// Rounds in which a change is sent to a few hosts at once, in addition to piggybacking on probes.
const URGENT_ROUNDS: u32 = 2;
/// Rounds for a leaving member. If six of seven hosts send to three of six others in two rounds
/// each, one host is missed in 7 of 4,096 cases, too often for new work to stop in time.
const LEAVING_ROUNDS: u32 = 4;

/// Limits for the changes packed into one message.
#[derive(Clone, Copy, Debug)]
pub struct PackLimits {
    /// Upper bound of the encoded size.
    pub max_bytes: usize,
    /// Pack only changes that have urgent rounds left.
    pub urgent_only: bool,
    /// Pack no complete records, so that refutations are sent even if the budget is overdrawn.
    pub brief_only: bool,
}

#[derive(Clone, Copy, Debug)]
struct Pending {
    copies_sent: u32,
    urgent_rounds: u32,
    full: bool,
}

/// Queue of changes with one entry per member: a newer change replaces an older one.
#[derive(Clone, Debug, Default)]
pub struct Gossip {
    queue: BTreeMap<HostId, Pending>,
}

impl Gossip {
    /// Queues a member's current state; `full` if others need the complete record.
    pub fn push(&mut self, host: HostId, state: State, full: bool) {
        let full = full || self.queue.get(&host).is_some_and(|p| p.full);
        let pending = Pending {
            copies_sent: 0,
            urgent_rounds: match state {
                State::Leaving => LEAVING_ROUNDS,
                State::Gone => URGENT_ROUNDS,
                State::Live if full => URGENT_ROUNDS,
                // A lossy network causes many suspicions and refutations.
                State::Live | State::Suspect => 1,
            },
            full,
        };
        self.queue.insert(host, pending);
    }

    /// Whether any change has urgent rounds left.
    #[must_use]
    pub fn is_urgent(&self) -> bool {
        self.queue.values().any(|p| p.urgent_rounds > 0)
    }

    /// Counts an urgent round as sent, for all queued changes.
    pub fn end_round(&mut self) {
        for pending in self.queue.values_mut() {
            pending.urgent_rounds = pending.urgent_rounds.saturating_sub(1);
        }
    }

    /// Packs changes into a message to `copies` hosts: leaving members first, then the changes that
    /// were sent the least.
    pub fn pack(&mut self, table: &Table, limits: PackLimits, copies: u32) -> Vec<Update> {
        let mut order: Vec<(bool, u32, HostId)> = Vec::new();
        for (host, pending) in &self.queue {
            let Some(record) = table.get(host).map(|m| &m.record) else {
                continue;
            };
            let leaving = record.state == State::Leaving;
            // Later states of a new incarnation are sent as summaries meanwhile.
            let announces_incarnation = record.state == State::Live && record.version == 0;
            let skip_full = limits.brief_only && pending.full && announces_incarnation;
            if skip_full || (limits.urgent_only && pending.urgent_rounds == 0) {
                continue;
            }
            order.push((!leaving, pending.copies_sent, host.clone()));
        }
        order.sort();
        let mut updates = Vec::new();
        let mut left = limits.max_bytes;
        for (_, _, host) in order {
            if left < SUMMARY_BYTES {
                break;
            }
            if let Some(update) = self.take(
                table,
                &host,
                PackLimits {
                    max_bytes: left,
                    ..limits
                },
                copies,
            ) {
                left -= update.size_bytes();
                updates.push(update);
            }
        }
        self.drop_finished(table);
        updates
    }

    fn take(
        &mut self,
        table: &Table,
        host: &str,
        limits: PackLimits,
        copies: u32,
    ) -> Option<Update> {
        let record = &table.get(host)?.record;
        let pending = self.queue.get_mut(host)?;
        let full = pending.full && record.state != State::Gone && !limits.brief_only;
        let update = if full {
            Update::Full(Box::new(record.clone()))
        } else {
            Update::Brief(record.summary())
        };
        if update.size_bytes() > limits.max_bytes {
            return None;
        }
        pending.copies_sent += copies;
        Some(update)
    }

    /// Drops changes that were sent about `2 * log2(hosts)` times. Hosts that these copies missed
    /// find the change when they compare tables.
    fn drop_finished(&mut self, table: &Table) {
        let hosts = table.entry_hosts().count() as u32;
        let max_copies = 2 * (u32::BITS - hosts.leading_zeros()) + 2;
        self.queue.retain(|host, p| {
            let unfinished = p.copies_sent < max_copies || p.urgent_rounds > 0;
            unfinished && table.get(host).is_some()
        });
    }
}
