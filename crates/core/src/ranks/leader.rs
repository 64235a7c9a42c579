//! The process beside a rank: when it leads, what it reads, and when it plans.
//!
//! The process of the lowest rank that is alive leads. It reads the others' ranks through their
//! own processes, which is free; those that are asked by a lower rank stay passive. Two leaders
//! at once do no harm, see [`super::rollout`].

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::balance::{self, MapPlan, PlanLimits};
use super::demand::Demand;
use super::rollout::{Order, OrderResult, RankOrder, Rollout, RolloutOutcome, RolloutParams};
use super::{
    Expert, GroupEpoch, GroupMap, MAX_ORDER_DELAY, MapVersion, NEVER_ARMED, Pass, RankIndex,
    RankView, Seen, VERSION_STEP,
};
use crate::gateway::routes::ExpertLayout;
use crate::types::Now;

/// Time between two readings of all ranks. Popularity jumps every few seconds, and what is lost
/// until a jump is seen can't be made good.
const POLL: Duration = Duration::from_millis(125);
/// Counts that the process that leads takes in a second; each is about three bytes. In a large group
/// more would fill the link of its host, and orders would wait behind them.
const MAX_COUNTS_PER_S: f64 = 180_000.0;
/// Time without a question of a lower rank after which a process leads: six readings. Two that lead
/// at once do no harm, and a group may be waiting for one that is silent.
const LEADER_SILENCE: Duration = Duration::from_millis(750);
/// Further time for each rank, so that the lowest one that is alive leads alone.
const LEADER_STAGGER: Duration = Duration::from_millis(150);
/// Time for which a held pass may wait before another process finishes the rollout.
const HELD_LIMIT: Duration = Duration::from_millis(600);
/// Numbers of experts that a rank may load in one rollout, of which the best is taken: a few bring
/// the most popular ones to more ranks soon, more even out the rest.
const LOAD_CHOICES: [usize; 3] = [1, 2, 4];
/// Least passes between the choice of a pass and its beginning, in which all ranks are armed.
const ARM_PASSES: Pass = 2;
/// Least time for that, which counts where passes are short: a few calls to each rank.
const ARM_TIME: Duration = Duration::from_millis(90);
/// The same time where orders get lost: a few tries each of the hold, the arming and the release.
const LOSSY_ARM_TIME: Duration = Duration::from_millis(400);
/// Time after an order got lost in which others are expected to: a fault of the network lasts some
/// seconds.
const LOSSY_MEMORY: Duration = Duration::from_secs(4);
/// Time beyond that of loading after which ranks are armed. A rank that is armed too early refuses,
/// and the group would wait for it.
const LOADED_MARGIN: Duration = Duration::from_millis(15);
/// Most passes that are left for arming.
const MAX_ARM_PASSES: Pass = 16;
/// Passes that a new life of a process stays clear of, since orders of an earlier life may still
/// be carried out for them: those between a choice and its pass, and a few that choices in a row
/// may add.
const CLEAR_PASSES: Pass = MAX_ARM_PASSES + 8;
/// Time from a plan to its effect beside the loading.
const SWITCH_TIME: Duration = Duration::from_millis(250);
/// Part by which passes are slower while experts are loaded.
const LOADING_SLOWDOWN: f64 = 0.15;
/// Time over which a better map pays, since popularity changes.
const HORIZON: Duration = Duration::from_secs(4);
/// Time of passes that a rollout must save beyond its cost, in seconds, so that noise moves nothing
/// and an idle group copies nothing.
const LEAST_SAVING_S: f64 = 0.1;
/// Weight of a new pass in the mean time of passes.
const PASS_GAIN: f64 = 0.2;
/// Longest time of a pass that counts; a longer one was no pass of a busy group.
const LONGEST_PASS_S: f64 = 0.4;
/// Time between two steps of a process that does not lead.
const IDLE_TICK: Duration = Duration::from_millis(250);
/// Shortest time between two steps.
const SHORTEST_TICK: Duration = Duration::from_millis(5);
/// Pause after a rollout that was given up.
const PAUSE: Duration = Duration::from_millis(800);

/// What a process is told at its start.
#[derive(Clone, Debug)]
pub struct LeaderSettings {
    /// Experts of the group.
    pub layout: ExpertLayout,
    /// Time of a pass without any request.
    pub fixed_pass: Duration,
    /// The group's processes start for the first time, so no order of an earlier life is on its way.
    pub first_start: bool,
    /// Milliseconds since 1970 at the start. Versions come from it, so that two lives of a
    /// process never use the same one.
    pub started_ms: u64,
    /// Seed.
    pub seed: u64,
}

