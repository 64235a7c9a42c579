//! Dispatch of attempts, and the events that upstreams return for them.

use std::collections::BTreeSet;

use rand::Rng;

use super::machine::{Entry, event};
use super::open_request::{Attempt, OpenRequest};
use super::{AttemptEvent, Output, Timer, UpstreamInfo};
use crate::event::{Event, EventKind};
use crate::serving::health::{Change, Observation};
use crate::types::{
    AttemptId, Fingerprint, HostId, Load, Now, Refusal, RefusalKind, RequestHandle, Run, ServiceId,
};
use crate::upstream::Bounce;

impl Entry {
    /// Sends a request to an upstream if its deadline, claim, suspects and hold times allow it;
    /// otherwise delays or refuses it.
    pub(super) fn dispatch(&mut self, now: Now, handle: RequestHandle, out: &mut Vec<Output>) {
        let Some(open) = self.requests.get(&handle) else {
            return;
        };
        if open.deadline <= now {
            self.end_if_expired(now, handle, out);
            return;
        }
        if open.attempt.is_some() || open.broadcast.is_some() {
            return;
        }
        if !self.ensure_claim_valid(now, handle, out) {
            return;
        }
        if now < self.hold_until {
            self.on_hold.insert(handle);
            out.push(Output::SetTimer {
                at: self.hold_until,
                timer: Timer::Dispatch(handle),
            });
            return;
        }
        if !self.ensure_may_run(now, handle, out) {
            return;
        }
        self.exclude_upstreams(now, handle);
        let Some(upstream) = self.choose(now, handle) else {
            let detail = "no upstream of the service can take the request";
            let run = self
                .requests
                .get(&handle)
                .map_or(Run::NotRun, OpenRequest::run);
            let refusal = Refusal {
                run,
                ..Refusal::not_run(RefusalKind::NoUpstream, detail)
            };
            self.refuse_with_retry_after(now, handle, refusal, out);
            return;
        };
        let attempt = self.send_attempt(now, handle, upstream, out);
        if let Some(open) = self.requests.get_mut(&handle) {
            open.attempt = Some(attempt);
        }
        self.schedule_hedge(now, handle, out);
    }

    /// Excludes upstreams that are ejected or run a suspect, and for a suspect also those with
    /// other work of this host. Excludes none if no other upstream would remain.
    pub(super) fn exclude_upstreams(&mut self, now: Now, handle: RequestHandle) {
        let Some(open) = self.requests.get(&handle) else {
            return;
        };
        let Some(subset) = self.subsets.get(&open.request.service) else {
            return;
        };
        let in_flight = |h: &HostId| self.loads.get(h).map_or(0, |l| l.own_in_flight);
        let with_suspect: BTreeSet<&HostId> = self
            .attempts
            .values()
            .filter(|a| a.alone)
            .map(|a| &a.host)
            .collect();
        let alone = open.trial.is_some();
        let avoid = |h: &&HostId| {
            self.health.is_avoided(now, h, in_flight(h))
                || with_suspect.contains(h)
                || alone && in_flight(h) > 0
        };
        let untried = subset.iter().filter(|h| !open.excluded.contains(*h));
        let (avoided, usable): (Vec<_>, Vec<_>) = untried.partition(avoid);
        if usable.is_empty() {
            return;
        }
        let avoided: Vec<_> = avoided.into_iter().cloned().collect();
        if let Some(open) = self.requests.get_mut(&handle) {
            open.excluded.extend(avoided);
        }
    }

    pub(super) fn send_attempt(
        &mut self,
        now: Now,
        handle: RequestHandle,
        upstream: UpstreamInfo,
        out: &mut Vec<Output>,
    ) -> AttemptId {
        let attempt = self.rng.random();
        let Some(open) = self.requests.get_mut(&handle) else {
            return attempt;
        };
        open.attempts += 1;
        open.excluded.insert(upstream.host.clone());
        let alone = open.trial.is_some();
        let host = upstream.host.clone();
        self.loads.entry(host.clone()).or_default().own_in_flight += 1;
        let detail = format!("attempt {attempt} to {host}");
        let sent = Attempt {
            handle,
            host,
            incarnation: upstream.incarnation,
            sent: now,
            answered: false,
            alone,
        };
        self.attempts.insert(attempt, sent);
        out.push(event(EventKind::RequestDispatched, &open.request, &detail));
        out.push(Output::Dispatch {
            handle,
            attempt,
            upstream,
            resume_from: open.next_token,
            alone,
        });
        attempt
    }

    pub(super) fn attempt_event(
        &mut self,
        now: Now,
        attempt: AttemptId,
        event: AttemptEvent,
        out: &mut Vec<Output>,
    ) {
        let Some(in_flight) = self.attempts.get(&attempt) else {
            match event {
                AttemptEvent::Chunk { .. } => self.dropped_chunks += 1,
                AttemptEvent::Crashed => self.attribute_late_crash(now, attempt, out),
                _ => {}
            }
            return;
        };
        let (handle, host) = (in_flight.handle, in_flight.host.clone());
        match event {
            AttemptEvent::Accepted(load) => {
                self.report_load(now, &host, load);
                self.mark_answered(now, attempt, out);
            }
            AttemptEvent::Chunk { first, count } => {
                self.mark_answered(now, attempt, out);
                self.forward_chunk(now, handle, first, count, out);
            }
            AttemptEvent::Finished(load) => {
                self.report_load(now, &host, load);
                self.mark_answered(now, attempt, out);
                self.end_attempt(attempt);
                self.finish(now, handle, out);
            }
            AttemptEvent::Bounced(reason, load) => {
                self.report_load(now, &host, load);
                self.bounced(now, attempt, reason, out);
            }
            AttemptEvent::Failed(run) => {
                self.observe(now, &host, handle, Observation::Failed, out);
                self.end_attempt(attempt);
                self.retry(now, handle, run, out);
            }
            AttemptEvent::Unreachable => {
                if let Some(view) = self.loads.get_mut(&host) {
                    view.record_refusal(now);
                }
                self.observe(now, &host, handle, Observation::Failed, out);
                self.end_attempt(attempt);
                self.retry(now, handle, Run::NotRun, out);
            }
            AttemptEvent::Crashed => {
                if let Some(view) = self.loads.get_mut(&host) {
                    view.record_refusal(now);
                }
                self.observe(now, &host, handle, Observation::Failed, out);
                self.end_attempt(attempt);
                self.attribute_crash(now, handle, out);
            }
        }
    }

