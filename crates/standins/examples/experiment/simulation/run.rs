//! Event loop of the simulation.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use eelgrasshold_core::entry::{self, AttemptEvent};
use eelgrasshold_core::types::{AttemptId, Now, Run};
use eelgrasshold_core::upstream::{self, EngineEvent};
use eelgrasshold_standins::model::{Engine, Job, Report};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::node::{EntryNode, UpstreamNode, entry_name};
use super::{Call, End, Fault, Fleet, Results, Variant};

/// One-way latency between an entry host and an upstream, in microseconds.
const LATENCY_US: std::ops::Range<u64> = 500..1_000;
/// A run ends this long after the last arrival, even if calls are still open.
const MAX_RUN_AFTER_LAST_CALL: Duration = Duration::from_secs(600);

enum Event {
    Entry(usize, entry::Input),
    Upstream(usize, upstream::Input),
    EngineStep(usize),
    Fault(usize, Fault),
    EngineUp(usize),
}

struct Attempt {
    entry: usize,
    upstream: usize,
    call: usize,
    next_token: u32,
}

struct Simulation<'a> {
    calls: &'a [Call],
    now: Now,
    events: BTreeMap<(Now, u64), Event>,
    sequence: u64,
    entries: Vec<EntryNode>,
    upstreams: Vec<UpstreamNode>,
    engines: Vec<Engine>,
    /// One-way latencies by entry host and upstream.
    latencies: Vec<Vec<Duration>>,
    attempts: BTreeMap<AttemptId, Attempt>,
    /// Indices of the upstreams whose engines are down.
    engines_down: BTreeSet<usize>,
    results: Results,
}

/// Simulates all calls to a fleet with a combination of policies.
pub fn run(fleet: &Fleet, variant: Variant, calls: &[Call], seed: u64) -> Results {
    let (_, routing, queueing) = variant;
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut latencies = || -> Vec<Duration> {
        let each = (0..fleet.upstreams).map(|_| rng.random_range(LATENCY_US));
        each.map(Duration::from_micros).collect()
    };
    let mut simulation = Simulation {
        calls,
        now: Now::ZERO,
        events: BTreeMap::new(),
        sequence: 0,
        latencies: (0..fleet.entries).map(|_| latencies()).collect(),
        entries: (0..fleet.entries)
            .map(|n| EntryNode::new(fleet, routing, n, seed))
            .collect(),
        upstreams: (0..fleet.upstreams)
            .map(|_| UpstreamNode::new(fleet, queueing))
            .collect(),
        engines: (0..fleet.upstreams)
            .map(|_| Engine::new(fleet.spec))
            .collect(),
        attempts: BTreeMap::new(),
        engines_down: BTreeSet::new(),
        results: Results::default(),
    };
    simulation
        .results
        .outcomes
        .resize_with(calls.len(), Default::default);
    simulation
        .results
        .tokens_by_engine
        .resize(fleet.upstreams, 0);
    for (n, call) in calls.iter().enumerate() {
        let handle = n as u64;
        let request = call.request.clone();
        simulation.schedule(
            call.at,
            Event::Entry(call.entry, entry::Input::Request { handle, request }),
        );
    }
    for (at, upstream, fault) in &fleet.faults {
        simulation.schedule(*at, Event::Fault(*upstream, *fault));
    }
    simulation.run()
}

