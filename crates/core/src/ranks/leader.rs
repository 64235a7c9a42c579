//! State machine of a rank's sidecar: when it leads, what it reads and when it plans.
//!
//! One sidecar leads. It reads the other ranks through their sidecars, which costs the ranks
//! nothing. A sidecar that is polled stays passive, so a leader keeps its role until it is lost; of
//! two leaders, the one of the lower rank goes on. Two simultaneous leaders are safe, see
//! [`super::rollout`].

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};

use super::balance::{self, MapPlan, PlanLimits};
use super::counts::Selections;
use super::demand::Demand;
use super::rollout::{Order, OrderResult, RankOrder, Rollout, RolloutOutcome, RolloutParams};
use super::{
    Expert, GroupEpoch, GroupMap, MAX_ORDER_DELAY, MapVersion, Observation, Pass, RankIndex,
    RankView, UNARMED_OFFSET, VERSION_STRIDE, owner_of_hold, version_owner,
};
use crate::gateway::routes::ExpertLayout;
use crate::types::Now;

/// Shortest time between two reads of all ranks. Popularity shifts every few seconds, and the time
/// until a shift is detected is lost.
const POLL_INTERVAL: Duration = Duration::from_millis(125);
/// Share of the link of a sidecar's host that reports of counters may use. Streams of the engine
/// beside it need the rest.
const MAX_LINK_SHARE: f64 = 0.1;
/// Bytes of one counter in a report.
const COUNTER_BYTES: f64 = 1.25;
/// Time without a poll after which a sidecar leads. Two simultaneous leaders are safe, while a
/// group may be waiting for an unresponsive one.
const LEADER_TIMEOUT: Duration = Duration::from_millis(750);
/// Polls that must be missed as well before a sidecar leads.
const LEADER_TIMEOUT_POLLS: u32 = 4;
/// Added to the timeout after a start: the time in which a leader finds the other ranks.
const START_PATIENCE: Duration = Duration::from_millis(2_500);
/// Time after its start in which the sidecar of the lowest rank leads unless it is polled: two
/// polls of another leader.
const FIRST_RANK_PATIENCE: Duration = Duration::from_millis(450);
/// Added to the timeout per rank, so that only the lowest live one takes the lead.
const LEADER_STAGGER: Duration = Duration::from_millis(150);
/// Time for which a pass may stay held before another sidecar takes the rollout over.
const MAX_HELD_TIME: Duration = Duration::from_millis(600);
/// Time without a call of the sidecar that holds a pass at the local engine after which its rollout
/// is finished for it. Longer than the time between two polls, and short enough for a group to wait
/// for less than 0.5 s. Two simultaneous drivers of a rollout are safe.
const OWNER_SILENCE: Duration = Duration::from_millis(200);
/// Time between two reads while evidence is missing that the rollout can be finished.
const EVIDENCE_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Limits of loads per rank: a plan is made with each, and the one that saves most is used. Few
/// loads bring the most popular experts to more ranks soon, more loads balance the rest.
const LOADS_PER_RANK_CHOICES: [usize; 3] = [1, 2, 4];
/// Fewest passes between choosing a pass to hold and its beginning, in which all ranks are armed.
const MIN_ARM_PASSES: Pass = 2;
/// Shortest time for the same, which applies where passes are short: a few calls to each rank.
const ARM_TIME: Duration = Duration::from_millis(90);
/// The same time while orders get lost: a few attempts each to hold, arm and release.
const LOSSY_ARM_TIME: Duration = Duration::from_millis(400);
/// Time after a lost order in which further losses are expected: network faults last some seconds.
const LOSSY_PERIOD: Duration = Duration::from_secs(4);
/// Added to the expected loading time before ranks are armed. A rank refuses to be armed while it
/// still loads, and the group would wait for it.
const LOADING_MARGIN: Duration = Duration::from_millis(15);
/// Most passes between choosing a pass to hold and its beginning.
const MAX_ARM_PASSES: Pass = 16;
/// Passes that a new incarnation of a sidecar does not use, because late orders of an earlier
/// incarnation may still name them: the longest time for arming, and a few more for repeated
/// choices.
const RESERVED_PASSES: Pass = MAX_ARM_PASSES + 8;
/// Time between a plan and its effect, without the loading.
const SWITCH_OVERHEAD: Duration = Duration::from_millis(250);
/// Relative slowdown of passes while experts are loaded.
const LOADING_SLOWDOWN: f64 = 0.15;
/// Time for which a plan is expected to help before popularity changes again.
const SAVING_HORIZON: Duration = Duration::from_secs(4);
/// Pass time in seconds that a rollout must save beyond its cost, so that noise does not trigger
/// rollouts and an idle group copies nothing.
const MIN_SAVING_S: f64 = 0.1;
/// Weight of a new pass in the mean pass time.
const PASS_TIME_SMOOTHING: f64 = 0.2;
/// Longer intervals in seconds are not counted as pass times, since the group was idle or stalled.
const MAX_PASS_S: f64 = 0.4;
/// Longest time between two ticks of a sidecar that does not lead.
const FOLLOWER_TICK_INTERVAL: Duration = Duration::from_millis(250);
/// Shortest time between two ticks.
const MIN_TICK_INTERVAL: Duration = Duration::from_millis(5);
/// Mean delay of the next plan after a rollout that did not switch the map.
const ABANDONED_ROLLOUT_DELAY: Duration = Duration::from_millis(800);

