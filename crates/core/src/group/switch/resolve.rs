//! Settling an attempt among the ranks when the planner's decision is missing.

use std::collections::BTreeSet;

use super::rank::{GroupRank, Phase};
use super::{Action, Message, Outcome, Output, RankState, Sender, View};
use crate::event::EventKind;
use crate::group::map::{Attempt, RankId};

impl GroupRank {
    /// Notes the life of a sender. False if a later life of it is known.
    pub(super) fn see(&mut self, from: Sender, out: &mut Vec<Output>) -> bool {
        let Some(known) = self.view.get(from.rank as usize).copied() else {
            return false;
        };
        if from.incarnation < known {
            return false;
        }
        if from.incarnation > known {
            let mut view = self.view.clone();
            view[from.rank as usize] = from.incarnation;
            self.see_view(&view, out);
        }
        !matches!(self.phase, Phase::Retired)
    }

    /// Takes later lives of ranks from another rank's view.
    pub(super) fn see_view(&mut self, view: &View, out: &mut Vec<Output>) {
        if view.len() != self.view.len() {
            return;
        }
        let own = self.settings.rank as usize;
        if view[own] > self.settings.incarnation {
            self.phase = Phase::Retired;
            return;
        }
        let mut changed = false;
        for (known, seen) in self.view.iter_mut().zip(view) {
            changed |= *seen > *known;
            *known = (*known).max(*seen);
        }
        if !changed {
            return;
        }
        // Pledges and states count only if all were given in the knowledge of the same lives.
        if let Some(pledges) = &mut self.pledges {
            pledges.clear();
        }
        match &mut self.phase {
            Phase::Joining(join) => {
                // The rank that the target came from may have lost it, and others may choose
                // the group's first map, so the choice is made anew.
                join.states.clear();
                join.target = None;
                join.missing.clear();
                out.push(Output::CancelLoads);
            }
            Phase::Armed(_) => {
                self.pledges = None;
                self.start_asking(out);
            }
            _ => {}
        }
    }

    /// Asks the other ranks about the armed attempt.
    pub(super) fn start_asking(&mut self, out: &mut Vec<Output>) {
        if matches!(self.phase, Phase::Armed(_)) && self.pledges.is_none() {
            self.pledges = Some(BTreeSet::new());
            self.ask_others(out);
            self.abort_if_pledged(out);
        }
    }

    pub(super) fn ask_others(&self, out: &mut Vec<Output>) {
        let (attempt, silent): (_, Vec<RankId>) = match (&self.phase, &self.pledges) {
            (Phase::Armed(armed), Some(pledges)) => {
                let silent = self.others().filter(|r| !pledges.contains(r)).collect();
                (Some(armed.id.attempt), silent)
            }
            (Phase::Joining(join), _) => {
                let states = &join.states;
                let silent = self.others().filter(|r| !states.contains_key(r));
                (None, silent.collect())
            }
            _ => {
                let silent = self.others().filter(|r| !self.greeted.contains(r));
                (None, silent.collect())
            }
        };
        for to in silent {
            let want_map = matches!(&self.phase, Phase::Joining(join) if join.source == to);
            let view = self.view.clone();
            let message = Message::Ask {
                attempt,
                view,
                want_map,
            };
            self.send(to, message, out);
        }
    }

    /// Answers another rank.
    pub(super) fn ask(
        &mut self,
        from: RankId,
        attempt: Option<Attempt>,
        view: &View,
        want_map: bool,
        out: &mut Vec<Output>,
    ) {
        self.see_view(view, out);
        if matches!(self.phase, Phase::Retired | Phase::Starting) {
            return;
        }
        let outcome = attempt.map_or(Outcome::Undecided, |a| self.outcome(a, out));
        let state = self.rank_state(want_map);
        let view = self.view.clone();
        let answer = Message::Answer {
            attempt,
            outcome,
            view,
            state,
        };
        self.send(from, answer, out);
    }

    fn rank_state(&self, want_map: bool) -> RankState {
        let armed = match &self.phase {
            Phase::Arming { armed, .. }
            | Phase::Armed(armed)
            | Phase::Deciding(armed)
            | Phase::Committed(armed) => Some(armed.clone()),
            Phase::Installing => self.join_next.clone(),
            _ => None,
        };
        let known = armed.as_ref().map_or(self.floor, |a| a.id.attempt);
        RankState {
            map: self.map_id(),
            content: self.map.clone().filter(|_| want_map),
            armed,
            floor: self.floor.max(known).max(self.aborted),
            fence: self.fence.highest(),
        }
    }

