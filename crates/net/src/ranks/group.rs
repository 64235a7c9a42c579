//! The group of one rank: who the other ranks are, and the machine that leads.

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

use super::engine::{Engine, Look};
use super::links::{Other, Seen};
use crate::runtime::{Clock, Timeline};

/// Time between two readings of the own rank by a process that does not lead.
const OWN_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two searches for the ranks of the group.
const SEARCH_INTERVAL: Duration = Duration::from_secs(2);
/// Time for which a rank may be silent before it is looked for again, since it may have moved.
const SILENCE_LIMIT: Duration = Duration::from_secs(4);

/// Ranks after the one that leads whose processes know the others in advance, since a group may
/// be waiting when they take over.
const STANDBYS: RankIndex = 2;

/// An engine of the service, which may be a rank of the own group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Candidate {
    /// Address of the engine.
    pub(super) engine: SocketAddr,
    /// Address of the process beside it.
    pub(super) process: SocketAddr,
}

#[derive(Debug)]
struct Known {
    other: Arc<Other>,
    heard: Now,
}

/// The group.
#[derive(Debug)]
pub(super) struct Group {
    clock: Clock,
    timeline: Timeline,
    own: Engine,
    own_process: SocketAddr,
    experts: usize,
    report_lag: Duration,
    leader: Mutex<Leader>,
    view: Mutex<Option<RankView>>,
    ranks: Mutex<BTreeMap<RankIndex, Known>>,
    outputs: tokio::sync::mpsc::UnboundedSender<Output>,
}

impl Group {
    /// The group of the engine at an address. The outputs of its machine go to [`Self::act`].
    pub(super) fn new(
        clock: Clock,
        timeline: Timeline,
        engine: SocketAddr,
        process: SocketAddr,
        settings: LeaderSettings,
        report_lag: Duration,
        outputs: tokio::sync::mpsc::UnboundedSender<Output>,
    ) -> Self {
        let experts = settings.layout.experts as usize;
        Self {
            clock,
            timeline,
            own: Engine::new(engine, experts),
            own_process: process,
            experts,
            report_lag,
            leader: Mutex::new(Leader::new(clock.now(), settings)),
            view: Mutex::new(None),
            ranks: Mutex::new(BTreeMap::new()),
            outputs,
        }
    }

    /// The own rank's engine.
    pub(super) fn own(&self) -> &Engine {
        &self.own
    }

    /// Gives the machine an input.
    pub(super) fn feed(&self, input: Input) {
        for output in lock(&self.leader).handle(self.clock.now(), input) {
            // The receiver lives as long as the process.
            let _ = self.outputs.send(output);
        }
    }

    /// Reads the own rank and gives the machine its time; never returns.
    pub(super) async fn run(self: Arc<Self>) {
        let mut own_at = Now::ZERO;
        loop {
            let now = self.clock.now();
            let leads = lock(&self.leader).leads();
            if now >= own_at && !leads {
                own_at = now + OWN_INTERVAL;
                if let Some(look) = self.own.look(ReadScope::View).await {
                    let before = lock(&self.view).replace(look.view.clone());
                    if before.is_some_and(|b| b.epoch != look.view.epoch) {
                        // Its ranks may be other engines now.
                        lock(&self.ranks).clear();
                    }
                    self.feed(Input::OwnView(look.view));
                }
            }
            self.feed(Input::Tick);
            let at = lock(&self.leader).next_tick(self.clock.now());
            tokio::time::sleep_until(self.clock.instant(at)).await;
        }
    }

    /// Carries out an output of the machine.
    pub(super) fn act(self: &Arc<Self>, output: Output) {
        let group = Arc::clone(self);
        match output {
            Output::Read(rank, sight) => {
                tokio::spawn(async move { group.read(rank, sight).await });
            }
            Output::Send(order) => {
                tokio::spawn(async move { group.send(order).await });
            }
            Output::Event(note) => self.note(&note),
        }
    }

