//! The group as seen by one sidecar: finds the other ranks and drives the state machine that leads.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use eelgrasshold_core::event::{Event, EventKind};
use eelgrasshold_core::ranks::{
    Input, Leader, LeaderEvent, LeaderSettings, Order, OrderResult, Output, RankIndex, RankOrder,
    RankView, ReadScope, RolloutOutcome, order_name,
};
use eelgrasshold_core::types::Now;

use super::engine::{Engine, RankReading};
use super::links::{RemoteRank, RemoteReading};
use crate::runtime::{Clock, Timeline};

/// Interval at which a sidecar that does not lead reads its local rank.
const LOCAL_READ_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between searches for ranks of the group.
const SEARCH_INTERVAL: Duration = Duration::from_secs(2);
/// Time without an answer after which a rank is searched for again, since it may have moved to
/// another engine.
const SILENCE_LIMIT: Duration = Duration::from_secs(4);

/// Highest rank whose sidecar searches for the other ranks before it leads, since the group may be
/// holding a pass when it takes over.
const MAX_STANDBY_RANK: RankIndex = 2;

/// An engine of the service, which may be a rank of the local group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Candidate {
    pub(super) engine: SocketAddr,
    pub(super) sidecar: SocketAddr,
}

#[derive(Debug)]
struct KnownRank {
    remote: Arc<RemoteRank>,
    last_answer_at: Now,
}

/// The group of the local rank.
#[derive(Debug)]
pub(super) struct Group {
    clock: Clock,
    timeline: Timeline,
    local_engine: Engine,
    local_sidecar: SocketAddr,
    experts: usize,
    /// Age of the state that an engine reports to hosts other than its own.
    report_lag: Duration,
    leader: Mutex<Leader>,
    view: Mutex<Option<RankView>>,
    ranks: Mutex<BTreeMap<RankIndex, KnownRank>>,
    outputs: tokio::sync::mpsc::UnboundedSender<Output>,
}

impl Group {
    /// The group of the engine at `engine`. The caller must pass the items of `outputs` to
    /// [`Self::execute_output`].
    pub(super) fn new(
        clock: Clock,
        timeline: Timeline,
        engine: SocketAddr,
        sidecar: SocketAddr,
        settings: LeaderSettings,
        report_lag: Duration,
        outputs: tokio::sync::mpsc::UnboundedSender<Output>,
    ) -> Self {
        let experts = settings.layout.experts as usize;
        Self {
            clock,
            timeline,
            local_engine: Engine::new(engine, experts),
            local_sidecar: sidecar,
            experts,
            report_lag,
            leader: Mutex::new(Leader::new(clock.now(), settings)),
            view: Mutex::new(None),
            ranks: Mutex::new(BTreeMap::new()),
            outputs,
        }
    }

    /// The engine of the local rank.
    pub(super) fn local_engine(&self) -> &Engine {
        &self.local_engine
    }

    /// Passes an input to the state machine and queues its outputs.
    pub(super) fn handle_input(&self, input: Input) {
        for output in lock(&self.leader).handle(self.clock.now(), input) {
            // The receiver is dropped only when the process stops.
            let _ = self.outputs.send(output);
        }
    }

    /// Reads the local rank at intervals and drives the timer of the state machine; never returns.
    pub(super) async fn run(self: Arc<Self>) {
        let mut next_local_read = Now::ZERO;
        loop {
            let now = self.clock.now();
            let leads = lock(&self.leader).leads();
            if now >= next_local_read && !leads {
                next_local_read = now + LOCAL_READ_INTERVAL;
                if let Some(reading) = self.local_engine.read(ReadScope::View).await {
                    let before = lock(&self.view).replace(reading.view.clone());
                    if before.is_some_and(|b| b.epoch != reading.view.epoch) {
                        // Other engines may form the group in the new epoch.
                        lock(&self.ranks).clear();
                    }
                    self.handle_input(Input::OwnView(reading.view));
                }
            }
            self.handle_input(Input::Tick);
            let at = lock(&self.leader).next_tick(self.clock.now());
            tokio::time::sleep_until(self.clock.instant(at)).await;
        }
    }

    /// Executes an output of the state machine.
    pub(super) fn execute_output(self: &Arc<Self>, output: Output) {
        let group = Arc::clone(self);
        match output {
            Output::Read(rank, scope) => {
                tokio::spawn(async move { group.read(rank, scope).await });
            }
            Output::Send(order) => {
                tokio::spawn(async move { group.send_order(order).await });
            }
            Output::Event(event) => self.record_event(&event),
        }
    }

    async fn read(&self, rank: RankIndex, scope: ReadScope) {
        let requested_at = self.clock.now();
        let local_rank = lock(&self.view).as_ref().map(|v| v.rank);
        let (reading, lag) = if Some(rank) == local_rank {
            (self.local_engine.read(scope).await, Duration::ZERO)
        } else {
            let Some(remote) = self.remote_rank(rank) else {
                return;
            };
            match remote.read(local_rank, scope).await {
                Some(RemoteReading {
                    reading,
                    from_engine,
                }) if from_engine => (Some(reading), self.report_lag),
                reply => (reply.map(|r| r.reading), Duration::ZERO),
            }
        };
        let Some(RankReading { view, counts, held }) = reading else {
            return;
        };
        let requested_at = requested_at.saturating_sub(lag);
        if let Some(known) = lock(&self.ranks).get_mut(&rank) {
            known.last_answer_at = self.clock.now();
        }
        if view.rank != rank {
            // The engine is a different rank now.
            lock(&self.ranks).remove(&rank);
            return;
        }
        // The map may have changed between the reads of the state and of the held experts.
        let held = held.filter(|h| h.0 == view.map).map(|h| h.1);
        self.handle_input(Input::Read {
            requested_at,
            view,
            counts,
            held,
        });
    }

