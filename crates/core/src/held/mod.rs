//! Which bytes a process holds for others, and what it gives up when there are too many.
//!
//! One budget covers request bodies that arrive, those whose requests are in flight, and answers that
//! callers have not read. Bytes are reserved before they are stored. A part of the budget is reserved for
//! holds of up to [`SMALL_BYTES`], so that large ones can't displace them. If a reservation does not
//! fit, the holds with the most byte-seconds still to come are evicted, unless they progress well or must be
//! kept; if none is left, the reservation is refused.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::types::Now;

/// Largest hold that may use the reserved part, in bytes.
pub const SMALL_BYTES: usize = 64 << 10;
/// Smallest size that follows from the memory of the machine, in bytes.
pub const MIN_CAPACITY_BYTES: usize = 16 << 20;
/// Size if nothing is known of the machine, in bytes.
pub const DEFAULT_CAPACITY_BYTES: usize = 64 << 20;
/// Share of the machine's memory that is the default size.
const MEMORY_SHARE: (usize, usize) = (2, 5);
/// Share of the budget that is reserved for small holds.
const SMALL_SHARE: usize = 4;
/// Holds that are expected to end within this time are not evicted: a body of 4 MiB takes 340 ms over a
/// link of 100 Mbit/s.
const IN_TIME: Duration = Duration::from_millis(500);

/// Identifies a hold of a [`Held`]; never used twice.
pub type HoldId = u64;

/// Default size of the budget, in bytes, on a machine with this much memory, in MiB.
#[must_use]
pub fn default_capacity(memory_mib: Option<usize>) -> usize {
    memory_mib.map_or(DEFAULT_CAPACITY_BYTES, |mib| {
        let (share, whole) = MEMORY_SHARE;
        (mib.saturating_mul(share << 20) / whole).max(MIN_CAPACITY_BYTES)
    })
}

/// What the bytes of a hold are waiting for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Their own end; the request has not run.
    Arriving,
    /// The end of a request that may have run, or the rest of an answer. It is never evicted.
    Kept,
    /// A caller that reads them.
    Leaving,
}

#[derive(Clone, Debug)]
struct Hold {
    phase: Phase,
    reserved: usize,
    /// Bytes that have arrived.
    arrived: usize,
    /// Bytes that will arrive in all, if that was announced.
    announced: Option<usize>,
    /// When the phase began.
    since: Now,
    progress_at: Now,
}

impl Hold {
    fn is_small(&self) -> bool {
        self.reserved <= SMALL_BYTES
    }

    /// Expected time until the hold ends, from its progress so far. Where the end is not known, it is taken
    /// to last as long again.
    fn time_left(&self, now: Now) -> Duration {
        let elapsed = now.saturating_sub(self.since);
        let idle = now.saturating_sub(self.progress_at);
        let left = match (self.phase, self.announced) {
            (Phase::Arriving, Some(all)) if self.arrived > 0 => {
                let ratio = all.saturating_sub(self.arrived) as f64 / self.arrived as f64;
                elapsed.mul_f64(ratio.min(1e3))
            }
            _ => elapsed,
        };
        left.max(idle)
    }

    /// Byte-seconds that are expected to be held yet; `None` if the hold may not be evicted.
    fn cost(&self, now: Now) -> Option<f64> {
        let left = self.time_left(now);
        let may_end = self.phase != Phase::Kept && self.reserved > 0 && left > IN_TIME;
        may_end.then_some(self.reserved as f64 * left.as_secs_f64())
    }
}

/// Answer to a reservation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reservation {
    /// The bytes may be stored, once these other holds have been told that they are evicted. Their bytes
    /// no longer count.
    Granted(Vec<HoldId>),
    /// The bytes may not be stored.
    Refused,
}

/// The budget and all holds.
#[derive(Clone, Debug)]
pub struct Held {
    capacity: usize,
    holds: BTreeMap<HoldId, Hold>,
    next: HoldId,
    evictions: u64,
}