    /// What is known of an attempt. A rank that doesn't know of a commit pledges.
    fn outcome(&mut self, attempt: Attempt, out: &mut Vec<Output>) -> Outcome {
        if self.map.as_ref().is_some_and(|m| m.id.attempt == attempt) {
            return Outcome::Committed;
        }
        if self.aborted == attempt {
            return Outcome::Aborted;
        }
        match &self.phase {
            Phase::Committed(armed) if armed.id.attempt == attempt => Outcome::Committed,
            Phase::Deciding(armed) if armed.id.attempt == attempt => Outcome::Undecided,
            // The installed map may bring the commit of this very attempt.
            Phase::Installing => Outcome::Undecided,
            Phase::Arming { armed, .. } | Phase::Armed(armed) if armed.id.attempt == attempt => {
                self.pledged = true;
                Outcome::Pledged
            }
            Phase::Loading(p) | Phase::Ready(p) if p.id.attempt == attempt => {
                self.drop_prepared(out);
                Outcome::Pledged
            }
            _ => {
                self.floor = self.floor.max(attempt);
                Outcome::Pledged
            }
        }
    }

    /// Takes another rank's answer.
    pub(super) fn answer(
        &mut self,
        from: RankId,
        attempt: Option<Attempt>,
        outcome: Outcome,
        view: &View,
        state: RankState,
        out: &mut Vec<Output>,
    ) {
        self.see_view(view, out);
        // An answer to an earlier life of this process says nothing about this one.
        let own = view.get(self.settings.rank as usize);
        if own != Some(&self.settings.incarnation) || matches!(self.phase, Phase::Retired) {
            return;
        }
        self.floor_from(from, &state, out);
        let same_view = *view == self.view;
        if let Phase::Joining(_) = &self.phase {
            return self.join_answer(from, same_view, state, out);
        }
        let Phase::Armed(armed) = &self.phase else {
            return;
        };
        if attempt != Some(armed.id.attempt) {
            return;
        }
        match outcome {
            Outcome::Committed => self.decide(true, out),
            Outcome::Aborted => self.decide(false, out),
            Outcome::Pledged if same_view => {
                if let Some(pledges) = &mut self.pledges {
                    pledges.insert(from);
                }
                self.abort_if_pledged(out);
            }
            Outcome::Pledged | Outcome::Undecided => {}
        }
    }

    fn floor_from(&mut self, from: RankId, state: &RankState, out: &mut Vec<Output>) {
        if !self.greeted.insert(from) {
            return;
        }
        // Attempts that were armed before this process started may have its earlier life's pledge.
        self.floor = self.floor.max(state.floor);
        let floor = self.floor;
        if let Phase::Loading(p) | Phase::Ready(p) = &self.phase
            && p.id.attempt <= floor
        {
            self.drop_prepared(out);
        }
    }

    fn abort_if_pledged(&mut self, out: &mut Vec<Output>) {
        let all = self.settings.ranks as usize;
        if self.pledges.as_ref().is_some_and(|p| p.len() + 1 >= all) {
            self.decide(false, out);
        }
    }

    /// Passes the decision on the armed attempt to the engine.
    pub(super) fn decide(&mut self, commit: bool, out: &mut Vec<Output>) {
        let Phase::Armed(armed) = &self.phase else {
            return;
        };
        let attempt = armed.id.attempt;
        let armed = armed.clone();
        self.phase = Phase::Deciding(armed);
        self.pledges = None;
        let action = if commit {
            Action::Commit(attempt)
        } else {
            Action::Abort(attempt)
        };
        self.order(action, out);
    }

    pub(super) fn decided(&mut self, attempt: Attempt, commit: bool, out: &mut Vec<Output>) {
        let Phase::Deciding(armed) = &self.phase else {
            return;
        };
        if armed.id.attempt != attempt {
            return;
        }
        let version = armed.id.version;
        self.floor = self.floor.max(attempt);
        if commit {
            let mut armed = armed.clone();
            armed.committed = true;
            self.phase = Phase::Committed(armed);
            let detail = format!("version {version}");
            return self.event(EventKind::SwitchCommitted, detail, out);
        }
        self.aborted = attempt;
        self.phase = Phase::Idle;
        self.event(EventKind::SwitchAborted, format!("version {version}"), out);
        self.order(Action::Trim, out);
    }

    pub(super) fn held(&mut self, attempt: Attempt, out: &mut Vec<Output>) {
        let Phase::Armed(armed) = &self.phase else {
            return;
        };
        if armed.id.attempt != attempt {
            return;
        }
        self.step = self.step.max(armed.step);
        let detail = format!("step {}, version {}", armed.step, armed.id.version);
        self.event(EventKind::StepHeld, detail, out);
        self.start_asking(out);
    }
}
