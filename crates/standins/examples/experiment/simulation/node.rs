//! Simulated processes that run either the state machine of the core or a baseline.

use std::sync::Arc;

use eelgrasshold_core::entry::{self, Entry, UpstreamInfo};
use eelgrasshold_core::types::{Load, Now};
use eelgrasshold_core::upstream::{self, Upstream};

use super::baseline::{BaselineEntry, Fifo};
use super::{Fleet, Queueing, Routing, SERVICE};

pub enum EntryNode {
    Core(Box<Entry>),
    Baseline(BaselineEntry),
}

impl EntryNode {
    pub fn new(fleet: &Fleet, routing: Routing, index: usize, seed: u64) -> Self {
        let upstreams: Vec<_> = (0..fleet.upstreams)
            .map(|n| UpstreamInfo::new(&format!("up-{n}"), SERVICE))
            .collect();
        if routing != Routing::Core {
            return Self::Baseline(BaselineEntry::new(routing, index as u64, upstreams));
        }
        let hosts = (0..fleet.entries).map(entry_name).collect();
        let mut entry = Entry::new(entry_name(index), seed ^ ((index as u64) << 32));
        let inputs = [
            entry::Input::Config(Arc::new(fleet.config())),
            entry::Input::EntryHosts(hosts),
            entry::Input::Upstreams(upstreams),
        ];
        for input in inputs {
            entry.handle(Now::ZERO, input);
        }
        Self::Core(Box::new(entry))
    }

    pub fn handle(&mut self, now: Now, input: entry::Input) -> Vec<entry::Output> {
        match (self, input) {
            (Self::Core(entry), input) => entry.handle(now, input),
            (Self::Baseline(baseline), entry::Input::Request { handle, request }) => {
                baseline.on_request(now, handle, &request)
            }
            (Self::Baseline(baseline), entry::Input::Attempt(attempt, event)) => {
                baseline.on_attempt_event(attempt, event)
            }
            (Self::Baseline(baseline), entry::Input::Timer(entry::Timer::Deadline(handle))) => {
                baseline.on_deadline(handle)
            }
            (Self::Baseline(_), _) => Vec::new(),
        }
    }
}

pub fn entry_name(index: usize) -> String {
    format!("entry-{index}")
}

pub enum UpstreamNode {
    Core(Box<Upstream>),
    Fifo(Fifo),
}

impl UpstreamNode {
    pub fn new(fleet: &Fleet, queueing: Queueing) -> Self {
        match queueing {
            Queueing::Core => Self::Core(Box::new(Upstream::with_policy(fleet.policy.clone()))),
            Queueing::Fifo => Self::Fifo(Fifo::new(fleet.spec.slots)),
        }
    }

    pub fn handle(&mut self, now: Now, input: upstream::Input) -> Vec<upstream::Output> {
        match self {
            Self::Core(upstream) => upstream.handle(now, input),
            Self::Fifo(fifo) => fifo.handle(&input),
        }
    }

    pub fn load(&self) -> Load {
        match self {
            Self::Core(upstream) => upstream.load(),
            Self::Fifo(fifo) => fifo.load(),
        }
    }
}