impl Held {
    /// Creates an empty budget of `capacity` bytes.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            holds: BTreeMap::new(),
            next: 0,
            evictions: 0,
        }
    }

    /// Size of the budget, in bytes.
    #[must_use]
    pub fn capacity(&self) -> usize {
        self.capacity
    }

    /// Reserved bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.holds.values().map(|h| h.reserved).sum()
    }

    /// Number of holds that were evicted so far.
    #[must_use]
    pub fn evictions(&self) -> u64 {
        self.evictions
    }

    /// Adds a hold without bytes for a body that arrives. `announced` is its size, if known.
    pub fn open(&mut self, now: Now, announced: Option<usize>) -> HoldId {
        self.next += 1;
        let hold = Hold {
            phase: Phase::Arriving,
            reserved: 0,
            arrived: 0,
            announced,
            since: now,
            progress_at: now,
        };
        self.holds.insert(self.next, hold);
        self.next
    }

    /// Extends the reservation of a hold to `bytes`. A hold that would be alone in its part of the budget
    /// is granted any size.
    pub fn reserve(&mut self, now: Now, id: HoldId, bytes: usize) -> Reservation {
        let Some(hold) = self.holds.get(&id) else {
            return Reservation::Refused;
        };
        if bytes <= hold.reserved {
            return Reservation::Granted(Vec::new());
        }
        let small = bytes <= SMALL_BYTES;
        let share = self.capacity / SMALL_SHARE;
        let part = if small { share } else { self.capacity - share };
        let others = |h: &Hold| h.reserved > 0 && h.is_small() == small;
        let rest = self.holds.iter().filter(|(other, _)| **other != id);
        let rest: Vec<(HoldId, &Hold)> = rest
            .filter(|(_, h)| others(h))
            .map(|(id, h)| (*id, h))
            .collect();
        let mut used: usize = rest.iter().map(|(_, h)| h.reserved).sum();
        let mut evicted = Vec::new();
        if used > 0 && used + bytes > part {
            let costs = rest
                .iter()
                .filter_map(|(id, h)| Some((h.cost(now)?, *id, h.reserved)));
            let mut costs: Vec<(f64, HoldId, usize)> = costs.collect();
            costs.sort_by(|a, b| b.0.total_cmp(&a.0));
            let mut candidates = costs.into_iter();
            while used > 0 && used + bytes > part {
                let Some((_, victim, reserved)) = candidates.next() else {
                    return Reservation::Refused;
                };
                used -= reserved;
                evicted.push(victim);
            }
        }
        for victim in &evicted {
            self.holds.remove(victim);
            self.evictions += 1;
        }
        if let Some(hold) = self.holds.get_mut(&id) {
            hold.reserved = bytes;
        }
        Reservation::Granted(evicted)
    }

    /// Records that `arrived` bytes of a hold have arrived in all.
    pub fn record_arrived(&mut self, now: Now, id: HoldId, arrived: usize) {
        if let Some(hold) = self.holds.get_mut(&id) {
            hold.arrived = arrived;
            hold.progress_at = now;
        }
    }

    /// Keeps a hold until it is closed: its request may run from now on. False if it was evicted.
    pub fn keep(&mut self, id: HoldId) -> bool {
        self.set_phase(id, Phase::Kept, None)
    }

    /// Records that the bytes of a hold are being sent to a caller. False if it was evicted.
    pub fn leave(&mut self, now: Now, id: HoldId) -> bool {
        self.set_phase(id, Phase::Leaving, Some(now))
    }

    fn set_phase(&mut self, id: HoldId, phase: Phase, since: Option<Now>) -> bool {
        let Some(hold) = self.holds.get_mut(&id) else {
            return false;
        };
        hold.phase = phase;
        if let Some(now) = since {
            (hold.since, hold.progress_at) = (now, now);
        }
        true
    }

    /// Removes a hold, evicted or not.
    pub fn close(&mut self, id: HoldId) {
        self.holds.remove(&id);
    }
}

#[cfg(test)]
mod tests;
