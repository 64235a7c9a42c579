//! Bringing all ranks of a group to a new map at the same pass.
//!
//! A rank offers five orders. `Prepare` loads a version and is refused unless the version is
//! higher than all that the rank has had and nothing is armed. `Arm` makes a prepared version
//! take effect as a pass begins, `Disarm` takes that back. `Hold` keeps the whole group from
//! beginning a pass until `Go`. Any order may be lost, or carried out seconds later, after newer
//! ones, and any number of processes may give orders at the same time.
//!
//! A rollout prepares a version on all ranks, holds a pass when they should have loaded it, arms
//! all ranks for that pass and releases it.
//! Each version belongs to one process, each pass is held at the rank of one process, and both are
//! used once, so:
//!
//! - A late `Prepare` of a lower version and a late `Arm` for a pass that has begun are refused.
//! - A late `Arm` before that does what is wanted anyway, for no version is armed for two passes.
//! - A late `Go` releases only its own pass, and it is sent only after all ranks are known to be
//!   armed, or known to be unable to arm that version again.
//!
//! A pass is held only after all ranks accepted the version, so it takes no longer than loading.
//! From then on the rollout goes on until all ranks are armed, whoever does it. It is given up
//! only on evidence that can't change: a rank that has taken a higher version can never arm this
//! one. Such a rank was never armed before, because an armed rank takes no other version, so
//! nobody can have found all ranks armed. The version is then made impossible on every rank by
//! preparing a higher one before the pass is released.
//!
//! A process that dies or is paused in the middle leaves a held pass. Another one finishes its
//! rollout by the same rules, and orders that the first one sends later change nothing.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{GroupEpoch, GroupMap, MapVersion, Pass, RankIndex, RankView, owner};
use crate::types::Now;

/// Time after which an order without an answer is sent again. Orders have effect only once, and
/// a group that is held waits for the answer.
const RESEND: Duration = Duration::from_millis(20);
/// Time after which an order that was refused is given again: a rank may just finish loading.
const RETRY_REFUSED: Duration = Duration::from_millis(15);
/// Time between two questions whether ranks have loaded: a part of a pass, as each question costs
/// a call to each rank.
const ASK_LOADED: Duration = Duration::from_millis(30);
/// Time for which ranks may load before a rollout is given up.
const PREPARE_LIMIT: Duration = Duration::from_secs(12);
/// Passes for which a hold may fail before a rollout is given up.
const MAX_HOLDS: u32 = 4;

/// No rollout has this version.
const NO_VERSION: MapVersion = 0;

/// An order to a rank.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// Load what a map needs.
    Prepare {
        /// Version.
        version: MapVersion,
        /// Map of the whole group.
        map: Arc<GroupMap>,
    },
    /// Use a prepared version from a pass on.
    Arm {
        /// Version.
        version: MapVersion,
        /// Pass.
        pass: Pass,
    },
    /// Take arming back.
    Disarm {
        /// Version.
        version: MapVersion,
    },
    /// Keep the group from beginning a pass.
    Hold {
        /// Pass.
        pass: Pass,
    },
    /// Let the group begin a held pass.
    Go {
        /// Pass.
        pass: Pass,
    },
}

/// An order with its rank. It has effect only in one life of the group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RankOrder {
    /// Rank.
    pub rank: RankIndex,
    /// Life of the group.
    pub epoch: GroupEpoch,
    /// Order.
    pub order: Order,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderResult {
    /// It has taken effect or its effect was there.
    Accepted,
    /// The rank's state does not allow it.
    Refused,
    /// No answer; it may take effect later.
    Unknown,
}

/// How a rollout ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutOutcome {
    /// All ranks use the version from the released pass on.
    Switched,
    /// The version was made impossible and the pass released.
    Invalidated,
    /// Nothing was armed; the group goes on as before.
    Abandoned,
    /// The group began a new life, in which nothing of this holds.
    EpochChanged,
}

impl RolloutOutcome {
    /// Name, for logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Switched => "switched",
            Self::Invalidated => "made_impossible",
            Self::Abandoned => "given_up",
            Self::EpochChanged => "epoch_changed",
        }
    }
}

impl OrderResult {
    /// Name, for logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Refused => "refused",
            Self::Unknown => "unknown",
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Prepare,
    Hold,
    Arm,
    Kill,
    Release,
    Ended(RolloutOutcome),
}

