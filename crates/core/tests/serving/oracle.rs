//! Records what callers received and engines ran, and checks the guarantees of serving.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use eelgrasshold_core::serving::claims::{CLAIM_VALIDITY, key_hash};
use eelgrasshold_core::types::{AttemptId, Now, Refusal, Request, RequestHandle, Run, WorkClass};

use super::caller::answer_tokens;

/// Lifetime of idempotency keys in the test.
pub const KEY_LIFETIME: Duration = Duration::from_secs(100);
/// Age above which an upstream process must not start a dispatch.
const MAX_DISPATCH_AGE: Duration = Duration::from_secs(60);
/// Time after a host begins to leave within which entry hosts must stop sending it new work.
const MAX_LEAVING_DELAY: Duration = Duration::from_secs(3);
/// Largest number of crashes that a fingerprint may cause.
const MAX_CRASHES: usize = 2;
/// Time within which an entry host must have broadcast a crash to the others.
const MAX_BROADCAST_TIME: Duration = Duration::from_secs(3);

/// An entry host process: its slot and incarnation.
pub type EntryId = (usize, u64);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Open,
    Finished,
    Refused(Run),
    /// The caller disconnected or its connection broke.
    Gone,
}

/// One transmission of a request by a caller; a repeat is another one.
pub struct Submission {
    pub request: Request,
    pub entry: usize,
    pub incarnation: u64,
    /// When it reaches the entry host.
    pub arrives: Now,
    /// When the entry host's machine received it.
    pub arrived: Option<Now>,
    pub outcome: Outcome,
    /// Index of the next token that the caller lacks.
    pub next: u32,
    pub runs: u32,
}

#[derive(Clone, Copy)]
struct KeyRun {
    arrived: Now,
    at: Now,
}

/// A crash, the entry host that can attribute it, and the hosts that may have known of it since.
#[derive(Clone, Debug)]
struct Crash {
    at: Now,
    entry: EntryId,
    running: BTreeSet<EntryId>,
}

/// Requests and attempts of one incarnation of an entry host for one service, to check the retry
/// budget.
#[derive(Default)]
struct Attempts {
    requests: u32,
    dispatches: u32,
    bounces_without_cost: u32,
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
        let budget_key = (sub.entry, sub.incarnation, sub.request.service.clone());
        self.attempts.entry(budget_key).or_default().requests += 1;
    }

    /// Records that a caller receives tokens `first..end` of the answer for this fingerprint.
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
        let expected = answer_tokens(sub.request.fingerprint);
        assert_eq!(
            sub.next, expected,
            "request {handle} got a truncated answer"
        );
        end(sub, Outcome::Finished);
    }

    pub fn replayed(&mut self, handle: RequestHandle, original: RequestHandle) {
        let (key, entry, incarnation) = {
            let sub = self.open(handle, "a stored answer");
            end(sub, Outcome::Finished);
            (key_hash(&sub.request), sub.entry, sub.incarnation)
        };
        let original = self.sub(original);
        assert_eq!(
            key_hash(&original.request),
            key,
            "request {handle} got another key's answer"
        );
        assert_eq!(
            (original.entry, original.incarnation),
            (entry, incarnation),
            "the answer was not stored on this host"
        );
        let expected = answer_tokens(original.request.fingerprint);
        assert_eq!(original.next, expected, "the stored answer was truncated");
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

    /// Records that an entry host decides to dispatch an attempt.
    pub fn dispatched(&mut self, handle: RequestHandle, now: Now) {
        let sub = self.sub(handle);
        let arrived = sub.arrived.expect("a request that arrived");
        let non_idempotent = sub.request.class == WorkClass::NonIdempotent;
        assert!(
            !non_idempotent || now < arrived + CLAIM_VALIDITY,
            "request {handle} was dispatched {:?} after it requested its claim",
            now.saturating_sub(arrived)
        );
        assert!(
            now < arrived + sub.request.deadline,
            "request {handle} was dispatched after its deadline"
        );
        let budget_key = (sub.entry, sub.incarnation, sub.request.service.clone());
        let attempts = self.attempts.entry(budget_key).or_default();
        attempts.dispatches += 1;
        let allowed = f64::from(attempts.requests) * 1.1 + 1.0 + 1e-6;
        let counted = attempts.dispatches - attempts.bounces_without_cost;
        assert!(
            f64::from(counted) <= allowed,
            "{counted} attempts for {} requests",
            attempts.requests
        );
    }

    /// Records a bounce by a leaving or quarantined upstream, which costs no retry budget.
    pub fn bounced_without_cost(&mut self, handle: RequestHandle) {
        let sub = self.sub(handle);
        let budget_key = (sub.entry, sub.incarnation, sub.request.service.clone());
        self.attempts
            .entry(budget_key)
            .or_default()
            .bounces_without_cost += 1;
    }

    /// Records that an engine starts an attempt. The entry host decided on it at `decided`, and the
    /// upstream process received it with this age.
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
                decided <= at + MAX_LEAVING_DELAY,
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
        let earlier = runs.iter().find(|r| now < r.arrived + KEY_LIFETIME);
        if let Some(first) = earlier {
            panic!(
                "a key's work ran at {:?} and again at {now:?}, request {handle}",
                first.at
            );
        }
        runs.push(KeyRun { arrived, at: now });
    }

    /// Records that a fingerprint crashed an engine and that the entry host of the attempt received
    /// the report, while these entry hosts were running.
    pub fn crashed(
        &mut self,
        fingerprint: u64,
        at: Now,
        entry: EntryId,
        running: BTreeSet<EntryId>,
    ) {
        let crashes = self.crashes.entry(fingerprint).or_default();
        crashes.push(Crash { at, entry, running });
        let n = crashes.len();
        assert!(
            n <= MAX_CRASHES,
            "fingerprint {fingerprint} crashed {n} engines"
        );
    }

    /// Records that an entry host stops, temporarily or for good. Hosts persist no suspects, so two
    /// kinds of crashes no longer count: those that it had no time to broadcast, and those for which
    /// no host has been running without interruption since the crash.
    pub fn stopped(&mut self, entry: EntryId, now: Now) {
        for crashes in self.crashes.values_mut() {
            crashes.retain_mut(|c| {
                c.running.remove(&entry);
                let was_broadcast = c.entry != entry || c.at + MAX_BROADCAST_TIME < now;
                was_broadcast && !c.running.is_empty()
            });
        }
    }
}

fn end(sub: &mut Submission, outcome: Outcome) {
    if sub.outcome == Outcome::Open {
        sub.outcome = outcome;
    }
}
