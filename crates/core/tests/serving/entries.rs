//! Entry hosts, with the drivers around their machines.

use std::time::Duration;

use eelgrasshold_core::entry::{AttemptEvent, Entry, Input, Output, UpstreamInfo};
use eelgrasshold_core::platform::{Call, CallId, Reply};
use eelgrasshold_core::types::{AttemptId, HostId, Now, RequestHandle, Run};
use rand::Rng;

use super::connection::{Connection, Stage};
use super::oracle::Outcome;
use super::platform::Fate;
use super::upstreams::UpInput;
use super::world::{Event, World};

/// A chunk that the driver holds while the machine decides on it.
type Chunk = Option<(AttemptId, u32, u32)>;

pub struct EntryProcess {
    pub machine: Option<Entry>,
    pub life: u64,
    /// Its monotonic clock, ahead of the world's.
    pub origin: Duration,
    pub paused: bool,
    /// It is paused right after its next dispatch is decided, before that is sent.
    pub freeze: Option<Duration>,
    pub backlog: Vec<Input>,
    unsent: Vec<(Now, Chunk, Vec<Output>)>,
    draining: bool,
}

impl EntryProcess {
    pub fn new() -> Self {
        Self {
            machine: None,
            life: 0,
            origin: Duration::ZERO,
            paused: false,
            freeze: None,
            backlog: Vec::new(),
            unsent: Vec::new(),
            draining: false,
        }
    }
}

pub fn entry_name(slot: usize) -> HostId {
    format!("entry-{slot}")
}

impl World {
    pub fn entry_input(&mut self, slot: usize, life: u64, input: Input) {
        let now = self.now;
        let process = &mut self.entries[slot];
        if process.machine.is_none() || process.life != life {
            return;
        }
        if process.paused {
            process.backlog.push(input);
            return;
        }
        if let Input::Attempt(attempt, AttemptEvent::Crashed) = &input {
            self.crash_reported(*attempt);
        }
        if self.trace_on {
            eprintln!("{now:?} entry {slot} <- {input:?}");
        }
        let chunk = match &input {
            Input::Attempt(attempt, AttemptEvent::Chunk { first, count }) => {
                Some((*attempt, *first, first + count))
            }
            _ => None,
        };
        if let Input::Request { handle, .. } = &input {
            self.oracle.arrived(*handle, now);
        }
        let process = &mut self.entries[slot];
        let Some(machine) = process.machine.as_mut() else {
            return;
        };
        let out = machine.handle(now + process.origin, input);
        let dispatches = out.iter().any(|o| matches!(o, Output::Dispatch { .. }));
        if let Some(time) = process.freeze.filter(|_| dispatches) {
            process.freeze = None;
            process.unsent.push((now, chunk, out));
            self.pause_entry_now(slot, time);
            return;
        }
        self.entry_outputs(slot, now, chunk, out);
    }

    fn crash_reported(&mut self, attempt: AttemptId) {
        let conn = &self.connections[&attempt];
        if !conn.crashed_engine || conn.cancelled || self.lossy {
            return;
        }
        let entries = self.entries.iter().enumerate();
        let running = entries.filter(|(_, e)| e.machine.is_some() && !e.paused);
        let running = running.map(|(slot, e)| (slot, e.life)).collect();
        self.oracle
            .crashed(conn.fingerprint, self.now, conn.entry, running);
    }