/// What is read of a rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReadScope {
    /// Its state.
    View,
    /// Its state and the counts of its experts.
    Counts,
    /// Its state and the experts that it holds.
    HeldExperts,
}

/// What the machine is told.
#[derive(Clone, Debug)]
pub enum Input {
    /// State of the own rank at the start, or after it was unknown.
    OwnView(RankView),
    /// A process of this rank asked for the state of the own rank.
    PolledBy(RankIndex),
    /// A rank's state, with what else was read.
    Read {
        /// When it was asked for; the state is not older.
        requested_at: Now,
        /// State.
        view: RankView,
        /// How often each expert was chosen since the rank started, by set.
        counts: Option<Vec<Vec<u64>>>,
        /// Experts that it holds, by set.
        held: Option<Vec<BTreeSet<Expert>>>,
    },
    /// What became of an order.
    Result(RankOrder, OrderResult),
    /// Time passed.
    Tick,
}

/// What the driver shall do.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Read a rank; [`Input::Read`] follows unless it can't be reached.
    Read(RankIndex, ReadScope),
    /// Give an order; [`Input::Result`] always follows.
    Send(RankOrder),
    /// Something to log.
    Event(LeaderEvent),
}

/// Decisions and beliefs, for logs.
#[derive(Clone, Debug, PartialEq)]
pub enum LeaderEvent {
    /// The process leads the group, or does so no more.
    LeadershipChanged(bool),
    /// A map was planned: work of the most loaded rank against the mean before and after, and the
    /// most experts that a rank loads.
    Planned {
        /// Version.
        version: MapVersion,
        /// Before.
        before: f64,
        /// After.
        after: f64,
        /// Loads.
        loads: usize,
    },
    /// A rollout of another process is finished.
    RolloutTakenOver {
        /// Rank that holds.
        holder: RankIndex,
        /// Held pass.
        pass: Pass,
    },
    /// A rollout ended.
    RolloutEnded {
        /// Version.
        version: MapVersion,
        /// Pass that was held.
        pass: Pass,
        /// How.
        outcome: RolloutOutcome,
    },
}

/// The process beside a rank.
#[derive(Clone, Debug)]
pub struct Leader {
    settings: LeaderSettings,
    born: Now,
    rng: SmallRng,
    me: Option<RankIndex>,
    size: usize,
    epoch: GroupEpoch,
    seen: BTreeMap<RankIndex, Seen>,
    held: BTreeMap<RankIndex, (MapVersion, Vec<BTreeSet<Expert>>)>,
    demand: Demand,
    /// Map in use, with its version.
    present: Option<(MapVersion, Arc<GroupMap>)>,
    /// Map of a rollout that was released.
    expected: Option<(MapVersion, Arc<GroupMap>)>,
    rollout: Option<Rollout>,
    highest: MapVersion,
    asked_at: Now,
    leads: bool,
    next_poll: Now,
    next_plan: Now,
    /// The last pass and when it began, for stalls.
    last_pass: (Pass, Now),
    /// Mean time of a pass, in seconds.
    pass_s: f64,
    /// The last pass that this process held.
    last_held: Pass,
    /// The group's life began while this process ran, so no order of an earlier life of the process
    /// fits it.
    saw_epoch_begin: bool,
    /// When an order last got lost.
    last_lost: Option<Now>,
    out: Vec<Output>,
}

impl Leader {
    /// A process that starts at `now` and knows nothing of its group yet.
    #[must_use]
    pub fn new(now: Now, settings: LeaderSettings) -> Self {
        Self {
            born: now,
            rng: SmallRng::seed_from_u64(settings.seed),
            me: None,
            size: 0,
            epoch: 0,
            seen: BTreeMap::new(),
            held: BTreeMap::new(),
            demand: Demand::default(),
            present: None,
            expected: None,
            rollout: None,
            highest: 0,
            asked_at: Now::ZERO,
            leads: false,
            next_poll: Now::ZERO,
            next_plan: Now::ZERO,
            last_pass: (0, Now::ZERO),
            pass_s: 0.0,
            last_held: 0,
            saw_epoch_begin: false,
            last_lost: None,
            out: Vec::new(),
            settings,
        }
    }