/// Start-up settings of a [`Leader`].
#[derive(Clone, Debug)]
pub struct LeaderSettings {
    /// Expert layout of the group.
    pub layout: ExpertLayout,
    /// Duration of a pass without any request.
    pub fixed_pass: Duration,
    /// Whether the group's sidecars start for the first time, so that no order of an earlier
    /// incarnation can be in flight.
    pub first_start: bool,
    /// Wall-clock start time in milliseconds since the Unix epoch. Versions are derived from it, so
    /// that two incarnations of a sidecar never use the same one.
    pub started_ms: u64,
    /// Bandwidth of the host's link, in bytes a second.
    pub link_bytes_per_s: f64,
    /// Number of reports of counters that a sidecar receives in one poll.
    pub fanout: usize,
    /// Seed of the random delays.
    pub seed: u64,
}

/// What to read of a rank besides its state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ReadScope {
    /// Only the state.
    View,
    /// The state and the selection counters of its experts.
    Counts,
    /// The state and the experts that it holds.
    HeldExperts,
}

/// Inputs of [`Leader::handle`].
#[derive(Clone, Debug)]
pub enum Input {
    /// State of the local rank, at the start and after it could not be read.
    OwnView(RankView),
    /// The sidecar of the given rank, which leads or drives a rollout, called the local one.
    PolledBy(RankIndex),
    /// A rank was read.
    Read {
        /// When the read was sent; the state is not older than that.
        requested_at: Now,
        /// State of the rank.
        view: RankView,
        /// Experts that the rank holds, by set, if this was read.
        held: Option<Vec<BTreeSet<Expert>>>,
    },
    /// What the ranks selected since the last poll, as far as they answered.
    Selected(Selections),
    /// Result of an order that was sent.
    Result(RankOrder, OrderResult),
    /// The time of [`Leader::next_tick`] has come.
    Tick,
}

/// Actions that the driver must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Read a rank. [`Input::Read`] follows unless the rank cannot be reached. Counts of all ranks
    /// that are read at a time follow together, as [`Input::Selected`].
    Read(RankIndex, ReadScope),
    /// Send an order. [`Input::Result`] always follows.
    Send(RankOrder),
    /// Record an event.
    Event(LeaderEvent),
}

