//! The event loop.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use eelgrasshold_core::entry::{self, AttemptEvent};
use eelgrasshold_core::types::{AttemptId, Now, Run};
use eelgrasshold_core::upstream::{self, EngineEvent};
use eelgrasshold_standins::model::{Engine, Job, Report};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::node::{EntryNode, UpstreamNode, entry_name};
use super::{Call, Compared, End, Fault, Fleet, Results};

/// One-way latency between an entry host and an upstream, in microseconds.
const LATENCY_US: std::ops::Range<u64> = 500..1_000;
/// Time after the last call at which a run ends, whatever is still open.
const TAIL: Duration = Duration::from_secs(600);

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

struct World<'a> {
    calls: &'a [Call],
    now: Now,
    events: BTreeMap<(Now, u64), Event>,
    scheduled: u64,
    entries: Vec<EntryNode>,
    upstreams: Vec<UpstreamNode>,
    engines: Vec<Engine>,
    latencies: Vec<Vec<Duration>>,
    attempts: BTreeMap<AttemptId, Attempt>,
    /// Upstreams whose engines are down.
    down: BTreeSet<usize>,
    results: Results,
}

/// Runs all calls against a fleet.
pub fn run(fleet: &Fleet, compared: Compared, calls: &[Call], seed: u64) -> Results {
    let (_, routing, queueing) = compared;
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut latencies = || -> Vec<Duration> {
        let each = (0..fleet.upstreams).map(|_| rng.random_range(LATENCY_US));
        each.map(Duration::from_micros).collect()
    };
    let mut world = World {
        calls,
        now: Now::ZERO,
        events: BTreeMap::new(),
        scheduled: 0,
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
        down: BTreeSet::new(),
        results: Results::default(),
    };
    world
        .results
        .outcomes
        .resize_with(calls.len(), Default::default);
    world.results.tokens.resize(fleet.upstreams, 0);
    for (n, call) in calls.iter().enumerate() {
        let handle = n as u64;
        let request = call.request.clone();
        world.at(
            call.at,
            Event::Entry(call.entry, entry::Input::Request { handle, request }),
        );
    }
    for (at, upstream, fault) in &fleet.faults {
        world.at(*at, Event::Fault(*upstream, *fault));
    }
    world.run()
}

