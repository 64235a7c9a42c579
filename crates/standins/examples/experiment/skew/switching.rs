//! Steps that the group loses in a map switch, with and without faults.
//!
//! Simulates the state machines of the core crate. Messages and orders take 1 ms, a step 24 ms. All
//! ranks run in lock-step, so the group loses a step whenever any engine holds it.

use std::collections::BTreeMap;
use std::time::Duration;

use eelgrasshold_core::group::coordinator::{self, CoordinatorSettings, GroupPlanner};
use eelgrasshold_core::group::lease::{LeaseSettings, lease_key};
use eelgrasshold_core::group::map::{ExpertMap, RankId};
use eelgrasshold_core::group::planner::PlannerSettings;
use eelgrasshold_core::group::switch::{
    self, Action, EngineEvent, EngineState, Envelope, GroupRank, Message, RankSettings,
};
use eelgrasshold_core::platform::{Call, CallId, Reply};

const GROUP: &str = "drafts";
const MESSAGE_DELAY: Duration = Duration::from_millis(1);
const STEP_TIME: Duration = Duration::from_millis(24);
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
const SWITCH_MARGIN_STEPS: u64 = 8;
/// Time for which commits are lost or a rank is partitioned.
const FAULT_DURATION: Duration = Duration::from_millis(500);

/// Fault that is injected after all ranks have acknowledged the switch.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    None,
    /// The planner crashes before it sends a commit.
    PlannerDies,
    /// Commits to one rank are lost for [`FAULT_DURATION`].
    CommitLost,
    /// The sidecar of one rank restarts and loses its state.
    ProcessRestarts,
    /// The sidecar of one rank is unreachable for [`FAULT_DURATION`].
    CutOff,
    /// The platform stays unavailable from then on.
    PlatformDown,
}

impl Fault {
    pub const ALL: [Self; 6] = [
        Self::None,
        Self::PlannerDies,
        Self::CommitLost,
        Self::ProcessRestarts,
        Self::CutOff,
        Self::PlatformDown,
    ];

    /// Name of the fault in the results.
    pub fn name(self) -> &'static str {
        match self {
            Self::None => "no_fault",
            Self::PlannerDies => "planner_dies",
            Self::CommitLost => "commit_lost",
            Self::ProcessRestarts => "process_restarts",
            Self::CutOff => "rank_cut_off",
            Self::PlatformDown => "platform_down",
        }
    }
}

enum Event {
    Deliver(RankId, Envelope),
    Engine(RankId, EngineEvent),
    RankTimer(RankId),
    PlannerTimer,
    Reply(CallId, Reply),
    Step,
}

struct Simulation {
    fault: Fault,
    fault_at: Option<Duration>,
    now: Duration,
    queue: BTreeMap<(Duration, u64), Event>,
    sequence: u64,
    ranks: Vec<GroupRank>,
    engines: Vec<EngineState>,
    /// Whether each engine has reported that it holds the current step.
    held_reported: Vec<bool>,
    planner: Option<GroupPlanner>,
    /// Version and value of the planner's object on the platform.
    object: Option<(u64, Vec<u8>)>,
    step: u64,
    held_steps: u64,
}

/// Number of steps that the group loses in a switch with this fault, and whether all engines
/// switched.
pub fn measure_switch(fault: Fault, ranks: u32) -> (u64, bool) {
    let mut sim = Simulation::new(fault, ranks);
    sim.run_until(Duration::from_secs(20));
    let mut layers = ExpertMap::initial(ranks, 1, ranks * 2).layers;
    layers[0].ranks.rotate_left(1);
    sim.handle_planner(coordinator::Input::Target(layers));
    let before = sim.held_steps;
    sim.run_until(Duration::from_secs(30));
    let version = |e: &EngineState| e.map.as_ref().map_or(0, |m| m.id.version);
    let switched = sim.engines.iter().all(|e| version(e) > 0);
    (sim.held_steps - before, switched)
}

