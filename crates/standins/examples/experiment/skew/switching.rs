//! Steps that a switch holds, without faults and with one, on the core's machines.
//!
//! Messages and orders take 1 ms, a step 24 ms. All ranks run in lock-step; what
//! is counted is the steps that the group didn't run because an engine held one.

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
const DELAY: Duration = Duration::from_millis(1);
const STEP: Duration = Duration::from_millis(24);
const RETRY: Duration = Duration::from_millis(50);
const MARGIN_STEPS: u64 = 8;
/// Time in which a commit is lost or a rank is cut off.
const FAULT: Duration = Duration::from_millis(500);

/// A fault during a switch, once all ranks have acknowledged.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// None.
    None,
    /// The planner dies before it sends a commit.
    PlannerDies,
    /// The commit to one rank is lost for a while.
    CommitLost,
    /// The process next to a rank restarts with empty memory.
    ProcessRestarts,
    /// The process next to a rank can't be reached for a while.
    CutOff,
    /// The platform is down.
    PlatformDown,
}

impl Fault {
    /// All cases.
    pub const ALL: [Self; 6] = [
        Self::None,
        Self::PlannerDies,
        Self::CommitLost,
        Self::ProcessRestarts,
        Self::CutOff,
        Self::PlatformDown,
    ];

    /// Name in the results.
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

enum Ev {
    Deliver(RankId, Envelope),
    Engine(RankId, EngineEvent),
    RankTimer(RankId),
    PlannerTimer,
    Reply(CallId, Reply),
    Step,
}

struct Sim {
    fault: Fault,
    fault_at: Option<Duration>,
    now: Duration,
    queue: BTreeMap<(Duration, u64), Ev>,
    sequence: u64,
    ranks: Vec<GroupRank>,
    engines: Vec<EngineState>,
    told_held: Vec<bool>,
    planner: Option<GroupPlanner>,
    object: Option<(u64, Vec<u8>)>,
    step: u64,
    lost: u64,
}

/// Steps that the group lost in a switch with this fault, and whether it switched.
pub fn lost_steps(fault: Fault, ranks: u32) -> (u64, bool) {
    let mut sim = Sim::new(fault, ranks);
    sim.run_until(Duration::from_secs(20));
    let mut layers = ExpertMap::initial(ranks, 1, ranks * 2).layers;
    layers[0].ranks.rotate_left(1);
    sim.planner(coordinator::Input::Target(layers));
    let before = sim.lost;
    sim.run_until(Duration::from_secs(30));
    let version = |e: &EngineState| e.map.as_ref().map_or(0, |m| m.id.version);
    let switched = sim.engines.iter().all(|e| version(e) > 0);
    (sim.lost - before, switched)
}

impl Sim {
    fn new(fault: Fault, ranks: u32) -> Self {
        let mut sim = Self {
            fault,
            fault_at: None,
            now: Duration::ZERO,
            queue: BTreeMap::new(),
            sequence: 0,
            ranks: (0..ranks).map(|r| rank(r, ranks, 1)).collect(),
            engines: vec![EngineState::default(); ranks as usize],
            told_held: vec![false; ranks as usize],
            planner: Some(planner(ranks)),
            object: None,
            step: 1,
            lost: 0,
        };
        for r in 0..ranks {
            sim.rank(r, switch::Input::Start);
        }
        sim.planner(coordinator::Input::Start);
        sim.push(STEP, Ev::Step);
        sim
    }

    fn push(&mut self, after: Duration, ev: Ev) {
        self.sequence += 1;
        self.queue.insert((self.now + after, self.sequence), ev);
    }

    fn run_until(&mut self, end: Duration) {
        while let Some(entry) = self.queue.first_entry() {
            let (at, _) = *entry.key();
            if at > end {
                break;
            }
            let ev = entry.remove();
            self.now = at;
            match ev {
                Ev::Deliver(to, envelope) => self.deliver(to, envelope),
                Ev::Engine(r, event) => self.rank(r, switch::Input::Engine(event)),
                Ev::RankTimer(r) => self.rank(r, switch::Input::Timer(switch::Timer::Retry)),
                Ev::PlannerTimer => {
                    self.planner(coordinator::Input::Timer(coordinator::Timer::Tick));
                }
                Ev::Reply(id, reply) => self.planner(coordinator::Input::Platform(id, reply)),
                Ev::Step => self.step(),
            }
        }
        self.now = end;
    }

    fn fault_on(&self) -> bool {
        self.fault_at.is_some_and(|at| self.now < at + FAULT)
    }

