//! Requests and their attempts at one entry host.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::{AttemptEvent, ClaimResult, Input, Output, Timer, UpstreamInfo};
use crate::config::Config;
use crate::event::{Event, EventKind};
use crate::types::{
    AttemptId, HostId, Load, Now, Refusal, RefusalKind, Request, RequestHandle, Run, WorkClass,
};

/// Attempts that one request gets at most.
const MAX_ATTEMPTS: u32 = 4;
/// A non-idempotent request is dispatched only this soon after its claim, so
/// that a paused process can't dispatch once the claim may have expired.
const CLAIM_VALIDITY: Duration = Duration::from_secs(5);
/// Shortest and longest Retry-After, in milliseconds.
const RETRY_AFTER_MS: std::ops::Range<u64> = 1_000..4_000;

#[derive(Clone, Debug)]
struct Held {
    request: Request,
    deadline: Now,
    attempt: Option<AttemptId>,
    attempts: u32,
    tried: BTreeSet<HostId>,
    next_token: u32,
    claimed_at: Option<Now>,
    /// Some attempt may have begun to run.
    may_have_run: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct Outstanding {
    own: u32,
    reported: Load,
}

/// State machine of the entry host.
#[derive(Clone, Debug)]
pub struct Entry {
    host: HostId,
    rng: SmallRng,
    cfg: Option<Arc<Config>>,
    upstreams: BTreeMap<HostId, UpstreamInfo>,
    loads: BTreeMap<HostId, Outstanding>,
    requests: BTreeMap<RequestHandle, Held>,
    attempts: BTreeMap<AttemptId, (RequestHandle, HostId)>,
    draining: bool,
    dropped_chunks: u64,
}

impl Entry {
    /// A machine without configuration; it refuses all requests until it has one.
    #[must_use]
    pub fn new(host: HostId, seed: u64) -> Self {
        Self {
            host,
            rng: SmallRng::seed_from_u64(seed),
            cfg: None,
            upstreams: BTreeMap::new(),
            loads: BTreeMap::new(),
            requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            draining: false,
            dropped_chunks: 0,
        }
    }

    /// Name of the host.
    #[must_use]
    pub fn host(&self) -> &str {
        &self.host
    }

    /// Requests that are held.
    #[must_use]
    pub fn held(&self) -> usize {
        self.requests.len()
    }

    /// Chunks that came from an attempt that was not the current one.
    #[must_use]
    pub fn dropped_chunks(&self) -> u64 {
        self.dropped_chunks
    }

    /// Takes an input at the time `now` and returns what the driver shall do.
    pub fn handle(&mut self, now: Now, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        match input {
            Input::Config(cfg) => self.cfg = Some(cfg),
            Input::Upstreams(list) => self.set_upstreams(list),
            Input::Request { handle, request } => self.admit(now, handle, request, &mut out),
            Input::CallerGone(handle) => self.caller_gone(handle, &mut out),
            Input::Attempt(attempt, event) => self.attempt(now, attempt, event, &mut out),
            Input::Claim(handle, result) => self.claim(now, handle, result, &mut out),
            Input::Drain => self.draining = true,
            Input::Timer(Timer::Deadline(handle)) => self.deadline(now, handle, &mut out),
            Input::EntryHosts(_)
            | Input::Peer { .. }
            | Input::Platform { .. }
            | Input::Timer(_) => {}
        }
        if self.draining && self.requests.is_empty() {
            out.push(Output::Drained);
        }
        out
    }

    fn set_upstreams(&mut self, list: Vec<UpstreamInfo>) {
        self.upstreams = list.into_iter().map(|u| (u.host.clone(), u)).collect();
        let known = &self.upstreams;
        self.loads.retain(|host, _| known.contains_key(host));
    }

    fn admit(&mut self, now: Now, handle: RequestHandle, request: Request, out: &mut Vec<Output>) {
        if let Some(refusal) = self.reason_to_refuse(&request) {
            push_refusal(handle, &request, refusal, out);
            return;
        }
        let deadline = now + request.deadline;
        out.push(event(
            EventKind::RequestAdmitted,
            &request,
            &request.service,
        ));
        out.push(Output::SetTimer {
            at: deadline,
            timer: Timer::Deadline(handle),
        });
        let claim = claim_key(&request);
        let held = Held {
            deadline,
            attempt: None,
            attempts: 0,
            tried: BTreeSet::new(),
            next_token: request.resume_from,
            claimed_at: None,
            may_have_run: false,
            request,
        };
        self.requests.insert(handle, held);
        match claim {
            Some(key) => out.push(Output::Claim { handle, key }),
            None => self.dispatch(now, handle, out),
        }
    }

    fn reason_to_refuse(&self, request: &Request) -> Option<Refusal> {
        let refuse = |kind, detail: String| Some(Refusal::not_run(kind, detail));
        let Some(cfg) = &self.cfg else {
            return refuse(
                RefusalKind::NotReady,
                "this host has no configuration yet".into(),
            );
        };
        if self.draining {
            let detail = "this host is draining; ask for the entry hosts again".into();
            return refuse(RefusalKind::NotReady, detail);
        }
        if !cfg.services.contains_key(&request.service) {
            let detail = format!("service `{}` is not configured", request.service);
            return refuse(RefusalKind::UnknownService, detail);
        }
        if !cfg.teams.contains_key(&request.team) {
            let detail = format!("team `{}` is not configured", request.team);
            return refuse(RefusalKind::UnknownTeam, detail);
        }
        None
    }