    fn entry_outputs(&mut self, slot: usize, decided: Now, chunk: Chunk, out: Vec<Output>) {
        let life = self.entries[slot].life;
        for output in out {
            if self.trace_on && !matches!(output, Output::SetTimer { .. }) {
                eprintln!("{:?}   entry {slot} -> {output:?}", self.now);
            }
            match output {
                Output::Dispatch {
                    handle,
                    attempt,
                    upstream,
                    resume_from,
                    alone,
                } => {
                    self.oracle.dispatched(handle, decided);
                    self.connect(slot, decided, handle, attempt, &upstream, resume_from);
                    if let Some(conn) = self.connections.get_mut(&attempt) {
                        conn.alone = alone;
                    }
                }
                Output::Cancel(attempt) => {
                    if let Some(conn) = self.connections.get_mut(&attempt) {
                        conn.cancelled = true;
                    }
                    self.tell_upstream(attempt, UpInput::Cancel(attempt));
                }
                Output::Forward { handle, skip } => {
                    let (attempt, first, end) = chunk.expect("a chunk to forward");
                    let fingerprint = self.connections[&attempt].fingerprint;
                    self.oracle
                        .forwarded(handle, fingerprint, first + skip, end);
                }
                Output::Finish { handle } => self.oracle.finished(handle),
                Output::Replay {
                    handle, original, ..
                } => self.oracle.replayed(handle, original),
                Output::Refuse { handle, refusal } => {
                    let open = self.oracle.sub(handle).outcome == Outcome::Open;
                    self.oracle.refused(handle, &refusal);
                    if open {
                        self.poison_again(handle);
                    }
                }
                Output::SetTimer { at, timer } => {
                    let at = at.saturating_sub(self.entries[slot].origin);
                    let input = Input::Timer(timer);
                    self.schedule(at, Event::Entry { slot, life, input });
                }
                Output::Probe(upstream) => {
                    let up = self.upstreams.iter().enumerate().any(|(n, process)| {
                        super::upstreams::upstream_name(n) == upstream.host
                            && process.machine.is_some()
                            && process.engine_up
                    });
                    let at = self.now + self.latency();
                    let host = upstream.host;
                    let input = Input::Probed { host, up };
                    self.schedule(at, Event::Entry { slot, life, input });
                }
                Output::Send { to, message } => self.send_message(slot, &to, &message),
                Output::Platform { id, call } => self.call_platform(slot, id, call),
                Output::Event(_) => {}
                Output::Drained => self.entry_drained(slot),
            }
        }
    }

    fn connect(
        &mut self,
        slot: usize,
        decided: Now,
        handle: RequestHandle,
        attempt: AttemptId,
        upstream: &UpstreamInfo,
        resume_from: u32,
    ) {
        let names = 0..self.upstreams.len();
        let to = names
            .into_iter()
            .find(|n| super::upstreams::upstream_name(*n) == upstream.host);
        let to = to.expect("an upstream of this world");
        let life = self.upstreams[to].life;
        let conn = Connection {
            handle,
            fingerprint: self.oracle.sub(handle).request.fingerprint,
            entry: (slot, self.entries[slot].life),
            upstream: (to, life),
            misdirected: upstream.incarnation != life,
            resume_from,
            alone: false,
            decided,
            age: Duration::ZERO,
            stage: Stage::Sent,
            cancelled: false,
            crashed_engine: false,
            to_upstream: self.now,
            to_entry: self.now,
        };
        let before = self.connections.insert(attempt, conn);
        assert!(before.is_none(), "attempt {attempt} is not unique");
        if self.upstreams[to].machine.is_none() {
            self.end_connection(attempt, AttemptEvent::Failed(Run::NotRun));
            return;
        }
        self.tell_upstream(attempt, UpInput::Work(attempt));
    }

    fn send_message(
        &mut self,
        from: usize,
        to: &HostId,
        message: &eelgrasshold_core::entry::PeerMessage,
    ) {
        let Some(slot) = (0..self.entries.len()).find(|n| entry_name(*n) == *to) else {
            return;
        };
        let loss = if self.lossy { 0.5 } else { 0.05 };
        let copies = if self.rng.random_bool(0.1) { 2 } else { 1 };
        for _ in 0..copies {
            if self.rng.random_bool(loss) {
                continue;
            }
            let mut delay = self.latency();
            if self.rng.random_bool(0.03) {
                delay += Duration::from_secs(self.rng.random_range(1..200));
            }
            let life = self.entries[slot].life;
            let input = Input::Peer {
                from: entry_name(from),
                message: message.clone(),
            };
            self.schedule(self.now + delay, Event::Entry { slot, life, input });
        }
    }

    fn call_platform(&mut self, slot: usize, id: CallId, call: Call) {
        let life = self.entries[slot].life;
        let entry = (slot, life);
        let reply = |reply| Event::Entry {
            slot,
            life,
            input: Input::Platform { id, reply },
        };
        match self.platform.fate(&mut self.rng) {
            Fate::Answered(effect, answer) => {
                let reply_at = Some(self.now + answer);
                self.schedule(
                    self.now + effect,
                    Event::Call {
                        entry,
                        id,
                        call,
                        reply_at,
                    },
                );
            }
            Fate::Lost(effect, report) => {
                if let Some(effect) = effect {
                    let reply_at = None;
                    self.schedule(
                        self.now + effect,
                        Event::Call {
                            entry,
                            id,
                            call,
                            reply_at,
                        },
                    );
                }
                self.schedule(self.now + report, reply(Reply::Lost));
            }
            Fate::Refused(after) => self.schedule(self.now + after, reply(Reply::Unavailable)),
        }
    }

