//! Handling of events from the engine.

use super::rank::{GroupRank, Phase};
use super::{Action, EngineEvent, Message, Output, RankReport, RefusalReason};
use crate::event::EventKind;
use crate::group::map::{Attempt, WeightId};

impl GroupRank {
    pub(super) fn engine_event(&mut self, event: EngineEvent, out: &mut Vec<Output>) {
        match event {
            EngineEvent::State(state) => self.engine_state(state, out),
            EngineEvent::Loaded(weight) => self.loaded(weight, out),
            EngineEvent::Armed(attempt) => self.armed(attempt, out),
            EngineEvent::ArmRefused(attempt) => self.arm_refused(attempt, out),
            EngineEvent::Decided { attempt, commit } => self.decided(attempt, commit, out),
            EngineEvent::Held(attempt) => self.held(attempt, out),
            EngineEvent::Switched(attempt) => self.switched(attempt, out),
            EngineEvent::Installed => self.installed(out),
            EngineEvent::FenceRefused { highest } => self.fence.observe(highest),
            EngineEvent::Measured(report) => self.measure(&report),
        }
    }

    /// Adds measurements of the present map. Those of another map are dropped, since its slots hold
    /// other experts.
    fn measure(&mut self, report: &RankReport) {
        self.step = self.step.max(report.step);
        if Some(report.map) == self.map_id() {
            self.measured.add(report);
        }
    }

    fn loaded(&mut self, weight: WeightId, out: &mut Vec<Output>) {
        match &mut self.phase {
            Phase::Loading(p) => {
                if let Some(missing) = &mut p.missing
                    && missing.remove(&weight)
                    && missing.is_empty()
                {
                    p.missing = None;
                    self.read_engine(out);
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
        self.closed_up_to = self.closed_up_to.max(attempt);
        self.phase = Phase::Idle;
        self.order(Action::Trim, out);
        self.refuse(planner, attempt, RefusalReason::StepPassed(step), out);
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
            .map(|m| m.with_change(armed.id, &armed.change));
        let detail = format!("version {} from step {}", armed.id.version, armed.step);
        self.measured = RankReport::default();
        self.closed_up_to = self.closed_up_to.max(attempt);
        self.phase = Phase::Idle;
        self.event(EventKind::MapSwitched, detail, out);
        self.order(Action::Trim, out);
    }
}
