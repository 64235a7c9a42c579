//! Start of a rank's process: reads the engine's state, contacts the other ranks, reads the fencing
//! number, and installs the map in a new engine.

use super::rank::{GroupRank, JoinState, Phase};
use super::{Action, EngineState, Output, RankState};
use crate::event::EventKind;
use crate::group::lease::{fence_number_in, lease_key};
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

    pub(super) fn platform_reply(&mut self, id: CallId, reply: &Reply, _out: &mut Vec<Output>) {
        if self.fence_call != Some(id) {
            return;
        }
        self.fence_call = None;
        match reply {
            Reply::Object { value, .. } => {
                if let Some(number) = fence_number_in(value) {
                    self.fence.observe(number);
                }
            }
            Reply::Missing => self.fence.observe(0),
            _ => {}
        }
    }

    pub(super) fn engine_state(&mut self, state: EngineState, out: &mut Vec<Output>) {
        self.step = self.step.max(state.step);
        // If several reads are pending, this state may be older than an order to drop weights.
        self.pending_reads = self.pending_reads.saturating_sub(1);
        if self.pending_reads > 0 {
            return;
        }
        if !matches!(self.phase, Phase::Starting) {
            return self.loading_state(&state, out);
        }
        if self.settings.engine_checks_fence {
            self.fence.observe(state.highest_fence.unwrap_or(0));
        }
        self.aborted = state.aborted;
        self.closed_up_to = self.closed_up_to.max(state.aborted);
        let Some(map) = state.map else {
            let map_source = self.others().next().unwrap_or(0);
            self.phase = Phase::Joining(JoinState {
                map_source,
                ..JoinState::default()
            });
            self.ask_others(out);
            return self.choose_target(out);
        };
        self.closed_up_to = self.closed_up_to.max(map.id.attempt);
        self.map = Some(map);
        self.phase = match state.armed {
            None => Phase::Idle,
            Some(armed) if armed.committed => Phase::Committed(armed),
            Some(armed) => {
                // An earlier incarnation may have pledged, so a commit from the planner no longer
                // counts.
                self.pledged = true;
                self.closed_up_to = self.closed_up_to.max(armed.id.attempt);
                Phase::Armed(armed)
            }
        };
        self.start_resolving(out);
        if !matches!(self.phase, Phase::Armed(_)) {
            self.ask_others(out);
        }
    }

    /// Whether an answer is missing, so that the retry timer must run.
    pub(super) fn needs_retry(&self) -> bool {
        match &self.phase {
            Phase::Retired => false,
            Phase::Starting | Phase::Joining(_) => true,
            _ => !self.all_responded() || !self.fence.is_known() || self.pledges.is_some(),
        }
    }

    pub(super) fn retry(&mut self, out: &mut Vec<Output>) {
        if !self.fence.is_known() && !self.settings.engine_checks_fence {
            self.read_fence(out);
        }
        match &mut self.phase {
            Phase::Retired | Phase::Starting => {}
            Phase::Joining(join) if join.target.is_some() => {}
            Phase::Joining(join) => {
                // All ranks answered, but an attempt was not settled or the map source sent no map.
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

    /// Chooses the group's map once all other ranks have reported their state.
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
                join.map_source = holder.map_or(join.map_source, |(r, _)| *r);
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
        self.closed_up_to = self.closed_up_to.max(map.id.attempt);
        self.map = Some(map.clone());
        self.next_map.clone_from(&next);
        self.phase = Phase::Installing;
        self.order(Action::Install { map, next }, out);
    }

    pub(super) fn installed(&mut self, out: &mut Vec<Output>) {
        if !matches!(self.phase, Phase::Installing) {
            return;
        }
        self.phase = match self.next_map.take() {
            Some(next) => Phase::Committed(next),
            None => Phase::Idle,
        };
        let version = self.map_id().unwrap_or_default().version;
        self.event(EventKind::MapInstalled, format!("version {version}"), out);
    }
}