/// What is known of one rank in the present phase.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Progress {
    /// The last order, while its answer is awaited.
    sent: Option<Order>,
    /// Not before.
    due: Now,
    done: bool,
    /// The rank refused, so its state has to be read.
    unclear: bool,
    /// Version whose arming is to be taken back first.
    disarm: Option<MapVersion>,
}

/// One rollout.
#[derive(Clone, Debug)]
pub struct Rollout {
    /// Rank whose hold is used.
    holder: RankIndex,
    epoch: GroupEpoch,
    version: MapVersion,
    map: Arc<GroupMap>,
    /// Map that is prepared in order to make the version impossible: the one in use, which needs
    /// no loading.
    present: Arc<GroupMap>,
    kill_version: MapVersion,
    pass: Pass,
    /// Passes between the choice of a pass and its beginning.
    lead: Pass,
    /// The held pass is later than this one.
    after: Pass,
    holds: u32,
    phase: Phase,
    began: Now,
    /// Time that a rank takes to load.
    loading: Duration,
    /// When all ranks should have loaded.
    loaded_at: Now,
    /// When the present phase began.
    entered: Now,
    ranks: Vec<Progress>,
    /// Since when each rank is known to have had the version prepared.
    prepared: Vec<Option<Now>>,
    /// A rank can never arm the version.
    dead: bool,
    /// Orders get lost, so loading is confirmed and arming begins early.
    lossy: bool,
    /// When ranks that have not confirmed loading are asked next.
    ask_at: Now,
    /// The same as `lead` where orders get lost.
    lossy_lead: Pass,
}

/// What a rollout begins with.
#[derive(Clone, Debug)]
pub struct RolloutParams {
    /// Rank of the process, whose hold is used.
    pub rank: RankIndex,
    /// Ranks of the group.
    pub size: usize,
    /// Life of the group.
    pub epoch: GroupEpoch,
    /// Version, used by this rollout alone.
    pub version: MapVersion,
    /// Higher version for giving up, used by this rollout alone.
    pub kill_version: MapVersion,
    /// Map in use.
    pub present: Arc<GroupMap>,
    /// Passes between the choice of a pass and its beginning, in which all ranks are armed.
    pub lead: Pass,
    /// The same where orders get lost, so that there is time to repeat them before the group has
    /// to wait.
    pub lossy_lead: Pass,
    /// Orders got lost lately.
    pub lossy: bool,
    /// The held pass is later than this one, which orders of earlier rollouts may name.
    pub after: Pass,
}

impl Rollout {
    /// A rollout of a map whose loading takes a time.
    #[must_use]
    pub fn new(now: Now, start: RolloutParams, map: Arc<GroupMap>, loading: Duration) -> Self {
        Self {
            loading,
            loaded_at: now + loading,
            holder: start.rank,
            epoch: start.epoch,
            version: start.version,
            map,
            present: start.present,
            kill_version: start.kill_version,
            pass: 0,
            lead: start.lead,
            after: start.after,
            holds: 0,
            phase: Phase::Prepare,
            began: now,
            entered: now,
            ranks: vec![Progress::default(); start.size],
            prepared: vec![None; start.size],
            dead: false,
            lossy: start.lossy,
            ask_at: now + loading,
            lossy_lead: start.lossy_lead,
        }
    }

    /// Finishes the rollout that another process left with a held pass. `views` are those of all
    /// ranks, asked for after the group began to wait; `holder` is the rank that holds.
    #[must_use]
    pub fn take_over(
        now: Now,
        start: RolloutParams,
        holder: RankIndex,
        pass: Pass,
        views: &[RankView],
    ) -> Self {
        // All ranks accepted the holder's version before it held the pass. A rank that shows none
        // of its versions still loads it, or has taken another one since.
        let of_holder = |v: &MapVersion| owner(*v) == Some(holder);
        let visible = |v: &RankView| [v.armed.map(|a| a.0), v.prepared];
        let versions = views.iter().flat_map(visible).flatten();
        let version = versions.filter(of_holder).max().unwrap_or(NO_VERSION);
        let mut rollout = Self {
            holder,
            version,
            pass,
            ..Self::new(now, start, Arc::default(), Duration::ZERO)
        };
        let has = |v: &RankView| v.prepared == Some(version) || v.armed == Some((version, pass));
        rollout.prepared = views.iter().map(|v| has(v).then_some(now)).collect();
        let phase = if views.iter().all(has) {
            Phase::Arm
        } else {
            Phase::Kill
        };
        rollout.enter(now, phase);
        rollout
    }