/// Decisions of the leader, for logs.
#[derive(Clone, Debug, PartialEq)]
pub enum LeaderEvent {
    /// Whether the sidecar leads its group from now on.
    LeadershipChanged(bool),
    /// A map was planned, and its rollout begins.
    Planned {
        /// Version of the planned map.
        version: MapVersion,
        /// Load of the busiest rank relative to the mean, with the map in use.
        before: f64,
        /// The same with the planned map.
        after: f64,
        /// Largest number of experts that any one rank has to load.
        loads: usize,
    },
    /// The sidecar finishes a rollout that another sidecar left with a held pass.
    RolloutTakenOver {
        /// Rank whose hold is in place.
        holder: RankIndex,
        /// Pass that is held.
        pass: Pass,
    },
    /// A rollout of this sidecar ended, or one that it took over.
    RolloutEnded {
        /// Version that was rolled out.
        version: MapVersion,
        /// Pass that was held; 0 if none was chosen.
        pass: Pass,
        /// How the rollout ended.
        outcome: RolloutOutcome,
    },
}

/// A pass that another sidecar holds at the local engine.
#[derive(Clone, Copy, Debug)]
struct LocalHold {
    pass: Pass,
    /// When the hold was seen first, or its rollout was last taken over.
    since: Now,
    next_read: Now,
}

/// Decisions of a rank's sidecar, without I/O.
#[derive(Clone, Debug)]
pub struct Leader {
    settings: LeaderSettings,
    started_at: Now,
    rng: SmallRng,
    /// Name of the group that the local rank belongs to.
    group: String,
    own_rank: Option<RankIndex>,
    size: usize,
    epoch: GroupEpoch,
    observations: BTreeMap<RankIndex, Observation>,
    /// Experts that each rank holds, with the version of its map.
    held_experts: BTreeMap<RankIndex, (MapVersion, Vec<BTreeSet<Expert>>)>,
    demand: Demand,
    /// Map in use with its version; `None` while its content is unknown.
    current_map: Option<(MapVersion, Arc<GroupMap>)>,
    /// Map of a released rollout that no rank has reported in use yet.
    pending_map: Option<(MapVersion, Arc<GroupMap>)>,
    rollout: Option<Rollout>,
    highest_version: MapVersion,
    /// When a sidecar that this one gives way to last called it.
    polled_at: Now,
    /// When the sidecar that holds its passes at the local engine last called this one.
    owner_called_at: Now,
    local_hold: Option<LocalHold>,
    last_step: Now,
    leads: bool,
    next_poll: Now,
    next_plan: Now,
    /// Last pass seen to begin, and when; used to detect stalls.
    last_pass: (Pass, Now),
    /// Mean duration of a pass, in seconds.
    mean_pass_s: f64,
    /// Last pass that a rollout of this sidecar held.
    last_held: Pass,
    /// The group's incarnation began while this sidecar ran, so no order of an earlier incarnation
    /// of the sidecar applies to it.
    saw_epoch_begin: bool,
    /// When an order last remained without an answer.
    last_lost_order_at: Option<Now>,
    outputs: Vec<Output>,
}

impl Leader {
    /// Creates the state of a sidecar that starts at `now` without any knowledge of its group.
    #[must_use]
    pub fn new(now: Now, settings: LeaderSettings) -> Self {
        Self {
            started_at: now,
            rng: SmallRng::seed_from_u64(settings.seed),
            group: String::new(),
            own_rank: None,
            size: 0,
            epoch: 0,
            observations: BTreeMap::new(),
            held_experts: BTreeMap::new(),
            demand: Demand::default(),
            current_map: None,
            pending_map: None,
            rollout: None,
            highest_version: 0,
            polled_at: Now::ZERO,
            owner_called_at: Now::ZERO,
            local_hold: None,
            last_step: now,
            leads: false,
            next_poll: Now::ZERO,
            next_plan: Now::ZERO,
            last_pass: (0, Now::ZERO),
            mean_pass_s: 0.0,
            last_held: 0,
            saw_epoch_begin: false,
            last_lost_order_at: None,
            outputs: Vec::new(),
            settings,
        }
    }

