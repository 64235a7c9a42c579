//! Suspects: requests that were in flight when an upstream crashed.
//!
//! All entry hosts must know of a crash before its request runs again, alone, as a trial.

use rand::Rng;

use super::machine::{Entry, event};
use super::open_request::OpenRequest;
use super::{Output, PeerMessage, Timer};
use crate::event::EventKind;
use crate::serving::suspects::{BroadcastId, Suspect, Verdict};
use crate::types::{AttemptId, Fingerprint, HostId, Now, Refusal, RefusalKind, RequestHandle, Run};

impl Entry {
    /// Whether no crash counts against a request.
    pub(super) fn has_no_crash(&self, handle: RequestHandle) -> bool {
        self.requests.get(&handle).is_some_and(|h| {
            self.suspects.verdict(h.request.fingerprint, None) == Verdict::Unrestricted
        })
    }

    /// Returns whether a request may run now; refuses it if its fingerprint is blocked. A suspect
    /// runs as a trial, which counts as a crash and is first broadcast to all entry hosts.
    pub(super) fn ensure_may_run(
        &mut self,
        now: Now,
        handle: RequestHandle,
        out: &mut Vec<Output>,
    ) -> bool {
        let Some(open) = self.requests.get(&handle) else {
            return false;
        };
        let fingerprint = open.request.fingerprint;
        match self.suspects.verdict(fingerprint, open.trial) {
            Verdict::Unrestricted => true,
            Verdict::Trial if open.trial.is_some() => true,
            Verdict::Trial => {
                let crash = self.rng.random();
                let id = self.broadcast_crash(now, fingerprint, crash, out);
                if let Some(open) = self.requests.get_mut(&handle) {
                    open.trial = Some(crash);
                    open.broadcast = Some(id);
                }
                self.resume_after_broadcast(now, out);
                false
            }
            Verdict::Blocked => {
                self.refuse_suspect(now, handle, out);
                false
            }
        }
    }

    /// Attributes a crash to a request that was in flight. The request goes on when the other
    /// entry hosts have acknowledged it.
    pub(super) fn attribute_crash(
        &mut self,
        now: Now,
        handle: RequestHandle,
        out: &mut Vec<Output>,
    ) {
        let new_crash = self.rng.random();
        let Some(open) = self.requests.get_mut(&handle) else {
            return;
        };
        open.may_have_run = true;
        let crash = open.trial.take().unwrap_or(new_crash);
        let fingerprint = open.request.fingerprint;
        let detail = format!("fingerprint {fingerprint:016x}");
        out.push(event(EventKind::SuspectNoted, &open.request, &detail));
        let id = self.broadcast_crash(now, fingerprint, crash, out);
        if let Some(open) = self.requests.get_mut(&handle) {
            open.broadcast = Some(id);
        }
        self.resume_after_broadcast(now, out);
    }

    /// Attributes a crash whose report arrives after its attempt was cancelled.
    pub(super) fn attribute_late_crash(
        &mut self,
        now: Now,
        attempt: AttemptId,
        out: &mut Vec<Output>,
    ) {
        if let Some((fingerprint, _)) = self.cancelled.remove(&attempt) {
            let crash = self.rng.random();
            self.broadcast_crash(now, fingerprint, crash, out);
        }
    }

    fn broadcast_crash(
        &mut self,
        now: Now,
        fingerprint: Fingerprint,
        crash: u64,
        out: &mut Vec<Output>,
    ) -> BroadcastId {
        let suspect = Suspect {
            fingerprint,
            crash,
            cleared: false,
        };
        self.suspects.record(now, suspect);
        // Sends all its crashes, since a host may have missed an earlier one.
        let mut suspects = self.suspects.uncleared();
        suspects.retain(|s| s.fingerprint == fingerprint);
        self.broadcast_suspects(now, suspects, out)
    }

    fn broadcast_suspects(
        &mut self,
        now: Now,
        suspects: Vec<Suspect>,
        out: &mut Vec<Output>,
    ) -> BroadcastId {
        let others = self.hosts.others(now, &self.host);
        for to in &others {
            out.push(Output::Send {
                to: to.clone(),
                message: PeerMessage::Suspects(suspects.clone()),
            });
        }
        let id = self.broadcasts.start(now, others, suspects);
        if let Some(at) = self.broadcasts.next_resend(now) {
            let timer = Timer::Suspects;
            out.push(Output::SetTimer { at, timer });
        }
        id
    }

