//! State machine of the process next to a rank.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::{
    Action, Armed, EngineEvent, EngineState, Envelope, Input, Message, Order, Output, RankReport,
    RankState, Refuse, Sender, Timer, View,
};
use crate::event::{Event, EventKind};
use crate::group::fence::{Fence, FenceError};
use crate::group::map::{Attempt, ExpertMap, FenceNumber, MapChange, MapId, RankId, Step, Weight};
use crate::platform::CallId;
use crate::types::{GroupId, Incarnation, Now};

/// Settings of a rank's machine.
#[derive(Clone, Debug)]
pub struct RankSettings {
    /// Group.
    pub group: GroupId,
    /// Own position.
    pub rank: RankId,
    /// Ranks of the group.
    pub ranks: u32,
    /// Life of this process. A later life, also after a loss of the engine's
    /// memory, has a higher one.
    pub incarnation: Incarnation,
    /// Whether the engine refuses orders with an old fencing number.
    pub engine_checks_fence: bool,
    /// Map of a group that never had one.
    pub first_map: ExpertMap,
    /// Time after which an unanswered message is sent again.
    pub retry_every: Duration,
}

/// A map that is being prepared.
#[derive(Clone, Debug)]
pub(super) struct Prepared {
    pub id: MapId,
    pub change: MapChange,
    pub planner: RankId,
    /// Weights that are not loaded; none until the engine's state was read.
    pub missing: Option<BTreeSet<Weight>>,
}

/// What the rank knows of the group while its engine has no map.
#[derive(Clone, Debug, Default)]
pub(super) struct Join {
    pub states: BTreeMap<RankId, RankState>,
    pub source: RankId,
    pub target: Option<(ExpertMap, Option<Armed>)>,
    pub missing: BTreeSet<Weight>,
    pub loaded: BTreeSet<Weight>,
}

#[derive(Clone, Debug)]
pub(super) enum Phase {
    /// The engine's state isn't known.
    Starting,
    /// The engine has no map; it is learned from the other ranks.
    Joining(Join),
    /// The engine takes the installed map.
    Installing,
    /// Nothing to settle.
    Idle,
    /// Weights are being loaded.
    Loading(Prepared),
    /// Weights are loaded.
    Ready(Prepared),
    /// The engine was told to hold the switch step.
    Arming { armed: Armed, planner: RankId },
    /// The engine holds the switch step until a decision.
    Armed(Armed),
    /// The engine was told the decision.
    Deciding(Armed),
    /// The engine took the commit and has not reached the step.
    Committed(Armed),
    /// A later life of this rank exists.
    Retired,
}

/// State machine of the process next to a rank.
///
/// ```
/// use std::time::Duration;
/// use eelgrasshold_core::group::map::ExpertMap;
/// use eelgrasshold_core::group::switch::{
///     EngineEvent, EngineState, GroupRank, Input, Output, RankSettings,
/// };
///
/// let map = ExpertMap::first(2, 1, 8);
/// let mut rank = GroupRank::new(RankSettings {
///     group: "drafts".into(),
///     rank: 0,
///     ranks: 2,
///     incarnation: 1,
///     engine_checks_fence: true,
///     first_map: map.clone(),
///     retry_every: Duration::from_millis(250),
/// });
/// let out = rank.handle(Duration::ZERO, Input::Start);
/// assert!(out.iter().any(|o| matches!(o, Output::ReadEngine)));
/// let state = EngineState { map: Some(map), ..EngineState::default() };
/// let out = rank.handle(Duration::ZERO, Input::Engine(EngineEvent::State(state)));
/// // It greets the other rank before it accepts a new map.
/// assert!(out.iter().any(|o| matches!(o, Output::Send { to: 1, .. })));
/// ```
#[derive(Clone, Debug)]
pub struct GroupRank {
    pub(super) settings: RankSettings,
    pub(super) fence: Fence,
    pub(super) fence_call: Option<CallId>,
    pub(super) next_call: CallId,
    pub(super) view: View,
    pub(super) floor: Attempt,
    pub(super) phase: Phase,
    pub(super) map: Option<ExpertMap>,
    pub(super) step: Step,
    pub(super) aborted: Attempt,
    pub(super) greeted: BTreeSet<RankId>,
    pub(super) pledged: bool,
    pub(super) pledges: Option<BTreeSet<RankId>>,
    pub(super) join_next: Option<Armed>,
    pub(super) measured: RankReport,
    pub(super) timer_at: Option<Now>,
}