impl World<'_> {
    fn run(mut self) -> Results {
        let end = self.calls.last().map_or(Now::ZERO, |c| c.at) + TAIL;
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at > end {
                break;
            }
            self.now = at;
            self.event(event);
        }
        for engine in &self.engines {
            let (lookups, hits) = engine.prefix_counts();
            self.results.prefix_counts.0 += lookups;
            self.results.prefix_counts.1 += hits;
        }
        self.results
    }

    fn at(&mut self, at: Now, event: Event) {
        self.scheduled += 1;
        self.events.insert((at, self.scheduled), event);
    }

    fn event(&mut self, event: Event) {
        match event {
            Event::Entry(entry, input) => {
                for output in self.entries[entry].handle(self.now, input) {
                    self.entry_output(entry, output);
                }
            }
            Event::Upstream(upstream, input) => {
                for output in self.upstreams[upstream].handle(self.now, input) {
                    self.upstream_output(upstream, &output);
                }
            }
            Event::EngineStep(upstream) => {
                // A crash leaves the events of lost steps behind.
                if self.engines[upstream].next_at() == Some(self.now) {
                    for report in self.engines[upstream].advance(self.now) {
                        self.report(upstream, report);
                    }
                    self.schedule_step(upstream);
                }
            }
            Event::Fault(upstream, Fault::Crash(outage)) => {
                self.engines[upstream].crash();
                self.down.insert(upstream);
                self.at(
                    self.now,
                    Event::Upstream(upstream, upstream::Input::EngineDown),
                );
                self.at(self.now + outage, Event::EngineUp(upstream));
            }
            Event::EngineUp(upstream) => {
                self.engines[upstream].restart();
                self.down.remove(&upstream);
                self.event(Event::Upstream(upstream, upstream::Input::EngineUp));
            }
        }
    }

    fn entry_output(&mut self, entry: usize, output: entry::Output) {
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
                    self.at(self.now + latency, Event::Upstream(upstream, input));
                }
            }
            entry::Output::Forward { handle, .. } => {
                let outcome = &mut self.results.outcomes[handle as usize];
                outcome.first_token.get_or_insert(self.now);
            }
            entry::Output::Finish { handle } => self.end(handle, End::Finished),
            entry::Output::Refuse { handle, refusal } => {
                self.end(handle, End::Refused(refusal.kind, refusal.run));
            }
            entry::Output::SetTimer { at, timer } => {
                self.at(at, Event::Entry(entry, entry::Input::Timer(timer)));
            }
            entry::Output::Probe(upstream) => {
                let host = upstream.host;
                let number: Option<usize> = host.strip_prefix("up-").and_then(|n| n.parse().ok());
                let Some(number) = number else { return };
                let up = !self.down.contains(&number);
                let at = self.now + 2 * self.latencies[entry][number];
                self.at(at, Event::Entry(entry, entry::Input::Probed { host, up }));
            }
            entry::Output::Send { to, message } => {
                let known = (0..self.entries.len()).find(|n| entry_name(*n) == to);
                if let Some(peer) = known {
                    let from = entry_name(entry);
                    let at = self.now + Duration::from_micros(LATENCY_US.end);
                    self.at(at, Event::Entry(peer, entry::Input::Peer { from, message }));
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
        self.at(self.now + latency, Event::Upstream(upstream, work));
    }

    fn upstream_output(&mut self, upstream: usize, output: &upstream::Output) {
        match *output {
            upstream::Output::Start { attempt, priority } => {
                self.tell_entry(
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
                self.tell_entry(attempt, AttemptEvent::Bounced(reason, load));
                self.attempts.remove(&attempt);
            }
            upstream::Output::Fail { attempt, run } => {
                let crashed = self
                    .attempts
                    .get(&attempt)
                    .map(|a| self.down.contains(&a.upstream));
                let event = match crashed {
                    Some(true) => AttemptEvent::Crashed,
                    _ => AttemptEvent::Failed(run),
                };
                self.tell_entry(attempt, event);
                self.attempts.remove(&attempt);
            }
            upstream::Output::SetTimer { at, timer } => {
                self.at(at, Event::Upstream(upstream, upstream::Input::Timer(timer)));
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
            self.at(at, Event::EngineStep(upstream));
        }
    }

    fn report(&mut self, upstream: usize, report: Report) {
        match report {
            Report::Token(attempt) => {
                self.results.tokens[upstream] += 1;
                let Some(state) = self.attempts.get_mut(&attempt) else {
                    return;
                };
                let first = state.next_token;
                state.next_token += 1;
                self.tell_entry(attempt, AttemptEvent::Chunk { first, count: 1 });
                let input = upstream::Input::Engine(attempt, EngineEvent::Tokens(1));
                self.event(Event::Upstream(upstream, input));
            }
            Report::Finished(attempt) => {
                let input = upstream::Input::Engine(attempt, EngineEvent::Finished);
                self.event(Event::Upstream(upstream, input));
                let load = self.upstreams[upstream].load();
                self.tell_entry(attempt, AttemptEvent::Finished(load));
                self.attempts.remove(&attempt);
            }
            Report::Failed(attempt) => {
                let failed = EngineEvent::Failed(Run::Unknown);
                let input = upstream::Input::Engine(attempt, failed);
                self.event(Event::Upstream(upstream, input));
            }
        }
    }

    fn tell_entry(&mut self, attempt: AttemptId, event: AttemptEvent) {
        if let Some(state) = self.attempts.get(&attempt) {
            let (entry, latency) = (state.entry, self.latencies[state.entry][state.upstream]);
            let input = entry::Input::Attempt(attempt, event);
            self.at(self.now + latency, Event::Entry(entry, input));
        }
    }

    fn end(&mut self, handle: u64, end: End) {
        self.results.outcomes[handle as usize].end = Some((self.now, end));
    }
}
