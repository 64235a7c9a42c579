//! Resolution of an attempt among the ranks when the planner's decision is missing.

use std::collections::BTreeSet;

use super::rank::{GroupRank, Phase};
use super::{Action, Message, Outcome, Output, RankState, Sender, View};
use crate::event::EventKind;
use crate::group::map::{Attempt, RankId};

impl GroupRank {
    /// Records the incarnation of a sender. Returns false if a later one is known.
    pub(super) fn observe_sender(&mut self, from: Sender, out: &mut Vec<Output>) -> bool {
        let Some(known) = self.view.get(from.rank as usize).copied() else {
            return false;
        };
        if from.incarnation < known {
            return false;
        }
        if from.incarnation > known {
            let mut view = self.view.clone();
            view[from.rank as usize] = from.incarnation;
            self.merge_view(&view, out);
        }
        !matches!(self.phase, Phase::Retired)
    }

    /// Adopts later incarnations from another rank's view.
    pub(super) fn merge_view(&mut self, view: &View, out: &mut Vec<Output>) {
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
        // Pledges and states only count together if all senders knew of the same incarnations.
        if let Some(pledges) = &mut self.pledges {
            pledges.clear();
        }
        match &mut self.phase {
            Phase::Joining(join) => {
                // The rank that the target came from may have lost it, and other ranks may choose
                // the initial map, so the choice starts again.
                join.states.clear();
                join.target = None;
                join.missing.clear();
                out.push(Output::CancelLoads);
            }
            Phase::Armed(_) => {
                self.pledges = None;
                self.start_resolving(out);
            }
            _ => {}
        }
    }

    /// Starts to collect pledges for the armed attempt from the other ranks.
    pub(super) fn start_resolving(&mut self, out: &mut Vec<Output>) {
        if matches!(self.phase, Phase::Armed(_)) && self.pledges.is_none() {
            self.pledges = Some(BTreeSet::new());
            self.ask_others(out);
            self.abort_if_pledged(out);
        }
    }

    pub(super) fn ask_others(&self, out: &mut Vec<Output>) {
        let (attempt, unanswered): (_, Vec<RankId>) = match (&self.phase, &self.pledges) {
            (Phase::Armed(armed), Some(pledges)) => {
                let unanswered = self.others().filter(|r| !pledges.contains(r)).collect();
                (Some(armed.id.attempt), unanswered)
            }
            (Phase::Joining(join), _) => {
                let states = &join.states;
                let unanswered = self.others().filter(|r| !states.contains_key(r));
                (None, unanswered.collect())
            }
            _ => {
                let unanswered = self.others().filter(|r| !self.responded.contains(r));
                (None, unanswered.collect())
            }
        };
        for to in unanswered {
            let want_map = matches!(&self.phase, Phase::Joining(join) if join.map_source == to);
            let view = self.view.clone();
            let message = Message::Ask {
                attempt,
                view,
                want_map,
            };
            self.send(to, message, out);
        }
    }

    /// Handles an `Ask` of another rank.
    pub(super) fn ask(
        &mut self,
        from: RankId,
        attempt: Option<Attempt>,
        view: &View,
        want_map: bool,
        out: &mut Vec<Output>,
    ) {
        self.merge_view(view, out);
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
            Phase::Installing => self.next_map.clone(),
            _ => None,
        };
        let known = armed.as_ref().map_or(self.closed_up_to, |a| a.id.attempt);
        RankState {
            map: self.map_id(),
            content: self.map.clone().filter(|_| want_map),
            armed,
            closed_up_to: self.closed_up_to.max(known).max(self.aborted),
            fence: self.fence.highest(),
        }
    }

    /// Outcome of an attempt as far as this rank knows. Without knowledge of a commit, it pledges
    /// not to commit.
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
            // The map being installed may include the commit of this attempt.
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
                self.closed_up_to = self.closed_up_to.max(attempt);
                Outcome::Pledged
            }
        }
    }

    /// Handles another rank's answer.
    pub(super) fn answer(
        &mut self,
        from: RankId,
        attempt: Option<Attempt>,
        outcome: Outcome,
        view: &View,
        state: RankState,
        out: &mut Vec<Output>,
    ) {
        self.merge_view(view, out);
        // An answer to an earlier incarnation of this process doesn't count for this one.
        let own = view.get(self.settings.rank as usize);
        if own != Some(&self.settings.incarnation) || matches!(self.phase, Phase::Retired) {
            return;
        }
        self.merge_closed_attempts(from, &state, out);
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

    fn merge_closed_attempts(&mut self, from: RankId, state: &RankState, out: &mut Vec<Output>) {
        if !self.responded.insert(from) {
            return;
        }
        // An earlier incarnation may have pledged against attempts that other ranks know of.
        self.closed_up_to = self.closed_up_to.max(state.closed_up_to);
        let closed_up_to = self.closed_up_to;
        if let Phase::Loading(p) | Phase::Ready(p) = &self.phase
            && p.id.attempt <= closed_up_to
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
        self.closed_up_to = self.closed_up_to.max(attempt);
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
        self.start_resolving(out);
    }
}
