//! Simulation of ranks, planners, platform and store in virtual time, with faults.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use eelgrasshold_core::event::EventKind;
use eelgrasshold_core::group::bandwidth::{self, LimiterSettings, LoanMessage, StoreLimiter};
use eelgrasshold_core::group::coordinator::{self, CoordinatorSettings, GroupPlanner};
use eelgrasshold_core::group::lease::{LeaseSettings, fence_number_in, lease_key};
use eelgrasshold_core::group::map::{ExpertMap, RankId, Step, WeightId};
use eelgrasshold_core::group::planner::PlannerSettings;
use eelgrasshold_core::group::switch::{
    self, EngineEvent, Envelope, GroupRank, Order, RankSettings,
};
use eelgrasshold_core::platform::{Call, CallId, Reply};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::engine::{Effect, Engine};
use crate::oracle::{self, RateCheck};
use crate::platform::Platform;

const GROUP: &str = "drafts";
pub const LAYERS: u32 = 2;
pub const EXPERTS: u32 = 6;
const WEIGHT_BYTES: u64 = 1_000;
const STORE_BYTES_PER_S: f64 = 400_000.0;
const MAX_STEP_INTERVAL_MS: u64 = 20;
const LEASE_DURATION: Duration = Duration::from_secs(2);

/// Settings of a test case.
#[derive(Clone, Copy, Debug)]
pub struct SimulationSettings {
    pub seed: u64,
    pub ranks: u32,
    pub engine_checks_fence: bool,
}

/// State machine of a process that an event is addressed to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Component {
    Rank,
    Planner,
    Limiter,
}

#[derive(Clone, Debug)]
pub enum Payload {
    Group(Box<Envelope>),
    Loan(RankId, LoanMessage),
}

#[derive(Clone, Debug)]
pub enum SimEvent {
    Deliver(RankId, Payload),
    Timer(RankId, u64, Component),
    /// The oldest event of an engine reaches its process.
    FromEngine(RankId),
    Loaded(RankId, u64, WeightId),
    Call(RankId, u64, Component, CallId, Call),
    /// A call takes effect after its sender received [`Reply::Lost`].
    LateCall(Call),
    Reply(RankId, u64, Component, CallId, Reply),
    Start(RankId),
    Step(RankId),
    /// The oldest order of a process reaches its engine.
    Order(RankId),
}

pub enum EngineRequest {
    Read,
    Order(Order),
}

pub struct Process {
    pub incarnation: u64,
    pub rank: GroupRank,
    pub planner: GroupPlanner,
    pub limiter: StoreLimiter<WeightId>,
    /// Speed of its clock, and the clock's origin.
    pub clock: (f64, Duration),
}

pub struct Host {
    pub process: Option<Process>,
    pub engine: Engine,
    /// Orders in transit, oldest first, with the incarnation that sent them.
    pub orders: VecDeque<(u64, EngineRequest)>,
    /// Engine events in transit, oldest first, with the incarnation that they are for.
    engine_events: VecDeque<(u64, EngineEvent)>,
    pub paused_until: Duration,
    pub unreachable_until: Duration,
    pub cut_from_platform_until: Duration,
    pub stalled_until: Duration,
    starts: u32,
}

pub struct Simulation {
    pub settings: SimulationSettings,
    pub now: Duration,
    queue: BTreeMap<(Duration, u64), SimEvent>,
    sequence: u64,
    pub hosts: Vec<Host>,
    platform: Platform,
    pub platform_down_until: Duration,
    pub lose_answers_until: Duration,
    pub disturbed_percent: u32,
    pub step: Step,
    pub next_incarnation: u64,
    pub held_steps: u64,
    rate: RateCheck,
    pub rng: SmallRng,
}

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

