//! State machine of a process that may become its group's planner.

use std::collections::{BTreeMap, BTreeSet};

use super::measured::MeasuredLoad;
use super::{CoordinatorSettings, Input, Output, Timer};
use crate::event::{Event, EventKind};
use crate::group::lease::Lease;
use crate::group::map::{
    Attempt, ExpertMap, FenceNumber, LayerMap, MapChange, MapId, RankId, Step,
};
use crate::group::planner::Planner;
use crate::group::switch::{Envelope, Message, RankReport, RefusalReason, Sender, View};
use crate::platform::{CallId, Reply};
use crate::types::{Incarnation, Now};

/// Upper bound of the margin between the latest known step and the switch step; the margin doubles
/// each time a rank has already started the switch step.
const MAX_MARGIN_STEPS: u64 = 4_096;

#[derive(Clone, Debug)]
enum Progress {
    /// Ranks load weights. Holds the next step of each rank that is ready.
    Preparing(BTreeMap<RankId, Step>),
    /// Ranks acknowledge the switch step.
    Proposing {
        step: Step,
        acked: BTreeMap<RankId, Incarnation>,
    },
}

#[derive(Clone, Debug)]
struct ActiveSwitch {
    id: MapId,
    base: MapId,
    change: MapChange,
    /// Layers that [`Input::Target`] requested, which are tried again if this attempt fails; none
    /// for a planned map.
    requested: Option<Vec<LayerMap>>,
    progress: Progress,
    give_up_at: Now,
    send_at: Now,
}

/// Result of the latest attempt, which is sent to ranks that missed it.
#[derive(Clone, Debug)]
enum SwitchResult {
    Committed {
        attempt: Attempt,
        step: Step,
        view: View,
    },
    Aborted(Attempt),
}

/// State that belongs to one fencing number.
#[derive(Clone, Debug, Default)]
struct Term {
    number: FenceNumber,
    reports: BTreeMap<RankId, RankReport>,
    measured: MeasuredLoad,
    map: Option<ExpertMap>,
    running: Option<ActiveSwitch>,
    next_poll: Now,
    poll_count: u32,
}

/// State machine of a process that may become its group's planner.
///
/// ```
/// use std::time::Duration;
/// use eelgrasshold_core::group::coordinator::{
///     CoordinatorSettings, GroupPlanner, Input, Output,
/// };
/// use eelgrasshold_core::group::lease::{LeaseSettings, lease_key};
/// use eelgrasshold_core::group::planner::PlannerSettings;
///
/// let mut planner = GroupPlanner::new(CoordinatorSettings {
///     group: "drafts".into(),
///     rank: 0,
///     ranks: 2,
///     incarnation: 1,
///     lease: LeaseSettings {
///         key: lease_key("drafts"),
///         holder: "host-1".into(),
///         incarnation: 1,
///         duration: Duration::from_secs(15),
///         poll_every: Duration::from_secs(5),
///     },
///     poll_every: Duration::from_secs(30),
///     retry_every: Duration::from_millis(500),
///     prepare_timeout: Duration::from_secs(120),
///     propose_timeout: Duration::from_secs(5),
///     margin_steps: 64,
///     planner: PlannerSettings::default(),
/// });
/// let out = planner.handle(Duration::ZERO, Input::Start);
/// // It reads the lease first.
/// assert!(out.iter().any(|o| matches!(o, Output::Platform(..))));
/// ```
#[derive(Clone, Debug)]
pub struct GroupPlanner {
    settings: CoordinatorSettings,
    lease: Lease,
    term: Option<Term>,
    // Kept across terms, since a lapsed lease may be acquired again under the same number.
    sequence: u64,
    ended: Option<SwitchResult>,
    target: Option<Vec<LayerMap>>,
    planner: Planner,
    margin_steps: u64,
}

impl GroupPlanner {
    /// Creates a planner that doesn't hold the lease.
    #[must_use]
    pub fn new(settings: CoordinatorSettings) -> Self {
        Self {
            lease: Lease::new(settings.lease.clone()),
            margin_steps: settings.margin_steps.max(1),
            planner: Planner::new(settings.planner.clone(), settings.ranks),
            settings,
            term: None,
            sequence: 0,
            ended: None,
            target: None,
        }
    }

