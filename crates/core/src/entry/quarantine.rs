//! Suspects: requests that were in flight when an upstream crashed.

use rand::Rng;

use super::held::Held;
use super::machine::{Entry, event};
use super::{Output, PeerMessage, Timer};
use crate::event::EventKind;
use crate::serving::suspects::{BroadcastId, Suspect, Verdict};
use crate::types::{AttemptId, Fingerprint, HostId, Now, Refusal, RefusalKind, RequestHandle, Run};

impl Entry {
    /// Whether no crash counts against a request.
    pub(super) fn is_free(&self, handle: RequestHandle) -> bool {
        self.requests.get(&handle).is_some_and(|h| {
            self.suspects.verdict(h.request.fingerprint, None) == Verdict::Unrestricted
        })
    }

    /// Whether a request may run now. A suspect's trial is first told to all entry hosts.
    pub(super) fn may_run(
        &mut self,
        now: Now,
        handle: RequestHandle,
        out: &mut Vec<Output>,
    ) -> bool {
        let Some(held) = self.requests.get(&handle) else {
            return false;
        };
        let fingerprint = held.request.fingerprint;
        match self.suspects.verdict(fingerprint, held.trial) {
            Verdict::Unrestricted => true,
            Verdict::Trial if held.trial.is_some() => true,
            Verdict::Trial => {
                let crash = self.rng.random();
                let id = self.share_crash(now, fingerprint, crash, out);
                if let Some(held) = self.requests.get_mut(&handle) {
                    held.trial = Some(crash);
                    held.sharing = Some(id);
                }
                self.end_shares(now, out);
                false
            }
            Verdict::Blocked => {
                self.refuse_suspect(now, handle, out);
                false
            }
        }
    }

    /// Attributes a crash to a request that was in flight, and goes on when others know.
    pub(super) fn crashed(&mut self, now: Now, handle: RequestHandle, out: &mut Vec<Output>) {
        let fresh = self.rng.random();
        let Some(held) = self.requests.get_mut(&handle) else {
            return;
        };
        held.may_have_run = true;
        let crash = held.trial.take().unwrap_or(fresh);
        let fingerprint = held.request.fingerprint;
        let detail = format!("fingerprint {fingerprint:016x}");
        out.push(event(EventKind::SuspectNoted, &held.request, &detail));
        let id = self.share_crash(now, fingerprint, crash, out);
        if let Some(held) = self.requests.get_mut(&handle) {
            held.sharing = Some(id);
        }
        self.end_shares(now, out);
    }

    /// Attributes a crash whose report comes after its attempt was cancelled.
    pub(super) fn crashed_after_end(
        &mut self,
        now: Now,
        attempt: AttemptId,
        out: &mut Vec<Output>,
    ) {
        if let Some((fingerprint, _)) = self.cancelled.remove(&attempt) {
            let crash = self.rng.random();
            self.share_crash(now, fingerprint, crash, out);
        }
    }

    fn share_crash(
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
        // All its crashes, since a host may have missed an earlier one.
        let mut suspects = self.suspects.uncleared();
        suspects.retain(|s| s.fingerprint == fingerprint);
        self.share(now, suspects, out)
    }

    fn share(&mut self, now: Now, suspects: Vec<Suspect>, out: &mut Vec<Output>) -> BroadcastId {
        let others = self.hosts.others(now, &self.host);
        for to in &others {
            out.push(Output::Send {
                to: to.clone(),
                message: PeerMessage::Suspects(suspects.clone()),
            });
        }
        let id = self.sharing.start(now, others, suspects);
        if let Some(at) = self.sharing.next_resend(now) {
            let timer = Timer::Suspects;
            out.push(Output::SetTimer { at, timer });
        }
        id
    }

    /// Tells hosts that have not acknowledged, and ends shares that took too long.
    pub(super) fn tell_suspects(&mut self, now: Now, out: &mut Vec<Output>) {
        self.ask_for_suspects(now, out);
        self.end_shares(now, out);
        for (to, suspects) in self.sharing.messages() {
            let message = PeerMessage::Suspects(suspects);
            out.push(Output::Send { to, message });
        }
        if let Some(at) = self.sharing.next_resend(now) {
            let timer = Timer::Suspects;
            out.push(Output::SetTimer { at, timer });
        }
    }

    pub(super) fn learn_suspects(
        &mut self,
        now: Now,
        from: HostId,
        suspects: Vec<Suspect>,
        out: &mut Vec<Output>,
    ) {
        self.note_suspects(now, &suspects);
        // The sender learns what this host knows of the same fingerprints, so that no trial
        // starts that some entry host would not allow.
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

    pub(super) fn note_suspects(&mut self, now: Now, suspects: &[Suspect]) {
        for suspect in suspects {
            self.suspects.record(now, *suspect);
        }
    }

    /// Lets requests go on whose suspects all entry hosts know.
    pub(super) fn end_shares(&mut self, now: Now, out: &mut Vec<Output>) {
        for (id, complete) in self.sharing.take_ended(now) {
            let waits = |h: &Held| h.sharing == Some(id);
            let found = self.requests.iter().find(|(_, h)| waits(h));
            let Some(handle) = found.map(|(handle, _)| *handle) else {
                continue;
            };
            let Some(held) = self.requests.get_mut(&handle) else {
                continue;
            };
            held.sharing = None;
            let trial = held.trial.is_some();
            match (trial, complete) {
                (true, true) => self.dispatch(now, handle, out),
                (true, false) => self.refuse_suspect(now, handle, out),
                (false, _) => self.retry(now, handle, Run::Unknown, out),
            }
        }
    }

    fn refuse_suspect(&mut self, now: Now, handle: RequestHandle, out: &mut Vec<Output>) {
        let run = self.requests.get(&handle).map_or(Run::NotRun, Held::run);
        let detail = "upstreams crashed while they ran this request; don't send it again";
        let refusal = Refusal {
            run,
            ..Refusal::not_run(RefusalKind::CrashSuspect, detail)
        };
        self.refuse(now, handle, refusal, out);
    }

    /// Clears a fingerprint that succeeded.
    pub(super) fn clear_suspect(
        &mut self,
        now: Now,
        fingerprint: Fingerprint,
        out: &mut Vec<Output>,
    ) {
        let cleared = self.suspects.clear(fingerprint);
        if !cleared.is_empty() {
            self.share(now, cleared, out);
        }
    }

    /// Takes back the trial of a request that ended without a crash. While an attempt is in
    /// flight its end is not known, and the trial goes on counting.
    pub(super) fn end_trial(&mut self, now: Now, held: &Held, out: &mut Vec<Output>) {
        let Some(crash) = held.trial.filter(|_| held.attempt.is_none()) else {
            return;
        };
        let suspect = Suspect {
            fingerprint: held.request.fingerprint,
            crash,
            cleared: true,
        };
        self.suspects.record(now, suspect);
        self.share(now, vec![suspect], out);
    }
}