impl Simulation {
    pub fn new(settings: SimulationSettings) -> Self {
        let checks = settings.engine_checks_fence;
        let host = |rank| Host {
            process: None,
            engine: Engine::new(rank, 0, checks),
            orders: VecDeque::new(),
            engine_events: VecDeque::new(),
            paused_until: Duration::ZERO,
            unreachable_until: Duration::ZERO,
            cut_from_platform_until: Duration::ZERO,
            stalled_until: Duration::ZERO,
            starts: 0,
        };
        let mut sim = Self {
            settings,
            now: Duration::ZERO,
            queue: BTreeMap::new(),
            sequence: 0,
            hosts: (0..settings.ranks).map(host).collect(),
            platform: Platform::default(),
            platform_down_until: Duration::ZERO,
            lose_answers_until: Duration::ZERO,
            disturbed_percent: 0,
            step: 1,
            next_incarnation: 0,
            held_steps: 0,
            rate: RateCheck::new(STORE_BYTES_PER_S),
            rng: SmallRng::seed_from_u64(settings.seed),
        };
        for rank in 0..settings.ranks {
            sim.push(Duration::ZERO, SimEvent::Start(rank));
            sim.push(Duration::ZERO, SimEvent::Step(rank));
        }
        sim
    }

    pub fn pass(&mut self, millis: u64) {
        let end = self.now + ms(millis);
        while let Some((key, _)) = self.queue.first_key_value() {
            let key = *key;
            if key.0 > end {
                break;
            }
            let Some(event) = self.queue.remove(&key) else {
                break;
            };
            self.now = key.0;
            self.run(event);
        }
        self.now = end;
    }

    pub fn push(&mut self, after: Duration, event: SimEvent) {
        self.sequence += 1;
        self.queue.insert((self.now + after, self.sequence), event);
    }

    pub fn is_paused(&self, rank: RankId) -> bool {
        self.hosts[rank as usize].paused_until > self.now
    }

    /// Time on a process's clock.
    pub fn clock(&self, rank: RankId) -> Duration {
        let process = self.hosts[rank as usize].process.as_ref();
        let (speed, origin) = process.map_or((1.0, Duration::ZERO), |p| p.clock);
        origin + self.now.mul_f64(speed)
    }

    fn incarnation(&self, rank: RankId) -> Option<u64> {
        self.hosts[rank as usize]
            .process
            .as_ref()
            .map(|p| p.incarnation)
    }

    fn run(&mut self, event: SimEvent) {
        let to_process = match &event {
            SimEvent::Deliver(r, _)
            | SimEvent::Timer(r, ..)
            | SimEvent::FromEngine(r)
            | SimEvent::Reply(r, ..) => Some(*r),
            _ => None,
        };
        if let Some(rank) = to_process
            && self.is_paused(rank)
        {
            let wait = self.hosts[rank as usize]
                .paused_until
                .saturating_sub(self.now);
            return self.push(wait, event);
        }
        match event {
            SimEvent::Deliver(to, payload) => self.deliver(to, payload),
            SimEvent::Timer(rank, incarnation, component)
                if self.incarnation(rank) == Some(incarnation) =>
            {
                self.timer(rank, component);
            }
            SimEvent::FromEngine(rank) => {
                let oldest = self.hosts[rank as usize].engine_events.pop_front();
                if let Some((incarnation, event)) = oldest
                    && self.incarnation(rank) == Some(incarnation)
                {
                    self.rank(rank, switch::Input::Engine(event));
                }
            }
            SimEvent::Reply(rank, incarnation, component, id, reply)
                if self.incarnation(rank) == Some(incarnation) =>
            {
                match component {
                    Component::Planner => {
                        self.planner(rank, coordinator::Input::Platform(id, reply));
                    }
                    _ => self.rank(rank, switch::Input::Platform(id, reply)),
                }
            }
            SimEvent::Timer(..) | SimEvent::Reply(..) => {}
            SimEvent::Loaded(rank, incarnation, weight) => self.loaded(rank, incarnation, weight),
            SimEvent::Call(rank, incarnation, component, id, call) => {
                self.call(rank, incarnation, component, id, call);
            }
            SimEvent::LateCall(call) => {
                self.platform.call(call);
            }
            SimEvent::Start(rank) => self.start(rank),
            SimEvent::Step(rank) => self.engine_step(rank),
            SimEvent::Order(rank) => self.engine_order(rank),
        }
    }

