//! Expert-parallel group in lock-step: a step starts on all ranks or on none.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::task::JoinHandle;

use super::ModelEngine;
use super::rank::MapId;
use super::state::Shared;

#[derive(Debug, Default)]
struct StepCounters {
    started: AtomicU64,
    held: AtomicU64,
    mixed: AtomicU64,
}

/// Task that runs the steps of a group of engines.
pub struct Group {
    steps: Arc<StepCounters>,
    task: JoinHandle<()>,
}

impl Group {
    /// Starts the lock-step, with one step per `step_time`. The whole group
    /// skips a step while any rank is stalled, down, without a map or waiting
    /// for the decision on an armed map.
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

    /// Number of steps that ran on all ranks.
    #[must_use]
    pub fn started(&self) -> u64 {
        self.steps.started.load(Ordering::Relaxed)
    }

    /// Number of steps skipped because at least one rank could not start.
    #[must_use]
    pub fn held(&self) -> u64 {
        self.steps.held.load(Ordering::Relaxed)
    }

    /// Number of steps in which ranks used different maps.
    #[must_use]
    pub fn mixed(&self) -> u64 {
        self.steps.mixed.load(Ordering::Relaxed)
    }

    /// Stops the lock-step; the engines keep running.
    pub async fn close(self) {
        self.task.abort();
        // The only possible error is the cancellation requested above.
        let _ = self.task.await;
    }
}

fn step(ranks: &[Arc<Shared>], counters: &StepCounters) {
    // Holds all locks at once, so that no order is executed between the check and the step.
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
