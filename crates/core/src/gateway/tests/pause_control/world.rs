//! Hosts in front of one group of ranks that run every pass together, and their callers.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::super::{ms, requests, upstream};
use crate::gateway::concurrency::Ticket;
use crate::gateway::registry::Upstream;
use crate::gateway::routes::{
    BackendService, CallerTeam, EngineProfile, Route, RouteKind, RouteTable,
};
use crate::gateway::{Admitted, Gateway, GatewaySettings, Next, Outcome, RequestHead};
use crate::types::Now;

pub const TARGET_PAUSE: Duration = Duration::from_millis(150);
pub const TEAMS: usize = 24;
/// Duration of a pass: a fixed part, a part per writing stream of the busiest rank and step, and a part per
/// prompt token that is read.
const BASE: Duration = Duration::from_millis(25);
const PER_STREAM: Duration = Duration::from_micros(1_100);
const STEPS: u32 = 5;
const PER_TOKEN: Duration = Duration::from_micros(20);
/// Prompt tokens that a rank reads in one pass.
const READ_TOKENS: u32 = 800;
/// Largest deviation of the duration of a pass, as a share of it.
const PASS_SPREAD: f64 = 0.08;
/// Requests a second for each rank at the usual load, and their shares by kind.
const RATE_PER_RANK: f64 = 2.9;
/// The same with few ranks, which are loaded more evenly.
const RATE_PER_FEW_RANKS: f64 = 3.6;
const SHARES: [f64; 3] = [0.25, 0.25, 0.5];
const LATENCIES_MS: [u64; 3] = [500, 500, 1_000];
const TIMEOUT: Duration = Duration::from_secs(8);
/// Time without an event after which callers leave: four times the target latency.
const PATIENCES_MS: [u64; 3] = [2_000, 2_000, 4_000];
/// Mean events of an answer and tokens of a prompt, whose lengths have heavy tails up to these multiples.
const MEAN_EVENTS: f64 = 28.0;
const MAX_EVENT_RATIO: f64 = 8.0;
const MEAN_PROMPT: f64 = 300.0;
const MAX_PROMPT_RATIO: f64 = 6.0;

/// Load of one kind in a span.
#[derive(Clone, Copy, Debug)]
pub struct Burst {
    pub kind: usize,
    pub from: Now,
    pub until: Now,
    pub ratio: f64,
}

/// What a world is made of.
#[derive(Clone, Debug)]
pub struct Setup {
    pub hosts: usize,
    pub pause_control: bool,
    pub bursts: Vec<Burst>,
    pub seed: u64,
    pub length: Now,
    /// Spans in which the group runs no pass.
    pub stalls: Vec<(Now, Now)>,
    /// Weights of the hosts' shares of the callers; equal if empty.
    pub weights: Vec<f64>,
}

/// What became of a caller.
#[derive(Clone, Debug)]
pub struct Caller {
    pub kind: usize,
    pub team: usize,
    /// Arrival of the first try.
    pub came: Now,
    /// Time from the last try to the first event.
    pub first: Option<Duration>,
    pub longest_pause: Duration,
    pub done: bool,
    pub refusals: u32,
    pub work: f64,
    pub prompt: u32,
    pub events: u32,
    /// Draws of the hosts of both tries, from 0 to 1.
    hosts: [f64; 2],
}

impl Caller {
    pub fn in_time(&self) -> bool {
        let target = ms(LATENCIES_MS[self.kind]);
        self.done && self.first.is_some_and(|f| f <= target) && self.longest_pause <= TARGET_PAUSE
    }
}

/// A request at a rank.
struct Stream {
    caller: usize,
    host: usize,
    request: Box<Admitted>,
    upstream: Upstream,
    sent_at: Now,
    prompt_left: u32,
    events_left: u32,
    event_at: Now,
    has_begun: bool,
}

enum Step {
    Call(usize),
    Decide(usize),
    PassEnds,
}

/// A request that a host decides on.
struct Held {
    caller: usize,
    host: usize,
    request: Box<Admitted>,
}

/// A sample of the world's state after a pass.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    pub at: Now,
    pub pass: Duration,
    pub in_flight: usize,
}

pub struct World {
    setup: Setup,
    rng: SmallRng,
    pub hosts: Vec<Gateway>,
    ranks: Vec<Vec<Stream>>,
    due: BinaryHeap<Reverse<(Now, u64)>>,
    steps: BTreeMap<u64, Step>,
    next_step: u64,
    held: BTreeMap<usize, Held>,
    tickets: BTreeMap<(usize, Ticket), usize>,
    pass_began: Now,
    pub callers: Vec<Caller>,
    pub samples: Vec<Sample>,
    /// Limits of the hosts after each pass.
    pub limits: Vec<Vec<Option<f64>>>,
}