    async fn read(&self, rank: RankIndex, sight: ReadScope) {
        let asked = self.clock.now();
        let me = lock(&self.view).as_ref().map(|v| v.rank);
        let (look, lag) = if Some(rank) == me {
            (self.own.look(sight).await, Duration::ZERO)
        } else {
            let Some(other) = self.other(rank) else {
                return;
            };
            match other.look(me, sight).await {
                Some(Seen { look, from_afar }) if from_afar => (Some(look), self.report_lag),
                seen => (seen.map(|s| s.look), Duration::ZERO),
            }
        };
        let Some(Look { view, counts, held }) = look else {
            return;
        };
        let asked = asked.saturating_sub(lag);
        if let Some(known) = lock(&self.ranks).get_mut(&rank) {
            known.heard = self.clock.now();
        }
        if view.rank != rank {
            // Its engine has taken another place.
            lock(&self.ranks).remove(&rank);
            return;
        }
        let held = held.filter(|h| h.0 == view.map).map(|h| h.1);
        self.feed(Input::Read {
            requested_at: asked,
            view,
            counts,
            held,
        });
    }

    async fn send(&self, order: RankOrder) {
        let me = lock(&self.view).as_ref().map(|v| v.rank);
        let result = if Some(order.rank) == me {
            self.own.carry(&order).await
        } else {
            match self.other(order.rank) {
                Some(other) => other.carry(&order).await,
                None => OrderResult::Unknown,
            }
        };
        // Which ranks loaded or armed in time is told by the end of the rollout; lines for all of
        // them would cost a large group's leader more than planning.
        let usual = matches!(order.order, Order::Prepare { .. } | Order::Arm { .. });
        if !usual || result != OrderResult::Accepted {
            self.note_order(&order, result);
        }
        self.feed(Input::Result(order, result));
    }

    fn note_order(&self, order: &RankOrder, result: OrderResult) {
        let event = Event::new(EventKind::RankOrdered, "")
            .with("order", order_name(&order.order))
            .with("rank", order.rank)
            .with("epoch", order.epoch)
            .with("result", result.name());
        self.record(event);
    }

    fn other(&self, rank: RankIndex) -> Option<Arc<Other>> {
        lock(&self.ranks).get(&rank).map(|k| Arc::clone(&k.other))
    }

    /// Looks for the ranks of the group among the engines of the service while some are unknown
    /// or silent; never returns. `list` reads the registry.
    pub(super) async fn search<F, R>(self: Arc<Self>, list: F)
    where
        F: Fn() -> R + Send,
        R: Future<Output = Vec<Candidate>> + Send,
    {
        loop {
            tokio::time::sleep(SEARCH_INTERVAL.mul_f64(rand::random_range(0.2..0.6))).await;
            if let Some(own) = self.missing() {
                self.search_once(&own, list().await).await;
            }
            tokio::time::sleep(SEARCH_INTERVAL).await;
        }
    }

    /// The own rank's state if the process leads, or may soon, and misses ranks.
    fn missing(&self) -> Option<RankView> {
        let own = lock(&self.view).clone()?;
        let leads = lock(&self.leader).leads();
        if !leads && own.rank > STANDBYS {
            return None;
        }
        let now = self.clock.now();
        let mut ranks = lock(&self.ranks);
        for known in ranks.values_mut().filter(|_| !leads) {
            // It asks nobody yet, so silence tells nothing.
            known.heard = now;
        }
        ranks.retain(|_, k| now.saturating_sub(k.heard) < SILENCE_LIMIT);
        (ranks.len() + 1 < own.size).then_some(own)
    }

    async fn search_once(&self, own: &RankView, candidates: Vec<Candidate>) {
        let others = candidates
            .into_iter()
            .filter(|c| c.process != self.own_process);
        let asking = others.map(|candidate| async move {
            let other = Other::new(candidate.engine, candidate.process, self.experts);
            let seen = other.look(None, ReadScope::View).await?;
            Some((seen.look.view, other))
        });
        let found = futures::future::join_all(asking).await;
        let now = self.clock.now();
        let mut ranks = lock(&self.ranks);
        for (view, other) in found.into_iter().flatten() {
            if view.group == own.group && !ranks.contains_key(&view.rank) {
                let other = Arc::new(other);
                ranks.insert(view.rank, Known { other, heard: now });
            }
        }
        let event = Event::new(EventKind::RanksFound, "")
            .with("known", ranks.len() + 1)
            .with("size", own.size);
        self.record(event);
    }

    fn record(&self, event: Event) {
        let group = lock(&self.view).as_ref().map(|v| v.group.clone());
        self.timeline.record(match group {
            Some(group) => event.about_group(group),
            None => event,
        });
    }

    fn note(&self, note: &LeaderEvent) {
        let percent = |x: f64| (x * 100.0).round() as u64;
        let event = match *note {
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
