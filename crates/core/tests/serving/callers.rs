//! Callers: what they send, and when they send it again.

use eelgrasshold_core::entry::Input;
use eelgrasshold_core::types::{Request, RequestHandle};
use rand::Rng;

use super::caller::{Work, is_poison};
use super::oracle::{Outcome, Submission};
use super::world::{Event, World};

/// Times that the caller of a poisonous request sends it.
const POISON_SENDINGS: usize = 6;

impl World {
    pub fn submit(&mut self, entry: usize, work: &Work) {
        let request = work.request(self.last_handle + 1);
        self.send_request(entry % self.entries.len(), request);
    }

    pub fn send_request(&mut self, entry: usize, request: Request) {
        if is_poison(request.fingerprint) && self.is_open(request.fingerprint) {
            // Copies that run at the same time crash their upstreams before the first crash is
            // known; the promise is about a caller that sends its request again and again.
            return;
        }
        self.last_handle += 1;
        let handle = self.last_handle;
        let sub = Submission {
            next: request.resume_from,
            request,
            entry,
            life: self.entries[entry].life,
            arrives: self.now,
            arrived: None,
            outcome: Outcome::Open,
            runs: 0,
        };
        self.trace(|| format!("request {handle} to entry {entry}: {:?}", sub.request));
        self.oracle.submissions.insert(handle, sub);
        let at = self.now + self.latency();
        self.oracle.sub(handle).arrives = at;
        self.schedule(at, Event::Arrive { handle });
    }

    fn is_open(&self, fingerprint: u64) -> bool {
        let mut subs = self.oracle.submissions.values();
        subs.any(|s| s.request.fingerprint == fingerprint && s.outcome == Outcome::Open)
    }

    fn pick(&self, n: usize) -> Option<RequestHandle> {
        let handles = &self.oracle.submissions;
        let nth = n.checked_rem(handles.len())?;
        handles.keys().rev().nth(nth).copied()
    }

    /// The caller sends a request once more, whatever became of it.
    pub fn repeat(&mut self, request: usize, entry: usize) {
        if let Some(handle) = self.pick(request) {
            let request = self.oracle.sub(handle).request.clone();
            self.send_request(entry % self.entries.len(), request);
        }
    }

    /// The caller drops its connection and goes on through another.
    pub fn resume(&mut self, request: usize, entry: usize) {
        let Some(handle) = self.pick(request) else {
            return;
        };
        let sub = self.oracle.sub(handle);
        if sub.outcome == Outcome::Finished || is_poison(sub.request.fingerprint) {
            return;
        }
        let mut request = sub.request.clone();
        request.resume_from = sub.next;
        self.leave(handle);
        self.send_request(entry % self.entries.len(), request);
    }

    pub fn caller_gone(&mut self, request: usize) {
        if let Some(handle) = self.pick(request) {
            self.leave(handle);
        }
    }

    fn leave(&mut self, handle: RequestHandle) {
        let sub = self.oracle.sub(handle);
        if sub.outcome != Outcome::Open || is_poison(sub.request.fingerprint) {
            return;
        }
        sub.outcome = Outcome::Gone;
        let (slot, life, arrives) = (sub.entry, sub.life, sub.arrives);
        let input = Input::CallerGone(handle);
        let at = arrives.max(self.now + self.latency());
        self.schedule(at, Event::Entry { slot, life, input });
    }

    pub fn arrive(&mut self, handle: RequestHandle) {
        let sub = self.oracle.sub(handle);
        let (slot, life, request) = (sub.entry, sub.life, sub.request.clone());
        let process = &self.entries[slot];
        if process.life != life || process.machine.is_none() {
            self.lost(handle);
            return;
        }
        self.entry_input(slot, life, Input::Request { handle, request });
    }

    /// The caller's connection broke.
    pub fn lost(&mut self, handle: RequestHandle) {
        let sub = self.oracle.sub(handle);
        if sub.outcome == Outcome::Open {
            sub.outcome = Outcome::Gone;
            self.poison_again(handle);
        }
    }

    pub fn poison_again(&mut self, handle: RequestHandle) {
        let request = self.oracle.sub(handle).request.clone();
        if !is_poison(request.fingerprint) {
            return;
        }
        let sent = self
            .oracle
            .submissions
            .values()
            .filter(|s| s.request.id == request.id);
        if sent.count() < POISON_SENDINGS {
            let entry = self.rng.random_range(0..self.entries.len());
            let at = self.now + self.latency();
            self.schedule(at, Event::Again { request, entry });
        }
    }
}