pub fn kind_route(kind: usize) -> Route {
    Route {
        name: format!("kind-{kind}"),
        host: "h.example".into(),
        path_prefix: format!("/{kind}/"),
        kind: RouteKind::Stream { resumable: true },
        timeout: TIMEOUT,
        target_latency: ms(LATENCIES_MS[kind]),
        target_pause: Some(TARGET_PAUSE),
        attempts: 2,
        priority: kind as u8,
        public: false,
        services: vec![("drafts".into(), 1)],
    }
}

pub fn table() -> RouteTable {
    let mut table = RouteTable::new(2);
    (0..3).for_each(|kind| table.add_route(kind_route(kind)));
    for team in 0..TEAMS {
        let key = format!("key-{team}");
        table.add_team(format!("team-{team}"), CallerTeam::default(), vec![key]);
    }
    let engine = EngineProfile {
        usual_prompt: MEAN_PROMPT as u32,
        usual_answer: MEAN_EVENTS as u32 * STEPS,
        steps_per_pass: STEPS,
        ..EngineProfile::default()
    };
    let service = BackendService {
        engine: Some(engine),
        ..BackendService::default()
    };
    table.services.insert("drafts".into(), service);
    table
}

/// Number of ranks: enough for the hosts, and few enough for all hosts to use all of them if the hosts are few.
fn ranks_of(hosts: usize) -> u8 {
    if hosts > 16 { 64 } else { 20 }
}

/// Index of an upstream that [`upstream`] made.
fn rank_of(upstream: &Upstream) -> usize {
    let number = upstream
        .id
        .strip_prefix("u-")
        .and_then(|n| n.parse::<usize>().ok());
    number.expect("an upstream of the world") - 1
}

fn host(n: usize, setup: &Setup) -> Gateway {
    let settings = GatewaySettings {
        host: format!("edge-{n}"),
        pause_control: setup.pause_control,
        ..requests::settings()
    };
    let mut gateway = Gateway::new(ms(0), settings, setup.seed * 1_000 + n as u64);
    gateway.set_table(ms(0), Arc::new(table()));
    let ranks = (1..=ranks_of(setup.hosts)).map(|n| Upstream {
        slots: 64,
        ..upstream(n)
    });
    gateway.registry.replace(ms(0), ranks.collect(), 1);
    let live: BTreeSet<String> = (0..setup.hosts).map(|n| format!("edge-{n}")).collect();
    gateway.set_hosts(setup.hosts, live);
    gateway
}

/// Length with a heavy tail.
fn length(rng: &mut SmallRng, mean: f64, max_ratio: f64) -> u32 {
    let scale = mean * 0.42;
    let drawn = scale * rng.random_range(0.0001_f64..1.0).powf(-1.0 / 1.6);
    drawn.clamp(2.0, mean * max_ratio) as u32
}

impl World {
    pub fn play(setup: Setup) -> Self {
        let mut world = Self {
            rng: SmallRng::seed_from_u64(setup.seed),
            hosts: (0..setup.hosts).map(|n| host(n, &setup)).collect(),
            ranks: (0..ranks_of(setup.hosts)).map(|_| Vec::new()).collect(),
            due: BinaryHeap::new(),
            steps: BTreeMap::new(),
            next_step: 0,
            held: BTreeMap::new(),
            tickets: BTreeMap::new(),
            pass_began: ms(0),
            callers: Vec::new(),
            samples: Vec::new(),
            limits: Vec::new(),
            setup,
        };
        world.add_callers();
        world.schedule(BASE, Step::PassEnds);
        let length = world.setup.length;
        while let Some(Reverse((now, id))) = world.due.pop() {
            if now > length {
                break;
            }
            match world.steps.remove(&id).expect("a scheduled step") {
                Step::Call(caller) => world.call(now, caller),
                Step::Decide(caller) => world.decide(now, caller),
                Step::PassEnds => world.end_pass(now),
            }
        }
        world
    }

    fn schedule(&mut self, at: Now, step: Step) {
        self.next_step += 1;
        self.due.push(Reverse((at, self.next_step)));
        self.steps.insert(self.next_step, step);
    }