    /// Fencing number if the lease is held at `now`.
    #[must_use]
    pub fn holds_lease(&self, now: Now) -> Option<FenceNumber> {
        self.lease.held(now)
    }

    /// One-line description of the state, for logs and test reports.
    #[must_use]
    pub fn summary(&self) -> String {
        let Some(term) = &self.term else {
            return "no term".into();
        };
        let running = term.running.as_ref().map(|r| (r.id.attempt, &r.progress));
        let map = term.map.as_ref().map(|m| m.id);
        let reports: Vec<_> = term.reports.iter().map(|(r, p)| (r, p.map)).collect();
        let (wanted, ended) = (self.target.is_some(), &self.ended);
        format!(
            "number {} sequence {} running {running:?} wanted {wanted} map {map:?} \
             reports {reports:?} ended {ended:?} next poll {:?}",
            term.number, self.sequence, term.next_poll
        )
    }

    /// Handles an input at the time `now` and returns the actions for the driver.
    pub fn handle(&mut self, now: Now, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        let mut set_timer = false;
        if let Input::Platform(id, reply) = &input {
            self.platform_reply(now, *id, reply.clone(), &mut out);
        }
        self.check_lease(now, &mut out);
        match input {
            Input::Message(envelope) => self.message(now, envelope, &mut out),
            Input::Target(layers) => self.target = Some(layers),
            Input::Start | Input::Timer(Timer::Tick) => set_timer = true,
            Input::Platform(..) => {}
        }
        if set_timer {
            self.tick(now, &mut out);
            let at = now + self.settings.retry_every;
            let timer = Timer::Tick;
            out.push(Output::SetTimer { at, timer });
        }
        out
    }

    fn platform_reply(&mut self, now: Now, id: CallId, reply: Reply, out: &mut Vec<Output>) {
        if let Some((id, call)) = self.lease.reply(now, id, reply) {
            out.push(Output::Platform(id, call));
        }
    }

    /// Starts or ends the term if the lease was acquired or lost. Nothing is sent to ranks without
    /// a term.
    fn check_lease(&mut self, now: Now, out: &mut Vec<Output>) {
        let held = self.lease.held(now);
        let number = self.term.as_ref().map(|t| t.number);
        if held == number {
            return;
        }
        if let Some(number) = number {
            self.event(
                EventKind::LeaseLost,
                format!("fencing number {number}"),
                out,
            );
        }
        if let Some(running) = self.term.take().and_then(|t| t.running) {
            self.ended = Some(SwitchResult::Aborted(running.id.attempt));
            self.target = self.target.take().or(running.requested);
        }
        self.term = held.map(|number| Term {
            number,
            ..Term::default()
        });
        if let Some(number) = held {
            // Measurements from an earlier term are too old to plan with.
            self.planner = Planner::new(self.settings.planner.clone(), self.settings.ranks);
            self.event(
                EventKind::LeaseAcquired,
                format!("fencing number {number}"),
                out,
            );
        }
    }

    fn tick(&mut self, now: Now, out: &mut Vec<Output>) {
        if let Some((id, call)) = self.lease.tick(now) {
            out.push(Output::Platform(id, call));
        }
        let Some(term) = &mut self.term else { return };
        match &term.running {
            Some(running) if now >= running.give_up_at => {
                self.give_up(now, "ranks did not answer within the time limit", out);
            }
            Some(running) if now >= running.send_at => self.send_running(now, out),
            None if now >= term.next_poll => self.poll(now, out),
            Some(_) | None => {}
        }
    }

    fn poll(&mut self, now: Now, out: &mut Vec<Output>) {
        let ranks = self.settings.ranks;
        let Some(term) = &mut self.term else { return };
        let reported = term.reports.values().next().map(|r| r.map);
        let map_unknown = term.map.as_ref().map(|m| m.id) != reported || reported.is_none();
        let source = term.poll_count % ranks.max(1);
        term.poll_count = term.poll_count.wrapping_add(1);
        term.reports.clear();
        term.next_poll = now + self.settings.retry_every * 2;
        let fence = term.number;
        for to in 0..ranks {
            let want_map = map_unknown && to == source;
            self.send(to, Message::Poll { fence, want_map }, out);
        }
    }