    /// Processes an input at the time `now` and returns the actions for the driver.
    pub fn handle(&mut self, now: Now, input: Input) -> Vec<Output> {
        match input {
            Input::OwnView(view) => {
                if view.group != self.group {
                    self.join_group(now, &view);
                }
                if self.own_rank.is_none() {
                    // A sidecar that leads already, or that of the lowest rank, polls first. After
                    // the loss of all hosts, passes are long until the first plan.
                    self.polled_at = if view.rank == 0 {
                        (now + FIRST_RANK_PATIENCE).saturating_sub(self.leader_timeout())
                    } else {
                        now + START_PATIENCE
                    };
                }
                self.own_rank = Some(view.rank);
                self.size = view.size;
                self.read(now, now, view, None);
            }
            Input::PolledBy(rank) => {
                let gives_way = |own_rank| rank < own_rank || !self.leads && rank != own_rank;
                if self.own_rank.is_some_and(gives_way) {
                    self.polled_at = now;
                }
                if self.own_rank.map(|own| owner_of_hold(own, self.size)) == Some(rank) {
                    self.owner_called_at = now;
                }
            }
            Input::Read {
                requested_at,
                view,
                held,
            } => {
                // The epochs of two groups may be equal, so they do not tell them apart.
                if view.group == self.group {
                    self.read(now, requested_at, view, held);
                }
            }
            Input::Selected(selections) => {
                self.demand.record(&selections);
                self.demand.finish_reading();
            }
            Input::Result(order, result) => {
                if result == OrderResult::Unknown {
                    self.last_lost_order_at = Some(now);
                }
                if let Some(rollout) = &mut self.rollout {
                    rollout.result(now, &order, result);
                }
            }
            Input::Tick => {}
        }
        self.step(now);
        std::mem::take(&mut self.outputs)
    }

    /// Latest time of the next [`Input::Tick`].
    #[must_use]
    pub fn next_tick(&self, now: Now) -> Now {
        let step = now
            + if self.leads {
                self.poll_interval()
            } else {
                FOLLOWER_TICK_INTERVAL
            };
        let poll = if self.leads { self.next_poll } else { step };
        let order = self.rollout.as_ref().and_then(Rollout::next_at);
        let release = self.local_hold.filter(|_| self.rollout.is_none());
        let release = release.map_or(step, |hold| self.release_due(&hold).max(hold.next_read));
        let earliest = order.unwrap_or(step).min(poll).min(step).min(release);
        earliest.max(now + MIN_TICK_INTERVAL)
    }

    /// Map in use with its version, if its content is known.
    #[must_use]
    pub fn current_map(&self) -> Option<(MapVersion, Arc<GroupMap>)> {
        self.current_map.clone()
    }

    /// Name of the group that the outputs are for; empty before the local rank was read.
    #[must_use]
    pub fn group(&self) -> &str {
        &self.group
    }

    /// Whether this sidecar leads its group.
    #[must_use]
    pub fn leads(&self) -> bool {
        self.leads
    }

    /// Rank in whose name reads count as polls: that of a sidecar that leads or drives a rollout. Reads for
    /// evidence must not keep others from leading, since only a leader releases a pass without evidence.
    #[must_use]
    pub fn polling_rank(&self) -> Option<RankIndex> {
        let polls = self.leads || self.rollout.is_some();
        self.own_rank.filter(|_| polls)
    }

    fn step(&mut self, now: Now) {
        let Some(own_rank) = self.own_rank else {
            return;
        };
        let timeout = self.leader_timeout();
        let paused = now.saturating_sub(self.last_step) >= timeout;
        self.last_step = now;
        if paused {
            // Another sidecar may have taken the lead meanwhile.
            self.polled_at = now;
        }
        let timeout = timeout + LEADER_STAGGER * u32::try_from(own_rank).unwrap_or(u32::MAX);
        let leads = now.saturating_sub(self.polled_at) >= timeout;
        if leads != self.leads {
            self.leads = leads;
            self.outputs
                .push(Output::Event(LeaderEvent::LeadershipChanged(leads)));
        }
        // A sidecar that no longer leads still finishes its rollout, which may hold the group.
        if self.rollout.is_some() {
            self.advance_rollout(now);
        }
        self.release_local_hold(now, own_rank);
        if !leads {
            return;
        }
        self.poll(now);
        if self.rollout.is_none() && !self.take_over_held_pass(now, own_rank) {
            self.plan(now, own_rank);
        }
    }

