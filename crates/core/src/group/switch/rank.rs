//! State machine of the process next to a rank's engine.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::{
    Action, Armed, Envelope, Input, Message, Order, Output, RankReport, RankState, RefusalReason,
    Sender, Timer, View,
};
use crate::event::{Event, EventKind};
use crate::group::fence::Fence;
use crate::group::map::{Attempt, ExpertMap, MapChange, MapId, RankId, Step, WeightId};
use crate::platform::CallId;
use crate::types::{GroupId, Incarnation, Now};

/// Settings of a rank's machine.
#[derive(Clone, Debug)]
pub struct RankSettings {
    /// Group that the rank belongs to.
    pub group: GroupId,
    /// Index of this rank.
    pub rank: RankId,
    /// Number of ranks in the group.
    pub ranks: u32,
    /// Incarnation of this process. It increases with each restart, and when the engine loses its
    /// state.
    pub incarnation: Incarnation,
    /// Whether the engine refuses orders with an old fencing number.
    pub engine_checks_fence: bool,
    /// Map to install if no rank of the group has one.
    pub initial_map: ExpertMap,
    /// Time after which an unanswered message is sent again.
    pub retry_every: Duration,
}

/// A map that is being prepared.
#[derive(Clone, Debug)]
pub(super) struct Prepared {
    pub id: MapId,
    pub change: MapChange,
    pub planner: RankId,
    /// Weights that are not loaded yet; none until the engine's state was read.
    pub missing: Option<BTreeSet<WeightId>>,
}

/// State collected from the other ranks while the engine has no map.
#[derive(Clone, Debug, Default)]
pub(super) struct JoinState {
    pub states: BTreeMap<RankId, RankState>,
    /// Rank that is asked for the content of the map.
    pub map_source: RankId,
    /// Map to install, and a committed one that follows it.
    pub target: Option<(ExpertMap, Option<Armed>)>,
    pub missing: BTreeSet<WeightId>,
    pub loaded: BTreeSet<WeightId>,
}

#[derive(Clone, Debug)]
pub(super) enum Phase {
    /// The engine's state isn't known.
    Starting,
    /// The engine has no map; it is collected from the other ranks.
    Joining(JoinState),
    /// The engine is installing the map.
    Installing,
    /// No attempt is in progress.
    Idle,
    /// Weights are being loaded.
    Loading(Prepared),
    /// Weights are loaded.
    Ready(Prepared),
    /// The engine was ordered to hold the switch step.
    Arming { armed: Armed, planner: RankId },
    /// The engine holds the switch step until a decision.
    Armed(Armed),
    /// The decision was passed to the engine.
    Deciding(Armed),
    /// The engine accepted the commit and has not reached the switch step.
    Committed(Armed),
    /// A later incarnation of this rank's process exists.
    Retired,
}

/// State machine of the process next to a rank's engine.
///
/// ```
/// use std::time::Duration;
/// use eelgrasshold_core::group::map::ExpertMap;
/// use eelgrasshold_core::group::switch::{
///     EngineEvent, EngineState, GroupRank, Input, Output, RankSettings,
/// };
///
/// let map = ExpertMap::initial(2, 1, 8);
/// let mut rank = GroupRank::new(RankSettings {
///     group: "drafts".into(),
///     rank: 0,
///     ranks: 2,
///     incarnation: 1,
///     engine_checks_fence: true,
///     initial_map: map.clone(),
///     retry_every: Duration::from_millis(250),
/// });
/// let out = rank.handle(Duration::ZERO, Input::Start);
/// assert!(out.iter().any(|o| matches!(o, Output::ReadEngine)));
/// let state = EngineState { map: Some(map), ..EngineState::default() };
/// let out = rank.handle(Duration::ZERO, Input::Engine(EngineEvent::State(state)));
/// // It contacts the other rank before it accepts a new map.
/// assert!(out.iter().any(|o| matches!(o, Output::Send { to: 1, .. })));
/// ```
#[derive(Clone, Debug)]
pub struct GroupRank {
    pub(super) settings: RankSettings,
    pub(super) fence: Fence,
    pub(super) fence_call: Option<CallId>,
    pub(super) next_call: CallId,
    pub(super) view: View,
    /// Attempts up to this one are no longer accepted: they are settled, refused or pledged against.
    pub(super) closed_up_to: Attempt,
    pub(super) phase: Phase,
    pub(super) map: Option<ExpertMap>,
    pub(super) step: Step,
    pub(super) aborted: Attempt,
    /// Ranks that have answered an `Ask` of this incarnation.
    pub(super) responded: BTreeSet<RankId>,
    /// Whether this rank may have pledged not to commit the armed attempt.
    pub(super) pledged: bool,
    /// Ranks that pledged not to commit the armed attempt; none unless it is being resolved.
    pub(super) pledges: Option<BTreeSet<RankId>>,
    /// Committed map that follows the one being installed.
    pub(super) next_map: Option<Armed>,
    pub(super) measured: RankReport,
    /// Requests for the engine's state that are not answered.
    pub(super) pending_reads: u32,
    pub(super) timer_at: Option<Now>,
}

impl GroupRank {
    /// Creates a machine that knows nothing of its engine.
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
            closed_up_to: Attempt::default(),
            phase: Phase::Starting,
            map: None,
            step: 0,
            aborted: Attempt::default(),
            responded: BTreeSet::new(),
            pledged: false,
            pledges: None,
            next_map: None,
            measured: RankReport::default(),
            pending_reads: 0,
            timer_at: None,
        }
    }

    /// Identity of the engine's present map, if known.
    #[must_use]
    pub fn map_id(&self) -> Option<MapId> {
        self.map.as_ref().map(|m| m.id)
    }

    /// Whether no attempt is in progress, all other ranks have answered and the fencing number is
    /// known.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        matches!(self.phase, Phase::Idle) && self.all_responded() && self.fence.is_known()
    }

    /// One-line description of the state, for logs and test reports.
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
            step,
            closed_up_to,
            view,
            ..
        } = self;
        let (fence, known) = (self.fence.highest(), self.fence.is_known());
        let responded = self.responded.len();
        format!(
            "{phase} {attempt:?} step {step} closed up to {closed_up_to:?} fence {fence} (known: {known}) \
             responded {responded} pledged {} pledges {:?} view {view:?}",
            self.pledged, self.pledges
        )
    }

    /// Handles an input at the time `now` and returns the actions for the driver.
    pub fn handle(&mut self, now: Now, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        match input {
            Input::Start => self.start(&mut out),
            Input::Engine(event) => self.engine_event(event, &mut out),
            Input::Message(envelope) => self.message(envelope, &mut out),
            Input::Platform(id, reply) => self.platform_reply(id, &reply, &mut out),
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
        if self.timer_at.is_some() || !self.needs_retry() {
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
        if matches!(self.phase, Phase::Retired) || !self.observe_sender(envelope.from, out) {
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

    pub(super) fn read_engine(&mut self, out: &mut Vec<Output>) {
        self.pending_reads += 1;
        out.push(Output::ReadEngine);
    }

    /// Sends one of the rank's own orders, with the highest number seen if it is known.
    pub(super) fn order(&self, action: Action, out: &mut Vec<Output>) {
        let fence = self.fence.is_known().then(|| self.fence.highest());
        out.push(Output::Engine(Order { fence, action }));
    }

    pub(super) fn refuse(
        &self,
        planner: RankId,
        attempt: Attempt,
        reason: RefusalReason,
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

    pub(super) fn all_responded(&self) -> bool {
        self.responded.len() + 1 >= self.settings.ranks as usize
    }
}