    /// Tells an entry host the live entry hosts and upstreams.
    pub fn tell_lists(&mut self, slot: usize) {
        let serves = |n: &usize| self.entries[*n].machine.is_some() && !self.entries[*n].draining;
        let hosts = (0..self.entries.len())
            .filter(serves)
            .map(entry_name)
            .collect();
        let upstreams = self.upstream_list();
        let life = self.entries[slot].life;
        self.entry_input(slot, life, Input::EntryHosts(hosts));
        self.entry_input(slot, life, Input::Upstreams(upstreams));
    }

    pub fn kill_entry(&mut self, n: usize) {
        let slot = n % self.entries.len();
        let life = self.entries[slot].life;
        if self.entries[slot].machine.take().is_none() {
            return;
        }
        self.oracle.stopped_running((slot, life), self.now);
        self.break_entry(slot, life);
        let subs = &self.oracle.submissions;
        let on_it = subs
            .iter()
            .filter(|(_, s)| s.entry == slot && s.life == life);
        let handles: Vec<_> = on_it.map(|(handle, _)| *handle).collect();
        for handle in handles {
            self.lost(handle);
        }
        self.spread_lists();
    }

    pub fn restart_entry(&mut self, n: usize) {
        let slot = n % self.entries.len();
        if self.entries[slot].machine.is_some() {
            return;
        }
        let life = self.entries[slot].life + 1;
        let origin = Duration::from_secs(self.rng.random_range(0..1_000_000));
        let mut machine = Entry::new(entry_name(slot), self.rng.random());
        let out = machine.handle(self.now + origin, Input::Config(self.config.clone()));
        self.entries[slot] = EntryProcess {
            machine: Some(machine),
            life,
            origin,
            ..EntryProcess::new()
        };
        self.entry_outputs(slot, self.now, None, out);
        self.tell_lists(slot);
        self.spread_lists();
    }

    pub fn drain_entry(&mut self, n: usize) {
        let slot = n % self.entries.len();
        self.entries[slot].draining = true;
        let life = self.entries[slot].life;
        self.entry_input(slot, life, Input::Drain);
        self.spread_lists();
    }

    fn entry_drained(&mut self, slot: usize) {
        let life = self.entries[slot].life;
        let subs = self.oracle.submissions.iter();
        let on_it =
            subs.filter(|(_, s)| s.entry == slot && s.life == life && s.outcome == Outcome::Open);
        let mut unread = Vec::new();
        for (handle, sub) in on_it {
            assert!(
                sub.arrived.is_none(),
                "a planned stop of an entry host cuts request {handle}"
            );
            unread.push(*handle);
        }
        self.entries[slot].machine = None;
        self.oracle.stopped_running((slot, life), self.now);
        for handle in unread {
            self.lost(handle);
        }
    }

    pub fn pause_entry(&mut self, n: usize, time: Duration, after_decision: bool) {
        let slot = n % self.entries.len();
        let process = &mut self.entries[slot];
        if process.machine.is_none() || process.paused {
            return;
        }
        if after_decision {
            process.freeze = Some(time);
        } else {
            self.pause_entry_now(slot, time);
        }
    }

    fn pause_entry_now(&mut self, slot: usize, time: Duration) {
        let life = self.entries[slot].life;
        self.entries[slot].paused = true;
        self.oracle.stopped_running((slot, life), self.now);
        self.schedule(self.now + time, Event::ResumeEntry { slot, life });
    }

    pub fn resume_entry(&mut self, slot: usize, life: u64) {
        let process = &mut self.entries[slot];
        if process.life != life || process.machine.is_none() {
            return;
        }
        process.paused = false;
        let mut backlog = std::mem::take(&mut process.backlog);
        let unsent = std::mem::take(&mut process.unsent);
        if self.rng.random() {
            backlog.sort_by_key(|input| !matches!(input, Input::Timer(_)));
        }
        for (decided, chunk, out) in unsent {
            self.entry_outputs(slot, decided, chunk, out);
        }
        for input in backlog {
            self.entry_input(slot, life, input);
        }
    }
}