    fn claim(
        &mut self,
        now: Now,
        handle: RequestHandle,
        result: ClaimResult,
        out: &mut Vec<Output>,
    ) {
        let Some(held) = self.requests.get_mut(&handle) else {
            return;
        };
        match result {
            ClaimResult::Granted => {
                held.claimed_at = Some(now);
                self.dispatch(now, handle, out);
            }
            ClaimResult::Taken => {
                let detail = "the idempotency key was used before; its request may have run";
                self.refuse(
                    handle,
                    Refusal::unknown(RefusalKind::DuplicateKey, detail),
                    out,
                );
            }
            ClaimResult::Unavailable => {
                let detail = "the claim of the idempotency key can't be written now";
                let refusal = Refusal::not_run(RefusalKind::ClaimUnavailable, detail);
                self.refuse_later(handle, refusal, out);
            }
        }
    }

    fn dispatch(&mut self, now: Now, handle: RequestHandle, out: &mut Vec<Output>) {
        let Some(held) = self.requests.get(&handle) else {
            return;
        };
        if held.deadline <= now {
            self.deadline(now, handle, out);
            return;
        }
        let needs_claim = held.request.class == WorkClass::NonIdempotent;
        let claim_valid = held.claimed_at.is_some_and(|at| now < at + CLAIM_VALIDITY);
        if needs_claim && !claim_valid {
            let detail = "the claim of the idempotency key is too old to dispatch on";
            let refusal = Refusal::not_run(RefusalKind::ClaimUnavailable, detail);
            self.refuse_later(handle, refusal, out);
            return;
        }
        let run = if held.may_have_run {
            Run::Unknown
        } else {
            Run::NotRun
        };
        let Some(upstream) = self.choose(handle) else {
            let detail = "no upstream of the service can take the request";
            let refusal = Refusal {
                run,
                ..Refusal::not_run(RefusalKind::NoUpstream, detail)
            };
            self.refuse_later(handle, refusal, out);
            return;
        };
        let attempt = self.rng.random();
        let Some(held) = self.requests.get_mut(&handle) else {
            return;
        };
        held.attempt = Some(attempt);
        held.attempts += 1;
        held.tried.insert(upstream.host.clone());
        self.loads.entry(upstream.host.clone()).or_default().own += 1;
        self.attempts
            .insert(attempt, (handle, upstream.host.clone()));
        let detail = format!("attempt {attempt} to {}", upstream.host);
        out.push(event(EventKind::RequestDispatched, &held.request, &detail));
        out.push(Output::Dispatch {
            handle,
            attempt,
            upstream,
            resume_from: held.next_token,
            alone: false,
        });
    }

    /// The better of two sampled upstreams, by own requests in flight and reported queue.
    fn choose(&mut self, handle: RequestHandle) -> Option<UpstreamInfo> {
        let held = self.requests.get(&handle)?;
        let serves = |u: &&UpstreamInfo| u.service == held.request.service && !u.leaving;
        let mut candidates: Vec<_> = self
            .upstreams
            .values()
            .filter(serves)
            .filter(|u| !held.tried.contains(&u.host))
            .collect();
        if candidates.is_empty() && held.request.class == WorkClass::Idempotent {
            candidates = self.upstreams.values().filter(serves).collect();
        }
        if candidates.is_empty() {
            return None;
        }
        let first = candidates[self.rng.random_range(0..candidates.len())];
        let second = candidates[self.rng.random_range(0..candidates.len())];
        let cost = |u: &UpstreamInfo| {
            let load = self.loads.get(&u.host).copied().unwrap_or_default();
            load.own + load.reported.queued
        };
        Some(if cost(second) < cost(first) {
            second.clone()
        } else {
            first.clone()
        })
    }

    fn attempt(
        &mut self,
        now: Now,
        attempt: AttemptId,
        event: AttemptEvent,
        out: &mut Vec<Output>,
    ) {
        let Some((handle, host)) = self.attempts.get(&attempt).cloned() else {
            self.dropped_chunks += 1;
            return;
        };
        match event {
            AttemptEvent::Accepted(load) => self.report_load(&host, load),
            AttemptEvent::Chunk { first, count } => self.chunk(now, handle, first, count, out),
            AttemptEvent::Finished(load) => {
                self.report_load(&host, load);
                self.end_attempt(attempt);
                self.finish(handle, out);
            }
            AttemptEvent::Bounced(_, load) => {
                self.report_load(&host, load);
                self.end_attempt(attempt);
                self.retry(now, handle, Run::NotRun, out);
            }
            AttemptEvent::Failed(run) => {
                self.end_attempt(attempt);
                self.retry(now, handle, run, out);
            }
            AttemptEvent::Crashed => {
                self.end_attempt(attempt);
                self.retry(now, handle, Run::Unknown, out);
            }
        }
    }