    fn start(&mut self, rank: RankId) {
        self.next_incarnation += 1;
        let incarnation = self.next_incarnation;
        let host = &mut self.hosts[rank as usize];
        if host.process.is_some() {
            return;
        }
        host.starts += 1;
        let speed = self.rng.random_range(0.92..1.08);
        let origin = ms(self.rng.random_range(0..1_000_000));
        let lease = LeaseSettings {
            key: lease_key(GROUP),
            holder: format!("host-{rank}"),
            incarnation,
            duration: LEASE_DURATION,
            poll_every: ms(500),
        };
        let process = Process {
            incarnation,
            rank: GroupRank::new(self.rank_settings(rank, incarnation)),
            planner: GroupPlanner::new(CoordinatorSettings {
                group: GROUP.into(),
                rank,
                ranks: self.settings.ranks,
                incarnation,
                lease,
                poll_every: ms(300),
                retry_every: ms(100),
                prepare_timeout: ms(3_000),
                propose_timeout: ms(1_000),
                margin_steps: 15,
                planner: PlannerSettings::default(),
            }),
            limiter: StoreLimiter::new(LimiterSettings {
                member: rank,
                members: self.settings.ranks,
                bytes_per_s: STORE_BYTES_PER_S,
                loan_duration: ms(200),
                lenders_per_round: 3,
                seed: incarnation,
            }),
            clock: (speed, origin),
        };
        self.hosts[rank as usize].process = Some(process);
        self.limiter(rank, bandwidth::Input::Start);
        self.rank(rank, switch::Input::Start);
        self.planner(rank, coordinator::Input::Start);
    }

    fn rank_settings(&self, rank: RankId, incarnation: u64) -> RankSettings {
        RankSettings {
            group: GROUP.into(),
            rank,
            ranks: self.settings.ranks,
            incarnation,
            engine_checks_fence: self.settings.engine_checks_fence,
            initial_map: ExpertMap::initial(self.settings.ranks, LAYERS, EXPERTS),
            retry_every: ms(100),
        }
    }

    fn timer(&mut self, rank: RankId, component: Component) {
        match component {
            Component::Rank => self.rank(rank, switch::Input::Timer(switch::Timer::Retry)),
            Component::Planner => {
                self.planner(rank, coordinator::Input::Timer(coordinator::Timer::Tick));
            }
            Component::Limiter => self.limiter(rank, bandwidth::Input::Timer),
        }
    }

    fn deliver(&mut self, to: RankId, payload: Payload) {
        if self.hosts[to as usize].unreachable_until > self.now {
            return;
        }
        match payload {
            Payload::Loan(from, message) => {
                self.limiter(to, bandwidth::Input::Message { from, message });
            }
            Payload::Group(envelope) => {
                self.rank(to, switch::Input::Message((*envelope).clone()));
                self.planner(to, coordinator::Input::Message(*envelope));
            }
        }
    }

    fn rank(&mut self, rank: RankId, input: switch::Input) {
        let now = self.clock(rank);
        let Some(process) = &mut self.hosts[rank as usize].process else {
            return;
        };
        let incarnation = process.incarnation;
        for output in process.rank.handle(now, input) {
            match output {
                switch::Output::ReadEngine => {
                    self.send_to_engine(rank, incarnation, EngineRequest::Read);
                }
                switch::Output::Engine(order) => {
                    self.send_to_engine(rank, incarnation, EngineRequest::Order(order));
                }
                switch::Output::RequestLoad { weight, urgent } => {
                    let request = bandwidth::Input::Request {
                        load: weight,
                        bytes: WEIGHT_BYTES,
                        urgent,
                    };
                    self.limiter(rank, request);
                }
                switch::Output::CancelLoads => self.limiter(rank, bandwidth::Input::CancelAll),
                switch::Output::Send { to, envelope } => {
                    self.send(rank, to, Payload::Group(Box::new(envelope)));
                }
                switch::Output::Platform(id, call) => {
                    self.send_call(rank, incarnation, Component::Rank, id, call);
                }
                switch::Output::SetTimer { at, .. } => {
                    self.set_timer(rank, incarnation, at, Component::Rank);
                }
                switch::Output::Event(event) => {
                    self.held_steps += u64::from(event.kind == EventKind::StepHeld);
                }
            }
        }
    }

