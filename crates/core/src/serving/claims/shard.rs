//! Writer of one shard: collects claims and adds them by conditional updates.

use std::time::Duration;

use super::{BATCH_INTERVAL, CLAIM_VALIDITY, Claim, ClaimResult, Nonce, Table};
use crate::platform::{Call, Condition, Reply, Version};
use crate::types::{HostId, Now};

/// Doublings of [`BATCH_INTERVAL`] that a writer waits at most after failures, 1.6 s.
const MAX_BACKOFF: u32 = 5;
/// Releases that wait for a write at most; a key whose release is dropped stays claimed.
const MAX_RELEASES: usize = 1_024;

/// What follows from an input of a shard's writer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Call the platform.
    Call(Call),
    /// Call [`ShardWriter::flush`] at this time.
    FlushAt(Now),
    /// Tell the claimant, on this host if `to` is none.
    Settled {
        /// Host that forwarded the claim.
        to: Option<HostId>,
        /// Claimant.
        nonce: Nonce,
        /// Result.
        result: ClaimResult,
    },
    /// The object is not one that a writer of claims wrote; it is left as it is.
    Unreadable,
}

#[derive(Clone, Debug)]
struct Waiting {
    from: Option<HostId>,
    claim: Claim,
    since: Now,
}

impl Waiting {
    fn settled(self, result: ClaimResult) -> Effect {
        Effect::Settled {
            to: self.from,
            nonce: self.claim.nonce,
            result,
        }
    }
}

/// The object as this writer last knew it: version (0 if there is none), claims, and a time
/// on this process's clock at or after which the claims' clock was set.
#[derive(Clone, Debug)]
struct Known {
    version: Version,
    table: Table,
    at: Now,
}

#[derive(Clone, Debug)]
struct Update {
    next: Table,
    at: Now,
    claims: Vec<Waiting>,
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

/// Writer of one shard.
#[derive(Clone, Debug)]
pub struct ShardWriter {
    object: String,
    known: Option<Known>,
    waiting: Vec<Waiting>,
    releases: Vec<(u64, Nonce)>,
    state: State,
    failures: u32,
}

impl ShardWriter {
    /// A writer that knows nothing of its shard's object.
    #[must_use]
    pub fn new(number: u8) -> Self {
        Self {
            object: format!("claims/{number:02}"),
            known: None,
            waiting: Vec::new(),
            releases: Vec::new(),
            state: State::Idle,
            failures: 0,
        }
    }

    /// Takes a claim, from another host if `from` names one.
    pub fn claim(&mut self, now: Now, from: Option<HostId>, claim: Claim) -> Vec<Effect> {
        let nonce = claim.nonce;
        let in_update = matches!(&self.state, State::Writing(u) if u.claims.iter().any(|w| w.claim.nonce == nonce));
        if in_update || self.waiting.iter().any(|w| w.claim.nonce == nonce) {
            return Vec::new();
        }
        let since = now;
        self.waiting.push(Waiting { from, claim, since });
        self.collect(now)
    }

    /// Forgets a claim whose request certainly did not run and never will.
    pub fn release(&mut self, now: Now, key: u64, nonce: Nonce) -> Vec<Effect> {
        self.waiting.retain(|w| w.claim.nonce != nonce);
        if self.releases.len() < MAX_RELEASES {
            self.releases.push((key, nonce));
        }
        self.collect(now)
    }

    /// Writes what was collected.
    pub fn flush(&mut self, now: Now) -> Vec<Effect> {
        if !matches!(self.state, State::Collecting) {
            return Vec::new();
        }
        self.state = State::Idle;
        let mut out = Vec::new();
        let waiting = std::mem::take(&mut self.waiting);
        for w in waiting {
            if now < w.since + CLAIM_VALIDITY {
                self.waiting.push(w);
            } else {
                out.push(w.settled(ClaimResult::Unavailable));
            }
        }
        self.update(now, &mut out);
        out
    }

    /// Takes the platform's reply to the latest call.
    pub fn reply(&mut self, now: Now, reply: Reply) -> Vec<Effect> {
        let mut out = Vec::new();
        match std::mem::take(&mut self.state) {
            State::Reading => self.read(now, reply, &mut out),
            State::Writing(update) => self.written(now, &reply, update, &mut out),
            other => self.state = other,
        }
        out
    }

    fn collect(&mut self, now: Now) -> Vec<Effect> {
        if !matches!(self.state, State::Idle) {
            return Vec::new();
        }
        self.state = State::Collecting;
        vec![Effect::FlushAt(now + self.delay())]
    }

    fn delay(&self) -> Duration {
        BATCH_INTERVAL * 2_u32.pow(self.failures.min(MAX_BACKOFF))
    }

    fn get(&mut self, out: &mut Vec<Effect>) {
        self.known = None;
        self.state = State::Reading;
        out.push(Effect::Call(Call::Get {
            key: self.object.clone(),
        }));
    }

    fn update(&mut self, now: Now, out: &mut Vec<Effect>) {
        if self.waiting.is_empty() && self.releases.is_empty() {
            return;
        }
        let Some(known) = &self.known else {
            self.get(out);
            return;
        };
        let version = known.version;
        let mut next = known.table.clone();
        next.advance(now.saturating_sub(known.at));
        let mut releases = std::mem::take(&mut self.releases);
        releases.retain(|(key, nonce)| next.remove(*key, *nonce));
        let claims = add_claims(&mut next, std::mem::take(&mut self.waiting), out);
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

    fn read(&mut self, now: Now, reply: Reply, out: &mut Vec<Effect>) {
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
        self.known = Some(Known {
            version,
            table,
            at: now,
        });
        self.update(now, out);
    }

    fn written(&mut self, now: Now, reply: &Reply, update: Update, out: &mut Vec<Effect>) {
        match reply {
            Reply::Written { version } => {
                self.failures = 0;
                self.known = Some(Known {
                    version: *version,
                    table: update.next,
                    at: update.at,
                });
                let granted = update.claims.into_iter();
                out.extend(granted.map(|w| w.settled(ClaimResult::Granted)));
                self.collect_rest(now, out);
            }
            Reply::Unavailable => self.fail(now, update.claims, out),
            Reply::Lost => {
                // The write may have taken effect; reading back shows whose nonce is there.
                self.put_back(update);
                self.get(out);
            }
            _ => {
                self.known = None;
                self.put_back(update);
                self.collect_rest(now, out);
            }
        }
    }

    fn put_back(&mut self, update: Update) {
        self.waiting.splice(0..0, update.claims);
        self.releases.splice(0..0, update.releases);
    }

    fn fail(&mut self, now: Now, claims: Vec<Waiting>, out: &mut Vec<Effect>) {
        self.failures += 1;
        let waiting = std::mem::take(&mut self.waiting);
        let failed = claims.into_iter().chain(waiting);
        out.extend(failed.map(|w| w.settled(ClaimResult::Unavailable)));
        self.collect_rest(now, out);
    }

    fn collect_rest(&mut self, now: Now, out: &mut Vec<Effect>) {
        if !self.waiting.is_empty() || !self.releases.is_empty() {
            out.extend(self.collect(now));
        }
    }
}

/// Adds claims to a table that only holds what the platform has, settles those that need no
/// write, and returns the others.
fn add_claims(next: &mut Table, claims: Vec<Waiting>, out: &mut Vec<Effect>) -> Vec<Waiting> {
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
