//! Callers: their requests, repeats, reconnections and departures.

use eelgrasshold_core::entry::Input;
use eelgrasshold_core::types::{Request, RequestHandle};
use rand::Rng;

use super::caller::{Work, is_poison};
use super::oracle::{Outcome, Submission};
use super::simulation::{Event, Simulation};

/// Number of times that the caller of a poisonous request sends it.
const MAX_POISON_SUBMISSIONS: usize = 6;

impl Simulation {
    pub fn submit(&mut self, entry: usize, work: &Work) {
        let request = work.request(self.last_handle + 1);
        self.send_request(entry % self.entries.len(), request);
    }

    pub fn send_request(&mut self, entry: usize, request: Request) {
        if is_poison(request.fingerprint) && self.is_open(request.fingerprint) {
            // Concurrent copies crash their upstreams before the first crash is known. The limit on
            // crashes holds for a caller that repeats its request after it has ended.
            return;
        }
        self.last_handle += 1;
        let handle = self.last_handle;
        let sub = Submission {
            next: request.resume_from,
            request,
            entry,
            incarnation: self.entries[entry].incarnation,
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

    fn pick_request(&self, n: usize) -> Option<RequestHandle> {
        let handles = &self.oracle.submissions;
        let index = n.checked_rem(handles.len())?;
        handles.keys().rev().nth(index).copied()
    }

    /// The caller sends a request again, whatever its outcome.
    pub fn repeat(&mut self, request: usize, entry: usize) {
        if let Some(handle) = self.pick_request(request) {
            let request = self.oracle.sub(handle).request.clone();
            self.send_request(entry % self.entries.len(), request);
        }
    }

    /// The caller closes its connection and resumes the answer through another.
    pub fn resume(&mut self, request: usize, entry: usize) {
        let Some(handle) = self.pick_request(request) else {
            return;
        };
        let sub = self.oracle.sub(handle);
        if sub.outcome == Outcome::Finished || is_poison(sub.request.fingerprint) {
            return;
        }
        let mut request = sub.request.clone();
        request.resume_from = sub.next;
        self.disconnect(handle);
        self.send_request(entry % self.entries.len(), request);
    }

    pub fn caller_gone(&mut self, request: usize) {
        if let Some(handle) = self.pick_request(request) {
            self.disconnect(handle);
        }
    }

    fn disconnect(&mut self, handle: RequestHandle) {
        let sub = self.oracle.sub(handle);
        if sub.outcome != Outcome::Open || is_poison(sub.request.fingerprint) {
            return;
        }
        sub.outcome = Outcome::Gone;
        let (slot, incarnation, arrives) = (sub.entry, sub.incarnation, sub.arrives);
        let input = Input::CallerGone(handle);
        let at = arrives.max(self.now + self.latency());
        self.schedule(
            at,
            Event::Entry {
                slot,
                incarnation,
                input,
            },
        );
    }

    pub fn arrive(&mut self, handle: RequestHandle) {
        let sub = self.oracle.sub(handle);
        let (slot, incarnation, request) = (sub.entry, sub.incarnation, sub.request.clone());
        let process = &self.entries[slot];
        if process.incarnation != incarnation || process.machine.is_none() {
            self.connection_lost(handle);
            return;
        }
        self.entry_input(slot, incarnation, Input::Request { handle, request });
    }

    /// The caller's connection broke; a poisonous request is sent again.
    pub fn connection_lost(&mut self, handle: RequestHandle) {
        let sub = self.oracle.sub(handle);
        if sub.outcome == Outcome::Open {
            sub.outcome = Outcome::Gone;
            self.resend_poison(handle);
        }
    }

    pub fn resend_poison(&mut self, handle: RequestHandle) {
        let request = self.oracle.sub(handle).request.clone();
        if !is_poison(request.fingerprint) {
            return;
        }
        let sent = self
            .oracle
            .submissions
            .values()
            .filter(|s| s.request.id == request.id);
        if sent.count() < MAX_POISON_SUBMISSIONS {
            let entry = self.rng.random_range(0..self.entries.len());
            let at = self.now + self.latency();
            self.schedule(at, Event::Resend { request, entry });
        }
    }
}