    pub fn planner(&mut self, rank: RankId, input: coordinator::Input) {
        let now = self.clock(rank);
        let Some(process) = &mut self.hosts[rank as usize].process else {
            return;
        };
        let incarnation = process.incarnation;
        let outputs = process.planner.handle(now, input);
        let acting = process.planner.holds_lease(now);
        for output in outputs {
            match output {
                coordinator::Output::Send { to, envelope } => {
                    let written = self
                        .platform
                        .value(&lease_key(GROUP))
                        .and_then(fence_number_in);
                    oracle::check_lease(acting.unwrap_or(0), written);
                    self.send(rank, to, Payload::Group(Box::new(envelope)));
                }
                coordinator::Output::Platform(id, call) => {
                    self.send_call(rank, incarnation, Component::Planner, id, call);
                }
                coordinator::Output::SetTimer { at, .. } => {
                    self.set_timer(rank, incarnation, at, Component::Planner);
                }
                coordinator::Output::Event(_) => {}
            }
        }
    }

    /// The limiter's bound holds for clocks of equal speed, so it uses the simulation's time.
    fn limiter(&mut self, rank: RankId, input: bandwidth::Input<WeightId>) {
        let now = self.now;
        let Some(process) = &mut self.hosts[rank as usize].process else {
            return;
        };
        let incarnation = process.incarnation;
        for output in process.limiter.handle(now, input) {
            match output {
                bandwidth::Output::Grant { load, bytes, last } => {
                    self.rate.read(now.as_secs_f64(), bytes);
                    if last {
                        self.rank(rank, switch::Input::LoadGranted(load));
                    }
                }
                bandwidth::Output::Send { to, message } => {
                    self.send(rank, to, Payload::Loan(rank, message));
                }
                bandwidth::Output::SetTimer(at) => {
                    self.push(
                        at.saturating_sub(now),
                        SimEvent::Timer(rank, incarnation, Component::Limiter),
                    );
                }
            }
        }
    }

    fn set_timer(&mut self, rank: RankId, incarnation: u64, at: Duration, component: Component) {
        let after = at.saturating_sub(self.clock(rank));
        self.push(after, SimEvent::Timer(rank, incarnation, component));
    }

    fn send(&mut self, from: RankId, to: RankId, payload: Payload) {
        if self.hosts[from as usize].unreachable_until > self.now {
            return;
        }
        let disturbed = self.rng.random_range(0..100) < self.disturbed_percent;
        let mut delay = self.rng.random_range(0..4);
        if disturbed {
            match self.rng.random_range(0..4) {
                0 => return,
                1 => {
                    let later = ms(self.rng.random_range(0..3_000));
                    self.push(later, SimEvent::Deliver(to, payload.clone()));
                }
                2 => delay = self.rng.random_range(0..200),
                _ => delay = self.rng.random_range(0..6_000),
            }
        }
        self.push(ms(delay), SimEvent::Deliver(to, payload));
    }

    fn send_call(
        &mut self,
        rank: RankId,
        incarnation: u64,
        component: Component,
        id: CallId,
        call: Call,
    ) {
        let delay = ms(self.rng.random_range(1..20));
        self.push(
            delay,
            SimEvent::Call(rank, incarnation, component, id, call),
        );
    }