    /// Resends suspects to hosts that have not acknowledged, and ends broadcasts that timed out.
    pub(super) fn resend_suspects(&mut self, now: Now, out: &mut Vec<Output>) {
        self.request_suspects(now, out);
        self.resume_after_broadcast(now, out);
        for (to, suspects) in self.broadcasts.messages() {
            let message = PeerMessage::Suspects(suspects);
            out.push(Output::Send { to, message });
        }
        if let Some(at) = self.broadcasts.next_resend(now) {
            let timer = Timer::Suspects;
            out.push(Output::SetTimer { at, timer });
        }
    }

    pub(super) fn receive_suspects(
        &mut self,
        now: Now,
        from: HostId,
        suspects: Vec<Suspect>,
        out: &mut Vec<Output>,
    ) {
        self.record_suspects(now, &suspects);
        // Returns what this host knows of the same fingerprints, so that the sender starts no
        // trial that another entry host would block.
        let mut seen = suspects;
        for known in self.suspects.uncleared() {
            let same = seen.iter().any(|s| s.fingerprint == known.fingerprint);
            if same && !seen.contains(&known) {
                seen.push(known);
            }
        }
        let message = PeerMessage::SuspectsSeen(seen);
        out.push(Output::Send { to: from, message });
    }

    pub(super) fn record_suspects(&mut self, now: Now, suspects: &[Suspect]) {
        for suspect in suspects {
            self.suspects.record(now, *suspect);
        }
    }

    /// Resumes requests whose suspects all entry hosts have acknowledged. If the broadcast
    /// timed out, a trial is refused.
    pub(super) fn resume_after_broadcast(&mut self, now: Now, out: &mut Vec<Output>) {
        for (id, complete) in self.broadcasts.take_ended(now) {
            let is_waiting = |h: &OpenRequest| h.broadcast == Some(id);
            let found = self.requests.iter().find(|(_, h)| is_waiting(h));
            let Some(handle) = found.map(|(handle, _)| *handle) else {
                continue;
            };
            let Some(open) = self.requests.get_mut(&handle) else {
                continue;
            };
            open.broadcast = None;
            let trial = open.trial.is_some();
            match (trial, complete) {
                (true, true) => self.dispatch(now, handle, out),
                (true, false) => self.refuse_suspect(now, handle, out),
                (false, _) => self.retry(now, handle, Run::Unknown, out),
            }
        }
    }

    fn refuse_suspect(&mut self, now: Now, handle: RequestHandle, out: &mut Vec<Output>) {
        let run = self
            .requests
            .get(&handle)
            .map_or(Run::NotRun, OpenRequest::run);
        let detail = "upstreams crashed while they ran this request; don't send it again";
        let refusal = Refusal {
            run,
            ..Refusal::not_run(RefusalKind::CrashSuspect, detail)
        };
        self.refuse(now, handle, refusal, out);
    }

    /// Clears the suspects of a fingerprint that finished, here and on the other entry hosts.
    pub(super) fn clear_suspect(
        &mut self,
        now: Now,
        fingerprint: Fingerprint,
        out: &mut Vec<Output>,
    ) {
        let cleared = self.suspects.clear(fingerprint);
        if !cleared.is_empty() {
            self.broadcast_suspects(now, cleared, out);
        }
    }

    /// Withdraws the trial of a request that ended without a crash. While an attempt is in flight
    /// its outcome is unknown, and the trial still counts as a crash.
    pub(super) fn withdraw_trial(&mut self, now: Now, open: &OpenRequest, out: &mut Vec<Output>) {
        let Some(crash) = open.trial.filter(|_| open.attempt.is_none()) else {
            return;
        };
        let suspect = Suspect {
            fingerprint: open.request.fingerprint,
            crash,
            cleared: true,
        };
        self.suspects.record(now, suspect);
        self.broadcast_suspects(now, vec![suspect], out);
    }
}
