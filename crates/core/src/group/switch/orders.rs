//! Orders of the planner: preparing, arming and deciding a switch.

use std::collections::BTreeSet;

use super::rank::{GroupRank, Phase, Prepared};
use super::{Action, Armed, EngineState, Message, Order, Output, Refuse, View};
use crate::event::EventKind;
use crate::group::fence::FenceError;
use crate::group::map::{Attempt, FenceNumber, MapChange, MapId, RankId, Step, Weight};

impl GroupRank {
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

    pub(super) fn poll(
        &mut self,
        planner: RankId,
        fence: FenceNumber,
        want_map: bool,
        out: &mut Vec<Output>,
    ) {
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

    pub(super) fn prepare(
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
                    self.read_engine(out);
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
        self.read_engine(out);
    }

    /// Forgets a map that is prepared but not armed, so it can't have been committed.
    pub(super) fn drop_prepared(&mut self, out: &mut Vec<Output>) {
        let (Phase::Loading(p) | Phase::Ready(p)) = &self.phase else {
            return;
        };
        self.floor = self.floor.max(p.id.attempt);
        self.phase = Phase::Idle;
        out.push(Output::CancelLoads);
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
                out.push(Output::RequestLoad {
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

    pub(super) fn load_granted(&mut self, weight: Weight, out: &mut Vec<Output>) {
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

    pub(super) fn propose(
        &mut self,
        planner: RankId,
        attempt: Attempt,
        step: Step,
        out: &mut Vec<Output>,
    ) {
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

    pub(super) fn commit(
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
        self.drop_prepared_up_to(attempt, out);
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

    pub(super) fn abort(&mut self, planner: RankId, attempt: Attempt, out: &mut Vec<Output>) {
        if !self.admit(planner, attempt, out) {
            return;
        }
        self.drop_prepared_up_to(attempt, out);
        match &self.phase {
            Phase::Armed(armed) if armed.id.attempt == attempt => self.decide(false, out),
            Phase::Armed(armed) if armed.id.attempt < attempt => self.start_asking(out),
            _ => {}
        }
    }

    /// Forgets maps of attempts that the planner has ended.
    fn drop_prepared_up_to(&mut self, attempt: Attempt, out: &mut Vec<Output>) {
        if let Phase::Loading(p) | Phase::Ready(p) = &self.phase
            && p.id.attempt <= attempt
        {
            self.drop_prepared(out);
        }
    }
}