    /// Messages pass here; the first commit starts the fault.
    fn deliver(&mut self, to: RankId, envelope: Envelope) {
        let last = self.ranks.len() as RankId - 1;
        if matches!(envelope.message, Message::Commit { .. }) {
            if self.fault_at.is_none() {
                self.fault_at = Some(self.now);
                self.start_fault(last);
            }
            let dropped = self.fault == Fault::PlannerDies
                || (self.fault == Fault::CommitLost && to == last && self.fault_on());
            if dropped {
                return;
            }
        }
        let cut = self.fault == Fault::CutOff && self.fault_on();
        if cut && (to == last || envelope.from.rank == last) {
            return;
        }
        self.rank(to, switch::Input::Message(envelope.clone()));
        if to == 0 {
            self.planner(coordinator::Input::Message(envelope));
        }
    }

    fn start_fault(&mut self, last: RankId) {
        match self.fault {
            Fault::PlannerDies => self.planner = None,
            Fault::ProcessRestarts => {
                let ranks = self.ranks.len() as u32;
                self.ranks[last as usize] = rank(last, ranks, 2);
                self.rank(last, switch::Input::Start);
            }
            _ => {}
        }
    }

    fn rank(&mut self, r: RankId, input: switch::Input) {
        for output in self.ranks[r as usize].handle(self.now, input) {
            match output {
                switch::Output::ReadEngine => {
                    let mut state = self.engines[r as usize].clone();
                    state.step = self.step;
                    self.push(DELAY, Ev::Engine(r, EngineEvent::State(state)));
                }
                switch::Output::Engine(order) => self.order(r, order.action),
                switch::Output::RequestLoad { weight, .. } => {
                    self.rank(r, switch::Input::LoadGranted(weight));
                }
                switch::Output::Send { to, envelope } => {
                    self.push(DELAY, Ev::Deliver(to, envelope));
                }
                switch::Output::SetTimer { at, .. } => {
                    self.push(at.saturating_sub(self.now), Ev::RankTimer(r));
                }
                switch::Output::CancelLoads
                | switch::Output::Platform(..)
                | switch::Output::Event(_) => {}
            }
        }
    }

    fn order(&mut self, r: RankId, action: Action) {
        let engine = &mut self.engines[r as usize];
        let event = match action {
            Action::Load(weight) => {
                engine.loaded.insert(weight);
                EngineEvent::Loaded(weight)
            }
            Action::Trim => return,
            Action::Arm(armed) => {
                let attempt = armed.id.attempt;
                self.told_held[r as usize] = false;
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
        self.push(DELAY, Ev::Engine(r, event));
    }

    /// Runs a step if no engine holds it.
    fn step(&mut self) {
        self.push(STEP, Ev::Step);
        let step = self.step;
        let mut held = false;
        for r in 0..self.ranks.len() {
            let armed = self.engines[r].armed.as_ref();
            let Some(armed) = armed.filter(|a| a.step <= step && !a.committed) else {
                continue;
            };
            held = true;
            let attempt = armed.id.attempt;
            if !std::mem::replace(&mut self.told_held[r], true) {
                self.push(
                    Duration::ZERO,
                    Ev::Engine(r as RankId, EngineEvent::Held(attempt)),
                );
            }
        }
        if held {
            self.lost += 1;
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
            self.push(Duration::ZERO, Ev::Engine(r as RankId, event));
        }
        self.step += 1;
    }

    fn planner(&mut self, input: coordinator::Input) {
        let Some(planner) = &mut self.planner else {
            return;
        };
        for output in planner.handle(self.now, input) {
            match output {
                coordinator::Output::Send { to, envelope } => {
                    self.push(DELAY, Ev::Deliver(to, envelope));
                }
                coordinator::Output::Platform(id, call) => {
                    let reply = self.call(call);
                    self.push(DELAY, Ev::Reply(id, reply));
                }
                coordinator::Output::SetTimer { at, .. } => {
                    self.push(at.saturating_sub(self.now), Ev::PlannerTimer);
                }
                coordinator::Output::Event(_) => {}
            }
        }
    }

    fn call(&mut self, call: Call) -> Reply {
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

fn rank(rank: RankId, ranks: u32, incarnation: u64) -> GroupRank {
    GroupRank::new(RankSettings {
        group: GROUP.into(),
        rank,
        ranks,
        incarnation,
        engine_checks_fence: true,
        initial_map: ExpertMap::initial(ranks, 1, ranks * 2),
        retry_every: RETRY,
    })
}

fn planner(ranks: u32) -> GroupPlanner {
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
        retry_every: RETRY,
        prepare_timeout: Duration::from_secs(30),
        propose_timeout: Duration::from_secs(2),
        margin_steps: MARGIN_STEPS,
        planner: PlannerSettings::default(),
    })
}