impl GroupRank {
    /// A machine with empty memory.
    #[must_use]
    pub fn new(settings: RankSettings) -> Self {
        let mut view = vec![0; settings.ranks as usize];
        if let Some(own) = view.get_mut(settings.rank as usize) {
            *own = settings.incarnation;
        }
        Self {
            settings,
            fence: Fence::default(),
            fence_call: None,
            next_call: 0,
            view,
            floor: Attempt::default(),
            phase: Phase::Starting,
            map: None,
            step: 0,
            aborted: Attempt::default(),
            greeted: BTreeSet::new(),
            pledged: false,
            pledges: None,
            join_next: None,
            measured: RankReport::default(),
            timer_at: None,
        }
    }

    /// Identity of the engine's present map, if known.
    #[must_use]
    pub fn map_id(&self) -> Option<MapId> {
        self.map.as_ref().map(|m| m.id)
    }

    /// Whether nothing is being prepared, armed or learned.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        matches!(self.phase, Phase::Idle) && self.greeted_all() && self.fence.is_learned()
    }

    /// State in a line, for logs and test reports.
    #[must_use]
    pub fn summary(&self) -> String {
        let (phase, attempt) = match &self.phase {
            Phase::Starting => ("starting", None),
            Phase::Joining(_) => ("joining", None),
            Phase::Installing => ("installing", None),
            Phase::Idle => ("idle", None),
            Phase::Loading(p) => ("loading", Some(p.id.attempt)),
            Phase::Ready(p) => ("ready", Some(p.id.attempt)),
            Phase::Arming { armed, .. } => ("arming", Some(armed.id.attempt)),
            Phase::Armed(armed) => ("armed", Some(armed.id.attempt)),
            Phase::Deciding(armed) => ("deciding", Some(armed.id.attempt)),
            Phase::Committed(armed) => ("committed", Some(armed.id.attempt)),
            Phase::Retired => ("retired", None),
        };
        let Self {
            step, floor, view, ..
        } = self;
        let (fence, learned) = (self.fence.highest(), self.fence.is_learned());
        let greeted = self.greeted.len();
        format!(
            "{phase} {attempt:?} step {step} floor {floor:?} fence {fence} learned {learned} \
             greeted {greeted} pledged {} pledges {:?} view {view:?}",
            self.pledged, self.pledges
        )
    }

    /// Takes an input at the time `now` and returns what the driver shall do.
    pub fn handle(&mut self, now: Now, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        match input {
            Input::Start => self.start(&mut out),
            Input::Engine(event) => self.engine(event, &mut out),
            Input::Message(envelope) => self.message(envelope, &mut out),
            Input::Platform(id, reply) => self.platform(id, &reply, &mut out),
            Input::LoadGranted(weight) => self.load_granted(weight, &mut out),
            Input::Timer(Timer::Retry) => {
                self.timer_at = None;
                self.retry(&mut out);
            }
        }
        self.set_timer(now, &mut out);
        out
    }

    fn set_timer(&mut self, now: Now, out: &mut Vec<Output>) {
        if self.timer_at.is_some() || !self.waits() {
            return;
        }
        let at = now + self.settings.retry_every;
        self.timer_at = Some(at);
        out.push(Output::SetTimer {
            at,
            timer: Timer::Retry,
        });
    }

    fn message(&mut self, envelope: Envelope, out: &mut Vec<Output>) {
        if matches!(self.phase, Phase::Retired) || !self.see(envelope.from, out) {
            return;
        }
        let from = envelope.from.rank;
        match envelope.message {
            Message::Poll { fence, want_map } => self.poll(from, fence, want_map, out),
            Message::Prepare { id, base, change } => self.prepare(from, id, base, change, out),
            Message::Propose { attempt, step } => self.propose(from, attempt, step, out),
            Message::Commit {
                attempt,
                step,
                view,
            } => self.commit(from, attempt, step, &view, out),
            Message::Abort { attempt } => self.abort(from, attempt, out),
            Message::Ask {
                attempt,
                view,
                want_map,
            } => self.ask(from, attempt, &view, want_map, out),
            Message::Answer {
                outcome,
                view,
                attempt,
                state,
            } => self.answer(from, attempt, outcome, &view, state, out),
            Message::Report(_)
            | Message::Ready { .. }
            | Message::Acked { .. }
            | Message::Refused { .. } => {}
        }
    }

    /// Checks a planner's number; a refusal is answered.
    fn admit(&mut self, planner: RankId, attempt: Attempt, out: &mut Vec<Output>) -> bool {
        let reason = match self.fence.admit(attempt.fence) {
            Ok(()) if self.greeted_all() => return true,
            Ok(()) | Err(FenceError::Unknown) => Refuse::Starting,
            Err(FenceError::Stale { highest, .. }) => {
                let detail = format!("order {} after {highest}", attempt.fence);
                self.event(EventKind::OrderRefused, detail, out);
                Refuse::Stale(highest)
            }
        };
        self.refuse(planner, attempt, reason, out);
        false
    }

    fn poll(&mut self, planner: RankId, fence: FenceNumber, want_map: bool, out: &mut Vec<Output>) {
        let attempt = Attempt { fence, sequence: 0 };
        if !self.admit(planner, attempt, out) {
            return;
        }
        self.settle_older(fence, out);
        let Some(map) = &self.map else { return };
        let mut report = std::mem::take(&mut self.measured);
        report.map = map.id;
        report.content = want_map.then(|| map.clone());
        report.settled = matches!(self.phase, Phase::Idle);
        report.step = self.step;
        self.send(planner, Message::Report(report), out);
    }

    /// Gives up or settles what an earlier planner began.
    fn settle_older(&mut self, fence: FenceNumber, out: &mut Vec<Output>) {
        match &self.phase {
            Phase::Loading(p) | Phase::Ready(p) if p.id.attempt.fence < fence => {
                self.drop_prepared(out);
            }
            Phase::Armed(armed) if armed.id.attempt.fence < fence => self.start_asking(out),
            _ => {}
        }
    }

    fn prepare(
        &mut self,
        planner: RankId,
        id: MapId,
        base: MapId,
        change: MapChange,
        out: &mut Vec<Output>,
    ) {
        let attempt = id.attempt;
        if !self.admit(planner, attempt, out) {
            return;
        }
        self.settle_older(attempt.fence, out);
        match &mut self.phase {
            Phase::Loading(p) | Phase::Ready(p) if p.id == id => {
                // Sent again: the state is read anew, so that the answer has the present step.
                if let Phase::Ready(p) = &self.phase {
                    self.phase = Phase::Loading(p.clone());
                }
                if let Phase::Loading(p) = &mut self.phase
                    && p.missing.as_ref().is_none_or(BTreeSet::is_empty)
                {
                    p.missing = None;
                    out.push(Output::ReadEngine);
                }
                return;
            }
            Phase::Loading(_) | Phase::Ready(_) | Phase::Idle => {}
            Phase::Arming { armed, .. }
            | Phase::Armed(armed)
            | Phase::Deciding(armed)
            | Phase::Committed(armed) => {
                let busy = armed.id.attempt;
                if busy != attempt {
                    self.refuse(planner, attempt, Refuse::Busy(busy), out);
                }
                return;
            }
            _ => return self.refuse(planner, attempt, Refuse::Starting, out),
        }
        if attempt <= self.floor {
            return self.refuse(planner, attempt, Refuse::Superseded(self.floor), out);
        }
        self.drop_prepared(out);
        let present = self.map_id().unwrap_or_default();
        if base != present {
            return self.refuse(planner, attempt, Refuse::WrongBase(present), out);
        }
        self.phase = Phase::Loading(Prepared {
            id,
            change,
            planner,
            missing: None,
        });
        out.push(Output::ReadEngine);
    }

    /// Forgets a map that is prepared but not armed, so it can't have been committed.
    pub(super) fn drop_prepared(&mut self, out: &mut Vec<Output>) {
        let (Phase::Loading(p) | Phase::Ready(p)) = &self.phase else {
            return;
        };
        self.floor = self.floor.max(p.id.attempt);
        self.phase = Phase::Idle;
        out.push(Output::DropLoads);
        self.order(Action::Trim, out);
    }

    /// Takes the engine's state while weights are loaded.
    pub(super) fn loading_state(&mut self, state: &EngineState, out: &mut Vec<Output>) {
        let rank = self.settings.rank;
        let step = self.step;
        let Phase::Loading(p) = &mut self.phase else {
            return;
        };
        if p.missing.is_some() {
            return;
        }
        let mut missing = p.change.weights(rank);
        missing.retain(|w| !state.loaded.contains(w));
        if !missing.is_empty() {
            for weight in &missing {
                out.push(Output::WantLoad {
                    weight: *weight,
                    urgent: false,
                });
            }
            p.missing = Some(missing);
            return;
        }
        let (planner, attempt) = (p.planner, p.id.attempt);
        self.phase = Phase::Ready(p.clone());
        self.send(planner, Message::Ready { attempt, step }, out);
    }

    fn load_granted(&mut self, weight: Weight, out: &mut Vec<Output>) {
        let number = match &self.phase {
            Phase::Loading(p) if p.missing.as_ref().is_some_and(|m| m.contains(&weight)) => {
                p.id.attempt.fence
            }
            Phase::Joining(join) if join.missing.contains(&weight) => {
                return self.order(Action::Load(weight), out);
            }
            _ => return,
        };
        if self.fence.admit(number).is_err() {
            return self.drop_prepared(out);
        }
        out.push(Output::Engine(Order {
            fence: Some(number),
            action: Action::Load(weight),
        }));
    }

    fn propose(&mut self, planner: RankId, attempt: Attempt, step: Step, out: &mut Vec<Output>) {
        if !self.admit(planner, attempt, out) {
            return;
        }
        match &self.phase {
            Phase::Ready(p) if p.id.attempt == attempt => {
                let armed = Armed {
                    id: p.id,
                    step,
                    change: p.change.clone(),
                    committed: false,
                };
                self.pledged = false;
                self.phase = Phase::Arming {
                    armed: armed.clone(),
                    planner,
                };
                out.push(Output::Engine(Order {
                    fence: Some(attempt.fence),
                    action: Action::Arm(armed),
                }));
            }
            Phase::Armed(armed)
                if armed.id.attempt == attempt && armed.step == step && !self.pledged =>
            {
                self.send(planner, Message::Acked { attempt, step }, out);
            }
            _ if attempt <= self.floor => {
                self.refuse(planner, attempt, Refuse::Superseded(self.floor), out);
            }
            _ => {}
        }
    }

    fn commit(
        &mut self,
        planner: RankId,
        attempt: Attempt,
        step: Step,
        view: &View,
        out: &mut Vec<Output>,
    ) {
        if !self.admit(planner, attempt, out) {
            return;
        }
        let Phase::Armed(armed) = &self.phase else {
            return;
        };
        // A process that started since it acknowledged doesn't know the map any more.
        let same_lives =
            view.len() == self.view.len() && view.iter().zip(&self.view).all(|(a, b)| a >= b);
        if self.pledged || armed.id.attempt != attempt || armed.step != step {
            return;
        }
        if !same_lives {
            return self.start_asking(out);
        }
        self.decide(true, out);
    }

    fn abort(&mut self, planner: RankId, attempt: Attempt, out: &mut Vec<Output>) {
        if !self.admit(planner, attempt, out) {
            return;
        }
        match &self.phase {
            Phase::Loading(p) | Phase::Ready(p) if p.id.attempt == attempt => {
                self.drop_prepared(out);
            }
            Phase::Armed(armed) if armed.id.attempt == attempt => self.decide(false, out),
            _ => {}
        }
    }

    fn engine(&mut self, event: EngineEvent, out: &mut Vec<Output>) {
        match event {
            EngineEvent::State(state) => self.state(state, out),
            EngineEvent::Loaded(weight) => self.loaded(weight, out),
            EngineEvent::Armed(attempt) => self.armed(attempt, out),
            EngineEvent::ArmRefused(attempt) => self.arm_refused(attempt, out),
            EngineEvent::Decided { attempt, commit } => self.decided(attempt, commit, out),
            EngineEvent::Held(attempt) => self.held(attempt, out),
            EngineEvent::Switched(attempt) => self.switched(attempt, out),
            EngineEvent::Installed => self.installed(out),
            EngineEvent::FenceRefused { highest } => self.fence.learn(highest),
            EngineEvent::Measured(report) => self.measure(&report),
        }
    }

    /// Adds measurements of the present map; slots of another map mean other experts.
    fn measure(&mut self, report: &RankReport) {
        self.step = self.step.max(report.step);
        if Some(report.map) == self.map_id() {
            self.measured.add(report);
        }
    }

    fn loaded(&mut self, weight: Weight, out: &mut Vec<Output>) {
        match &mut self.phase {
            Phase::Loading(p) => {
                if let Some(missing) = &mut p.missing
                    && missing.remove(&weight)
                    && missing.is_empty()
                {
                    p.missing = None;
                    out.push(Output::ReadEngine);
                }
            }
            Phase::Joining(join) => {
                join.missing.remove(&weight);
                join.loaded.insert(weight);
                self.install_if_loaded(out);
            }
            _ => {}
        }
    }

    fn armed(&mut self, attempt: Attempt, out: &mut Vec<Output>) {
        let Phase::Arming { armed, planner } = &self.phase else {
            return;
        };
        if armed.id.attempt != attempt {
            return;
        }
        let (step, planner) = (armed.step, *planner);
        self.phase = Phase::Armed(armed.clone());
        self.pledges = None;
        if !self.pledged {
            self.send(planner, Message::Acked { attempt, step }, out);
        }
    }

    fn arm_refused(&mut self, attempt: Attempt, out: &mut Vec<Output>) {
        let Phase::Arming { armed, planner } = &self.phase else {
            return;
        };
        if armed.id.attempt != attempt {
            return;
        }
        let (planner, step) = (*planner, armed.step);
        self.floor = self.floor.max(attempt);
        self.phase = Phase::Idle;
        self.order(Action::Trim, out);
        self.refuse(planner, attempt, Refuse::StepPassed(step), out);
    }

    fn switched(&mut self, attempt: Attempt, out: &mut Vec<Output>) {
        let Phase::Committed(armed) = &self.phase else {
            return;
        };
        if armed.id.attempt != attempt {
            return;
        }
        self.step = self.step.max(armed.step);
        self.map = self
            .map
            .as_ref()
            .map(|m| m.changed(armed.id, &armed.change));
        let detail = format!("version {} from step {}", armed.id.version, armed.step);
        self.measured = RankReport::default();
        self.floor = self.floor.max(attempt);
        self.phase = Phase::Idle;
        self.event(EventKind::MapSwitched, detail, out);
        self.order(Action::Trim, out);
    }

    /// An order of the rank itself carries the highest number seen, once it is known.
    pub(super) fn order(&self, action: Action, out: &mut Vec<Output>) {
        let fence = self.fence.is_learned().then(|| self.fence.highest());
        out.push(Output::Engine(Order { fence, action }));
    }

    pub(super) fn refuse(
        &self,
        planner: RankId,
        attempt: Attempt,
        reason: Refuse,
        out: &mut Vec<Output>,
    ) {
        self.send(planner, Message::Refused { attempt, reason }, out);
    }

    pub(super) fn send(&self, to: RankId, message: Message, out: &mut Vec<Output>) {
        let from = Sender {
            rank: self.settings.rank,
            incarnation: self.settings.incarnation,
        };
        let envelope = Envelope { from, message };
        out.push(Output::Send { to, envelope });
    }

    pub(super) fn event(&self, kind: EventKind, detail: String, out: &mut Vec<Output>) {
        let event = Event::new(kind, detail).about_group(self.settings.group.clone());
        out.push(Output::Event(event));
    }

    pub(super) fn others(&self) -> impl Iterator<Item = RankId> + use<> {
        let own = self.settings.rank;
        (0..self.settings.ranks).filter(move |r| *r != own)
    }

    pub(super) fn greeted_all(&self) -> bool {
        self.greeted.len() + 1 >= self.settings.ranks as usize
    }
}
