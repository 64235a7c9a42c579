//! Connections between entry hosts and upstream processes. Each delivers in order, and breaks when
//! either process ends.

use std::time::Duration;

use eelgrasshold_core::entry::{AttemptEvent, Input};
use eelgrasshold_core::types::{AttemptId, Now, RequestHandle, Run};
use rand::Rng;

use super::simulation::{Event, Simulation};
use super::upstreams::UpstreamInput;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// The dispatch is in transit.
    Sent,
    /// The upstream process has received the dispatch.
    Taken,
    /// The upstream process has sent its last message, or either side has closed the stream.
    Ended,
}

/// The stream of one attempt.
#[allow(clippy::struct_excessive_bools)] // Independent facts about one connection.
pub struct Connection {
    pub handle: RequestHandle,
    pub fingerprint: u64,
    /// Slot and incarnation of the entry host.
    pub entry: (usize, u64),
    /// Slot and incarnation of the upstream process.
    pub upstream: (usize, u64),
    /// The dispatch was addressed to another incarnation of the upstream process.
    pub misdirected: bool,
    pub resume_from: u32,
    /// The request is a suspect, which the upstream runs alone.
    pub alone: bool,
    /// When the entry host decided to dispatch.
    pub decided: Now,
    /// Age of the dispatch when the upstream process received it.
    pub age: Duration,
    pub stage: Stage,
    /// The entry host has cancelled the attempt, so nothing sent later reaches it.
    pub cancelled: bool,
    /// Its request crashed the engine.
    pub crashed_engine: bool,
    /// Delivery time of the last message to the upstream process; keeps messages in order.
    pub upstream_delivery: Now,
    /// Delivery time of the last message to the entry host; keeps messages in order.
    pub entry_delivery: Now,
}

impl Simulation {
    pub fn latency(&mut self) -> Duration {
        let slow = self.rng.random_range(0..20) == 0;
        let range = if slow { 20..400 } else { 1..5 };
        Duration::from_millis(self.rng.random_range(range))
    }

    pub fn send_to_entry(&mut self, attempt: AttemptId, event: AttemptEvent) {
        let at = self.now + self.latency();
        let Some(conn) = self.connections.get_mut(&attempt) else {
            return;
        };
        // Messages sent before the stream was closed may still arrive; later ones are not sent.
        if conn.cancelled && self.now > conn.upstream_delivery {
            return;
        }
        conn.entry_delivery = conn.entry_delivery.max(at);
        let (at, (slot, incarnation)) = (conn.entry_delivery, conn.entry);
        let input = Input::Attempt(attempt, event);
        self.schedule(
            at,
            Event::Entry {
                slot,
                incarnation,
                input,
            },
        );
    }

    /// Sends the entry host the last event of an attempt.
    pub fn end_connection(&mut self, attempt: AttemptId, event: AttemptEvent) {
        let open = |c: &&mut super::connection::Connection| c.stage != Stage::Ended;
        let Some(conn) = self.connections.get_mut(&attempt).filter(open) else {
            return;
        };
        conn.stage = Stage::Ended;
        self.send_to_entry(attempt, event);
    }

    pub fn send_to_upstream(&mut self, attempt: AttemptId, input: UpstreamInput) {
        let at = self.now + self.latency();
        let Some(conn) = self.connections.get_mut(&attempt) else {
            return;
        };
        conn.upstream_delivery = conn.upstream_delivery.max(at);
        let (at, (slot, incarnation)) = (conn.upstream_delivery, conn.upstream);
        self.schedule(
            at,
            Event::Upstream {
                slot,
                incarnation,
                input,
            },
        );
    }

    /// Breaks the connections of an entry host that died.
    pub fn break_entry(&mut self, slot: usize, incarnation: u64) {
        let belongs = |c: &Connection| c.entry == (slot, incarnation) && c.stage != Stage::Ended;
        for attempt in self.attempts_where(belongs) {
            self.send_to_upstream(attempt, UpstreamInput::Cancel(attempt));
        }
    }

    /// Breaks the connections of an upstream process that died.
    pub fn break_upstream(&mut self, slot: usize, incarnation: u64) {
        let belongs = |c: &Connection| c.upstream == (slot, incarnation) && c.stage != Stage::Ended;
        for attempt in self.attempts_where(belongs) {
            self.end_connection(attempt, AttemptEvent::Crashed);
        }
    }

    /// Closes the connections of an upstream process that completes a graceful shutdown. Dispatches
    /// that it has not received will certainly not run, as with GOAWAY in HTTP/2.
    pub fn stop_upstream(&mut self, slot: usize, incarnation: u64) {
        let belongs = |c: &Connection| c.upstream == (slot, incarnation) && c.stage != Stage::Ended;
        for attempt in self.attempts_where(belongs) {
            let stage = self.connections[&attempt].stage;
            assert_eq!(
                stage,
                Stage::Sent,
                "a graceful shutdown cuts attempt {attempt}"
            );
            self.end_connection(attempt, AttemptEvent::Failed(Run::NotRun));
        }
    }

    fn attempts_where(&self, belongs: impl Fn(&Connection) -> bool) -> Vec<AttemptId> {
        let found = self.connections.iter().filter(|(_, c)| belongs(c));
        found.map(|(attempt, _)| *attempt).collect()
    }
}