    /// Takes an input at the time `now` and returns what the driver shall do.
    pub fn handle(&mut self, now: Now, input: Input) -> Vec<Output> {
        match input {
            Input::OwnView(view) => {
                if self.me.is_none() {
                    // Gives the processes of lower ranks time to ask first.
                    self.asked_at = now;
                }
                self.me = Some(view.rank);
                self.size = view.size;
                self.read(now, now, view, None, None);
            }
            Input::PolledBy(rank) => {
                if self.me.is_some_and(|me| rank < me) {
                    self.asked_at = now;
                }
            }
            Input::Read {
                requested_at,
                view,
                counts,
                held,
            } => self.read(now, requested_at, view, counts, held),
            Input::Result(order, result) => {
                if result == OrderResult::Unknown {
                    self.last_lost = Some(now);
                }
                if let Some(rollout) = &mut self.rollout {
                    rollout.result(now, &order, result);
                }
            }
            Input::Tick => {}
        }
        self.step(now);
        std::mem::take(&mut self.out)
    }

    /// When the next [`Input::Tick`] is due at the latest.
    #[must_use]
    pub fn next_tick(&self, now: Now) -> Now {
        let step = now
            + if self.leads {
                self.poll_interval()
            } else {
                IDLE_TICK
            };
        let poll = if self.leads { self.next_poll } else { step };
        let order = self.rollout.as_ref().and_then(Rollout::next_at);
        let earliest = order.unwrap_or(step).min(poll).min(step);
        earliest.max(now + SHORTEST_TICK)
    }

    /// Whether this process leads its group.
    #[must_use]
    pub fn leads(&self) -> bool {
        self.leads
    }

    fn step(&mut self, now: Now) {
        let Some(me) = self.me else {
            return;
        };
        let silence = LEADER_SILENCE + LEADER_STAGGER * u32::try_from(me).unwrap_or(u32::MAX);
        let leads = me == 0 || now.saturating_sub(self.asked_at) >= silence;
        if leads != self.leads {
            self.leads = leads;
            self.out
                .push(Output::Event(LeaderEvent::LeadershipChanged(leads)));
        }
        // A rollout that may hold the group is finished also by a process that leads no more.
        if self.rollout.is_some() {
            self.advance(now);
        }
        if !leads {
            return;
        }
        self.poll(now);
        if self.rollout.is_none() && !self.finish_other(now, me) {
            self.plan(now, me);
        }
    }

    /// Time between two readings of all ranks.
    fn poll_interval(&self) -> Duration {
        let layout = &self.settings.layout;
        let counts = self.size as f64 * f64::from(layout.sets) * f64::from(layout.experts);
        POLL.max(Duration::from_secs_f64(counts / MAX_COUNTS_PER_S))
    }

    fn poll(&mut self, now: Now) {
        if now < self.next_poll {
            return;
        }
        self.next_poll = now + self.poll_interval();
        self.demand.fold();
        let known = |rank: &RankIndex| {
            let version = self.seen.get(rank).map(|s| s.view.map);
            self.held.get(rank).map(|h| h.0) == version
        };
        let needs_maps = self.present.is_none();
        for rank in 0..self.size {
            let sight = if needs_maps && !known(&rank) {
                ReadScope::HeldExperts
            } else {
                ReadScope::Counts
            };
            self.out.push(Output::Read(rank, sight));
        }
    }

    fn advance(&mut self, now: Now) {
        let begun = self.last_pass.0;
        let Some(rollout) = &mut self.rollout else {
            return;
        };
        for order in rollout.orders(now, begun) {
            self.out.push(Output::Send(order));
        }
        for rank in rollout.unclear() {
            self.out.push(Output::Read(rank, ReadScope::View));
        }
        let Some(outcome) = rollout.ended() else {
            return;
        };
        let (version, pass) = (rollout.version(), rollout.pass());
        if Some(rollout.holder()) == self.me {
            self.last_held = self.last_held.max(pass);
        }
        if outcome == RolloutOutcome::Switched && !rollout.map().sets.is_empty() {
            self.expected = Some((version, Arc::clone(rollout.map())));
        }
        if outcome != RolloutOutcome::Switched {
            self.next_plan = now + PAUSE.mul_f64(self.rng.random_range(0.7..1.3));
        }
        self.rollout = None;
        self.out.push(Output::Event(LeaderEvent::RolloutEnded {
            version,
            pass,
            outcome,
        }));
    }

    fn read(
        &mut self,
        now: Now,
        requested_at: Now,
        view: RankView,
        counts: Option<Vec<Vec<u64>>>,
        held: Option<Vec<BTreeSet<Expert>>>,
    ) {
        let rank = view.rank;
        if view.epoch < self.epoch {
            return;
        }
        if view.epoch > self.epoch {
            self.new_epoch(now, &view);
        }
        let versions = [Some(view.map), view.prepared, view.armed.map(|a| a.0)];
        self.highest = versions.into_iter().flatten().fold(self.highest, u64::max);
        if view.pass > self.last_pass.0 {
            self.note_pass(now, view.pass);
        }
        if let Some(rollout) = &mut self.rollout {
            rollout.look(now, requested_at, rank, &view);
        }
        if let Some(held) = held {
            self.held.insert(rank, (view.map, held));
        }
        if let Some(counts) = counts {
            self.demand.count(rank, counts);
        }
        self.note_map(view.map);
        // Answers may overtake one another.
        if self.seen.get(&rank).is_none_or(|s| s.at <= requested_at) {
            self.seen.insert(
                rank,
                Seen {
                    view,
                    at: requested_at,
                },
            );
        }
    }

