//! Further attempts: retries after a failure, and hedges before one.

use super::machine::{Entry, event};
use super::{Output, Timer};
use crate::event::EventKind;
use crate::serving::retry::HedgeDelay;
use crate::types::{Now, Refusal, RefusalKind, RequestHandle, Run};

/// Attempts that one request gets at most.
const MAX_ATTEMPTS: u32 = 4;

impl Entry {
    /// Goes on after an attempt that ended without an answer, if the rules and the budget
    /// allow another attempt.
    pub(super) fn retry(
        &mut self,
        now: Now,
        handle: RequestHandle,
        run: Run,
        out: &mut Vec<Output>,
    ) {
        let Some(held) = self.requests.get_mut(&handle) else {
            return;
        };
        held.may_have_run |= run == Run::Unknown;
        if held.attempt.is_some() {
            return;
        }
        if held.deadline <= now {
            self.deadline(now, handle, out);
            return;
        }
        let repeatable = held.idempotent() || !held.may_have_run;
        if !repeatable || held.attempts >= MAX_ATTEMPTS || !self.budgets.retry(&held.request) {
            let run = held.run();
            let kind = match run {
                Run::NotRun => RefusalKind::Overloaded,
                Run::Unknown => RefusalKind::UpstreamFailed,
            };
            let detail = "the upstreams that were tried did not finish the request";
            let refusal = Refusal {
                run,
                ..Refusal::not_run(kind, detail)
            };
            self.refuse_later(now, handle, refusal, out);
            return;
        }
        out.push(event(EventKind::RequestRetried, &held.request, ""));
        self.dispatch(now, handle, out);
    }

    /// Sets the timer of a hedge for work that may be run twice.
    pub(super) fn plan_hedge(&mut self, now: Now, handle: RequestHandle, out: &mut Vec<Output>) {
        let Some(held) = self.requests.get(&handle) else {
            return;
        };
        if !held.idempotent() || held.trial.is_some() {
            return;
        }
        let known = self.hedge_delays.get(&held.request.service);
        let Some(delay) = known.and_then(HedgeDelay::delay) else {
            return;
        };
        let at = now + delay;
        if at < held.deadline {
            let timer = Timer::Hedge(handle);
            out.push(Output::SetTimer { at, timer });
        }
    }

    /// Sends a second attempt while the first has not answered.
    pub(super) fn hedge(&mut self, now: Now, handle: RequestHandle, out: &mut Vec<Output>) {
        let Some(held) = self.requests.get(&handle) else {
            return;
        };
        let Some(first) = held.attempt else {
            return;
        };
        let late = self.attempts.get(&first).is_some_and(|a| {
            let delay = self.hedge_delays.get(&held.request.service);
            !a.answered
                && delay
                    .and_then(HedgeDelay::delay)
                    .is_some_and(|d| now >= a.sent + d)
        });
        let another = held.hedge.is_some() || held.trial.is_some();
        if !late || another || held.deadline <= now || now < self.hold_until {
            return;
        }
        if !self.is_free(handle) {
            return;
        }
        self.avoid_upstreams(now, handle);
        let Some(upstream) = self.choose(now, handle) else {
            return;
        };
        let Some(held) = self.requests.get(&handle) else {
            return;
        };
        let same = self
            .attempts
            .get(&first)
            .is_some_and(|a| a.host == upstream.host);
        if same || !self.budgets.hedge(&held.request) {
            return;
        }
        out.push(event(
            EventKind::RequestHedged,
            &held.request,
            &upstream.host,
        ));
        let attempt = self.send(now, handle, upstream, out);
        if let Some(held) = self.requests.get_mut(&handle) {
            held.hedge = Some(attempt);
        }
    }
}