    /// Time without a poll after which the sidecar of the lowest rank leads.
    fn leader_timeout(&self) -> Duration {
        LEADER_TIMEOUT.max(self.poll_interval() * LEADER_TIMEOUT_POLLS)
    }

    /// Time between two reads of all ranks; it grows with the size of a report of counters.
    fn poll_interval(&self) -> Duration {
        let layout = &self.settings.layout;
        let counters = f64::from(layout.sets) * f64::from(layout.experts);
        let reports = self.settings.fanout.min(self.size) as f64;
        let bytes = counters * COUNTER_BYTES * reports;
        let bytes_per_s = (self.settings.link_bytes_per_s * MAX_LINK_SHARE).max(1.0);
        POLL_INTERVAL.max(Duration::from_secs_f64(bytes / bytes_per_s))
    }

    fn poll(&mut self, now: Now) {
        if now < self.next_poll {
            return;
        }
        self.next_poll = now + self.poll_interval();
        let known = |rank: &RankIndex| {
            let version = self.observations.get(rank).map(|s| s.view.map);
            self.held_experts.get(rank).map(|h| h.0) == version
        };
        let needs_maps = self.current_map.is_none();
        for rank in 0..self.size {
            let scope = if needs_maps && !known(&rank) {
                ReadScope::HeldExperts
            } else {
                ReadScope::Counts
            };
            self.outputs.push(Output::Read(rank, scope));
        }
    }