    fn message(&mut self, now: Now, envelope: Envelope, out: &mut Vec<Output>) {
        let from = envelope.from;
        match envelope.message {
            Message::Report(report) => self.report(now, from.rank, report, out),
            Message::Ready { attempt, step } => self.ready(now, from.rank, attempt, step, out),
            Message::Acked { attempt, step } => self.acked(now, from, attempt, step, out),
            Message::Refused { attempt, reason } => self.refused(now, attempt, reason, out),
            _ => {}
        }
    }

    fn report(&mut self, now: Now, from: RankId, mut report: RankReport, out: &mut Vec<Output>) {
        let Some(term) = &mut self.term else { return };
        if let Some(map) = report.content.take() {
            term.map = Some(map);
        }
        if !report.settled && term.running.is_none() {
            return self.send_ended(from, out);
        }
        term.measured.add(from, &report);
        term.reports.insert(from, report);
        self.plan_if_complete(now, out);
    }

    /// Sends the result of the latest attempt to a rank that is not settled.
    fn send_ended(&self, to: RankId, out: &mut Vec<Output>) {
        let Some(ended) = self.ended.clone() else {
            return;
        };
        let message = match ended {
            SwitchResult::Committed {
                attempt,
                step,
                view,
            } => Message::Commit {
                attempt,
                step,
                view,
            },
            SwitchResult::Aborted(attempt) => Message::Abort { attempt },
        };
        self.send(to, message, out);
    }

    fn plan_if_complete(&mut self, now: Now, out: &mut Vec<Output>) {
        let Some(term) = &mut self.term else { return };
        if term.running.is_some() || term.reports.len() < self.settings.ranks as usize {
            return;
        }
        let Some(map) = &term.map else { return };
        if term.reports.values().any(|r| r.map != map.id) {
            return;
        }
        term.next_poll = now + self.settings.poll_every;
        if let Some((counts, work)) = term.measured.take(map) {
            self.planner.observe(&counts);
            self.planner.observe_speed(&work);
        }
        let planned = || self.planner.plan(map).map(|p| p.layers);
        let requested = self.target.take();
        let Some(target) = requested.clone().or_else(planned) else {
            return;
        };
        let change = map.change_to(&target);
        if change.layers.is_empty() {
            return;
        }
        self.sequence += 1;
        let attempt = Attempt {
            fence: term.number,
            sequence: self.sequence,
        };
        let id = MapId {
            version: map.id.version + 1,
            attempt,
        };
        let detail = format!("version {}, {} layers", id.version, change.layers.len());
        term.running = Some(ActiveSwitch {
            id,
            base: map.id,
            change,
            requested,
            progress: Progress::Preparing(BTreeMap::new()),
            give_up_at: now + self.settings.prepare_timeout,
            send_at: now,
        });
        self.event(EventKind::PlanMade, detail, out);
        self.send_running(now, out);
    }

    /// Sends the message of the current phase to the ranks that have not answered it.
    fn send_running(&mut self, now: Now, out: &mut Vec<Output>) {
        let retry_every = self.settings.retry_every;
        let Some(running) = self.term.as_mut().and_then(|t| t.running.as_mut()) else {
            return;
        };
        running.send_at = now + retry_every;
        let attempt = running.id.attempt;
        let (message, answered): (_, BTreeSet<RankId>) = match &running.progress {
            Progress::Preparing(ready) => {
                let message = Message::Prepare {
                    id: running.id,
                    base: running.base,
                    change: running.change.clone(),
                };
                (message, ready.keys().copied().collect())
            }
            Progress::Proposing { step, acked } => {
                let step = *step;
                let message = Message::Propose { attempt, step };
                (message, acked.keys().copied().collect())
            }
        };
        for to in (0..self.settings.ranks).filter(|r| !answered.contains(r)) {
            self.send(to, message.clone(), out);
        }
    }

