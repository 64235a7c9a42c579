//! Connections between entry hosts and upstream processes: in order, and ended with either.

use std::time::Duration;

use eelgrasshold_core::entry::{AttemptEvent, Input};
use eelgrasshold_core::types::{AttemptId, Now, RequestHandle, Run};
use rand::Rng;

use super::upstreams::UpInput;
use super::world::{Event, World};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// The dispatch is on its way.
    Sent,
    /// The upstream process has it.
    Taken,
    /// The upstream process has sent its last word, or either side has closed it.
    Ended,
}

/// The stream of one attempt.
#[allow(clippy::struct_excessive_bools)] // Independent facts about one connection.
pub struct Connection {
    pub handle: RequestHandle,
    pub fingerprint: u64,
    pub entry: (usize, u64),
    pub upstream: (usize, u64),
    /// The dispatch was meant for another life of the upstream process.
    pub misdirected: bool,
    pub resume_from: u32,
    /// The request is a suspect that runs with nothing beside it.
    pub alone: bool,
    /// When the entry host decided on it.
    pub decided: Now,
    /// Age that the upstream process saw.
    pub age: Duration,
    pub stage: Stage,
    /// The entry host has cancelled the attempt and hears no more of it.
    pub cancelled: bool,
    /// Its request crashed the engine.
    pub crashed_engine: bool,
    pub to_upstream: Now,
    pub to_entry: Now,
}

impl World {
    pub fn latency(&mut self) -> Duration {
        let slow = self.rng.random_range(0..20) == 0;
        let range = if slow { 20..400 } else { 1..5 };
        Duration::from_millis(self.rng.random_range(range))
    }

    pub fn tell_entry(&mut self, attempt: AttemptId, event: AttemptEvent) {
        let at = self.now + self.latency();
        let Some(conn) = self.connections.get_mut(&attempt) else {
            return;
        };
        // What was sent before the stream was closed may still come; nothing is sent after.
        if conn.cancelled && self.now > conn.to_upstream {
            return;
        }
        conn.to_entry = conn.to_entry.max(at);
        let (at, (slot, life)) = (conn.to_entry, conn.entry);
        let input = Input::Attempt(attempt, event);
        self.schedule(at, Event::Entry { slot, life, input });
    }

    /// Tells the entry host the last word of an attempt.
    pub fn end_connection(&mut self, attempt: AttemptId, event: AttemptEvent) {
        let open = |c: &&mut super::connection::Connection| c.stage != Stage::Ended;
        let Some(conn) = self.connections.get_mut(&attempt).filter(open) else {
            return;
        };
        conn.stage = Stage::Ended;
        self.tell_entry(attempt, event);
    }

    pub fn tell_upstream(&mut self, attempt: AttemptId, input: UpInput) {
        let at = self.now + self.latency();
        let Some(conn) = self.connections.get_mut(&attempt) else {
            return;
        };
        conn.to_upstream = conn.to_upstream.max(at);
        let (at, (slot, life)) = (conn.to_upstream, conn.upstream);
        self.schedule(at, Event::Upstream { slot, life, input });
    }

    /// Breaks the connections of a dead entry host.
    pub fn break_entry(&mut self, slot: usize, life: u64) {
        let of = |c: &Connection| c.entry == (slot, life) && c.stage != Stage::Ended;
        for attempt in self.attempts_where(of) {
            self.tell_upstream(attempt, UpInput::Cancel(attempt));
        }
    }

    /// Breaks the connections of a dead upstream process.
    pub fn break_upstream(&mut self, slot: usize, life: u64) {
        let of = |c: &Connection| c.upstream == (slot, life) && c.stage != Stage::Ended;
        for attempt in self.attempts_where(of) {
            self.end_connection(attempt, AttemptEvent::Crashed);
        }
    }

    /// Closes the connections of an upstream process that stops as planned. What it has not
    /// taken it certainly never will, as HTTP/2 tells by GOAWAY.
    pub fn stop_upstream(&mut self, slot: usize, life: u64) {
        let of = |c: &Connection| c.upstream == (slot, life) && c.stage != Stage::Ended;
        for attempt in self.attempts_where(of) {
            let stage = self.connections[&attempt].stage;
            assert_eq!(stage, Stage::Sent, "a planned stop cuts attempt {attempt}");
            self.end_connection(attempt, AttemptEvent::Failed(Run::NotRun));
        }
    }

    fn attempts_where(&self, of: impl Fn(&Connection) -> bool) -> Vec<AttemptId> {
        let found = self.connections.iter().filter(|(_, c)| of(c));
        found.map(|(attempt, _)| *attempt).collect()
    }
}
