//! Attempts: where a request goes, and what comes back.

use std::collections::BTreeSet;

use rand::Rng;

use super::held::{Attempt, Held};
use super::machine::{Entry, event};
use super::{AttemptEvent, Output, Timer, UpstreamInfo};
use crate::event::{Event, EventKind};
use crate::serving::health::{Change, Observation};
use crate::types::{
    AttemptId, Fingerprint, HostId, Load, Now, Refusal, RefusalKind, RequestHandle, Run, ServiceId,
};
use crate::upstream::Bounce;

impl Entry {
    /// Sends a request to an upstream, if everything that must hold at this moment holds.
    pub(super) fn dispatch(&mut self, now: Now, handle: RequestHandle, out: &mut Vec<Output>) {
        let Some(held) = self.requests.get(&handle) else {
            return;
        };
        if held.deadline <= now {
            self.deadline(now, handle, out);
            return;
        }
        if held.attempt.is_some() || held.sharing.is_some() {
            return;
        }
        if !self.claim_holds(now, handle, out) {
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
        if !self.may_run(now, handle, out) {
            return;
        }
        self.avoid_upstreams(now, handle);
        let Some(upstream) = self.choose(now, handle) else {
            let detail = "no upstream of the service can take the request";
            let run = self.requests.get(&handle).map_or(Run::NotRun, Held::run);
            let refusal = Refusal {
                run,
                ..Refusal::not_run(RefusalKind::NoUpstream, detail)
            };
            self.refuse_later(now, handle, refusal, out);
            return;
        };
        let attempt = self.send(now, handle, upstream, out);
        if let Some(held) = self.requests.get_mut(&handle) {
            held.attempt = Some(attempt);
        }
        self.plan_hedge(now, handle, out);
    }

    /// Keeps a request from upstreams that are ejected or run a suspect, and a suspect from
    /// upstreams with other work, as long as some upstream remains.
    pub(super) fn avoid_upstreams(&mut self, now: Now, handle: RequestHandle) {
        let Some(held) = self.requests.get(&handle) else {
            return;
        };
        let Some(peers) = self.peers.get(&held.request.service) else {
            return;
        };
        let own = |h: &HostId| self.loads.get(h).map_or(0, |l| l.own_in_flight);
        let with_suspect: BTreeSet<&HostId> = self
            .attempts
            .values()
            .filter(|a| a.alone)
            .map(|a| &a.host)
            .collect();
        let alone = held.trial.is_some();
        let avoid = |h: &&HostId| {
            self.health.is_avoided(now, h, own(h))
                || with_suspect.contains(h)
                || alone && own(h) > 0
        };
        let untried = peers.iter().filter(|h| !held.tried.contains(*h));
        let (avoided, rest): (Vec<_>, Vec<_>) = untried.partition(avoid);
        if rest.is_empty() {
            return;
        }
        let avoided: Vec<_> = avoided.into_iter().cloned().collect();
        if let Some(held) = self.requests.get_mut(&handle) {
            held.tried.extend(avoided);
        }
    }

    pub(super) fn send(
        &mut self,
        now: Now,
        handle: RequestHandle,
        upstream: UpstreamInfo,
        out: &mut Vec<Output>,
    ) -> AttemptId {
        let attempt = self.rng.random();
        let Some(held) = self.requests.get_mut(&handle) else {
            return attempt;
        };
        held.attempts += 1;
        held.tried.insert(upstream.host.clone());
        let alone = held.trial.is_some();
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
        out.push(event(EventKind::RequestDispatched, &held.request, &detail));
        out.push(Output::Dispatch {
            handle,
            attempt,
            upstream,
            resume_from: held.next_token,
            alone,
        });
        attempt
    }

    pub(super) fn attempt(
        &mut self,
        now: Now,
        attempt: AttemptId,
        event: AttemptEvent,
        out: &mut Vec<Output>,
    ) {
        let Some(known) = self.attempts.get(&attempt) else {
            match event {
                AttemptEvent::Chunk { .. } => self.dropped_chunks += 1,
                AttemptEvent::Crashed => self.crashed_after_end(now, attempt, out),
                _ => {}
            }
            return;
        };
        let (handle, host) = (known.handle, known.host.clone());
        match event {
            AttemptEvent::Accepted(load) => {
                self.report_load(now, &host, load);
                self.answered(now, attempt, out);
            }
            AttemptEvent::Chunk { first, count } => {
                self.answered(now, attempt, out);
                self.chunk(now, handle, first, count, out);
            }
            AttemptEvent::Finished(load) => {
                self.report_load(now, &host, load);
                self.answered(now, attempt, out);
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
            AttemptEvent::Crashed => {
                if let Some(view) = self.loads.get_mut(&host) {
                    view.record_refusal(now);
                }
                self.observe(now, &host, handle, Observation::Failed, out);
                self.end_attempt(attempt);
                self.crashed(now, handle, out);
            }
        }
    }

    fn bounced(&mut self, now: Now, attempt: AttemptId, reason: Bounce, out: &mut Vec<Output>) {
        let Some(ended) = self.end_attempt(attempt) else {
            return;
        };
        match reason {
            Bounce::Leaving => self.upstream_leaves(&ended.host, ended.incarnation),
            Bounce::EngineDown | Bounce::Quarantined => {
                if let Some(view) = self.loads.get_mut(&ended.host) {
                    view.record_refusal(now);
                }
            }
            _ => {}
        }
        // A planned stop or a quarantine costs the request neither an attempt nor budget. The
        // upstream is not chosen again, so that there are at most as many tries as upstreams.
        if matches!(reason, Bounce::Leaving | Bounce::Quarantined) {
            if let Some(held) = self.requests.get_mut(&ended.handle) {
                held.attempts -= 1;
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

    /// Takes the first sign of an answer; of two attempts the one that answers first stays.
    fn answered(&mut self, now: Now, attempt: AttemptId, out: &mut Vec<Output>) {
        let Some(known) = self.attempts.get_mut(&attempt) else {
            return;
        };
        if known.answered {
            return;
        }
        known.answered = true;
        let (handle, host) = (known.handle, known.host.clone());
        let took = now.saturating_sub(known.sent);
        if let Some(view) = self.loads.get_mut(&host) {
            view.record_answer();
        }
        self.observe(now, &host, handle, Observation::Answered(took), out);
        let Some(held) = self.requests.get_mut(&handle) else {
            return;
        };
        let service = held.request.service.clone();
        let fingerprint = held.request.fingerprint;
        let other = if held.hedge == Some(attempt) {
            held.attempt.replace(attempt)
        } else {
            held.hedge
        };
        held.hedge = None;
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
        let Some(held) = self.requests.get(&handle) else {
            return;
        };
        let Some(peers) = self.peers.get(&held.request.service) else {
            return;
        };
        if !peers.contains(host) {
            return;
        }
        let kind = match self.health.observe(now, host, peers, observation) {
            Some(Change::Ejected) => EventKind::UpstreamEjected,
            Some(Change::Returned) => EventKind::UpstreamReturned,
            None => return,
        };
        out.push(Output::Event(Event::new(kind, host.as_str())));
    }

    /// Closes an attempt's stream and forgets it, so that what still comes from it is dropped.
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
        if let Some(held) = self.requests.get_mut(&ended.handle) {
            if held.hedge == Some(attempt) {
                held.hedge = None;
            } else if held.attempt == Some(attempt) {
                held.attempt = held.hedge.take();
            }
        }
        Some(ended)
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
            let fingerprint = held.request.fingerprint;
            if let Some(attempt) = held.attempt {
                self.cancel(now, attempt, fingerprint, out);
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
}