    /// Draws the callers of the whole time.
    fn add_callers(&mut self) {
        let rate = if self.ranks.len() > 20 {
            RATE_PER_RANK
        } else {
            RATE_PER_FEW_RANKS
        };
        let usual = rate * self.ranks.len() as f64;
        for (kind, share) in SHARES.into_iter().enumerate() {
            let bursts: Vec<Burst> = self.setup.bursts.clone();
            // Callers of a kind are the same whatever the bursts of other kinds are.
            let mut rng = SmallRng::seed_from_u64(self.setup.seed * 16 + 1 + kind as u64);
            let mut at = ms(0);
            while at < self.setup.length {
                let burst = |b: &&Burst| b.kind == kind && (b.from..b.until).contains(&at);
                let ratio = bursts.iter().find(burst).map_or(1.0, |b| b.ratio);
                let gap = -rng.random_range(0.0001_f64..1.0).ln() / (usual * share * ratio);
                at += Duration::from_secs_f64(gap);
                self.add_caller(&mut rng, at, kind);
            }
        }
    }

    fn add_caller(&mut self, rng: &mut SmallRng, at: Now, kind: usize) {
        // A third of the calls comes from the first team, and the last ones make few.
        let team = (TEAMS as f64).powf(rng.random_range(0.0_f64..1.0)) - 1.0;
        let events = length(rng, MEAN_EVENTS, MAX_EVENT_RATIO);
        let prompt = length(rng, MEAN_PROMPT, MAX_PROMPT_RATIO);
        self.callers.push(Caller {
            kind,
            team: team as usize,
            came: at,
            first: None,
            longest_pause: Duration::ZERO,
            done: false,
            refusals: 0,
            work: 0.0,
            prompt,
            events,
            hosts: [rng.random_range(0.0..1.0), rng.random_range(0.0..1.0)],
        });
        self.schedule(at, Step::Call(self.callers.len() - 1));
    }

    /// Host of a draw from 0 to 1.
    fn host_of(&self, draw: f64) -> usize {
        let weights = &self.setup.weights;
        if weights.is_empty() {
            return (draw * self.hosts.len() as f64) as usize;
        }
        let mut left = draw * weights.iter().sum::<f64>();
        for (n, weight) in weights.iter().enumerate() {
            left -= weight;
            if left < 0.0 {
                return n;
            }
        }
        weights.len() - 1
    }

    fn call(&mut self, now: Now, n: usize) {
        let draw = self.callers[n].hosts[self.callers[n].refusals as usize];
        let host = self.host_of(draw);
        let caller = &mut self.callers[n];
        let (id, path) = (
            format!("{n}-{}", caller.refusals),
            format!("/{}/x", caller.kind),
        );
        let key = format!("key-{}", caller.team);
        let request = RequestHead {
            id: &id,
            host: "h.example",
            path: &path,
            key: Some(&key),
            deadline: None,
            parts: &[],
            prompt_tokens: caller.prompt,
            answer_tokens: caller.events * STEPS,
            max_answer_tokens: 0,
        };
        let mut request = self.hosts[host].admit(now, request).expect("a known route");
        request.set_content(n as u64);
        caller.work = request.work;
        let request = Box::new(request);
        self.held.insert(
            n,
            Held {
                caller: n,
                host,
                request,
            },
        );
        self.decide(now, n);
    }

    fn decide(&mut self, now: Now, n: usize) {
        let Some(mut held) = self.held.remove(&n) else {
            return;
        };
        let host = held.host;
        let next = self.hosts[host].next(now, &mut held.request);
        match next {
            Next::Send(upstream, _) => {
                let caller = &self.callers[held.caller];
                let rank = rank_of(&upstream);
                self.ranks[rank].push(Stream {
                    caller: held.caller,
                    host,
                    request: held.request,
                    upstream,
                    sent_at: now,
                    prompt_left: caller.prompt,
                    events_left: caller.events,
                    event_at: now,
                    has_begun: false,
                });
            }
            Next::Wait(time) => {
                if let Some(ticket) = held.request.ticket() {
                    self.tickets.insert((host, ticket), n);
                }
                self.held.insert(n, held);
                self.schedule(now + time, Step::Decide(n));
            }
            Next::Refuse(refusal) => {
                self.hosts[host].release(now, &mut held.request);
                let caller = &mut self.callers[n];
                caller.refusals += 1;
                if let (1, Some(delay)) = (caller.refusals, refusal.retry_after) {
                    self.schedule(now + delay, Step::Call(n));
                }
            }
            Next::Ask(upstream, _) => panic!("{upstream} names no limit"),
        }
        self.wake(now, host);
    }

