//! State machine of a lease holder or candidate.

use std::time::Duration;

use super::{EARLY_EXPIRY_DIVISOR, LeaseRecord, LeaseSettings};
use crate::group::map::FenceNumber;
use crate::platform::{Call, CallId, Condition, Reply, Version};
use crate::types::Now;

#[derive(Clone, Copy, Debug)]
struct Held {
    number: FenceNumber,
    version: Version,
    expires_at: Now,
    renew_at: Now,
}

/// Another process's record, with the time at which its version was first seen.
#[derive(Clone, Copy, Debug)]
struct ObservedRecord {
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

/// The planner's lease from the point of view of one process.
#[derive(Clone, Debug)]
pub struct Lease {
    settings: LeaseSettings,
    held: Option<Held>,
    observed: Option<ObservedRecord>,
    pending: Option<Pending>,
    highest_number: FenceNumber,
    last_call_id: CallId,
    last_write_id: u64,
    next_poll: Now,
}

impl Lease {
    /// Creates a candidate that has not read the object yet.
    #[must_use]
    pub fn new(settings: LeaseSettings) -> Self {
        Self {
            settings,
            held: None,
            observed: None,
            pending: None,
            highest_number: 0,
            last_call_id: 0,
            last_write_id: 0,
            next_poll: Duration::ZERO,
        }
    }

    /// Fencing number if the lease is held at `now`. Check it immediately before each action.
    #[must_use]
    pub fn held(&self, now: Now) -> Option<FenceNumber> {
        self.held.filter(|h| now < h.expires_at).map(|h| h.number)
    }

    /// Records a number that a rank has seen. If it is above the held one, the object was recreated
    /// with a lower number: the lease is dropped, and acquired again with a higher number.
    pub fn observe_number(&mut self, number: FenceNumber) {
        self.highest_number = self.highest_number.max(number);
        if self.held.is_some_and(|h| h.number < number) {
            self.held = None;
        }
    }

    /// Returns the platform call that is due at `now`, if any. Must be called at least every tenth
    /// of the lease duration.
    pub fn tick(&mut self, now: Now) -> Option<(CallId, Call)> {
        if self.pending.is_some() {
            return None;
        }
        match self.held {
            Some(held) if now < held.expires_at && now >= held.renew_at => {
                Some(self.write(now, held.number, Condition::Version(held.version)))
            }
            Some(held) if now < held.expires_at => None,
            Some(_) => {
                self.held = None;
                Some(self.read(None))
            }
            None if now >= self.next_poll => Some(self.read(None)),
            None => None,
        }
    }

    /// Handles the reply to a call and returns the follow-up call, if any.
    pub fn reply(&mut self, now: Now, id: CallId, reply: Reply) -> Option<(CallId, Call)> {
        match self.pending {
            Some(Pending::Read(call, unsettled)) if call == id => {
                self.pending = None;
                self.handle_read_reply(now, unsettled, reply)
            }
            Some(Pending::Write(call, write)) if call == id => {
                self.pending = None;
                self.handle_write_reply(now, write, &reply)
            }
            _ => None,
        }
    }

    fn read(&mut self, unsettled: Option<Write>) -> (CallId, Call) {
        let id = self.next_call_id();
        self.pending = Some(Pending::Read(id, unsettled));
        let key = self.settings.key.clone();
        (id, Call::Get { key })
    }

    fn write(&mut self, now: Now, number: FenceNumber, condition: Condition) -> (CallId, Call) {
        let id = self.next_call_id();
        self.last_write_id += 1;
        let write = Write {
            id: self.last_write_id,
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

    fn next_call_id(&mut self) -> CallId {
        self.last_call_id += 1;
        self.last_call_id
    }

    fn handle_read_reply(
        &mut self,
        now: Now,
        unsettled: Option<Write>,
        reply: Reply,
    ) -> Option<(CallId, Call)> {
        match reply {
            Reply::Object { version, value } => match serde_json::from_slice(&value) {
                Ok(record) => self.handle_record(now, unsettled, version, &record),
                // A malformed record names no holder. The condition on its version prevents a lost
                // update.
                Err(_) => {
                    Some(self.write(now, self.highest_number + 1, Condition::Version(version)))
                }
            },
            Reply::Missing => self.object_missing(now),
            _ if unsettled.is_some() => {
                self.next_poll = now + self.settings.duration / 10;
                self.held = None;
                None
            }
            _ => {
                self.next_poll = now + self.settings.poll_every;
                None
            }
        }
    }

    fn handle_record(
        &mut self,
        now: Now,
        unsettled: Option<Write>,
        version: Version,
        record: &LeaseRecord,
    ) -> Option<(CallId, Call)> {
        let own = record.holder == self.settings.holder
            && record.incarnation == self.settings.incarnation;
        if own && record.number > self.highest_number.saturating_sub(1) {
            return match unsettled {
                Some(write) if write.id == record.write => {
                    self.set_held(write, version);
                    self.tick(now)
                }
                // The send time of this own write is unknown, so it is renewed before the lease
                // counts as held.
                _ => Some(self.write(now, record.number, Condition::Version(version))),
            };
        }
        self.held = None;
        self.highest_number = self.highest_number.max(record.number);
        let observed = match self.observed {
            Some(observed) if observed.version == version => observed,
            _ => ObservedRecord {
                version,
                since: now,
                duration: Duration::from_millis(record.duration_ms),
                number: record.number,
            },
        };
        self.observed = Some(observed);
        let free_at = observed.since.saturating_add(observed.duration);
        if own || now >= free_at {
            let number = self.highest_number.max(observed.number) + 1;
            return Some(self.write(now, number, Condition::Version(version)));
        }
        self.next_poll = free_at.min(now + self.settings.poll_every);
        None
    }

    /// The object may have been deleted while a process held the lease, so a full duration passes
    /// before a new one is written.
    fn object_missing(&mut self, now: Now) -> Option<(CallId, Call)> {
        self.held = None;
        let observed = match self.observed {
            Some(observed) if observed.version == 0 => observed,
            _ => ObservedRecord {
                version: 0,
                since: now,
                duration: self.settings.duration,
                number: self.highest_number,
            },
        };
        self.observed = Some(observed);
        let free_at = observed.since.saturating_add(observed.duration);
        if now >= free_at {
            return Some(self.write(now, self.highest_number + 1, Condition::Absent));
        }
        self.next_poll = free_at.min(now + self.settings.poll_every);
        None
    }

    fn handle_write_reply(
        &mut self,
        now: Now,
        write: Write,
        reply: &Reply,
    ) -> Option<(CallId, Call)> {
        match reply {
            Reply::Written { version } => {
                self.set_held(write, *version);
                None
            }
            Reply::Conflict { .. } => {
                self.held = None;
                Some(self.read(None))
            }
            Reply::Lost => Some(self.read(Some(write))),
            _ => {
                self.next_poll = now + self.settings.duration / 10;
                if let Some(held) = &mut self.held {
                    held.renew_at = now + self.settings.duration / 10;
                }
                None
            }
        }
    }

    fn set_held(&mut self, write: Write, version: Version) {
        let duration = self.settings.duration;
        self.highest_number = self.highest_number.max(write.number);
        self.observed = None;
        self.held = Some(Held {
            number: write.number,
            version,
            expires_at: write.sent_at
                + duration * (EARLY_EXPIRY_DIVISOR - 1) / EARLY_EXPIRY_DIVISOR,
            renew_at: write.sent_at + duration / 3,
        });
    }
}