    fn report_load(&mut self, host: &HostId, load: Load) {
        self.loads.entry(host.clone()).or_default().reported = load;
    }

    fn end_attempt(&mut self, attempt: AttemptId) {
        let Some((handle, host)) = self.attempts.remove(&attempt) else {
            return;
        };
        if let Some(load) = self.loads.get_mut(&host) {
            load.own = load.own.saturating_sub(1);
        }
        if let Some(held) = self.requests.get_mut(&handle)
            && held.attempt == Some(attempt)
        {
            held.attempt = None;
        }
    }

    fn chunk(
        &mut self,
        now: Now,
        handle: RequestHandle,
        first: u32,
        count: u32,
        out: &mut Vec<Output>,
    ) {
        let Some(held) = self.requests.get_mut(&handle) else {
            return;
        };
        if first > held.next_token {
            // A gap can't be filled on this stream, so the answer goes on from another attempt.
            if let Some(attempt) = held.attempt.take() {
                out.push(Output::Cancel(attempt));
                self.end_attempt(attempt);
            }
            self.retry(now, handle, Run::Unknown, out);
            return;
        }
        let skip = held.next_token - first;
        if skip >= count {
            self.dropped_chunks += 1;
            return;
        }
        held.next_token = first + count;
        out.push(Output::Forward { handle, skip });
    }

    fn finish(&mut self, handle: RequestHandle, out: &mut Vec<Output>) {
        let Some(held) = self.requests.remove(&handle) else {
            return;
        };
        let detail = format!("{} tokens", held.next_token);
        out.push(event(EventKind::RequestFinished, &held.request, &detail));
        out.push(Output::Finish { handle });
    }

    fn retry(&mut self, now: Now, handle: RequestHandle, run: Run, out: &mut Vec<Output>) {
        let Some(held) = self.requests.get_mut(&handle) else {
            return;
        };
        held.may_have_run |= run == Run::Unknown;
        let repeatable = held.request.class == WorkClass::Idempotent || !held.may_have_run;
        if !repeatable || held.attempts >= MAX_ATTEMPTS {
            let run = if held.may_have_run {
                Run::Unknown
            } else {
                Run::NotRun
            };
            let kind = match run {
                Run::NotRun => RefusalKind::Overloaded,
                Run::Unknown => RefusalKind::UpstreamFailed,
            };
            let detail = "the upstreams that were tried did not finish the request";
            self.refuse_later(
                handle,
                Refusal {
                    run,
                    ..Refusal::not_run(kind, detail)
                },
                out,
            );
            return;
        }
        out.push(event(EventKind::RequestRetried, &held.request, ""));
        self.dispatch(now, handle, out);
    }

    fn deadline(&mut self, now: Now, handle: RequestHandle, out: &mut Vec<Output>) {
        let Some(held) = self.requests.get(&handle) else {
            return;
        };
        if held.deadline > now {
            return;
        }
        let ran = held.may_have_run || held.attempt.is_some();
        let run = if ran { Run::Unknown } else { Run::NotRun };
        let detail = "the deadline passed";
        let refusal = Refusal {
            run,
            ..Refusal::not_run(RefusalKind::DeadlineExceeded, detail)
        };
        self.refuse(handle, refusal, out);
    }

    fn caller_gone(&mut self, handle: RequestHandle, out: &mut Vec<Output>) {
        let Some(held) = self.requests.remove(&handle) else {
            return;
        };
        out.push(event(EventKind::CallerGone, &held.request, ""));
        if let Some(attempt) = held.attempt {
            out.push(Output::Cancel(attempt));
            self.end_attempt(attempt);
        }
    }

    fn refuse_later(&mut self, handle: RequestHandle, refusal: Refusal, out: &mut Vec<Output>) {
        let retry_after = Duration::from_millis(self.rng.random_range(RETRY_AFTER_MS));
        self.refuse(handle, refusal.with_retry_after(retry_after), out);
    }

    fn refuse(&mut self, handle: RequestHandle, refusal: Refusal, out: &mut Vec<Output>) {
        let Some(held) = self.requests.remove(&handle) else {
            return;
        };
        if let Some(attempt) = held.attempt {
            out.push(Output::Cancel(attempt));
            self.end_attempt(attempt);
        }
        push_refusal(handle, &held.request, refusal, out);
    }
}

fn claim_key(request: &Request) -> Option<String> {
    if request.class == WorkClass::Idempotent {
        return None;
    }
    let key = request.idempotency_key.as_ref().unwrap_or(&request.id);
    Some(format!("{}/{}/{key}", request.service, request.team))
}

fn event(kind: EventKind, request: &Request, detail: &str) -> Output {
    Output::Event(Event::new(kind, detail).about_request(request.id.clone()))
}

fn push_refusal(handle: RequestHandle, request: &Request, refusal: Refusal, out: &mut Vec<Output>) {
    let detail = format!("{}: {}", refusal.kind.slug(), refusal.detail);
    out.push(event(EventKind::RequestRefused, request, &detail));
    out.push(Output::Refuse { handle, refusal });
}
