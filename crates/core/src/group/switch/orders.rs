//! Handling of the planner's messages: preparing, arming and deciding a switch.

use std::collections::BTreeSet;

use super::rank::{GroupRank, Phase, Prepared};
use super::{Action, Armed, EngineState, Message, Order, Output, RefusalReason, View};
use crate::event::EventKind;
use crate::group::fence::FenceError;
use crate::group::map::{Attempt, FenceNumber, MapChange, MapId, RankId, Step, WeightId};

impl GroupRank {
    /// Checks a planner's fencing number, and answers with a refusal if it is not admitted.
    fn admit(&mut self, planner: RankId, attempt: Attempt, out: &mut Vec<Output>) -> bool {
        let reason = match self.fence.admit(attempt.fence) {
            Ok(()) if self.all_responded() => return true,
            Ok(()) | Err(FenceError::Unknown) => RefusalReason::Starting,
            Err(FenceError::Stale { highest, .. }) => {
                let detail = format!("fencing number {} is below {highest}", attempt.fence);
                self.event(EventKind::OrderRefused, detail, out);
                RefusalReason::Stale(highest)
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

    /// Drops or resolves an attempt that an earlier planner started.
    fn settle_older(&mut self, fence: FenceNumber, out: &mut Vec<Output>) {
        match &self.phase {
            Phase::Loading(p) | Phase::Ready(p) if p.id.attempt.fence < fence => {
                self.drop_prepared(out);
            }
            Phase::Armed(armed) if armed.id.attempt.fence < fence => self.start_resolving(out),
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
                // `Prepare` was sent again. The state is read again, so that `Ready` carries the
                // current step.
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
                    self.refuse(planner, attempt, RefusalReason::Busy(busy), out);
                }
                return;
            }
            _ => return self.refuse(planner, attempt, RefusalReason::Starting, out),
        }
        if attempt <= self.closed_up_to {
            return self.refuse(
                planner,
                attempt,
                RefusalReason::Superseded(self.closed_up_to),
                out,
            );
        }
        self.drop_prepared(out);
        let present = self.map_id().unwrap_or_default();
        if base != present {
            return self.refuse(planner, attempt, RefusalReason::WrongBase(present), out);
        }
        self.phase = Phase::Loading(Prepared {
            id,
            change,
            planner,
            missing: None,
        });
        self.read_engine(out);
    }

    /// Discards a prepared map. It can't have been committed, since it isn't armed.
    pub(super) fn drop_prepared(&mut self, out: &mut Vec<Output>) {
        let (Phase::Loading(p) | Phase::Ready(p)) = &self.phase else {
            return;
        };
        self.closed_up_to = self.closed_up_to.max(p.id.attempt);
        self.phase = Phase::Idle;
        out.push(Output::CancelLoads);
        self.order(Action::Trim, out);
    }

    /// Checks the engine's state for the weights of the prepared map.
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

    pub(super) fn load_granted(&mut self, weight: WeightId, out: &mut Vec<Output>) {
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
            _ if attempt <= self.closed_up_to => {
                self.refuse(
                    planner,
                    attempt,
                    RefusalReason::Superseded(self.closed_up_to),
                    out,
                );
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
        // A process that restarted after it acknowledged no longer knows the map.
        let same_incarnations =
            view.len() == self.view.len() && view.iter().zip(&self.view).all(|(a, b)| a >= b);
        if self.pledged || armed.id.attempt != attempt || armed.step != step {
            return;
        }
        if !same_incarnations {
            return self.start_resolving(out);
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
            Phase::Armed(armed) if armed.id.attempt < attempt => self.start_resolving(out),
            _ => {}
        }
    }

    /// Discards prepared maps of attempts that the planner has ended.
    fn drop_prepared_up_to(&mut self, attempt: Attempt, out: &mut Vec<Output>) {
        if let Phase::Loading(p) | Phase::Ready(p) = &self.phase
            && p.id.attempt <= attempt
        {
            self.drop_prepared(out);
        }
    }
}
