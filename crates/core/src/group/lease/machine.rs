//! State machine of a holder or candidate.

use std::time::Duration;

use super::{EARLY_END_PARTS, LeaseRecord, LeaseSettings};
use crate::group::map::FenceNumber;
use crate::platform::{Call, CallId, Condition, Reply, Version};
use crate::types::Now;

#[derive(Clone, Copy, Debug)]
struct Held {
    number: FenceNumber,
    version: Version,
    until: Now,
    renew_at: Now,
}

/// Another process's record as first seen.
#[derive(Clone, Copy, Debug)]
struct Seen {
    version: Version,
    since: Now,
    duration: Duration,
    number: FenceNumber,
}

#[derive(Clone, Copy, Debug)]
struct Write {
    id: u64,
    sent_at: Now,
    number: FenceNumber,
}

#[derive(Clone, Copy, Debug)]
enum Pending {
    Read(CallId, Option<Write>),
    Write(CallId, Write),
}

/// A process's view of the planner's lease.
#[derive(Clone, Debug)]
pub struct Lease {
    settings: LeaseSettings,
    held: Option<Held>,
    seen: Option<Seen>,
    pending: Option<Pending>,
    floor: FenceNumber,
    next_call: CallId,
    next_write: u64,
    next_look: Now,
}

impl Lease {
    /// A candidate that has seen nothing yet.
    #[must_use]
    pub fn new(settings: LeaseSettings) -> Self {
        Self {
            settings,
            held: None,
            seen: None,
            pending: None,
            floor: 0,
            next_call: 0,
            next_write: 0,
            next_look: Duration::ZERO,
        }
    }

    /// Fencing number if the lease is held at `now`. Ask just before each action.
    #[must_use]
    pub fn held(&self, now: Now) -> Option<FenceNumber> {
        self.held.filter(|h| now < h.until).map(|h| h.number)
    }

    /// Takes a number that an engine's process has seen. If it is above the own
    /// one, the object was made anew with a lower number: the lease is given up
    /// and taken again above it.
    pub fn observe_number(&mut self, number: FenceNumber) {
        self.floor = self.floor.max(number);
        if self.held.is_some_and(|h| h.number < number) {
            self.held = None;
        }
    }

    /// The platform call that is due at `now`, if any. Call at least every tenth of the duration.
    pub fn tick(&mut self, now: Now) -> Option<(CallId, Call)> {
        if self.pending.is_some() {
            return None;
        }
        match self.held {
            Some(held) if now < held.until && now >= held.renew_at => {
                Some(self.write(now, held.number, Condition::Version(held.version)))
            }
            Some(held) if now < held.until => None,
            Some(_) => {
                self.held = None;
                Some(self.read(None))
            }
            None if now >= self.next_look => Some(self.read(None)),
            None => None,
        }
    }

    /// Takes the answer to a call and returns the next call, if one follows at once.
    pub fn reply(&mut self, now: Now, id: CallId, reply: Reply) -> Option<(CallId, Call)> {
        match self.pending {
            Some(Pending::Read(call, unsettled)) if call == id => {
                self.pending = None;
                self.read_done(now, unsettled, reply)
            }
            Some(Pending::Write(call, write)) if call == id => {
                self.pending = None;
                self.write_done(now, write, &reply)
            }
            _ => None,
        }
    }

    fn read(&mut self, unsettled: Option<Write>) -> (CallId, Call) {
        let id = self.call_id();
        self.pending = Some(Pending::Read(id, unsettled));
        let key = self.settings.key.clone();
        (id, Call::Get { key })
    }

    fn write(&mut self, now: Now, number: FenceNumber, condition: Condition) -> (CallId, Call) {
        let id = self.call_id();
        self.next_write += 1;
        let write = Write {
            id: self.next_write,
            sent_at: now,
            number,
        };
        self.pending = Some(Pending::Write(id, write));
        let record = LeaseRecord {
            holder: self.settings.holder.clone(),
            incarnation: self.settings.incarnation,
            number,
            write: write.id,
            duration_ms: u64::try_from(self.settings.duration.as_millis()).unwrap_or(u64::MAX),
        };
        let value = serde_json::to_vec(&record).unwrap_or_default();
        let key = self.settings.key.clone();
        let call = Call::Put {
            key,
            value,
            condition,
        };
        (id, call)
    }