    fn wake(&mut self, now: Now, host: usize) {
        for ticket in self.hosts[host].pauses.take_woken() {
            if let Some(n) = self.tickets.remove(&(host, ticket)) {
                self.schedule(now, Step::Decide(n));
            }
        }
    }

    /// Delivers the events of a pass and begins the next one.
    fn end_pass(&mut self, now: Now) {
        let pass = now.saturating_sub(self.pass_began);
        let mut ended = Vec::new();
        for rank in &mut self.ranks {
            // A rank reads the prompts of urgent requests first.
            rank.sort_by_key(|s| (s.has_begun, s.request.priority, s.sent_at));
            let mut tokens = READ_TOKENS;
            let mut left = Vec::new();
            for mut stream in rank.drain(..) {
                if stream.sent_at >= self.pass_began
                    && stream.sent_at > Now::ZERO
                    && !stream.has_begun
                {
                    // It came during the pass and is read in the next one.
                    left.push(stream);
                    continue;
                }
                let read = stream.prompt_left.min(tokens);
                stream.prompt_left -= read;
                tokens -= read;
                if stream.prompt_left == 0 {
                    let caller = &mut self.callers[stream.caller];
                    let (gateway, service) = (&mut self.hosts[stream.host], "drafts");
                    let pause = now.saturating_sub(stream.event_at);
                    gateway.record_sign(now, service, &stream.upstream.id);
                    if stream.has_begun {
                        caller.longest_pause = caller.longest_pause.max(pause);
                        gateway.pauses.record_pause(now, service, pause);
                    } else {
                        stream.has_begun = true;
                        caller.first = Some(now.saturating_sub(stream.request.arrived));
                        let (upstream, id) = (&stream.upstream.id, &stream.request.id);
                        gateway.stream_begun(now, service, upstream, id);
                        gateway.pauses.record_begin(service, pause);
                    }
                    stream.request.departure.record_event(now);
                    stream.event_at = now;
                    stream.events_left -= 1;
                }
                let caller_kind = self.callers[stream.caller].kind;
                let expired = now >= stream.request.deadline
                    || now
                        >= stream.event_at.max(stream.request.arrived)
                            + ms(PATIENCES_MS[caller_kind]);
                if stream.events_left == 0 {
                    self.callers[stream.caller].done = true;
                }
                if stream.events_left == 0 || expired {
                    ended.push(stream);
                } else {
                    left.push(stream);
                }
            }
            *rank = left;
        }
        for stream in ended {
            self.end(now, stream);
        }
        for host in 0..self.hosts.len() {
            self.wake(now, host);
        }
        let in_flight = self.ranks.iter().map(Vec::len).sum();
        self.samples.push(Sample {
            at: now,
            pass,
            in_flight,
        });
        let limits = self
            .hosts
            .iter()
            .map(|h| h.pauses.states().next().and_then(|s| s.1.limit));
        self.limits.push(limits.collect());
        self.pass_began = now;
        let next = now + self.pass_time();
        let stalls = &self.setup.stalls;
        let stall = stalls.iter().find(|s| (s.0..s.1).contains(&next));
        self.schedule(stall.map_or(next, |s| s.1), Step::PassEnds);
    }

    fn end(&mut self, now: Now, mut stream: Stream) {
        let gateway = &mut self.hosts[stream.host];
        let outcome = if self.callers[stream.caller].done {
            Outcome::Answered
        } else {
            Outcome::GivenUp
        };
        let (upstream, id) = (&stream.upstream.id, &stream.request.id);
        gateway.stream_ended("drafts", upstream, id, stream.has_begun);
        gateway.attempt_ended(now, upstream, stream.request.work, outcome);
        gateway.release(now, &mut stream.request);
    }

    /// Duration of the pass that begins, which is that of its slowest rank.
    fn pass_time(&mut self) -> Duration {
        let rank_time = |rank: &Vec<Stream>| {
            let writing = rank.iter().filter(|s| s.has_begun).count() as u32;
            let tokens: u32 = rank.iter().map(|s| s.prompt_left).sum();
            PER_STREAM * STEPS * writing + PER_TOKEN * tokens.min(READ_TOKENS)
        };
        let spread = self.rng.random_range(1.0 - PASS_SPREAD..1.0 + PASS_SPREAD);
        let time = BASE + self.ranks.iter().map(rank_time).max().unwrap_or_default();
        time.mul_f64(spread)
    }
}