    fn new_epoch(&mut self, now: Now, view: &RankView) {
        self.saw_epoch_begin = !self.seen.is_empty();
        self.epoch = view.epoch;
        self.size = view.size;
        self.seen.clear();
        self.held.clear();
        self.expected = None;
        self.present = None;
        self.last_pass = (0, now);
        self.last_held = 0;
        self.note_map(view.map);
    }

    fn note_pass(&mut self, now: Now, pass: Pass) {
        let (last, at) = self.last_pass;
        let each_s = now.saturating_sub(at).as_secs_f64() / (pass - last) as f64;
        if last > 0 && each_s < LONGEST_PASS_S {
            self.pass_s += PASS_GAIN * (each_s - self.pass_s);
        }
        self.last_pass = (pass, now);
    }

    /// Finds the content of the map in use.
    fn note_map(&mut self, version: MapVersion) {
        // A view from before a switch may arrive after it; versions only rise.
        if self.present.as_ref().is_some_and(|p| p.0 >= version) {
            return;
        }
        let layout = &self.settings.layout;
        if version == 0 {
            let (sets, experts) = (layout.sets as usize, layout.experts as usize);
            let map = GroupMap::round_robin(sets, self.size, experts);
            self.present = Some((0, Arc::new(map)));
        } else if let Some((_, map)) = self.expected.take_if(|e| e.0 == version) {
            self.present = Some((version, map));
        } else {
            let of_rank = |r: RankIndex| self.held.get(&r).filter(|h| h.0 == version);
            let held: Option<Vec<_>> = (0..self.size)
                .map(|r| of_rank(r).map(|h| h.1.clone()))
                .collect();
            let map = held.and_then(|held| GroupMap::of_ranks(&held));
            self.present = map.map(|map| (version, Arc::new(map)));
        }
    }

    /// Views of all ranks, if they are fresh and agree on the group's life.
    fn fresh(&self, now: Now, limit: Duration) -> Option<Vec<RankView>> {
        let fresh = |rank| {
            let seen: &Seen = self.seen.get(&rank)?;
            let usable = now.saturating_sub(seen.at) <= limit && seen.view.open;
            (usable && seen.view.epoch == self.epoch).then(|| seen.view.clone())
        };
        (0..self.size).map(fresh).collect()
    }

    /// Finishes a rollout of another process that lets the group wait. True if there is one.
    fn finish_other(&mut self, now: Now, me: RankIndex) -> bool {
        let held = self.seen.values().filter_map(|s| {
            let pass = s.view.held.filter(|_| s.view.epoch == self.epoch)?;
            Some((s.view.rank, pass))
        });
        // The group waits for the earliest of several.
        let Some((holder, pass)) = held.min_by_key(|(_, pass)| *pass) else {
            return false;
        };
        let (begun, since) = self.last_pass;
        let waits = begun + 1 >= pass && now.saturating_sub(since) >= HELD_LIMIT;
        // The views have to be from after the wait began.
        let Some(views) = self.fresh(now, HELD_LIMIT).filter(|_| waits) else {
            return true;
        };
        let Some(start) = self.start(now, me) else {
            return true;
        };
        self.out.push(Output::Event(LeaderEvent::RolloutTakenOver {
            holder,
            pass,
        }));
        self.rollout = Some(Rollout::take_over(now, start, holder, pass, &views));
        self.advance(now);
        true
    }

    fn plan(&mut self, now: Now, me: RankIndex) {
        // A map that was released takes effect with the next passes.
        if now < self.next_plan || self.expected.is_some() {
            return;
        }
        let Some(views) = self.fresh(now, self.poll_interval() * 2) else {
            return;
        };
        let at_rest = |v: &RankView| v.armed.is_none() && v.held.is_none();
        let idle = now.saturating_sub(self.last_pass.1) > self.poll_interval() * 2;
        let version = self.present.as_ref().map(|p| p.0);
        let one_map = views.iter().all(|v| Some(v.map) == version);
        if idle || !one_map || !views.iter().all(at_rest) {
            return;
        }
        self.next_plan = now + POLL;
        let Some(start) = self.start(now, me) else {
            return;
        };
        let paces: Vec<f64> = views.iter().map(|v| v.pace).collect();
        let Some(plan) = self.best_plan(&start.present, &paces) else {
            return;
        };
        self.out.push(Output::Event(LeaderEvent::Planned {
            version: start.version,
            before: plan.before,
            after: plan.after,
            loads: plan.loads,
        }));
        let loading = self.load_time() * u32::try_from(plan.loads).unwrap_or(1) + LOADED_MARGIN;
        let rollout = Rollout::new(now, start, Arc::new(plan.map), loading);
        self.rollout = Some(rollout);
        self.advance(now);
    }