    async fn send_order(&self, order: RankOrder) {
        let local_rank = lock(&self.view).as_ref().map(|v| v.rank);
        let result = if Some(order.rank) == local_rank {
            self.local_engine.execute(&order).await
        } else {
            match self.remote_rank(order.rank) {
                Some(remote) => remote.execute(&order).await,
                None => OrderResult::Unknown,
            }
        };
        // Accepted prepare and arm orders are not recorded: the end of the rollout shows whether the
        // ranks loaded and armed in time, and an event for each rank would cost the leader of a large
        // group more than planning does.
        let routine = matches!(order.order, Order::Prepare { .. } | Order::Arm { .. });
        if !routine || result != OrderResult::Accepted {
            self.record_order(&order, result);
        }
        self.handle_input(Input::Result(order, result));
    }

    fn record_order(&self, order: &RankOrder, result: OrderResult) {
        let event = Event::new(EventKind::RankOrdered, "")
            .with("order", order_name(&order.order))
            .with("rank", order.rank)
            .with("epoch", order.epoch)
            .with("result", result.name());
        self.record(event);
    }

    fn remote_rank(&self, rank: RankIndex) -> Option<Arc<RemoteRank>> {
        lock(&self.ranks).get(&rank).map(|k| Arc::clone(&k.remote))
    }

    /// Searches for ranks of the group among the engines of the service while some are unknown or
    /// unresponsive; never returns. `list` reads the registry.
    pub(super) async fn search<F, R>(self: Arc<Self>, list: F)
    where
        F: Fn() -> R + Send,
        R: Future<Output = Vec<Candidate>> + Send,
    {
        loop {
            tokio::time::sleep(SEARCH_INTERVAL.mul_f64(rand::random_range(0.2..0.6))).await;
            if let Some(local_view) = self.view_if_incomplete() {
                self.search_once(&local_view, list().await).await;
            }
            tokio::time::sleep(SEARCH_INTERVAL).await;
        }
    }

    /// The local rank's state if ranks are unknown and the sidecar leads or may soon take over.
    fn view_if_incomplete(&self) -> Option<RankView> {
        let local_view = lock(&self.view).clone()?;
        let leads = lock(&self.leader).leads();
        if !leads && local_view.rank > MAX_STANDBY_RANK {
            return None;
        }
        let now = self.clock.now();
        let mut ranks = lock(&self.ranks);
        for known in ranks.values_mut().filter(|_| !leads) {
            // Only a leader reads the other ranks, so missing answers mean nothing here.
            known.last_answer_at = now;
        }
        ranks.retain(|_, k| now.saturating_sub(k.last_answer_at) < SILENCE_LIMIT);
        (ranks.len() + 1 < local_view.size).then_some(local_view)
    }

    async fn search_once(&self, local_view: &RankView, candidates: Vec<Candidate>) {
        let others = candidates
            .into_iter()
            .filter(|c| c.sidecar != self.local_sidecar);
        let reads = others.map(|candidate| async move {
            let remote = RemoteRank::new(candidate.engine, candidate.sidecar, self.experts);
            let reply = remote.read(None, ReadScope::View).await?;
            Some((reply.reading.view, remote))
        });
        let found = futures::future::join_all(reads).await;
        let now = self.clock.now();
        let mut ranks = lock(&self.ranks);
        for (view, remote) in found.into_iter().flatten() {
            if view.group == local_view.group && !ranks.contains_key(&view.rank) {
                let remote = Arc::new(remote);
                ranks.insert(
                    view.rank,
                    KnownRank {
                        remote,
                        last_answer_at: now,
                    },
                );
            }
        }
        let event = Event::new(EventKind::RanksFound, "")
            .with("known", ranks.len() + 1)
            .with("size", local_view.size);
        self.record(event);
    }

    fn record(&self, event: Event) {
        let group = lock(&self.view).as_ref().map(|v| v.group.clone());
        self.timeline.record(match group {
            Some(group) => event.about_group(group),
            None => event,
        });
    }

    fn record_event(&self, event: &LeaderEvent) {
        let percent = |x: f64| (x * 100.0).round() as u64;
        let event = match *event {
            LeaderEvent::LeadershipChanged(true) => Event::new(EventKind::GroupLed, ""),
            LeaderEvent::LeadershipChanged(false) => Event::new(EventKind::GroupNotLed, ""),
            LeaderEvent::Planned {
                version,
                before,
                after,
                loads,
            } => Event::new(EventKind::PlanMade, "")
                .with("version", version)
                .with("most_loaded_before_percent", percent(before))
                .with("most_loaded_after_percent", percent(after))
                .with("loads", loads),
            LeaderEvent::RolloutTakenOver { holder, pass } => {
                Event::new(EventKind::RolloutTakenOver, "")
                    .with("holder", holder)
                    .with("pass", pass)
            }
            LeaderEvent::RolloutEnded {
                version,
                pass,
                outcome,
            } => {
                let kind = match outcome {
                    RolloutOutcome::Switched => EventKind::MapSwitched,
                    _ => EventKind::PlanGivenUp,
                };
                Event::new(kind, "")
                    .with("version", version)
                    .with("pass", pass)
                    .with("outcome", outcome.name())
            }
        };
        self.record(event);
    }
}

pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