    fn call_id(&mut self) -> CallId {
        self.next_call += 1;
        self.next_call
    }

    fn read_done(
        &mut self,
        now: Now,
        unsettled: Option<Write>,
        reply: Reply,
    ) -> Option<(CallId, Call)> {
        match reply {
            Reply::Object { version, value } => match serde_json::from_slice(&value) {
                Ok(record) => self.record_read(now, unsettled, version, &record),
                // A malformed record has no holder; its version still guards the write.
                Err(_) => Some(self.write(now, self.floor + 1, Condition::Version(version))),
            },
            Reply::Missing => self.missing(now),
            _ if unsettled.is_some() => {
                self.next_look = now + self.settings.duration / 10;
                self.held = None;
                None
            }
            _ => {
                self.next_look = now + self.settings.poll_every;
                None
            }
        }
    }

    fn record_read(
        &mut self,
        now: Now,
        unsettled: Option<Write>,
        version: Version,
        record: &LeaseRecord,
    ) -> Option<(CallId, Call)> {
        let mine = record.holder == self.settings.holder
            && record.incarnation == self.settings.incarnation;
        if mine && record.number > self.floor.saturating_sub(1) {
            return match unsettled {
                Some(write) if write.id == record.write => {
                    self.take(write, version);
                    self.tick(now)
                }
                // An own write whose time is unknown: it is renewed before it counts.
                _ => Some(self.write(now, record.number, Condition::Version(version))),
            };
        }
        self.held = None;
        self.floor = self.floor.max(record.number);
        let seen = match self.seen {
            Some(seen) if seen.version == version => seen,
            _ => Seen {
                version,
                since: now,
                duration: Duration::from_millis(record.duration_ms),
                number: record.number,
            },
        };
        self.seen = Some(seen);
        let free_at = seen.since.saturating_add(seen.duration);
        if mine || now >= free_at {
            let number = self.floor.max(seen.number) + 1;
            return Some(self.write(now, number, Condition::Version(version)));
        }
        self.next_look = free_at.min(now + self.settings.poll_every);
        None
    }

    /// A deleted object may leave a holder behind, so it is waited out like one that was seen.
    fn missing(&mut self, now: Now) -> Option<(CallId, Call)> {
        self.held = None;
        let seen = match self.seen {
            Some(seen) if seen.version == 0 => seen,
            _ => Seen {
                version: 0,
                since: now,
                duration: self.settings.duration,
                number: self.floor,
            },
        };
        self.seen = Some(seen);
        let free_at = seen.since.saturating_add(seen.duration);
        if now >= free_at {
            return Some(self.write(now, self.floor + 1, Condition::Absent));
        }
        self.next_look = free_at.min(now + self.settings.poll_every);
        None
    }

    fn write_done(&mut self, now: Now, write: Write, reply: &Reply) -> Option<(CallId, Call)> {
        match reply {
            Reply::Written { version } => {
                self.take(write, *version);
                None
            }
            Reply::Conflict { .. } => {
                self.held = None;
                Some(self.read(None))
            }
            Reply::Lost => Some(self.read(Some(write))),
            _ => {
                self.next_look = now + self.settings.duration / 10;
                if let Some(held) = &mut self.held {
                    held.renew_at = now + self.settings.duration / 10;
                }
                None
            }
        }
    }

    fn take(&mut self, write: Write, version: Version) {
        let duration = self.settings.duration;
        self.floor = self.floor.max(write.number);
        self.seen = None;
        self.held = Some(Held {
            number: write.number,
            version,
            until: write.sent_at + duration * (EARLY_END_PARTS - 1) / EARLY_END_PARTS,
            renew_at: write.sent_at + duration / 3,
        });
    }
}