    /// The plan that saves most time of passes, if one saves enough.
    fn best_plan(&self, present: &GroupMap, paces: &[f64]) -> Option<MapPlan> {
        let shares = self.demand.shares()?;
        let layout = &self.settings.layout;
        let plans = LOAD_CHOICES.iter().filter_map(|loads_per_rank| {
            let limits = PlanLimits {
                slots_per_rank: layout.slots_per_rank as usize,
                loads_per_set: layout.spare as usize,
                loads_per_rank: *loads_per_rank,
            };
            let plan = balance::plan(present, shares, paces, limits)?;
            Some((self.saving(&plan), plan))
        });
        let best = plans.max_by(|a, b| a.0.total_cmp(&b.0))?;
        (best.0 > LEAST_SAVING_S).then_some(best.1)
    }

    /// Time of passes that a plan saves over the horizon, in seconds. What a pass takes beyond its
    /// fixed time grows with the work of the most loaded rank.
    fn saving(&self, plan: &MapPlan) -> f64 {
        let loading = self.load_time().as_secs_f64() * plan.loads as f64;
        let effective = HORIZON.saturating_sub(SWITCH_TIME).as_secs_f64() - loading;
        let fixed = self.settings.fixed_pass.as_secs_f64();
        let variable = (1.0 - fixed / self.pass_s.max(fixed)) * self.settings.layout.share;
        let gain = variable * (plan.before - plan.after) / plan.before.max(1.0);
        gain * effective.max(0.0) - LOADING_SLOWDOWN * loading
    }

    /// Time of loading one expert.
    fn load_time(&self) -> Duration {
        let layout = &self.settings.layout;
        Duration::from_secs_f64(layout.expert_mb * 8.0 / layout.link_mbps.max(1.0))
    }

    fn start(&mut self, now: Now, me: RankIndex) -> Option<RolloutParams> {
        let (_, present) = self.present.clone()?;
        let age = now.saturating_sub(self.born);
        let may_follow = !self.settings.first_start && !self.saw_epoch_begin;
        let clear = may_follow && age < MAX_ORDER_DELAY;
        let begun = self.last_pass.0 + if clear { CLEAR_PASSES } else { 0 };
        Some(RolloutParams {
            rank: me,
            size: self.size,
            epoch: self.epoch,
            version: self.new_version(now, me as MapVersion),
            kill_version: self.new_version(now, me as MapVersion + NEVER_ARMED),
            present,
            lead: self.passes_in(ARM_TIME),
            lossy_lead: self.passes_in(LOSSY_ARM_TIME),
            lossy: self
                .last_lost
                .is_some_and(|at| now.saturating_sub(at) < LOSSY_MEMORY),
            after: begun.max(self.last_held),
        })
    }

    /// Passes that a busy group makes in a time.
    fn passes_in(&self, time: Duration) -> Pass {
        let passes = time.as_secs_f64() / self.pass_s.max(self.settings.fixed_pass.as_secs_f64());
        if passes.is_finite() {
            (passes.ceil() as Pass).clamp(ARM_PASSES, MAX_ARM_PASSES)
        } else {
            ARM_PASSES
        }
    }

    /// A version above all that were seen, which no other process and no earlier life uses.
    fn new_version(&mut self, now: Now, rest: MapVersion) -> MapVersion {
        let age = now.saturating_sub(self.born);
        let clock_ms = self.settings.started_ms + u64::try_from(age.as_millis()).unwrap_or(0);
        let next = (self.highest / VERSION_STEP + 1).max(clock_ms);
        self.highest = next * VERSION_STEP + rest;
        self.highest
    }
}

/// Orders by name, for logs.
#[must_use]
pub fn order_name(order: &Order) -> &'static str {
    match order {
        Order::Prepare { .. } => "prepare",
        Order::Arm { .. } => "arm",
        Order::Disarm { .. } => "disarm",
        Order::Hold { .. } => "hold",
        Order::Go { .. } => "go",
    }
}
