//! Retries after a failed attempt, and hedges while an attempt is late.

use super::machine::{Entry, event};
use super::{Output, Timer};
use crate::event::EventKind;
use crate::serving::retry::HedgeDelay;
use crate::types::{Now, Refusal, RefusalKind, RequestHandle, Run};

/// Largest number of attempts of one request. Bounces because of a graceful shutdown or a
/// quarantine do not count.
const MAX_ATTEMPTS: u32 = 4;

impl Entry {
    /// Retries a request after an attempt that failed or was bounced; refuses it if it must not run
    /// twice, or if its attempts or the team's retry budget are used up.
    pub(super) fn retry(
        &mut self,
        now: Now,
        handle: RequestHandle,
        run: Run,
        out: &mut Vec<Output>,
    ) {
        let Some(open) = self.requests.get_mut(&handle) else {
            return;
        };
        open.may_have_run |= run == Run::Unknown;
        if open.attempt.is_some() {
            return;
        }
        if open.deadline <= now {
            self.end_if_expired(now, handle, out);
            return;
        }
        let repeatable = open.idempotent() || !open.may_have_run;
        if !repeatable || open.attempts >= MAX_ATTEMPTS || !self.budgets.retry(&open.request) {
            let run = open.run();
            let kind = match run {
                Run::NotRun => RefusalKind::Overloaded,
                Run::Unknown => RefusalKind::UpstreamFailed,
            };
            let detail = "the upstreams that were tried did not finish the request";
            let refusal = Refusal {
                run,
                ..Refusal::not_run(kind, detail)
            };
            self.refuse_with_retry_after(now, handle, refusal, out);
            return;
        }
        out.push(event(EventKind::RequestRetried, &open.request, ""));
        self.dispatch(now, handle, out);
    }

    /// Sets the hedge timer of a request that may run twice.
    pub(super) fn schedule_hedge(
        &mut self,
        now: Now,
        handle: RequestHandle,
        out: &mut Vec<Output>,
    ) {
        let Some(open) = self.requests.get(&handle) else {
            return;
        };
        if !open.idempotent() || open.trial.is_some() {
            return;
        }
        let delay = self.hedge_delays.get(&open.request.service);
        let Some(delay) = delay.and_then(HedgeDelay::delay) else {
            return;
        };
        let at = now + delay;
        if at < open.deadline {
            let timer = Timer::Hedge(handle);
            out.push(Output::SetTimer { at, timer });
        }
    }

    /// Sends a second attempt to another upstream if the first has not answered within the hedge
    /// delay.
    pub(super) fn send_hedge(&mut self, now: Now, handle: RequestHandle, out: &mut Vec<Output>) {
        let Some(open) = self.requests.get(&handle) else {
            return;
        };
        let Some(first) = open.attempt else {
            return;
        };
        let late = self.attempts.get(&first).is_some_and(|a| {
            let delay = self.hedge_delays.get(&open.request.service);
            !a.answered
                && delay
                    .and_then(HedgeDelay::delay)
                    .is_some_and(|d| now >= a.sent + d)
        });
        let no_hedge = open.hedge.is_some() || open.trial.is_some();
        if !late || no_hedge || open.deadline <= now || now < self.hold_until {
            return;
        }
        if !self.has_no_crash(handle) {
            return;
        }
        self.exclude_upstreams(now, handle);
        let Some(upstream) = self.choose(now, handle) else {
            return;
        };
        let Some(open) = self.requests.get(&handle) else {
            return;
        };
        let same = self
            .attempts
            .get(&first)
            .is_some_and(|a| a.host == upstream.host);
        if same || !self.budgets.hedge(&open.request) {
            return;
        }
        out.push(event(
            EventKind::RequestHedged,
            &open.request,
            &upstream.host,
        ));
        let attempt = self.send_attempt(now, handle, upstream, out);
        if let Some(open) = self.requests.get_mut(&handle) {
            open.hedge = Some(attempt);
        }
    }
}
