//! What callers saw and engines did, and whether it keeps the promises.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use eelgrasshold_core::serving::claims::{CLAIM_VALIDITY, key_hash};
use eelgrasshold_core::types::{AttemptId, Now, Refusal, Request, RequestHandle, Run, WorkClass};

use super::caller::answer_tokens;

/// Lifetime of idempotency keys in the test.
pub const KEY_LIFETIME: Duration = Duration::from_secs(100);
/// Age at which an upstream process must refuse a dispatch.
const MAX_DISPATCH_AGE: Duration = Duration::from_secs(60);
/// Time after the first sign of leaving at which new work must stop.
const LEAVING_LIMIT: Duration = Duration::from_secs(3);
/// Crashes that a fingerprint may cause.
const MAX_CRASHES: usize = 2;
/// Time in which an entry host tells the others of a crash.
const SHARING_TIME: Duration = Duration::from_secs(3);

/// Slot and life of an entry host.
pub type Life = (usize, u64);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Open,
    Finished,
    Refused(Run),
    /// The caller left or its connection broke.
    Gone,
}

/// One sending of a request.
pub struct Submission {
    pub request: Request,
    pub entry: usize,
    pub life: u64,
    /// When it reaches the entry host.
    pub arrives: Now,
    /// When the entry host took it.
    pub arrived: Option<Now>,
    pub outcome: Outcome,
    /// Next token that the caller lacks.
    pub next: u32,
    pub runs: u32,
}

#[derive(Clone, Copy)]
struct KeyRun {
    arrived: Now,
    at: Now,
}

/// A crash, and the entry host that can attribute it.
#[derive(Clone, Debug)]
struct Crash {
    at: Now,
    entry: Life,
    running: BTreeSet<Life>,
}

/// Requests and attempts of one life of an entry host, for one service.
#[derive(Default)]
struct Attempts {
    requests: u32,
    dispatches: u32,
    free_bounces: u32,
}

#[derive(Default)]
pub struct Oracle {
    pub submissions: BTreeMap<RequestHandle, Submission>,
    runs: BTreeMap<u64, Vec<KeyRun>>,
    crashes: BTreeMap<u64, Vec<Crash>>,
    attempts: BTreeMap<(usize, u64, String), Attempts>,
}

impl Oracle {
    pub fn sub(&mut self, handle: RequestHandle) -> &mut Submission {
        self.submissions
            .get_mut(&handle)
            .expect("a handle that was submitted")
    }

    fn open(&mut self, handle: RequestHandle, what: &str) -> &mut Submission {
        let sub = self.sub(handle);
        assert!(
            matches!(sub.outcome, Outcome::Open | Outcome::Gone),
            "request {handle} has ended as {:?} but got {what}",
            sub.outcome
        );
        sub
    }

    pub fn arrived(&mut self, handle: RequestHandle, now: Now) {
        let sub = self.sub(handle);
        sub.arrived = Some(now);
        let of = (sub.entry, sub.life, sub.request.service.clone());
        self.attempts.entry(of).or_default().requests += 1;
    }

    /// Tokens `first..end` of the answer to a request with this fingerprint reach a caller.
    pub fn forwarded(&mut self, handle: RequestHandle, fingerprint: u64, first: u32, end: u32) {
        let sub = self.open(handle, "a chunk");
        assert_eq!(
            sub.request.fingerprint, fingerprint,
            "request {handle} got a chunk of another request's answer"
        );
        assert!(
            first == sub.next && end > first,
            "request {handle} got {first}..{end}"
        );
        sub.next = end;
    }

    pub fn finished(&mut self, handle: RequestHandle) {
        let sub = self.open(handle, "the end of its answer");
        let whole = answer_tokens(sub.request.fingerprint);
        assert_eq!(sub.next, whole, "request {handle} got a truncated answer");
        end(sub, Outcome::Finished);
    }

    pub fn replayed(&mut self, handle: RequestHandle, original: RequestHandle) {
        let (key, entry, life) = {
            let sub = self.open(handle, "a kept answer");
            end(sub, Outcome::Finished);
            (key_hash(&sub.request), sub.entry, sub.life)
        };
        let original = self.sub(original);
        assert_eq!(
            key_hash(&original.request),
            key,
            "request {handle} got another key's answer"
        );
        assert_eq!(
            (original.entry, original.life),
            (entry, life),
            "the answer was not kept on this host"
        );
        let whole = answer_tokens(original.request.fingerprint);
        assert_eq!(original.next, whole, "the kept answer was not whole");
    }