    /// Version that is rolled out.
    #[must_use]
    pub fn version(&self) -> MapVersion {
        self.version
    }

    /// Map that is rolled out; empty if another process planned it.
    #[must_use]
    pub fn map(&self) -> &Arc<GroupMap> {
        &self.map
    }

    /// Held pass, or 0 before one was chosen.
    #[must_use]
    pub fn pass(&self) -> Pass {
        self.pass
    }

    /// Rank whose hold is used.
    #[must_use]
    pub fn holder(&self) -> RankIndex {
        self.holder
    }

    /// How it ended, if it did.
    #[must_use]
    pub fn ended(&self) -> Option<RolloutOutcome> {
        match self.phase {
            Phase::Ended(ended) => Some(ended),
            _ => None,
        }
    }

    /// Ranks whose state has to be read before the rollout can go on.
    #[must_use]
    pub fn unclear(&self) -> Vec<RankIndex> {
        let unclear = |(rank, p): (usize, &Progress)| p.unclear.then_some(rank);
        self.ranks.iter().enumerate().filter_map(unclear).collect()
    }

    /// When the next order is due, if one is.
    #[must_use]
    pub fn next_at(&self) -> Option<Now> {
        let waits = |p: &&Progress| !p.done && p.sent.is_none();
        let due = self.ranks.iter().filter(waits).map(|p| p.due).min();
        match self.phase {
            Phase::Prepare => Some(due.unwrap_or(self.ask_at)),
            _ => due,
        }
    }

    /// Orders to send now. `pass` is the last pass that is known to have begun.
    pub fn orders(&mut self, now: Now, pass: Pass) -> Vec<RankOrder> {
        self.advance(now);
        match self.phase {
            Phase::Prepare if now.saturating_sub(self.began) > PREPARE_LIMIT => {
                self.phase = Phase::Ended(RolloutOutcome::Abandoned);
                Vec::new()
            }
            Phase::Prepare if now >= self.ask_at && self.ranks.iter().all(|p| p.done) => {
                self.ask_at = now + ASK_LOADED;
                for (progress, prepared) in self.ranks.iter_mut().zip(&self.prepared) {
                    progress.unclear = prepared.is_none();
                }
                Vec::new()
            }
            // A pass that has begun can't be held any more.
            Phase::Hold if self.pass <= pass => {
                self.choose_pass(now, pass);
                self.due(now)
            }
            Phase::Ended(_) => Vec::new(),
            _ => self.due(now),
        }
    }

    fn due(&mut self, now: Now) -> Vec<RankOrder> {
        let epoch = self.epoch;
        let mut orders = Vec::new();
        for rank in 0..self.ranks.len() {
            let progress = &self.ranks[rank];
            let waits = progress.done || progress.unclear || now < progress.due;
            if waits || progress.sent.is_some() {
                continue;
            }
            let Some(order) = self.order(rank) else {
                continue;
            };
            self.ranks[rank].sent = Some(order.clone());
            orders.push(RankOrder { rank, epoch, order });
        }
        orders
    }

    fn order(&self, rank: RankIndex) -> Option<Order> {
        match self.phase {
            Phase::Prepare => Some(Order::Prepare {
                version: self.version,
                map: Arc::clone(&self.map),
            }),
            Phase::Hold => (rank == self.holder).then_some(Order::Hold { pass: self.pass }),
            Phase::Arm => Some(Order::Arm {
                version: self.version,
                pass: self.pass,
            }),
            Phase::Kill => self.kill_order(rank),
            Phase::Release => (rank == self.holder).then_some(Order::Go { pass: self.pass }),
            Phase::Ended(_) => None,
        }
    }

    /// The version must be impossible on one rank before arming is taken back on any: until then
    /// another process may still find all ranks armed.
    fn kill_order(&self, rank: RankIndex) -> Option<Order> {
        if !self.dead && self.prepared[rank].is_some() {
            return None;
        }
        if let Some(version) = self.ranks[rank].disarm {
            return Some(Order::Disarm { version });
        }
        Some(Order::Prepare {
            version: self.kill_version,
            map: Arc::clone(&self.present),
        })
    }

