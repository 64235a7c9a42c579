//! Simulated engine of a rank: holds its map, the map it is armed for and its weights.

use eelgrasshold_core::group::map::{FenceNumber, MapId, RankId, Step};
use eelgrasshold_core::group::switch::{Action, EngineEvent, EngineState, Order};

/// Immediate effect of an order.
pub enum Effect {
    /// Send the event to the process.
    Report(EngineEvent),
    /// Load a weight for a while, then send `Loaded` to the process.
    Load((u32, u32)),
    None,
}

pub struct Engine {
    pub rank: RankId,
    pub incarnation: u64,
    pub checks_fence: bool,
    pub state: EngineState,
    /// Map with which the present step was started.
    pub started: Option<MapId>,
    pub held_reported: bool,
    /// Highest number of any order, whether or not the engine checks it.
    pub highest_order: FenceNumber,
}

impl Engine {
    pub fn new(rank: RankId, incarnation: u64, checks_fence: bool) -> Self {
        Self {
            rank,
            incarnation,
            checks_fence,
            state: EngineState::default(),
            started: None,
            held_reported: false,
            highest_order: 0,
        }
    }

    pub fn report(&self, group_step: Step) -> EngineState {
        let mut state = self.state.clone();
        state.step = group_step + u64::from(self.started.is_some());
        if !self.checks_fence {
            state.highest_fence = None;
        }
        state
    }

    pub fn order(&mut self, order: Order, group_step: Step) -> Effect {
        if let Some(number) = order.fence {
            let highest = self.state.highest_fence.unwrap_or(0);
            if self.checks_fence && number < highest {
                return Effect::Report(EngineEvent::FenceRefused { highest });
            }
            self.state.highest_fence = Some(highest.max(number));
        }
        match order.action {
            Action::Load(weight) => Effect::Load(weight),
            Action::Trim => {
                self.trim();
                Effect::None
            }
            Action::Arm(armed) => {
                let attempt = armed.id.attempt;
                let next = group_step + u64::from(self.started.is_some());
                if armed.step < next || self.state.armed.is_some() {
                    return Effect::Report(EngineEvent::ArmRefused(attempt));
                }
                self.state.armed = Some(armed);
                self.held_reported = false;
                Effect::Report(EngineEvent::Armed(attempt))
            }
            Action::Commit(attempt) => {
                let Some(armed) = &mut self.state.armed else {
                    return Effect::None;
                };
                if armed.id.attempt != attempt {
                    return Effect::None;
                }
                armed.committed = true;
                Effect::Report(EngineEvent::Decided {
                    attempt,
                    commit: true,
                })
            }
            Action::Abort(attempt) => {
                if self.state.armed.as_ref().map(|a| a.id.attempt) != Some(attempt) {
                    return Effect::None;
                }
                self.state.armed = None;
                self.state.aborted = attempt;
                Effect::Report(EngineEvent::Decided {
                    attempt,
                    commit: false,
                })
            }
            Action::Install { map, next } => {
                self.state.map = Some(map);
                self.state.armed = next;
                Effect::Report(EngineEvent::Installed)
            }
        }
    }

    fn trim(&mut self) {
        let mut needed = std::collections::BTreeSet::new();
        if let Some(map) = &self.state.map {
            needed.extend(map.weights(self.rank));
        }
        if let Some(armed) = &self.state.armed {
            needed.extend(armed.change.weights(self.rank));
        }
        self.state.loaded.retain(|w| needed.contains(w));
    }

    /// Starts the group's step, unless it was already started or must be held.
    pub fn try_start(&mut self, step: Step) -> Option<EngineEvent> {
        if self.started.is_some() {
            return None;
        }
        let map = self.state.map.as_ref()?;
        match &self.state.armed {
            Some(armed) if armed.step <= step && !armed.committed => {
                let attempt = armed.id.attempt;
                let first = !self.held_reported;
                self.held_reported = true;
                first.then_some(EngineEvent::Held(attempt))
            }
            Some(armed) if armed.step <= step => {
                let attempt = armed.id.attempt;
                let new = map.with_change(armed.id, &armed.change);
                self.started = Some(new.id);
                self.state.map = Some(new);
                self.state.armed = None;
                Some(EngineEvent::Switched(attempt))
            }
            _ => {
                self.started = Some(map.id);
                None
            }
        }
    }

    pub fn missing_weight(&self) -> Option<(u32, u32)> {
        let map = self.state.map.as_ref()?;
        let weights = map.weights(self.rank);
        weights.into_iter().find(|w| !self.state.loaded.contains(w))
    }
}