    fn bounced(&mut self, now: Now, attempt: AttemptId, reason: Bounce, out: &mut Vec<Output>) {
        let Some(ended) = self.end_attempt(attempt) else {
            return;
        };
        match reason {
            Bounce::Leaving => self.mark_upstream_leaving(&ended.host, ended.incarnation),
            Bounce::EngineDown | Bounce::Quarantined => {
                if let Some(view) = self.loads.get_mut(&ended.host) {
                    view.record_refusal(now);
                }
            }
            _ => {}
        }
        // A bounce because of a graceful shutdown or a quarantine counts neither as an attempt nor
        // against the retry budget. The upstream stays excluded, which limits the tries to the
        // number of upstreams.
        if matches!(reason, Bounce::Leaving | Bounce::Quarantined) {
            if let Some(open) = self.requests.get_mut(&ended.handle) {
                open.attempts -= 1;
            }
            self.dispatch(now, ended.handle, out);
            return;
        }
        self.retry(now, ended.handle, Run::NotRun, out);
    }

    fn report_load(&mut self, now: Now, host: &HostId, load: Load) {
        let view = self.loads.entry(host.clone()).or_default();
        view.report(now, load);
    }

    /// Processes the first response of an attempt. If a request has two attempts, the other one
    /// is cancelled.
    fn mark_answered(&mut self, now: Now, attempt: AttemptId, out: &mut Vec<Output>) {
        let Some(in_flight) = self.attempts.get_mut(&attempt) else {
            return;
        };
        if in_flight.answered {
            return;
        }
        in_flight.answered = true;
        let (handle, host) = (in_flight.handle, in_flight.host.clone());
        let took = now.saturating_sub(in_flight.sent);
        if let Some(view) = self.loads.get_mut(&host) {
            view.record_answer();
        }
        self.observe(now, &host, handle, Observation::Answered(took), out);
        let Some(open) = self.requests.get_mut(&handle) else {
            return;
        };
        let service = open.request.service.clone();
        let fingerprint = open.request.fingerprint;
        let other = if open.hedge == Some(attempt) {
            open.attempt.replace(attempt)
        } else {
            open.hedge
        };
        open.hedge = None;
        if let Some(other) = other {
            self.cancel(now, other, fingerprint, out);
        }
        self.observe_first_answer(service, took);
    }

    fn observe_first_answer(&mut self, service: ServiceId, took: std::time::Duration) {
        self.hedge_delays.entry(service).or_default().observe(took);
    }

    pub(super) fn observe(
        &mut self,
        now: Now,
        host: &HostId,
        handle: RequestHandle,
        observation: Observation,
        out: &mut Vec<Output>,
    ) {
        let Some(open) = self.requests.get(&handle) else {
            return;
        };
        let Some(subset) = self.subsets.get(&open.request.service) else {
            return;
        };
        if !subset.contains(host) {
            return;
        }
        let kind = match self.health.observe(now, host, subset, observation) {
            Some(Change::Ejected) => EventKind::UpstreamEjected,
            Some(Change::Returned) => EventKind::UpstreamReturned,
            None => return,
        };
        out.push(Output::Event(Event::new(kind, host.as_str())));
    }

    /// Cancels an attempt and removes it, so that its later events are ignored. Its fingerprint
    /// is kept to attribute a late crash report.
    pub(super) fn cancel(
        &mut self,
        now: Now,
        attempt: AttemptId,
        fingerprint: Fingerprint,
        out: &mut Vec<Output>,
    ) {
        out.push(Output::Cancel(attempt));
        self.cancelled.insert(attempt, (fingerprint, now));
        self.end_attempt(attempt);
    }

    pub(super) fn end_attempt(&mut self, attempt: AttemptId) -> Option<Attempt> {
        let ended = self.attempts.remove(&attempt)?;
        if let Some(load) = self.loads.get_mut(&ended.host) {
            load.own_in_flight = load.own_in_flight.saturating_sub(1);
        }
        if let Some(open) = self.requests.get_mut(&ended.handle) {
            if open.hedge == Some(attempt) {
                open.hedge = None;
            } else if open.attempt == Some(attempt) {
                open.attempt = open.hedge.take();
            }
        }
        Some(ended)
    }

    fn forward_chunk(
        &mut self,
        now: Now,
        handle: RequestHandle,
        first: u32,
        count: u32,
        out: &mut Vec<Output>,
    ) {
        let Some(open) = self.requests.get_mut(&handle) else {
            return;
        };
        if first > open.next_token {
            // This stream can't repeat missing tokens, so another attempt resumes the answer.
            let fingerprint = open.request.fingerprint;
            if let Some(attempt) = open.attempt {
                self.cancel(now, attempt, fingerprint, out);
            }
            self.retry(now, handle, Run::Unknown, out);
            return;
        }
        let skip = open.next_token - first;
        if skip >= count {
            self.dropped_chunks += 1;
            return;
        }
        open.next_token = first + count;
        out.push(Output::Forward { handle, skip });
    }
}