    /// Takes what became of an order.
    pub fn result(&mut self, now: Now, order: &RankOrder, result: OrderResult) {
        let current = self.order(order.rank);
        let Some(progress) = self.ranks.get_mut(order.rank) else {
            return;
        };
        if order.epoch != self.epoch || progress.sent.as_ref() != Some(&order.order) {
            return;
        }
        progress.sent = None;
        if current.as_ref() != Some(&order.order) {
            // What is known of the rank has changed since, so its state is read again.
            progress.unclear = true;
            return;
        }
        match result {
            OrderResult::Unknown => {
                self.lossy = true;
                progress.due = now + RESEND;
            }
            OrderResult::Accepted => self.accepted(now, order),
            OrderResult::Refused => self.refused(now, order),
        }
    }

    fn accepted(&mut self, now: Now, order: &RankOrder) {
        let progress = &mut self.ranks[order.rank];
        match (&order.order, self.phase) {
            (Order::Disarm { .. }, _) => {
                progress.disarm = None;
                progress.unclear = true;
            }
            (Order::Prepare { .. }, Phase::Prepare) => {
                progress.done = true;
                // An order that was long on its way began to load only then.
                self.loaded_at = self.loaded_at.max(now + self.loading);
                self.ask_at = self.ask_at.max(self.loaded_at);
            }
            (Order::Prepare { .. }, Phase::Kill) => {
                progress.done = true;
                self.dead = true;
            }
            _ => progress.done = true,
        }
        self.advance(now);
    }

    fn refused(&mut self, now: Now, order: &RankOrder) {
        match (&order.order, self.phase) {
            (Order::Hold { .. }, _) if self.holds >= MAX_HOLDS => {
                self.phase = Phase::Ended(RolloutOutcome::Abandoned);
            }
            _ => {
                let progress = &mut self.ranks[order.rank];
                progress.unclear = true;
                progress.due = now + RETRY_REFUSED;
            }
        }
    }

    /// Takes a rank's state that was asked for at `asked`. A state from before the present phase
    /// is no evidence: the rank may have been prepared or armed since.
    pub fn look(&mut self, now: Now, asked: Now, rank: RankIndex, view: &RankView) {
        if asked < self.entered && view.epoch == self.epoch {
            return;
        }
        if self.ended().is_some() || rank >= self.ranks.len() {
            return;
        }
        if view.epoch != self.epoch {
            if view.epoch > self.epoch {
                self.phase = Phase::Ended(RolloutOutcome::EpochChanged);
            }
            return;
        }
        let released = rank == self.holder && view.held != Some(self.pass);
        if released && matches!(self.phase, Phase::Arm | Phase::Kill) {
            // Another process has finished the rollout.
            self.phase = Phase::Ended(RolloutOutcome::Abandoned);
            return;
        }
        match self.phase {
            Phase::Prepare => self.look_prepared(now, rank, view),
            Phase::Hold => self.look_held(now, rank, view),
            Phase::Arm => self.look_armed(now, asked, rank, view),
            Phase::Kill => self.look_killed(now, asked, rank, view),
            Phase::Release => {
                if rank == self.holder && view.held != Some(self.pass) {
                    self.ranks[rank].done = true;
                }
                self.ranks[rank].unclear = false;
            }
            Phase::Ended(_) => {}
        }
        self.advance(now);
    }

    fn look_prepared(&mut self, now: Now, rank: RankIndex, view: &RankView) {
        let progress = &mut self.ranks[rank];
        let was_refused = std::mem::take(&mut progress.unclear);
        if view.prepared == Some(self.version) {
            self.prepared[rank].get_or_insert(now);
            progress.done = true;
            return;
        }
        let newest = view
            .prepared
            .max(Some(view.map))
            .max(view.armed.map(|a| a.0));
        if newest > Some(self.version) || view.armed.is_some() {
            self.phase = Phase::Ended(RolloutOutcome::Abandoned);
        } else if was_refused {
            // It took the version before, without an answer, and still loads.
            progress.done = true;
        }
    }

    fn look_held(&mut self, now: Now, rank: RankIndex, view: &RankView) {
        if rank != self.holder {
            return;
        }
        let progress = &mut self.ranks[rank];
        progress.unclear = false;
        if view.held == Some(self.pass) {
            progress.done = true;
        } else if view.held.is_some() {
            // Another process holds a pass; nothing was armed yet.
            self.phase = Phase::Ended(RolloutOutcome::Abandoned);
        } else if view.pass >= self.pass {
            self.choose_pass(now, view.pass);
        }
    }

