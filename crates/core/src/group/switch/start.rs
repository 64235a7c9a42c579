//! Start of a rank's process: reading the engine, greeting the other ranks,
//! learning the fencing number, and installing the map in a new engine.

use super::rank::{GroupRank, Join, Phase};
use super::{Action, EngineState, Output, RankState};
use crate::event::EventKind;
use crate::group::lease::{lease_key, number_of};
use crate::group::map::RankId;
use crate::platform::{Call, CallId, Reply};

impl GroupRank {
    pub(super) fn start(&mut self, out: &mut Vec<Output>) {
        self.read_engine(out);
        if !self.settings.engine_checks_fence {
            self.read_fence(out);
        }
    }

    fn read_fence(&mut self, out: &mut Vec<Output>) {
        self.next_call += 1;
        self.fence_call = Some(self.next_call);
        let key = lease_key(&self.settings.group);
        out.push(Output::Platform(self.next_call, Call::Get { key }));
    }

    pub(super) fn platform(&mut self, id: CallId, reply: &Reply, _out: &mut Vec<Output>) {
        if self.fence_call != Some(id) {
            return;
        }
        self.fence_call = None;
        match reply {
            Reply::Object { value, .. } => {
                if let Some(number) = number_of(value) {
                    self.fence.learn(number);
                }
            }
            Reply::Missing => self.fence.learn(0),
            _ => {}
        }
    }

    pub(super) fn state(&mut self, state: EngineState, out: &mut Vec<Output>) {
        self.step = self.step.max(state.step);
        // A state that was asked for earlier may be older than orders to drop weights.
        self.reads = self.reads.saturating_sub(1);
        if self.reads > 0 {
            return;
        }
        if !matches!(self.phase, Phase::Starting) {
            return self.loading_state(&state, out);
        }
        if self.settings.engine_checks_fence {
            self.fence.learn(state.highest_fence.unwrap_or(0));
        }
        self.aborted = state.aborted;
        self.floor = self.floor.max(state.aborted);
        let Some(map) = state.map else {
            let source = self.others().next().unwrap_or(0);
            self.phase = Phase::Joining(Join {
                source,
                ..Join::default()
            });
            self.ask_others(out);
            return self.choose_target(out);
        };
        self.floor = self.floor.max(map.id.attempt);
        self.map = Some(map);
        self.phase = match state.armed {
            None => Phase::Idle,
            Some(armed) if armed.committed => Phase::Committed(armed),
            Some(armed) => {
                // The earlier life may have pledged, so the planner's word no longer counts.
                self.pledged = true;
                self.floor = self.floor.max(armed.id.attempt);
                Phase::Armed(armed)
            }
        };
        self.start_asking(out);
        if !matches!(self.phase, Phase::Armed(_)) {
            self.ask_others(out);
        }
    }

    /// Whether something is unanswered, so that the retry timer must run.
    pub(super) fn waits(&self) -> bool {
        match &self.phase {
            Phase::Retired => false,
            Phase::Starting | Phase::Joining(_) => true,
            _ => !self.greeted_all() || !self.fence.is_learned() || self.pledges.is_some(),
        }
    }

    pub(super) fn retry(&mut self, out: &mut Vec<Output>) {
        if !self.fence.is_learned() && !self.settings.engine_checks_fence {
            self.read_fence(out);
        }
        match &mut self.phase {
            Phase::Retired | Phase::Starting => {}
            Phase::Joining(join) if join.target.is_some() => {}
            Phase::Joining(join) => {
                // All answered but the group was not settled, or the source didn't answer.
                let complete = join.states.len() + 1 >= self.settings.ranks as usize;
                if complete {
                    join.states.clear();
                }
                self.ask_others(out);
            }
            _ => self.ask_others(out),
        }
    }

    pub(super) fn join_answer(
        &mut self,
        from: RankId,
        same_view: bool,
        state: RankState,
        out: &mut Vec<Output>,
    ) {
        let Phase::Joining(join) = &mut self.phase else {
            return;
        };
        if same_view && join.target.is_none() {
            join.states.insert(from, state);
            self.choose_target(out);
        }
    }

    /// Chooses the group's map once all other ranks have said what they know.
    fn choose_target(&mut self, out: &mut Vec<Output>) {
        let Phase::Joining(join) = &mut self.phase else {
            return;
        };
        if join.states.len() + 1 < self.settings.ranks as usize {
            return;
        }
        let states = join.states.values();
        let newest = states.clone().filter_map(|s| s.map).max();
        let Some(newest) = newest else {
            join.target = Some((self.settings.initial_map.clone(), None));
            return self.load_target(out);
        };
        let armed = || {
            let all = states.clone().filter_map(|s| s.armed.as_ref());
            all.filter(|a| a.id > newest)
        };
        let committed = armed().find(|a| a.committed).cloned();
        if committed.is_none() && armed().next().is_some() {
            return;
        }
        let content = states.clone().find_map(|s| s.content.clone());
        match content {
            Some(map) if map.id == newest => {
                join.target = Some((map, committed));
                self.load_target(out);
            }
            _ => {
                let holder = join.states.iter().find(|(_, s)| s.map == Some(newest));
                join.source = holder.map_or(join.source, |(r, _)| *r);
            }
        }
    }

    fn load_target(&mut self, out: &mut Vec<Output>) {
        let rank = self.settings.rank;
        let Phase::Joining(join) = &mut self.phase else {
            return;
        };
        let Some((map, next)) = &join.target else {
            return;
        };
        join.missing = map.weights(rank);
        if let Some(next) = next {
            join.missing.extend(next.change.weights(rank));
        }
        join.missing.retain(|w| !join.loaded.contains(w));
        for weight in &join.missing {
            out.push(Output::RequestLoad {
                weight: *weight,
                urgent: true,
            });
        }
        self.install_if_loaded(out);
    }

    pub(super) fn install_if_loaded(&mut self, out: &mut Vec<Output>) {
        let Phase::Joining(join) = &mut self.phase else {
            return;
        };
        if !join.missing.is_empty() {
            return;
        }
        let Some((map, next)) = join.target.take() else {
            return;
        };
        self.floor = self.floor.max(map.id.attempt);
        self.map = Some(map.clone());
        self.join_next.clone_from(&next);
        self.phase = Phase::Installing;
        self.order(Action::Install { map, next }, out);
    }

    pub(super) fn installed(&mut self, out: &mut Vec<Output>) {
        if !matches!(self.phase, Phase::Installing) {
            return;
        }
        self.phase = match self.join_next.take() {
            Some(next) => Phase::Committed(next),
            None => Phase::Idle,
        };
        let version = self.map_id().unwrap_or_default().version;
        self.event(EventKind::MapInstalled, format!("version {version}"), out);
    }
}