impl Simulation<'_> {
    fn run(mut self) -> Results {
        let end = self.calls.last().map_or(Now::ZERO, |c| c.at) + MAX_RUN_AFTER_LAST_CALL;
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at > end {
                break;
            }
            self.now = at;
            self.handle_event(event);
        }
        for engine in &self.engines {
            let (lookups, hits) = engine.prefix_counts();
            self.results.prefix_counts.0 += lookups;
            self.results.prefix_counts.1 += hits;
        }
        self.results
    }

    fn schedule(&mut self, at: Now, event: Event) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), event);
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Entry(entry, input) => {
                for output in self.entries[entry].handle(self.now, input) {
                    self.handle_entry_output(entry, output);
                }
            }
            Event::Upstream(upstream, input) => {
                for output in self.upstreams[upstream].handle(self.now, input) {
                    self.handle_upstream_output(upstream, &output);
                }
            }
            Event::EngineStep(upstream) => {
                // Step events that were scheduled before a crash are stale.
                if self.engines[upstream].next_at() == Some(self.now) {
                    for report in self.engines[upstream].advance(self.now) {
                        self.handle_report(upstream, report);
                    }
                    self.schedule_step(upstream);
                }
            }
            Event::Fault(upstream, Fault::Crash(outage)) => {
                self.engines[upstream].crash();
                self.engines_down.insert(upstream);
                self.schedule(
                    self.now,
                    Event::Upstream(upstream, upstream::Input::EngineDown),
                );
                self.schedule(self.now + outage, Event::EngineUp(upstream));
            }
            Event::EngineUp(upstream) => {
                self.engines[upstream].restart();
                self.engines_down.remove(&upstream);
                self.handle_event(Event::Upstream(upstream, upstream::Input::EngineUp));
            }
        }
    }

    fn handle_entry_output(&mut self, entry: usize, output: entry::Output) {
        match output {
            entry::Output::Dispatch {
                handle,
                attempt,
                upstream,
                resume_from,
                ..
            } => self.dispatch(entry, handle as usize, attempt, &upstream.host, resume_from),
            entry::Output::Cancel(attempt) => {
                if let Some(a) = self.attempts.get(&attempt) {
                    let (upstream, latency) = (a.upstream, self.latencies[entry][a.upstream]);
                    let input = upstream::Input::Cancel(attempt);
                    self.schedule(self.now + latency, Event::Upstream(upstream, input));
                }
            }
            entry::Output::Forward { handle, .. } => {
                let outcome = &mut self.results.outcomes[handle as usize];
                outcome.first_token_at.get_or_insert(self.now);
            }
            entry::Output::Finish { handle } => self.record_end(handle, End::Finished),
            entry::Output::Refuse { handle, refusal } => {
                self.record_end(handle, End::Refused(refusal.kind, refusal.run));
            }
            entry::Output::SetTimer { at, timer } => {
                self.schedule(at, Event::Entry(entry, entry::Input::Timer(timer)));
            }
            entry::Output::Probe(upstream) => {
                let host = upstream.host;
                let index: Option<usize> = host.strip_prefix("up-").and_then(|n| n.parse().ok());
                let Some(index) = index else { return };
                let up = !self.engines_down.contains(&index);
                let at = self.now + 2 * self.latencies[entry][index];
                self.schedule(at, Event::Entry(entry, entry::Input::Probed { host, up }));
            }
            entry::Output::Send { to, message } => {
                let peer = (0..self.entries.len()).find(|n| entry_name(*n) == to);
                if let Some(peer) = peer {
                    let from = entry_name(entry);
                    let at = self.now + Duration::from_micros(LATENCY_US.end);
                    self.schedule(at, Event::Entry(peer, entry::Input::Peer { from, message }));
                }
            }
            _ => {}
        }
    }

    fn dispatch(
        &mut self,
        entry: usize,
        call: usize,
        attempt: AttemptId,
        host: &str,
        resume_from: u32,
    ) {
        let Some(upstream) = host.strip_prefix("up-").and_then(|n| n.parse().ok()) else {
            return;
        };
        self.results.outcomes[call].attempts += 1;
        let latency = self.latencies[entry][upstream];
        let state = Attempt {
            entry,
            upstream,
            call,
            next_token: resume_from,
        };
        self.attempts.insert(attempt, state);
        let Call { at, request, .. } = &self.calls[call];
        let request = eelgrasshold_core::types::Request {
            deadline: (*at + request.deadline).saturating_sub(self.now + latency),
            resume_from,
            ..request.clone()
        };
        let work = upstream::Input::Work {
            attempt,
            request,
            age: latency,
            alone: false,
        };
        self.schedule(self.now + latency, Event::Upstream(upstream, work));
    }

    fn handle_upstream_output(&mut self, upstream: usize, output: &upstream::Output) {
        match *output {
            upstream::Output::Start { attempt, priority } => {
                self.send_to_entry(
                    attempt,
                    AttemptEvent::Accepted(self.upstreams[upstream].load()),
                );
                self.submit(upstream, attempt, priority);
            }
            upstream::Output::Reprioritize { attempt, priority } => {
                self.engines[upstream].set_priority(attempt, priority);
            }
            upstream::Output::Stop(attempt) => {
                self.engines[upstream].cancel(self.now, attempt);
                self.attempts.remove(&attempt);
            }
            upstream::Output::Bounce {
                attempt,
                reason,
                load,
            } => {
                self.send_to_entry(attempt, AttemptEvent::Bounced(reason, load));
                self.attempts.remove(&attempt);
            }
            upstream::Output::Fail { attempt, run } => {
                let crashed = self
                    .attempts
                    .get(&attempt)
                    .map(|a| self.engines_down.contains(&a.upstream));
                let event = match crashed {
                    Some(true) => AttemptEvent::Crashed,
                    _ => AttemptEvent::Failed(run),
                };
                self.send_to_entry(attempt, event);
                self.attempts.remove(&attempt);
            }
            upstream::Output::SetTimer { at, timer } => {
                self.schedule(at, Event::Upstream(upstream, upstream::Input::Timer(timer)));
            }
            _ => {}
        }
    }

    fn submit(&mut self, upstream: usize, attempt: AttemptId, priority: u8) {
        let Some(state) = self.attempts.get(&attempt) else {
            return;
        };
        let call = &self.calls[state.call];
        let job = Job {
            id: attempt,
            priority,
            prefix: call.request.prefix,
            prefix_tokens: call.prefix_tokens,
            prompt_tokens: call.request.prompt_tokens + state.next_token,
            output_tokens: call.output_tokens - state.next_token,
        };
        let idle = self.engines[upstream].next_at().is_none();
        self.engines[upstream].submit(self.now, job);
        if idle {
            self.schedule_step(upstream);
        }
    }

    fn schedule_step(&mut self, upstream: usize) {
        if let Some(at) = self.engines[upstream].next_at() {
            self.schedule(at, Event::EngineStep(upstream));
        }
    }

    fn handle_report(&mut self, upstream: usize, report: Report) {
        match report {
            Report::Token(attempt) => {
                self.results.tokens_by_engine[upstream] += 1;
                let Some(state) = self.attempts.get_mut(&attempt) else {
                    return;
                };
                let first = state.next_token;
                state.next_token += 1;
                self.send_to_entry(attempt, AttemptEvent::Chunk { first, count: 1 });
                let input = upstream::Input::Engine(attempt, EngineEvent::Tokens(1));
                self.handle_event(Event::Upstream(upstream, input));
            }
            Report::Finished(attempt) => {
                let input = upstream::Input::Engine(attempt, EngineEvent::Finished);
                self.handle_event(Event::Upstream(upstream, input));
                let load = self.upstreams[upstream].load();
                self.send_to_entry(attempt, AttemptEvent::Finished(load));
                self.attempts.remove(&attempt);
            }
            Report::Failed(attempt) => {
                let failed = EngineEvent::Failed(Run::Unknown);
                let input = upstream::Input::Engine(attempt, failed);
                self.handle_event(Event::Upstream(upstream, input));
            }
        }
    }

    fn send_to_entry(&mut self, attempt: AttemptId, event: AttemptEvent) {
        if let Some(state) = self.attempts.get(&attempt) {
            let (entry, latency) = (state.entry, self.latencies[state.entry][state.upstream]);
            let input = entry::Input::Attempt(attempt, event);
            self.schedule(self.now + latency, Event::Entry(entry, input));
        }
    }

    fn record_end(&mut self, handle: u64, end: End) {
        self.results.outcomes[handle as usize].end = Some((self.now, end));
    }
}