    fn call(
        &mut self,
        rank: RankId,
        incarnation: u64,
        component: Component,
        id: CallId,
        call: Call,
    ) {
        let cut = self.hosts[rank as usize].cut_from_platform_until > self.now;
        let down = cut || self.platform_down_until > self.now;
        let lost = self.lose_answers_until > self.now && self.rng.random_bool(0.5);
        let reply = match (down, lost) {
            (true, _) if self.rng.random_bool(0.5) => Reply::Unavailable,
            (true, _) => Reply::Lost,
            (_, true) => {
                // The call took effect, never will, or will after its sender got `Lost`.
                match self.rng.random_range(0..3) {
                    0 => {
                        self.platform.call(call);
                    }
                    1 => {
                        let later = ms(self.rng.random_range(0..3_000));
                        self.push(later, SimEvent::LateCall(call));
                    }
                    _ => {}
                }
                Reply::Lost
            }
            _ => self.platform.call(call),
        };
        let wait = if reply == Reply::Lost { 300 } else { 10 };
        let wait = ms(self.rng.random_range(1..wait));
        self.push(
            wait,
            SimEvent::Reply(rank, incarnation, component, id, reply),
        );
    }

    fn send_to_engine(&mut self, rank: RankId, incarnation: u64, message: EngineRequest) {
        self.hosts[rank as usize]
            .orders
            .push_back((incarnation, message));
        let delay = ms(self.rng.random_range(0..5));
        self.push(delay, SimEvent::Order(rank));
    }

    /// Delivers the oldest order: the link to an engine is ordered.
    fn engine_order(&mut self, rank: RankId) {
        let step = self.step;
        let host = &mut self.hosts[rank as usize];
        let Some((incarnation, message)) = host.orders.pop_front() else {
            return;
        };
        let engine_incarnation = host.engine.incarnation;
        let event = match message {
            EngineRequest::Read => EngineEvent::State(host.engine.report(step)),
            EngineRequest::Order(order) => {
                oracle::check_order(&mut host.engine, &order);
                match host.engine.order(order, step) {
                    Effect::Report(event) => event,
                    Effect::Load(weight) => {
                        let wait = ms(self.rng.random_range(5..60));
                        return self.push(wait, SimEvent::Loaded(rank, engine_incarnation, weight));
                    }
                    Effect::None => return,
                }
            }
        };
        self.emit(rank, incarnation, event);
    }

    /// Queues an event for the process. The link is ordered, also while the process is paused.
    fn emit(&mut self, rank: RankId, incarnation: u64, event: EngineEvent) {
        self.hosts[rank as usize]
            .engine_events
            .push_back((incarnation, event));
        self.push(ms(0), SimEvent::FromEngine(rank));
    }

    fn loaded(&mut self, rank: RankId, engine_incarnation: u64, weight: WeightId) {
        let host = &mut self.hosts[rank as usize];
        if host.engine.incarnation != engine_incarnation {
            return;
        }
        host.engine.state.loaded.insert(weight);
        if let Some(incarnation) = self.incarnation(rank) {
            self.emit(rank, incarnation, EngineEvent::Loaded(weight));
        }
    }

    fn engine_step(&mut self, rank: RankId) {
        let wait = self
            .rng
            .random_range(MAX_STEP_INTERVAL_MS / 2..MAX_STEP_INTERVAL_MS);
        self.push(ms(wait), SimEvent::Step(rank));
        let step = self.step;
        let host = &mut self.hosts[rank as usize];
        if host.stalled_until > self.now {
            return;
        }
        if let Some(event) = host.engine.try_start(step)
            && let Some(incarnation) = self.incarnation(rank)
        {
            self.emit(rank, incarnation, event);
        }
        oracle::check_weights(step, &self.hosts[rank as usize].engine);
        self.run_step();
    }

    /// The group runs a step once all engines have started it.
    fn run_step(&mut self) {
        if self.hosts.iter().any(|h| h.engine.started.is_none()) {
            return;
        }
        let mut engines: Vec<_> = Vec::new();
        for host in &mut self.hosts {
            let rank = host.engine.rank;
            engines.push(std::mem::replace(
                &mut host.engine,
                Engine::new(rank, 0, false),
            ));
        }
        oracle::check_step(self.step, &engines);
        for (host, mut engine) in self.hosts.iter_mut().zip(engines) {
            engine.started = None;
            host.engine = engine;
        }
        self.step += 1;
    }
}
