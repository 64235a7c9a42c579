//! Ranks, planners, platform and store in virtual time, with faults.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use eelgrasshold_core::event::EventKind;
use eelgrasshold_core::group::bandwidth::{self, LoadShare, ShareMessage, ShareSettings};
use eelgrasshold_core::group::coordinator::{self, CoordinatorSettings, GroupPlanner};
use eelgrasshold_core::group::lease::{LeaseSettings, lease_key, number_of};
use eelgrasshold_core::group::map::{ExpertMap, RankId, Step, Weight};
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
const STEP_MS: u64 = 20;
const LEASE: Duration = Duration::from_secs(2);

/// Settings of a case.
#[derive(Clone, Copy, Debug)]
pub struct WorldSettings {
    pub seed: u64,
    pub ranks: u32,
    pub engine_checks_fence: bool,
}

/// Part of a process to which something is addressed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    Rank,
    Planner,
    Share,
}

#[derive(Clone, Debug)]
pub enum Body {
    Group(Box<Envelope>),
    Share(RankId, ShareMessage),
}

#[derive(Clone, Debug)]
pub enum Ev {
    Deliver(RankId, Body),
    Timer(RankId, u64, Part),
    /// What an engine said reaches its process.
    FromEngine(RankId),
    Loaded(RankId, u64, Weight),
    Call(RankId, u64, Part, CallId, Call),
    /// The answer to a call that takes effect although its caller is told that it was lost.
    LateCall(Call),
    Reply(RankId, u64, Part, CallId, Reply),
    Start(RankId),
    Step(RankId),
    /// An order that the process gave reaches the engine.
    Order(RankId),
}

pub enum ToEngine {
    Read,
    Order(Order),
}

pub struct Process {
    pub life: u64,
    pub rank: GroupRank,
    pub planner: GroupPlanner,
    pub share: LoadShare<Weight>,
    /// Speed of its clock and the clock's origin.
    pub clock: (f64, Duration),
}

pub struct Host {
    pub process: Option<Process>,
    pub engine: Engine,
    /// Orders on their way, oldest first, with the life that gave them.
    pub orders: VecDeque<(u64, ToEngine)>,
    /// What the engine said, oldest first, with the life that it was said to.
    said: VecDeque<(u64, EngineEvent)>,
    pub paused_until: Duration,
    pub cut_until: Duration,
    pub cut_from_platform_until: Duration,
    pub stalled_until: Duration,
    starts: u32,
}

pub struct World {
    pub settings: WorldSettings,
    pub now: Duration,
    queue: BTreeMap<(Duration, u64), Ev>,
    sequence: u64,
    pub hosts: Vec<Host>,
    platform: Platform,
    pub platform_down_until: Duration,
    pub lose_until: Duration,
    pub trouble_percent: u32,
    pub step: Step,
    pub next_life: u64,
    pub held: u64,
    rate: RateCheck,
    pub rng: SmallRng,
}

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

impl World {
    pub fn new(settings: WorldSettings) -> Self {
        let checks = settings.engine_checks_fence;
        let host = |rank| Host {
            process: None,
            engine: Engine::new(rank, 0, checks),
            orders: VecDeque::new(),
            said: VecDeque::new(),
            paused_until: Duration::ZERO,
            cut_until: Duration::ZERO,
            cut_from_platform_until: Duration::ZERO,
            stalled_until: Duration::ZERO,
            starts: 0,
        };
        let mut world = Self {
            settings,
            now: Duration::ZERO,
            queue: BTreeMap::new(),
            sequence: 0,
            hosts: (0..settings.ranks).map(host).collect(),
            platform: Platform::default(),
            platform_down_until: Duration::ZERO,
            lose_until: Duration::ZERO,
            trouble_percent: 0,
            step: 1,
            next_life: 0,
            held: 0,
            rate: RateCheck::new(STORE_BYTES_PER_S),
            rng: SmallRng::seed_from_u64(settings.seed),
        };
        for rank in 0..settings.ranks {
            world.push(Duration::ZERO, Ev::Start(rank));
            world.push(Duration::ZERO, Ev::Step(rank));
        }
        world
    }

