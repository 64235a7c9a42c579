//! Writer of one shard: collects claims and stores them by conditional updates.

use std::time::Duration;

use super::{BATCH_INTERVAL, CLAIM_VALIDITY, Claim, ClaimResult, Nonce, Table};
use crate::platform::{Call, Condition, Reply, Version};
use crate::types::{HostId, Now};

/// Maximum number of times that [`BATCH_INTERVAL`] is doubled after failures; the longest delay is
/// 1.6 s.
const MAX_BACKOFF_DOUBLINGS: u32 = 5;
/// Maximum number of pending releases; a key whose release is dropped stays claimed until it
/// expires.
const MAX_RELEASES: usize = 1_024;

/// Action that results from an input of a [`ShardWriter`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Make this platform call and pass its reply to [`ShardWriter::reply`].
    Call(Call),
    /// Call [`ShardWriter::flush`] at this time.
    FlushAt(Now),
    /// Send the result to the claimant.
    Settled {
        /// Host that forwarded the claim; `None` for a claimant on this host.
        to: Option<HostId>,
        /// Nonce of the claim.
        nonce: Nonce,
        /// Whether the claimant holds the key.
        result: ClaimResult,
    },
    /// The object has a value that no writer of claims wrote; it is not overwritten.
    Unreadable,
}

#[derive(Clone, Debug)]
struct PendingClaim {
    from: Option<HostId>,
    claim: Claim,
    received_at: Now,
}

impl PendingClaim {
    fn settled(self, result: ClaimResult) -> Effect {
        Effect::Settled {
            to: self.from,
            nonce: self.claim.nonce,
            result,
        }
    }
}

/// Last known state of the object: its version (0 if it doesn't exist), its claims, and a time on
/// this process's clock that is not before the last update of the table's clock.
#[derive(Clone, Debug)]
struct StoredState {
    version: Version,
    table: Table,
    at: Now,
}

#[derive(Clone, Debug)]
struct Update {
    next: Table,
    at: Now,
    claims: Vec<PendingClaim>,
    releases: Vec<(u64, Nonce)>,
}

#[derive(Clone, Debug, Default)]
enum State {
    #[default]
    Idle,
    Collecting,
    Reading,
    Writing(Update),
}

/// Writer of one shard. At most one platform call is in flight at a time.
#[derive(Clone, Debug)]
pub struct ShardWriter {
    object: String,
    stored: Option<StoredState>,
    pending: Vec<PendingClaim>,
    releases: Vec<(u64, Nonce)>,
    state: State,
    failures: u32,
}

impl ShardWriter {
    /// Creates the writer of shard `number`. It reads the object before its first write.
    #[must_use]
    pub fn new(number: u8) -> Self {
        Self {
            object: format!("claims/{number:02}"),
            stored: None,
            pending: Vec::new(),
            releases: Vec::new(),
            state: State::Idle,
            failures: 0,
        }
    }

    /// Adds a claim to the next write. `from` is the host that forwarded it, if any. A repeated
    /// claim with a nonce that is already pending is ignored.
    pub fn claim(&mut self, now: Now, from: Option<HostId>, claim: Claim) -> Vec<Effect> {
        let nonce = claim.nonce;
        let in_update = matches!(&self.state, State::Writing(u) if u.claims.iter().any(|w| w.claim.nonce == nonce));
        if in_update || self.pending.iter().any(|w| w.claim.nonce == nonce) {
            return Vec::new();
        }
        let received_at = now;
        self.pending.push(PendingClaim {
            from,
            claim,
            received_at,
        });
        self.schedule_flush(now)
    }

    /// Releases the claim of a request that certainly did not run and never will.
    pub fn release(&mut self, now: Now, key: u64, nonce: Nonce) -> Vec<Effect> {
        self.pending.retain(|w| w.claim.nonce != nonce);
        if self.releases.len() < MAX_RELEASES {
            self.releases.push((key, nonce));
        }
        self.schedule_flush(now)
    }

    /// Writes the collected claims and releases. Claims older than [`CLAIM_VALIDITY`] are settled
    /// as unavailable.
    pub fn flush(&mut self, now: Now) -> Vec<Effect> {
        if !matches!(self.state, State::Collecting) {
            return Vec::new();
        }
        self.state = State::Idle;
        let mut out = Vec::new();
        let pending = std::mem::take(&mut self.pending);
        for w in pending {
            if now < w.received_at + CLAIM_VALIDITY {
                self.pending.push(w);
            } else {
                out.push(w.settled(ClaimResult::Unavailable));
            }
        }
        self.start_update(now, &mut out);
        out
    }