    fn ready(
        &mut self,
        now: Now,
        from: RankId,
        attempt: Attempt,
        step: Step,
        out: &mut Vec<Output>,
    ) {
        let Some(running) = self.term.as_mut().and_then(|t| t.running.as_mut()) else {
            return;
        };
        let Progress::Preparing(ready) = &mut running.progress else {
            return;
        };
        if running.id.attempt != attempt {
            return;
        }
        ready.insert(from, step);
        if ready.len() < self.settings.ranks as usize {
            return;
        }
        let latest = ready.values().copied().max().unwrap_or(step);
        let step = latest + self.margin_steps;
        let detail = format!("version {} at step {step}", running.id.version);
        running.progress = Progress::Proposing {
            step,
            acked: BTreeMap::new(),
        };
        running.give_up_at = now + self.settings.propose_timeout;
        self.event(EventKind::SwitchProposed, detail, out);
        self.send_running(now, out);
    }

    fn acked(
        &mut self,
        now: Now,
        from: Sender,
        attempt: Attempt,
        step: Step,
        out: &mut Vec<Output>,
    ) {
        let ranks = self.settings.ranks as usize;
        let Some(term) = &mut self.term else { return };
        let Some(running) = &mut term.running else {
            return;
        };
        let Progress::Proposing {
            step: proposed,
            acked,
        } = &mut running.progress
        else {
            return;
        };
        if running.id.attempt != attempt || *proposed != step {
            return;
        }
        acked.insert(from.rank, from.incarnation);
        if acked.len() < ranks {
            return;
        }
        let view: View = acked.values().copied().collect();
        term.running = None;
        self.ended = Some(SwitchResult::Committed {
            attempt,
            step,
            view,
        });
        term.next_poll = now + self.settings.retry_every;
        self.margin_steps = self.settings.margin_steps.max(1);
        for to in 0..self.settings.ranks {
            self.send_ended(to, out);
        }
    }

    fn refused(
        &mut self,
        now: Now,
        attempt: Attempt,
        reason: RefusalReason,
        out: &mut Vec<Output>,
    ) {
        let Some(term) = &mut self.term else { return };
        if attempt.fence != term.number {
            return;
        }
        if let RefusalReason::Stale(highest) = reason {
            self.lease.observe_number(highest);
            return self.check_lease(now, out);
        }
        if let RefusalReason::Superseded(closed) = reason {
            if closed.fence > term.number {
                self.lease.observe_number(closed.fence);
                return self.check_lease(now, out);
            }
            if closed.fence == term.number {
                self.sequence = self.sequence.max(closed.sequence);
            }
        }
        if term.running.as_ref().map(|r| r.id.attempt) != Some(attempt) {
            return;
        }
        match reason {
            RefusalReason::Starting => {}
            RefusalReason::StepPassed(_) => {
                self.margin_steps = (self.margin_steps * 2).min(MAX_MARGIN_STEPS);
                self.give_up(now, "the switch step was already started", out);
            }
            _ => self.give_up(now, "a rank refused it", out),
        }
    }

    /// Aborts an attempt that was not committed. Requested layers stay the target.
    fn give_up(&mut self, now: Now, reason: &str, out: &mut Vec<Output>) {
        let Some(term) = &mut self.term else { return };
        let Some(running) = term.running.take() else {
            return;
        };
        self.ended = Some(SwitchResult::Aborted(running.id.attempt));
        term.next_poll = now + self.settings.retry_every;
        self.target = self.target.take().or(running.requested);
        let detail = format!("version {}: {reason}", running.id.version);
        self.event(EventKind::PlanGivenUp, detail, out);
        for to in 0..self.settings.ranks {
            self.send_ended(to, out);
        }
    }

    fn send(&self, to: RankId, message: Message, out: &mut Vec<Output>) {
        let from = Sender {
            rank: self.settings.rank,
            incarnation: self.settings.incarnation,
        };
        let envelope = Envelope { from, message };
        out.push(Output::Send { to, envelope });
    }

    fn event(&self, kind: EventKind, detail: String, out: &mut Vec<Output>) {
        let event = Event::new(kind, detail).about_group(self.settings.group.clone());
        out.push(Output::Event(event));
    }
}