    pub fn pass(&mut self, millis: u64) {
        let end = self.now + ms(millis);
        while let Some((key, _)) = self.queue.first_key_value() {
            let key = *key;
            if key.0 > end {
                break;
            }
            let Some(ev) = self.queue.remove(&key) else {
                break;
            };
            self.now = key.0;
            self.run(ev);
        }
        self.now = end;
    }

    pub fn push(&mut self, after: Duration, ev: Ev) {
        self.sequence += 1;
        self.queue.insert((self.now + after, self.sequence), ev);
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

    fn life(&self, rank: RankId) -> Option<u64> {
        self.hosts[rank as usize].process.as_ref().map(|p| p.life)
    }

    fn run(&mut self, ev: Ev) {
        let to_process = match &ev {
            Ev::Deliver(r, _) | Ev::Timer(r, ..) | Ev::FromEngine(r) | Ev::Reply(r, ..) => Some(*r),
            _ => None,
        };
        if let Some(rank) = to_process
            && self.is_paused(rank)
        {
            let wait = self.hosts[rank as usize]
                .paused_until
                .saturating_sub(self.now);
            return self.push(wait, ev);
        }
        match ev {
            Ev::Deliver(to, body) => self.deliver(to, body),
            Ev::Timer(rank, life, part) if self.life(rank) == Some(life) => self.timer(rank, part),
            Ev::FromEngine(rank) => {
                let said = self.hosts[rank as usize].said.pop_front();
                if let Some((life, event)) = said
                    && self.life(rank) == Some(life)
                {
                    self.rank(rank, switch::Input::Engine(event));
                }
            }
            Ev::Reply(rank, life, part, id, reply) if self.life(rank) == Some(life) => match part {
                Part::Planner => self.planner(rank, coordinator::Input::Platform(id, reply)),
                _ => self.rank(rank, switch::Input::Platform(id, reply)),
            },
            Ev::Timer(..) | Ev::Reply(..) => {}
            Ev::Loaded(rank, life, weight) => self.loaded(rank, life, weight),
            Ev::Call(rank, life, part, id, call) => self.call(rank, life, part, id, call),
            Ev::LateCall(call) => {
                self.platform.call(call);
            }
            Ev::Start(rank) => self.start(rank),
            Ev::Step(rank) => self.engine_step(rank),
            Ev::Order(rank) => self.engine_order(rank),
        }
    }

    fn start(&mut self, rank: RankId) {
        self.next_life += 1;
        let life = self.next_life;
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
            incarnation: life,
            duration: LEASE,
            poll_every: ms(500),
        };
        let process = Process {
            life,
            rank: GroupRank::new(self.rank_settings(rank, life)),
            planner: GroupPlanner::new(CoordinatorSettings {
                group: GROUP.into(),
                rank,
                ranks: self.settings.ranks,
                incarnation: life,
                lease,
                poll_every: ms(300),
                retry_every: ms(100),
                prepare_timeout: ms(3_000),
                propose_timeout: ms(1_000),
                margin_steps: 15,
                planner: PlannerSettings::default(),
            }),
            share: LoadShare::new(ShareSettings {
                member: rank,
                members: self.settings.ranks,
                bytes_per_s: STORE_BYTES_PER_S,
                loan: ms(200),
                ask: 3,
                seed: life,
            }),
            clock: (speed, origin),
        };
        self.hosts[rank as usize].process = Some(process);
        self.share(rank, bandwidth::Input::Start);
        self.rank(rank, switch::Input::Start);
        self.planner(rank, coordinator::Input::Start);
    }

    fn rank_settings(&self, rank: RankId, life: u64) -> RankSettings {
        RankSettings {
            group: GROUP.into(),
            rank,
            ranks: self.settings.ranks,
            incarnation: life,
            engine_checks_fence: self.settings.engine_checks_fence,
            initial_map: ExpertMap::initial(self.settings.ranks, LAYERS, EXPERTS),
            retry_every: ms(100),
        }
    }