    /// Whether a state that was asked for at `asked` is from after the version was seen prepared;
    /// answers may overtake one another.
    fn had_before(&self, rank: RankIndex, asked: Now) -> bool {
        self.prepared[rank].is_some_and(|at| asked >= at)
    }

    fn look_armed(&mut self, now: Now, asked: Now, rank: RankIndex, view: &RankView) {
        let armed = view.armed == Some((self.version, self.pass)) || view.map == self.version;
        let newest = view
            .prepared
            .max(view.armed.map(|a| a.0))
            .max(Some(view.map));
        let has_version = view.prepared == Some(self.version);
        let replaced = !has_version && self.had_before(rank, asked);
        if has_version {
            self.prepared[rank].get_or_insert(now);
        }
        let progress = &mut self.ranks[rank];
        progress.unclear = false;
        if armed {
            progress.done = true;
        } else if view.pass >= self.pass {
            // Somebody else released the pass, or the group was not held.
            self.phase = Phase::Ended(RolloutOutcome::Abandoned);
        } else if !progress.done && (replaced || newest > Some(self.version)) {
            // It has taken a higher version since it accepted this one.
            self.dead = true;
            self.enter(now, Phase::Kill);
        }
    }

    fn look_killed(&mut self, now: Now, asked: Now, rank: RankIndex, view: &RankView) {
        let for_pass = |a: &(MapVersion, Pass)| a.1 == self.pass && owner(a.0) == Some(self.holder);
        if let Some((version, _)) = view.armed.filter(for_pass) {
            // The version was still being loaded when its rollout was taken over.
            self.version = version;
        }
        let armed = view.armed.map(|a| a.0);
        let has_version = view.prepared == Some(self.version) || armed == Some(self.version);
        let switched = view.map == self.version;
        let replaced = !has_version && !switched && self.had_before(rank, asked);
        if has_version {
            self.prepared[rank].get_or_insert(now);
        }
        let progress = &mut self.ranks[rank];
        progress.unclear = false;
        progress.disarm = armed.filter(|v| *v == self.version);
        // A rank that is armed with another version took that one later, or never had this one.
        let other = armed.is_some_and(|v| v != self.version);
        let higher = view.prepared.is_some_and(|v| v >= self.kill_version);
        let impossible = other || higher || view.map >= self.kill_version;
        progress.done = impossible && progress.disarm.is_none();
        self.dead |= replaced || impossible;
    }

    fn advance(&mut self, now: Now) {
        let all = |ranks: &[Progress]| ranks.iter().all(|p| p.done);
        match self.phase {
            Phase::Prepare if all(&self.ranks) && now >= self.loaded_at && self.has_loaded() => {
                self.enter(now, Phase::Hold);
            }
            Phase::Hold if self.ranks[self.holder].done => self.enter(now, Phase::Arm),
            Phase::Arm | Phase::Kill if all(&self.ranks) => self.enter(now, Phase::Release),
            // A rank that lacked the version has it after all.
            Phase::Kill if !self.dead && self.prepared.iter().all(Option::is_some) => {
                self.enter(now, Phase::Arm);
            }
            Phase::Release if self.ranks[self.holder].done => {
                let ended = if self.dead {
                    RolloutOutcome::Invalidated
                } else {
                    RolloutOutcome::Switched
                };
                self.phase = Phase::Ended(ended);
            }
            _ => {}
        }
    }

    /// Whether all ranks have loaded. An order that got lost and was given again began to load
    /// later than planned, so then only the ranks' own word counts: a rank that still loads can't
    /// be armed, and the group would wait for it.
    fn has_loaded(&self) -> bool {
        !self.lossy || self.prepared.iter().all(Option::is_some)
    }

    fn enter(&mut self, now: Now, phase: Phase) {
        self.phase = phase;
        self.entered = now;
        self.ranks.fill(Progress {
            due: now,
            unclear: phase == Phase::Kill,
            ..Progress::default()
        });
    }

    /// Chooses a pass that no order of an earlier rollout of this process names. Those of other
    /// processes are held at other ranks.
    fn choose_pass(&mut self, now: Now, begun: Pass) {
        self.holds += 1;
        let lead = if self.lossy {
            self.lossy_lead
        } else {
            self.lead
        };
        self.pass = (begun + lead.max(1) + 1).max(self.after + 1);
        self.after = self.pass;
        self.ranks[self.holder] = Progress {
            due: now,
            ..Progress::default()
        };
    }
}