    fn advance_rollout(&mut self, now: Now) {
        let begun = self.last_pass.0;
        let Some(rollout) = &mut self.rollout else {
            return;
        };
        for order in rollout.orders(now, begun) {
            self.outputs.push(Output::Send(order));
        }
        for rank in rollout.ranks_to_read() {
            self.outputs.push(Output::Read(rank, ReadScope::View));
        }
        let Some(outcome) = rollout.ended() else {
            return;
        };
        let (version, pass) = (rollout.version(), rollout.pass());
        if Some(rollout.owner()) == self.own_rank {
            self.last_held = self.last_held.max(pass);
        }
        if outcome == RolloutOutcome::Switched && !rollout.map().sets.is_empty() {
            self.pending_map = Some((version, Arc::clone(rollout.map())));
        }
        if outcome != RolloutOutcome::Switched {
            self.next_plan = now + ABANDONED_ROLLOUT_DELAY.mul_f64(self.rng.random_range(0.7..1.3));
        }
        self.rollout = None;
        self.outputs.push(Output::Event(LeaderEvent::RolloutEnded {
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
        self.highest_version = versions
            .into_iter()
            .flatten()
            .fold(self.highest_version, u64::max);
        if view.pass > self.last_pass.0 {
            self.record_pass(now, view.pass);
        }
        if let Some(rollout) = &mut self.rollout {
            rollout.observe(now, requested_at, rank, &view);
        }
        if let Some(held) = held {
            self.held_experts.insert(rank, (view.map, held));
        }
        if Some(rank) == self.own_rank {
            self.observe_local_hold(now, view.held);
        }
        self.update_current_map(view.map);
        // Answers may arrive out of order.
        if self
            .observations
            .get(&rank)
            .is_none_or(|s| s.requested_at <= requested_at)
        {
            self.observations
                .insert(rank, Observation { view, requested_at });
        }
    }

    /// Forgets the group that the local engine was a rank of before. The rollout ends without further orders: its
    /// group has lost a rank, so it opens again with nothing prepared, armed or held.
    fn join_group(&mut self, now: Now, view: &RankView) {
        self.group.clone_from(&view.group);
        self.own_rank = None;
        self.rollout = None;
        self.observations.clear();
        self.demand = Demand::default();
        self.new_epoch(now, view);
    }

    fn new_epoch(&mut self, now: Now, view: &RankView) {
        self.saw_epoch_begin = !self.observations.is_empty();
        self.epoch = view.epoch;
        self.size = view.size;
        self.observations.clear();
        self.held_experts.clear();
        self.pending_map = None;
        self.current_map = None;
        self.last_pass = (0, now);
        self.last_held = 0;
        self.local_hold = None;
        self.update_current_map(view.map);
    }

    fn record_pass(&mut self, now: Now, pass: Pass) {
        let (last, at) = self.last_pass;
        let each_s = now.saturating_sub(at).as_secs_f64() / (pass - last) as f64;
        if last > 0 && each_s < MAX_PASS_S {
            self.mean_pass_s += PASS_TIME_SMOOTHING * (each_s - self.mean_pass_s);
        }
        self.last_pass = (pass, now);
    }

    /// Determines the content of the map in use.
    fn update_current_map(&mut self, version: MapVersion) {
        // A state from before a switch may arrive after it; versions only rise.
        if self.current_map.as_ref().is_some_and(|p| p.0 >= version) {
            return;
        }
        let layout = &self.settings.layout;
        if version == 0 {
            let (sets, experts) = (layout.sets as usize, layout.experts as usize);
            let map = GroupMap::round_robin(sets, self.size, experts);
            self.current_map = Some((0, Arc::new(map)));
        } else if let Some((_, map)) = self.pending_map.take_if(|e| e.0 == version) {
            self.current_map = Some((version, map));
        } else {
            let experts_of = |r: RankIndex| self.held_experts.get(&r).filter(|h| h.0 == version);
            let held: Option<Vec<_>> = (0..self.size)
                .map(|r| experts_of(r).map(|h| h.1.clone()))
                .collect();
            let map = held.and_then(|held| GroupMap::of_ranks(&held));
            self.current_map = map.map(|map| (version, Arc::new(map)));
        }
    }

    /// States of all ranks, if all are at most `limit` old, of the current epoch, and of an open
    /// group.
    fn fresh_views(&self, now: Now, limit: Duration) -> Option<Vec<RankView>> {
        let fresh = |rank| {
            let seen: &Observation = self.observations.get(&rank)?;
            let usable = now.saturating_sub(seen.requested_at) <= limit && seen.view.open;
            (usable && seen.view.epoch == self.epoch).then(|| seen.view.clone())
        };
        (0..self.size).map(fresh).collect()
    }

    /// Takes over a rollout of another sidecar that keeps the group waiting. Returns true if any
    /// rank holds a pass.
    fn take_over_held_pass(&mut self, now: Now, own_rank: RankIndex) -> bool {
        let held = self.observations.values().filter_map(|s| {
            let pass = s.view.held.filter(|_| s.view.epoch == self.epoch)?;
            Some((s.view.rank, pass))
        });
        // If several passes are held, the group waits for the earliest.
        let Some((holder, pass)) = held.min_by_key(|(_, pass)| *pass) else {
            return false;
        };
        let (begun, since) = self.last_pass;
        let waits = begun + 1 >= pass && now.saturating_sub(since) >= MAX_HELD_TIME;
        if !waits {
            return true;
        }
        // The states must have been read after the group began to wait.
        let views = self.fresh_views(now, MAX_HELD_TIME);
        let params = views.and_then(|views| Some((views, self.rollout_params(now, own_rank)?)));
        if let Some((views, params)) = params {
            let rollout = Rollout::take_over(now, params, holder, pass, &views);
            self.continue_rollout(now, holder, rollout);
        } else if let Some(version) = self.armed_version(holder, pass)
            && begun < pass
            && now >= self.next_plan
        {
            // Some rank is unreachable, perhaps only the owner's. An unreachable holder's state may
            // be old, and an attempt that was abandoned is repeated after a delay.
            self.finish_rollout(now, holder, (version, pass));
        }
        true
    }

    fn continue_rollout(&mut self, now: Now, holder: RankIndex, rollout: Rollout) {
        let pass = rollout.pass();
        self.outputs
            .push(Output::Event(LeaderEvent::RolloutTakenOver {
                holder,
                pass,
            }));
        self.rollout = Some(rollout);
        self.advance_rollout(now);
    }

    fn finish_rollout(&mut self, now: Now, holder: RankIndex, armed: (MapVersion, Pass)) {
        let rollout = Rollout::finish(now, self.epoch, self.size, holder, armed);
        self.continue_rollout(now, holder, rollout);
    }

    /// Version that the owner of the hold armed some rank with for the held pass. An older
    /// observation is as good as a new one: that a rank was armed remains true.
    fn armed_version(&self, holder: RankIndex, pass: Pass) -> Option<MapVersion> {
        let owner = owner_of_hold(holder, self.size);
        let armed = self.observations.values().filter_map(|o| o.view.armed);
        let mut versions = armed.filter(|a| a.1 == pass).map(|a| a.0);
        versions.find(|v| version_owner(*v) == Some(owner))
    }

    fn observe_local_hold(&mut self, now: Now, held: Option<Pass>) {
        let known = self.local_hold.filter(|hold| Some(hold.pass) == held);
        self.local_hold = known.or(held.map(|pass| LocalHold {
            pass,
            since: now,
            next_read: now,
        }));
    }

    /// When the rollout that holds a pass at the local engine is to be finished for its owner.
    fn release_due(&self, hold: &LocalHold) -> Now {
        hold.since.max(self.owner_called_at) + OWNER_SILENCE
    }

    /// Finishes the rollout of a silent sidecar that holds a pass at the local engine. This one sees
    /// the hold without a call to another machine, whether it leads or not.
    fn release_local_hold(&mut self, now: Now, own_rank: RankIndex) {
        let Some(hold) = self.local_hold.filter(|_| self.rollout.is_none()) else {
            return;
        };
        let due = self.release_due(&hold);
        let owner = owner_of_hold(own_rank, self.size);
        if now < due || owner == own_rank {
            return;
        }
        let own = self.observations.get(&own_rank);
        let still_held = own.is_some_and(|o| o.requested_at >= due);
        let armed = self.armed_version(own_rank, hold.pass);
        if let Some(version) = armed.filter(|_| still_held) {
            let since = now;
            self.local_hold = Some(LocalHold { since, ..hold });
            self.finish_rollout(now, own_rank, (version, hold.pass));
        } else if now >= hold.next_read {
            let next_read = now + EVIDENCE_POLL_INTERVAL;
            self.local_hold = Some(LocalHold { next_read, ..hold });
            let evidence =
                (0..self.size).filter(|r| *r == own_rank || armed.is_none() && *r != owner);
            let reads = evidence.map(|rank| Output::Read(rank, ReadScope::View));
            self.outputs.extend(reads);
        }
    }

    fn plan(&mut self, now: Now, own_rank: RankIndex) {
        // A released map takes effect within the next passes.
        if now < self.next_plan || self.pending_map.is_some() {
            return;
        }
        let Some(views) = self.fresh_views(now, self.poll_interval() * 2) else {
            return;
        };
        let at_rest = |v: &RankView| v.armed.is_none() && v.held.is_none();
        let idle = now.saturating_sub(self.last_pass.1) > self.poll_interval() * 2;
        let version = self.current_map.as_ref().map(|p| p.0);
        let one_map = views.iter().all(|v| Some(v.map) == version);
        if idle || !one_map || !views.iter().all(at_rest) {
            return;
        }
        self.next_plan = now + POLL_INTERVAL;
        let Some(params) = self.rollout_params(now, own_rank) else {
            return;
        };
        let paces: Vec<f64> = views.iter().map(|v| v.pace).collect();
        let Some(plan) = self.best_plan(&params.current_map, &paces) else {
            return;
        };
        self.outputs.push(Output::Event(LeaderEvent::Planned {
            version: params.version,
            before: plan.before,
            after: plan.after,
            loads: plan.loads,
        }));
        let loading = self.load_time() * u32::try_from(plan.loads).unwrap_or(1) + LOADING_MARGIN;
        let rollout = Rollout::new(now, params, Arc::new(plan.map), loading);
        self.rollout = Some(rollout);
        self.advance_rollout(now);
    }

    /// Returns the plan that saves most pass time, if it saves enough.
    fn best_plan(&self, current_map: &GroupMap, paces: &[f64]) -> Option<MapPlan> {
        let shares = self.demand.shares()?;
        let layout = &self.settings.layout;
        let plans = LOADS_PER_RANK_CHOICES.iter().filter_map(|loads_per_rank| {
            let limits = PlanLimits {
                slots_per_rank: layout.slots_per_rank as usize,
                loads_per_set: layout.spare as usize,
                loads_per_rank: *loads_per_rank,
            };
            let plan = balance::plan(current_map, shares, paces, limits)?;
            Some((self.saving(&plan), plan))
        });
        let best = plans.max_by(|a, b| a.0.total_cmp(&b.0))?;
        (best.0 > MIN_SAVING_S).then_some(best.1)
    }

    /// Pass time in seconds that a plan saves over [`SAVING_HORIZON`]. The part of a pass beyond
    /// its fixed time grows with the load of the busiest rank.
    fn saving(&self, plan: &MapPlan) -> f64 {
        let loading = self.load_time().as_secs_f64() * plan.loads as f64;
        let effective = SAVING_HORIZON.saturating_sub(SWITCH_OVERHEAD).as_secs_f64() - loading;
        let fixed = self.settings.fixed_pass.as_secs_f64();
        let variable = (1.0 - fixed / self.mean_pass_s.max(fixed)) * self.settings.layout.share;
        let gain = variable * (plan.before - plan.after) / plan.before.max(1.0);
        gain * effective.max(0.0) - LOADING_SLOWDOWN * loading
    }

    /// Time to load one expert.
    fn load_time(&self) -> Duration {
        let layout = &self.settings.layout;
        Duration::from_secs_f64(layout.expert_mb * 8.0 / layout.link_mbps.max(1.0))
    }

    fn rollout_params(&mut self, now: Now, own_rank: RankIndex) -> Option<RolloutParams> {
        let (_, current_map) = self.current_map.clone()?;
        let age = now.saturating_sub(self.started_at);
        let may_have_old_orders = !self.settings.first_start && !self.saw_epoch_begin;
        let reserve_passes = may_have_old_orders && age < MAX_ORDER_DELAY;
        let begun = self.last_pass.0 + if reserve_passes { RESERVED_PASSES } else { 0 };
        Some(RolloutParams {
            rank: own_rank,
            size: self.size,
            epoch: self.epoch,
            version: self.new_version(now, own_rank as MapVersion),
            invalidating_version: self.new_version(now, own_rank as MapVersion + UNARMED_OFFSET),
            current_map,
            lead_passes: self.passes_in(ARM_TIME),
            lossy_lead_passes: self.passes_in(LOSSY_ARM_TIME),
            lossy: self
                .last_lost_order_at
                .is_some_and(|at| now.saturating_sub(at) < LOSSY_PERIOD),
            after_pass: begun.max(self.last_held),
        })
    }

    /// Number of passes that a busy group runs in the given time, within the limits for arming.
    fn passes_in(&self, time: Duration) -> Pass {
        let passes =
            time.as_secs_f64() / self.mean_pass_s.max(self.settings.fixed_pass.as_secs_f64());
        if passes.is_finite() {
            (passes.ceil() as Pass).clamp(MIN_ARM_PASSES, MAX_ARM_PASSES)
        } else {
            MIN_ARM_PASSES
        }
    }

    /// Returns a version above all that were seen, which no other sidecar and no earlier
    /// incarnation uses.
    fn new_version(&mut self, now: Now, remainder: MapVersion) -> MapVersion {
        let age = now.saturating_sub(self.started_at);
        let clock_ms = self.settings.started_ms + u64::try_from(age.as_millis()).unwrap_or(0);
        let next = (self.highest_version / VERSION_STRIDE + 1).max(clock_ms);
        self.highest_version = next * VERSION_STRIDE + remainder;
        self.highest_version
    }
}

/// Name of an order, for logs.
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
