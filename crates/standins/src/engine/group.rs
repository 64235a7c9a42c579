//! Lock-step of an expert-parallel group: a step starts on all ranks or on none.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::task::JoinHandle;

use super::ModelEngine;
use super::rank::MapId;
use super::state::Shared;

/// Counts of a group's steps.
#[derive(Debug, Default)]
struct StepCounters {
    started: AtomicU64,
    held: AtomicU64,
    mixed: AtomicU64,
}

/// A running group.
pub struct Group {
    steps: Arc<StepCounters>,
    task: JoinHandle<()>,
}

impl Group {
    /// Runs the engines in lock-step, with a step in each `step_time`. A rank
    /// that is stalled, down, without a map or holds its step holds the group.
    #[must_use]
    pub fn start(engines: &[ModelEngine], step_time: Duration) -> Self {
        let steps = Arc::new(StepCounters::default());
        let ranks: Vec<_> = engines.iter().map(|e| e.shared().clone()).collect();
        let counters = steps.clone();
        let task = tokio::spawn(async move {
            loop {
                tokio::time::sleep(step_time).await;
                step(&ranks, &counters);
            }
        });
        Self { steps, task }
    }

    /// Steps that ran.
    #[must_use]
    pub fn started(&self) -> u64 {
        self.steps.started.load(Ordering::Relaxed)
    }

    /// Step times that passed without a step because a rank held it.
    #[must_use]
    pub fn held(&self) -> u64 {
        self.steps.held.load(Ordering::Relaxed)
    }

    /// Steps in which ranks used different maps.
    #[must_use]
    pub fn mixed(&self) -> u64 {
        self.steps.mixed.load(Ordering::Relaxed)
    }

    /// Ends the lock-step.
    pub async fn close(self) {
        self.task.abort();
        // The only error is the cancellation asked for.
        let _ = self.task.await;
    }
}

fn step(ranks: &[Arc<Shared>], counters: &StepCounters) {
    // All locks at once: a decision must not arrive between the check and the step.
    let mut states: Vec<_> = ranks.iter().map(|rank| rank.lock()).collect();
    let mut ranks_with_state = ranks.iter().zip(&states);
    if ranks_with_state.any(|(rank, state)| !state.can_join_step(rank.now())) {
        counters.held.fetch_add(1, Ordering::Relaxed);
        return;
    }
    let maps: Vec<Option<MapId>> = states
        .iter_mut()
        .map(|state| state.orders.rank.start_step())
        .collect();
    if maps.windows(2).any(|pair| pair[0] != pair[1]) {
        counters.mixed.fetch_add(1, Ordering::Relaxed);
    }
    counters.started.fetch_add(1, Ordering::Relaxed);
}