    pub fn refused(&mut self, handle: RequestHandle, refusal: &Refusal) {
        let sub = self.open(handle, "a refusal");
        assert!(
            refusal.run == Run::Unknown || sub.runs == 0,
            "request {handle} ran but was refused as not run: {}",
            refusal.detail
        );
        end(sub, Outcome::Refused(refusal.run));
    }

    /// An entry host decides to send an attempt.
    pub fn dispatched(&mut self, handle: RequestHandle, now: Now) {
        let sub = self.sub(handle);
        let arrived = sub.arrived.expect("a request that arrived");
        let non_idempotent = sub.request.class == WorkClass::NonIdempotent;
        assert!(
            !non_idempotent || now < arrived + CLAIM_VALIDITY,
            "request {handle} was dispatched {:?} after it asked for its claim",
            now.saturating_sub(arrived)
        );
        assert!(
            now < arrived + sub.request.deadline,
            "request {handle} was dispatched after its deadline"
        );
        let of = (sub.entry, sub.life, sub.request.service.clone());
        let attempts = self.attempts.entry(of).or_default();
        attempts.dispatches += 1;
        let allowed = f64::from(attempts.requests) * 1.1 + 1.0 + 1e-6;
        let counted = attempts.dispatches - attempts.free_bounces;
        assert!(
            f64::from(counted) <= allowed,
            "{counted} attempts for {} requests",
            attempts.requests
        );
    }

    /// A leaving or quarantined upstream returned an attempt, which costs no retry budget.
    pub fn returned_freely(&mut self, handle: RequestHandle) {
        let sub = self.sub(handle);
        let of = (sub.entry, sub.life, sub.request.service.clone());
        self.attempts.entry(of).or_default().free_bounces += 1;
    }

    /// An engine starts an attempt that an entry host decided on at `decided` and that the
    /// upstream process took with this age.
    pub fn started(
        &mut self,
        handle: RequestHandle,
        attempt: AttemptId,
        now: Now,
        (decided, age): (Now, Duration),
        leaving_at: Option<Now>,
    ) {
        assert!(
            age <= MAX_DISPATCH_AGE,
            "attempt {attempt} started although it was {age:?} old"
        );
        if let Some(at) = leaving_at {
            assert!(
                decided <= at + LEAVING_LIMIT,
                "attempt {attempt} started on an upstream that had been leaving for {:?}",
                decided.saturating_sub(at)
            );
        }
        let sub = self.sub(handle);
        sub.runs += 1;
        assert!(
            sub.outcome != Outcome::Refused(Run::NotRun),
            "request {handle} ran after it was refused as not run"
        );
        if sub.request.class == WorkClass::Idempotent {
            return;
        }
        assert_eq!(sub.runs, 1, "non-idempotent request {handle} ran twice");
        let arrived = sub.arrived.expect("a request that arrived");
        let key = key_hash(&sub.request);
        let runs = self.runs.entry(key).or_default();
        let twice = runs.iter().find(|r| now < r.arrived + KEY_LIFETIME);
        if let Some(first) = twice {
            panic!(
                "a key's work ran at {:?} and again at {now:?}, request {handle}",
                first.at
            );
        }
        runs.push(KeyRun { arrived, at: now });
    }

    /// A fingerprint crashed an engine, and an entry host that waits for its answer learns it,
    /// while these entry hosts run.
    pub fn crashed(&mut self, fingerprint: u64, at: Now, entry: Life, running: BTreeSet<Life>) {
        let crashes = self.crashes.entry(fingerprint).or_default();
        crashes.push(Crash { at, entry, running });
        let n = crashes.len();
        assert!(
            n <= MAX_CRASHES,
            "fingerprint {fingerprint} crashed {n} engines"
        );
    }

    /// An entry host stops running, for a time or for ever. Crashes are forgotten that it did
    /// not have the time to tell, and those that no entry host has known and could tell all
    /// along: hosts keep no state, and nothing else holds suspects.
    pub fn stopped_running(&mut self, entry: Life, now: Now) {
        for crashes in self.crashes.values_mut() {
            crashes.retain_mut(|c| {
                c.running.remove(&entry);
                let told = c.entry != entry || c.at + SHARING_TIME < now;
                told && !c.running.is_empty()
            });
        }
    }
}

fn end(sub: &mut Submission, outcome: Outcome) {
    if sub.outcome == Outcome::Open {
        sub.outcome = outcome;
    }
}