impl Simulation {
    fn new(fault: Fault, ranks: u32) -> Self {
        let mut sim = Self {
            fault,
            fault_at: None,
            now: Duration::ZERO,
            queue: BTreeMap::new(),
            sequence: 0,
            ranks: (0..ranks).map(|r| new_rank(r, ranks, 1)).collect(),
            engines: vec![EngineState::default(); ranks as usize],
            held_reported: vec![false; ranks as usize],
            planner: Some(new_planner(ranks)),
            object: None,
            step: 1,
            held_steps: 0,
        };
        for r in 0..ranks {
            sim.handle_rank(r, switch::Input::Start);
        }
        sim.handle_planner(coordinator::Input::Start);
        sim.schedule(STEP_TIME, Event::Step);
        sim
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.sequence += 1;
        self.queue.insert((self.now + after, self.sequence), event);
    }

    fn run_until(&mut self, end: Duration) {
        while let Some(entry) = self.queue.first_entry() {
            let (at, _) = *entry.key();
            if at > end {
                break;
            }
            let event = entry.remove();
            self.now = at;
            match event {
                Event::Deliver(to, envelope) => self.deliver(to, envelope),
                Event::Engine(r, event) => self.handle_rank(r, switch::Input::Engine(event)),
                Event::RankTimer(r) => {
                    self.handle_rank(r, switch::Input::Timer(switch::Timer::Retry));
                }
                Event::PlannerTimer => {
                    self.handle_planner(coordinator::Input::Timer(coordinator::Timer::Tick));
                }
                Event::Reply(id, reply) => {
                    self.handle_planner(coordinator::Input::Platform(id, reply));
                }
                Event::Step => self.run_step(),
            }
        }
        self.now = end;
    }

    fn is_fault_active(&self) -> bool {
        self.fault_at
            .is_some_and(|at| self.now < at + FAULT_DURATION)
    }

    /// Delivers a message unless the fault drops it. The first commit starts the fault.
    fn deliver(&mut self, to: RankId, envelope: Envelope) {
        let faulty_rank = self.ranks.len() as RankId - 1;
        if matches!(envelope.message, Message::Commit { .. }) {
            if self.fault_at.is_none() {
                self.fault_at = Some(self.now);
                self.start_fault(faulty_rank);
            }
            let dropped = self.fault == Fault::PlannerDies
                || (self.fault == Fault::CommitLost && to == faulty_rank && self.is_fault_active());
            if dropped {
                return;
            }
        }
        let cut = self.fault == Fault::CutOff && self.is_fault_active();
        if cut && (to == faulty_rank || envelope.from.rank == faulty_rank) {
            return;
        }
        self.handle_rank(to, switch::Input::Message(envelope.clone()));
        if to == 0 {
            self.handle_planner(coordinator::Input::Message(envelope));
        }
    }

    fn start_fault(&mut self, faulty_rank: RankId) {
        match self.fault {
            Fault::PlannerDies => self.planner = None,
            Fault::ProcessRestarts => {
                let ranks = self.ranks.len() as u32;
                self.ranks[faulty_rank as usize] = new_rank(faulty_rank, ranks, 2);
                self.handle_rank(faulty_rank, switch::Input::Start);
            }
            _ => {}
        }
    }

    fn handle_rank(&mut self, r: RankId, input: switch::Input) {
        for output in self.ranks[r as usize].handle(self.now, input) {
            match output {
                switch::Output::ReadEngine => {
                    let mut state = self.engines[r as usize].clone();
                    state.step = self.step;
                    self.schedule(MESSAGE_DELAY, Event::Engine(r, EngineEvent::State(state)));
                }
                switch::Output::Engine(order) => self.execute_order(r, order.action),
                switch::Output::RequestLoad { weight, .. } => {
                    self.handle_rank(r, switch::Input::LoadGranted(weight));
                }
                switch::Output::Send { to, envelope } => {
                    self.schedule(MESSAGE_DELAY, Event::Deliver(to, envelope));
                }
                switch::Output::SetTimer { at, .. } => {
                    self.schedule(at.saturating_sub(self.now), Event::RankTimer(r));
                }
                switch::Output::CancelLoads
                | switch::Output::Platform(..)
                | switch::Output::Event(_) => {}
            }
        }
    }