    fn timer(&mut self, rank: RankId, part: Part) {
        match part {
            Part::Rank => self.rank(rank, switch::Input::Timer(switch::Timer::Retry)),
            Part::Planner => {
                self.planner(rank, coordinator::Input::Timer(coordinator::Timer::Tick));
            }
            Part::Share => self.share(rank, bandwidth::Input::Timer),
        }
    }

    fn deliver(&mut self, to: RankId, body: Body) {
        if self.hosts[to as usize].cut_until > self.now {
            return;
        }
        match body {
            Body::Share(from, message) => {
                self.share(to, bandwidth::Input::Message { from, message });
            }
            Body::Group(envelope) => {
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
        let life = process.life;
        for output in process.rank.handle(now, input) {
            match output {
                switch::Output::ReadEngine => self.send_to_engine(rank, life, ToEngine::Read),
                switch::Output::Engine(order) => {
                    self.send_to_engine(rank, life, ToEngine::Order(order));
                }
                switch::Output::RequestLoad { weight, urgent } => {
                    let want = bandwidth::Input::Want {
                        load: weight,
                        bytes: WEIGHT_BYTES,
                        urgent,
                    };
                    self.share(rank, want);
                }
                switch::Output::CancelLoads => self.share(rank, bandwidth::Input::DropAll),
                switch::Output::Send { to, envelope } => {
                    self.send(rank, to, Body::Group(Box::new(envelope)));
                }
                switch::Output::Platform(id, call) => {
                    self.send_call(rank, life, Part::Rank, id, call);
                }
                switch::Output::SetTimer { at, .. } => self.set_timer(rank, life, at, Part::Rank),
                switch::Output::Event(event) => {
                    self.held += u64::from(event.kind == EventKind::StepHeld);
                }
            }
        }
    }

    pub fn planner(&mut self, rank: RankId, input: coordinator::Input) {
        let now = self.clock(rank);
        let Some(process) = &mut self.hosts[rank as usize].process else {
            return;
        };
        let life = process.life;
        let outputs = process.planner.handle(now, input);
        let acting = process.planner.holds_lease(now);
        for output in outputs {
            match output {
                coordinator::Output::Send { to, envelope } => {
                    let written = self.platform.value(&lease_key(GROUP)).and_then(number_of);
                    oracle::check_lease(acting.unwrap_or(0), written);
                    self.send(rank, to, Body::Group(Box::new(envelope)));
                }
                coordinator::Output::Platform(id, call) => {
                    self.send_call(rank, life, Part::Planner, id, call);
                }
                coordinator::Output::SetTimer { at, .. } => {
                    self.set_timer(rank, life, at, Part::Planner);
                }
                coordinator::Output::Event(_) => {}
            }
        }
    }

    /// The share's bound is stated for clocks that run alike, so it uses the true time.
    fn share(&mut self, rank: RankId, input: bandwidth::Input<Weight>) {
        let now = self.now;
        let Some(process) = &mut self.hosts[rank as usize].process else {
            return;
        };
        let life = process.life;
        for output in process.share.handle(now, input) {
            match output {
                bandwidth::Output::Grant { load, bytes, last } => {
                    self.rate.read(now.as_secs_f64(), bytes);
                    if last {
                        self.rank(rank, switch::Input::LoadGranted(load));
                    }
                }
                bandwidth::Output::Send { to, message } => {
                    self.send(rank, to, Body::Share(rank, message));
                }
                bandwidth::Output::SetTimer(at) => {
                    self.push(at.saturating_sub(now), Ev::Timer(rank, life, Part::Share));
                }
            }
        }
    }

    fn set_timer(&mut self, rank: RankId, life: u64, at: Duration, part: Part) {
        let after = at.saturating_sub(self.clock(rank));
        self.push(after, Ev::Timer(rank, life, part));
    }

    fn send(&mut self, from: RankId, to: RankId, body: Body) {
        if self.hosts[from as usize].cut_until > self.now {
            return;
        }
        let trouble = self.rng.random_range(0..100) < self.trouble_percent;
        let mut delay = self.rng.random_range(0..4);
        if trouble {
            match self.rng.random_range(0..4) {
                0 => return,
                1 => {
                    let later = ms(self.rng.random_range(0..3_000));
                    self.push(later, Ev::Deliver(to, body.clone()));
                }
                2 => delay = self.rng.random_range(0..200),
                _ => delay = self.rng.random_range(0..6_000),
            }
        }
        self.push(ms(delay), Ev::Deliver(to, body));
    }

    fn send_call(&mut self, rank: RankId, life: u64, part: Part, id: CallId, call: Call) {
        let delay = ms(self.rng.random_range(1..20));
        self.push(delay, Ev::Call(rank, life, part, id, call));
    }

    fn call(&mut self, rank: RankId, life: u64, part: Part, id: CallId, call: Call) {
        let cut = self.hosts[rank as usize].cut_from_platform_until > self.now;
        let down = cut || self.platform_down_until > self.now;
        let lost = self.lose_until > self.now && self.rng.random_bool(0.5);
        let reply = match (down, lost) {
            (true, _) if self.rng.random_bool(0.5) => Reply::Unavailable,
            (true, _) => Reply::Lost,
            (_, true) => {
                // The call took effect, never will, or will after its caller was told.
                match self.rng.random_range(0..3) {
                    0 => {
                        self.platform.call(call);
                    }
                    1 => {
                        let later = ms(self.rng.random_range(0..3_000));
                        self.push(later, Ev::LateCall(call));
                    }
                    _ => {}
                }
                Reply::Lost
            }
            _ => self.platform.call(call),
        };
        let wait = if reply == Reply::Lost { 300 } else { 10 };
        let wait = ms(self.rng.random_range(1..wait));
        self.push(wait, Ev::Reply(rank, life, part, id, reply));
    }

    fn send_to_engine(&mut self, rank: RankId, life: u64, message: ToEngine) {
        self.hosts[rank as usize].orders.push_back((life, message));
        let delay = ms(self.rng.random_range(0..5));
        self.push(delay, Ev::Order(rank));
    }

    /// Takes the oldest order: the link to an engine keeps the order.
    fn engine_order(&mut self, rank: RankId) {
        let step = self.step;
        let host = &mut self.hosts[rank as usize];
        let Some((life, message)) = host.orders.pop_front() else {
            return;
        };
        let engine_life = host.engine.life;
        let event = match message {
            ToEngine::Read => EngineEvent::State(host.engine.report(step)),
            ToEngine::Order(order) => {
                oracle::check_order(&mut host.engine, &order);
                match host.engine.order(order, step) {
                    Effect::Tell(event) => event,
                    Effect::Load(weight) => {
                        let wait = ms(self.rng.random_range(5..60));
                        return self.push(wait, Ev::Loaded(rank, engine_life, weight));
                    }
                    Effect::None => return,
                }
            }
        };
        self.say(rank, life, event);
    }

    /// The link from an engine keeps the order, also while its process is paused.
    fn say(&mut self, rank: RankId, life: u64, event: EngineEvent) {
        self.hosts[rank as usize].said.push_back((life, event));
        self.push(ms(0), Ev::FromEngine(rank));
    }

    fn loaded(&mut self, rank: RankId, engine_life: u64, weight: Weight) {
        let host = &mut self.hosts[rank as usize];
        if host.engine.life != engine_life {
            return;
        }
        host.engine.state.loaded.insert(weight);
        if let Some(life) = self.life(rank) {
            self.say(rank, life, EngineEvent::Loaded(weight));
        }
    }

    fn engine_step(&mut self, rank: RankId) {
        let wait = self.rng.random_range(STEP_MS / 2..STEP_MS);
        self.push(ms(wait), Ev::Step(rank));
        let step = self.step;
        let host = &mut self.hosts[rank as usize];
        if host.stalled_until > self.now {
            return;
        }
        if let Some(event) = host.engine.try_start(step)
            && let Some(life) = self.life(rank)
        {
            self.say(rank, life, event);
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
