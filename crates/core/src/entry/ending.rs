//! End of requests: completion, refusal, deadline, or a caller that left.

use std::time::Duration;

use rand::Rng;

use super::Output;
use super::machine::{Entry, event, push_refusal};
use super::open_request::OpenRequest;
use crate::event::EventKind;
use crate::serving::health::Observation;
use crate::types::{Now, Refusal, RefusalKind, Request, RequestHandle, Run};

/// Range of a random Retry-After, so that refused callers do not come back at the same time.
const RETRY_AFTER_MS: std::ops::Range<u64> = 1_000..4_000;

impl Entry {
    pub(super) fn finish(&mut self, now: Now, handle: RequestHandle, out: &mut Vec<Output>) {
        let Some(open) = self.remove_request(handle) else {
            return;
        };
        self.claiming.record_finished(now, handle, &open);
        self.clear_suspect(now, open.request.fingerprint, out);
        let detail = format!("{} tokens", open.next_token);
        out.push(event(EventKind::RequestFinished, &open.request, &detail));
        out.push(Output::Finish { handle });
    }

    /// Ends a request whose deadline has passed.
    pub(super) fn end_if_expired(
        &mut self,
        now: Now,
        handle: RequestHandle,
        out: &mut Vec<Output>,
    ) {
        let Some(open) = self.requests.get(&handle) else {
            return;
        };
        if open.deadline > now {
            return;
        }
        let run = open.run();
        let unanswered = open.attempt.and_then(|a| self.attempts.get(&a));
        if let Some(host) = unanswered.filter(|a| !a.answered).map(|a| a.host.clone()) {
            self.observe(now, &host, handle, Observation::Failed, out);
        }
        let detail = "the deadline passed";
        let refusal = Refusal {
            run,
            ..Refusal::not_run(RefusalKind::DeadlineExceeded, detail)
        };
        self.refuse(now, handle, refusal, out);
    }

    pub(super) fn caller_gone(&mut self, now: Now, handle: RequestHandle, out: &mut Vec<Output>) {
        let Some(open) = self.remove_request(handle) else {
            return;
        };
        out.push(event(EventKind::CallerGone, &open.request, ""));
        self.clean_up(now, handle, &open, out);
    }

    /// Ends an older request with the same id and content, which the caller has sent again on a
    /// new connection.
    pub(super) fn supersede(&mut self, now: Now, request: &Request, out: &mut Vec<Output>) {
        let id = (request.team.clone(), request.id.clone());
        let Some(older) = self.by_id.get(&id).copied() else {
            return;
        };
        let same = self
            .requests
            .get(&older)
            .is_some_and(|h| h.request.fingerprint == request.fingerprint && h.idempotent());
        if !same {
            return;
        }
        let detail = "the caller goes on with this request on another connection";
        let refusal = Refusal::unknown(RefusalKind::UpstreamFailed, detail);
        self.refuse(now, older, refusal, out);
    }

    pub(super) fn refuse_with_retry_after(
        &mut self,
        now: Now,
        handle: RequestHandle,
        refusal: Refusal,
        out: &mut Vec<Output>,
    ) {
        let retry_after = Duration::from_millis(self.rng.random_range(RETRY_AFTER_MS));
        self.refuse(now, handle, refusal.with_retry_after(retry_after), out);
    }

    pub(super) fn refuse(
        &mut self,
        now: Now,
        handle: RequestHandle,
        refusal: Refusal,
        out: &mut Vec<Output>,
    ) {
        let Some(open) = self.remove_request(handle) else {
            return;
        };
        self.clean_up(now, handle, &open, out);
        push_refusal(handle, &open.request, refusal, out);
    }

    pub(super) fn remove_request(&mut self, handle: RequestHandle) -> Option<OpenRequest> {
        let open = self.requests.remove(&handle)?;
        self.on_hold.remove(&handle);
        let id = (open.request.team.clone(), open.request.id.clone());
        if self.by_id.get(&id) == Some(&handle) {
            self.by_id.remove(&id);
        }
        Some(open)
    }

    /// Releases the claim, trial and attempts of a request that did not finish.
    fn clean_up(
        &mut self,
        now: Now,
        handle: RequestHandle,
        open: &OpenRequest,
        out: &mut Vec<Output>,
    ) {
        if open.run() == Run::NotRun {
            self.release_claim(now, open, out);
        }
        self.claiming.forget_request(handle, open);
        self.withdraw_trial(now, open, out);
        for attempt in [open.attempt, open.hedge].into_iter().flatten() {
            self.cancel(now, attempt, open.request.fingerprint, out);
        }
    }
}