    fn execute_order(&mut self, r: RankId, action: Action) {
        let engine = &mut self.engines[r as usize];
        let event = match action {
            Action::Load(weight) => {
                engine.loaded.insert(weight);
                EngineEvent::Loaded(weight)
            }
            Action::Trim => return,
            Action::Arm(armed) => {
                let attempt = armed.id.attempt;
                self.held_reported[r as usize] = false;
                if armed.step < self.step {
                    EngineEvent::ArmRefused(attempt)
                } else {
                    engine.armed = Some(armed);
                    EngineEvent::Armed(attempt)
                }
            }
            Action::Commit(attempt) => {
                if let Some(armed) = &mut engine.armed {
                    armed.committed = true;
                }
                EngineEvent::Decided {
                    attempt,
                    commit: true,
                }
            }
            Action::Abort(attempt) => {
                engine.armed = None;
                engine.aborted = attempt;
                EngineEvent::Decided {
                    attempt,
                    commit: false,
                }
            }
            Action::Install { map, next } => {
                engine.map = Some(map);
                engine.armed = next;
                EngineEvent::Installed
            }
        };
        self.schedule(MESSAGE_DELAY, Event::Engine(r, event));
    }

    /// Advances the group by a step unless an engine holds it.
    fn run_step(&mut self) {
        self.schedule(STEP_TIME, Event::Step);
        let step = self.step;
        let mut held = false;
        for r in 0..self.ranks.len() {
            let armed = self.engines[r].armed.as_ref();
            let Some(armed) = armed.filter(|a| a.step <= step && !a.committed) else {
                continue;
            };
            held = true;
            let attempt = armed.id.attempt;
            if !std::mem::replace(&mut self.held_reported[r], true) {
                self.schedule(
                    Duration::ZERO,
                    Event::Engine(r as RankId, EngineEvent::Held(attempt)),
                );
            }
        }
        if held {
            self.held_steps += 1;
            return;
        }
        for r in 0..self.ranks.len() {
            let engine = &mut self.engines[r];
            let Some(armed) = engine.armed.take_if(|a| a.step <= step) else {
                continue;
            };
            let map = engine.map.as_ref();
            engine.map = map.map(|m| m.with_change(armed.id, &armed.change));
            let event = EngineEvent::Switched(armed.id.attempt);
            self.schedule(Duration::ZERO, Event::Engine(r as RankId, event));
        }
        self.step += 1;
    }

    fn handle_planner(&mut self, input: coordinator::Input) {
        let Some(planner) = &mut self.planner else {
            return;
        };
        for output in planner.handle(self.now, input) {
            match output {
                coordinator::Output::Send { to, envelope } => {
                    self.schedule(MESSAGE_DELAY, Event::Deliver(to, envelope));
                }
                coordinator::Output::Platform(id, call) => {
                    let reply = self.platform_reply(call);
                    self.schedule(MESSAGE_DELAY, Event::Reply(id, reply));
                }
                coordinator::Output::SetTimer { at, .. } => {
                    self.schedule(at.saturating_sub(self.now), Event::PlannerTimer);
                }
                coordinator::Output::Event(_) => {}
            }
        }
    }

    fn platform_reply(&mut self, call: Call) -> Reply {
        if self.fault == Fault::PlatformDown && self.fault_at.is_some() {
            return Reply::Unavailable;
        }
        match (call, &self.object) {
            (Call::Get { .. }, Some((version, value))) => Reply::Object {
                version: *version,
                value: value.clone(),
            },
            (Call::Put { value, .. }, object) => {
                let version = object.as_ref().map_or(0, |o| o.0) + 1;
                self.object = Some((version, value));
                Reply::Written { version }
            }
            _ => Reply::Missing,
        }
    }
}

fn new_rank(rank: RankId, ranks: u32, incarnation: u64) -> GroupRank {
    GroupRank::new(RankSettings {
        group: GROUP.into(),
        rank,
        ranks,
        incarnation,
        engine_checks_fence: true,
        initial_map: ExpertMap::initial(ranks, 1, ranks * 2),
        retry_every: RETRY_INTERVAL,
    })
}

fn new_planner(ranks: u32) -> GroupPlanner {
    GroupPlanner::new(CoordinatorSettings {
        group: GROUP.into(),
        rank: 0,
        ranks,
        incarnation: 1,
        lease: LeaseSettings {
            key: lease_key(GROUP),
            holder: "host-0".into(),
            incarnation: 1,
            duration: Duration::from_secs(15),
            poll_every: Duration::from_secs(5),
        },
        poll_every: Duration::from_millis(480),
        retry_every: RETRY_INTERVAL,
        prepare_timeout: Duration::from_secs(30),
        propose_timeout: Duration::from_secs(2),
        margin_steps: SWITCH_MARGIN_STEPS,
        planner: PlannerSettings::default(),
    })
}