    /// Processes the platform's reply to the call in flight.
    pub fn reply(&mut self, now: Now, reply: Reply) -> Vec<Effect> {
        let mut out = Vec::new();
        match std::mem::take(&mut self.state) {
            State::Reading => self.finish_read(now, reply, &mut out),
            State::Writing(update) => self.finish_update(now, &reply, update, &mut out),
            other => self.state = other,
        }
        out
    }

    fn schedule_flush(&mut self, now: Now) -> Vec<Effect> {
        if !matches!(self.state, State::Idle) {
            return Vec::new();
        }
        self.state = State::Collecting;
        vec![Effect::FlushAt(now + self.flush_delay())]
    }

    fn flush_delay(&self) -> Duration {
        BATCH_INTERVAL * 2_u32.pow(self.failures.min(MAX_BACKOFF_DOUBLINGS))
    }

    fn start_read(&mut self, out: &mut Vec<Effect>) {
        self.stored = None;
        self.state = State::Reading;
        out.push(Effect::Call(Call::Get {
            key: self.object.clone(),
        }));
    }

    fn start_update(&mut self, now: Now, out: &mut Vec<Effect>) {
        if self.pending.is_empty() && self.releases.is_empty() {
            return;
        }
        let Some(stored) = &self.stored else {
            self.start_read(out);
            return;
        };
        let version = stored.version;
        let mut next = stored.table.clone();
        next.advance(now.saturating_sub(stored.at));
        let mut releases = std::mem::take(&mut self.releases);
        releases.retain(|(key, nonce)| next.remove(*key, *nonce));
        let claims = add_claims(&mut next, std::mem::take(&mut self.pending), out);
        if claims.is_empty() && releases.is_empty() {
            return;
        }
        let condition = match version {
            0 => Condition::Absent,
            version => Condition::Version(version),
        };
        out.push(Effect::Call(Call::Put {
            key: self.object.clone(),
            value: next.encode(),
            condition,
        }));
        self.state = State::Writing(Update {
            next,
            at: now,
            claims,
            releases,
        });
    }

    fn finish_read(&mut self, now: Now, reply: Reply, out: &mut Vec<Effect>) {
        let (version, table) = match reply {
            Reply::Object { version, value } => (version, Table::decode(&value)),
            Reply::Missing => (0, Some(Table::default())),
            _ => return self.fail(now, Vec::new(), out),
        };
        let Some(table) = table else {
            out.push(Effect::Unreadable);
            return self.fail(now, Vec::new(), out);
        };
        self.failures = 0;
        self.stored = Some(StoredState {
            version,
            table,
            at: now,
        });
        self.start_update(now, out);
    }

    fn finish_update(&mut self, now: Now, reply: &Reply, update: Update, out: &mut Vec<Effect>) {
        match reply {
            Reply::Written { version } => {
                self.failures = 0;
                self.stored = Some(StoredState {
                    version: *version,
                    table: update.next,
                    at: update.at,
                });
                let granted = update.claims.into_iter();
                out.extend(granted.map(|w| w.settled(ClaimResult::Granted)));
                self.schedule_flush_if_pending(now, out);
            }
            Reply::Unavailable => self.fail(now, update.claims, out),
            Reply::Lost => {
                // The write may have taken effect. Reading the object shows which nonce holds the
                // key.
                self.requeue(update);
                self.start_read(out);
            }
            _ => {
                self.stored = None;
                self.requeue(update);
                self.schedule_flush_if_pending(now, out);
            }
        }
    }

    fn requeue(&mut self, update: Update) {
        self.pending.splice(0..0, update.claims);
        self.releases.splice(0..0, update.releases);
    }

    fn fail(&mut self, now: Now, claims: Vec<PendingClaim>, out: &mut Vec<Effect>) {
        self.failures += 1;
        let pending = std::mem::take(&mut self.pending);
        let failed = claims.into_iter().chain(pending);
        out.extend(failed.map(|w| w.settled(ClaimResult::Unavailable)));
        self.schedule_flush_if_pending(now, out);
    }

    fn schedule_flush_if_pending(&mut self, now: Now, out: &mut Vec<Effect>) {
        if !self.pending.is_empty() || !self.releases.is_empty() {
            out.extend(self.schedule_flush(now));
        }
    }
}

/// Adds claims to `next`, a table that so far contains only stored claims. Settles those that need
/// no write and returns the added ones.
fn add_claims(
    next: &mut Table,
    claims: Vec<PendingClaim>,
    out: &mut Vec<Effect>,
) -> Vec<PendingClaim> {
    let mut added = Vec::new();
    for w in claims {
        let result = match next.holder(w.claim.key) {
            Some(nonce) if nonce == w.claim.nonce => ClaimResult::Granted,
            Some(_) => ClaimResult::Taken,
            None if next.insert(&w.claim) => {
                added.push(w);
                continue;
            }
            None => ClaimResult::Unavailable,
        };
        out.push(w.settled(result));
    }
    added
}
