//! How requests end.

use std::time::Duration;

use rand::Rng;

use super::Output;
use super::held::Held;
use super::machine::{Entry, event, push_refusal};
use crate::event::EventKind;
use crate::serving::health::Observation;
use crate::types::{Now, Refusal, RefusalKind, Request, RequestHandle, Run};

/// Shortest and longest Retry-After, in milliseconds.
const RETRY_AFTER_MS: std::ops::Range<u64> = 1_000..4_000;

impl Entry {
    pub(super) fn finish(&mut self, now: Now, handle: RequestHandle, out: &mut Vec<Output>) {
        let Some(held) = self.remove(handle) else {
            return;
        };
        self.claiming.finished(now, handle, &held);
        self.clear_suspect(now, held.request.fingerprint, out);
        let detail = format!("{} tokens", held.next_token);
        out.push(event(EventKind::RequestFinished, &held.request, &detail));
        out.push(Output::Finish { handle });
    }

    /// Ends a request whose deadline has passed.
    pub(super) fn deadline(&mut self, now: Now, handle: RequestHandle, out: &mut Vec<Output>) {
        let Some(held) = self.requests.get(&handle) else {
            return;
        };
        if held.deadline > now {
            return;
        }
        let run = held.run();
        let unanswered = held.attempt.and_then(|a| self.attempts.get(&a));
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
        let Some(held) = self.remove(handle) else {
            return;
        };
        out.push(event(EventKind::CallerGone, &held.request, ""));
        self.close(now, handle, &held, out);
    }

    /// Ends an older request that the same caller now repeats, on a new connection.
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

    pub(super) fn refuse_later(
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
        let Some(held) = self.remove(handle) else {
            return;
        };
        self.close(now, handle, &held, out);
        push_refusal(handle, &held.request, refusal, out);
    }

    pub(super) fn remove(&mut self, handle: RequestHandle) -> Option<Held> {
        let held = self.requests.remove(&handle)?;
        self.on_hold.remove(&handle);
        let id = (held.request.team.clone(), held.request.id.clone());
        if self.by_id.get(&id) == Some(&handle) {
            self.by_id.remove(&id);
        }
        Some(held)
    }

    /// Ends what belongs to a request that did not finish.
    fn close(&mut self, now: Now, handle: RequestHandle, held: &Held, out: &mut Vec<Output>) {
        if held.run() == Run::NotRun {
            self.release(now, held, out);
        }
        self.claiming.ended(handle, held);
        self.end_trial(now, held, out);
        for attempt in [held.attempt, held.hedge].into_iter().flatten() {
            self.cancel(now, attempt, held.request.fingerprint, out);
        }
    }
}
