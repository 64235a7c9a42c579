//! Switches all ranks of a group to a new map at the same pass.
//!
//! A rank accepts five orders. `Prepare` loads a version; it is refused if anything is armed or if
//! the rank has had this or a higher version. `Arm` makes a prepared version take effect when a
//! given pass begins, and `Disarm` undoes that. `Hold` keeps the whole group from beginning a pass
//! until `Go`. Any order may be lost, or executed seconds later, after newer ones, and any number
//! of sidecars may send orders at the same time.
//!
//! A rollout prepares a version on all ranks, holds a pass when they should have loaded it, arms
//! all ranks for that pass and releases it. Each version belongs to one sidecar, each rank holds
//! the passes of one sidecar, and neither a version nor a held pass is ever reused. Therefore:
//!
//! - A late `Prepare` of a lower version and a late `Arm` for a pass that has begun are refused.
//! - A late `Arm` for a pass that has not begun is harmless, because no version is armed for two
//!   passes.
//! - A late `Go` releases only its own pass. It is sent only after all ranks are known to be armed,
//!   or known to be unable to arm that version again.
//!
//! A pass is held only after all ranks, in one round of reads, have reported the version as loaded.
//! A rank that stopped answering meanwhile thus delays the rollout and not the group. From then on
//! the rollout continues until all ranks are armed, whichever sidecar drives it. It is abandoned
//! only on evidence that cannot change: a rank that has taken a higher version can never arm this
//! one. Such a rank was never armed before, because an armed rank takes no other version, so no
//! sidecar can have found all ranks armed. The version is then invalidated
//! on every rank by preparing a higher one before the pass is released.
//!
//! A sidecar that crashes or is paused during a rollout leaves a held pass behind. Another sidecar
//! finishes the rollout by the same rules, and later orders of the first one have no effect.
//!
//! The machine of the owner, the sidecar that holds the pass, may become unreachable with its rank.
//! Therefore the pass is held at another rank ([`holder_of`]), and the owner's rank is armed first:
//! no sidecar orders another rank to arm before it knows that the owner's rank has accepted. Any
//! rank that is armed with a version of the owner for the held pass thus proves that the owner's
//! rank was armed, too. This cannot be undone before the pass: an armed rank is disarmed only after
//! some rank has become unable to arm the version without ever having been armed, and that is not
//! the owner's rank. A sidecar that sees such a rank knows the version and the pass, and finishes
//! the rollout without the owner's rank ([`Rollout::finish`]).

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{
    GroupEpoch, GroupMap, MapVersion, Pass, RankIndex, RankView, holder_of, owner_of_hold,
    version_owner,
};
use crate::types::Now;

/// Delay before an unanswered order is sent again. Orders are idempotent, and a held group waits
/// for the answer.
const RESEND_DELAY: Duration = Duration::from_millis(20);
/// Delay before a refused order is sent again: the rank may be about to finish loading.
const REFUSED_RETRY_DELAY: Duration = Duration::from_millis(15);
/// Time between two reads of a rank that still loads: a fraction of a pass.
const LOADED_POLL_INTERVAL: Duration = Duration::from_millis(30);
/// Time for a round of reads in which all ranks report that they have loaded. What a rank reported
/// longer ago does not show that it still answers.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(250);
/// Time after which a rollout that holds no pass yet is abandoned.
const PREPARE_TIMEOUT: Duration = Duration::from_secs(12);
/// Passes for which a hold may be attempted before a rollout is abandoned.
const MAX_HOLD_ATTEMPTS: u32 = 4;

/// Version that no rollout uses.
const NO_VERSION: MapVersion = 0;

/// An order to the engine of a rank.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// Load the experts of a map.
    Prepare {
        /// Version of the map; must be higher than all that the rank has had.
        version: MapVersion,
        /// Map of the whole group; each rank loads its part.
        map: Arc<GroupMap>,
    },
    /// Switch to a prepared version when the given pass begins.
    Arm {
        /// Prepared version to arm.
        version: MapVersion,
        /// First pass that uses the version; must not have begun.
        pass: Pass,
    },
    /// Undo [`Order::Arm`].
    Disarm {
        /// Armed version to disarm.
        version: MapVersion,
    },
    /// Keep the group from beginning the given pass.
    Hold {
        /// Pass to hold; must not have begun.
        pass: Pass,
    },
    /// Release a held pass.
    Go {
        /// Held pass to release.
        pass: Pass,
    },
}

/// An order with its addressee. It takes effect only in the given incarnation of the group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RankOrder {
    /// Rank that the order is for.
    pub rank: RankIndex,
    /// Incarnation of the group in which the order is valid.
    pub epoch: GroupEpoch,
    /// Order for the rank.
    pub order: Order,
}

/// Result of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderResult {
    /// The order has taken effect, or its effect was in place already.
    Accepted,
    /// The state of the rank does not allow the order.
    Refused,
    /// There was no answer; the order may still take effect.
    Unknown,
}

/// How a rollout ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutOutcome {
    /// All ranks use the version from the released pass on.
    Switched,
    /// The version was invalidated on all ranks and the pass released.
    Invalidated,
    /// The rollout stopped without switching the map, or another sidecar finished it.
    Abandoned,
    /// The group began a new incarnation, in which no earlier order is valid.
    EpochChanged,
}

impl RolloutOutcome {
    /// Name of the outcome, for logs.
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
    /// Name of the result, for logs.
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
    Confirm,
    Hold,
    Arm,
    Invalidate,
    Release,
    Ended(RolloutOutcome),
}

/// Progress of one rank in the current phase.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Progress {
    /// Order that was sent and not answered yet.
    sent: Option<Order>,
    /// Earliest time of the next order.
    not_before: Now,
    done: bool,
    /// The state of the rank must be read before the next order.
    needs_view: bool,
    /// Version that must be disarmed first.
    disarm: Option<MapVersion>,
}

/// State of one rollout.
#[derive(Clone, Debug)]
pub struct Rollout {
    /// Rank whose sidecar created the version and holds the pass.
    owner: RankIndex,
    /// Rank at which the pass is held.
    holder: RankIndex,
    /// The owner's rank is known to have been armed with the version for the pass.
    owner_armed: bool,
    epoch: GroupEpoch,
    version: MapVersion,
    map: Arc<GroupMap>,
    /// Map that is prepared to invalidate the version: the one in use, which needs no loading.
    current_map: Arc<GroupMap>,
    /// Higher version that invalidates it; a rollout without one is abandoned instead.
    invalidating_version: Option<MapVersion>,
    pass: Pass,
    /// Passes between choosing a pass to hold and its beginning.
    lead_passes: Pass,
    /// The held pass must be later than this one.
    after_pass: Pass,
    hold_attempts: u32,
    phase: Phase,
    started: Now,
    /// Expected loading time of a rank.
    loading: Duration,
    /// When all ranks are expected to have loaded.
    loaded_at: Now,
    /// When the current phase began.
    phase_started: Now,
    ranks: Vec<Progress>,
    /// Since when each rank is known to have prepared the version.
    prepared: Vec<Option<Now>>,
    /// Some rank can never arm the version.
    unarmable: bool,
    /// Orders were lost lately: a pass further ahead is held.
    lossy: bool,
    /// Value of `lead_passes` while orders get lost.
    lossy_lead_passes: Pass,
}

/// Parameters of a new rollout.
#[derive(Clone, Debug)]
pub struct RolloutParams {
    /// Rank of the sidecar.
    pub rank: RankIndex,
    /// Number of ranks in the group.
    pub size: usize,
    /// Incarnation of the group.
    pub epoch: GroupEpoch,
    /// Version to roll out; no other rollout uses it.
    pub version: MapVersion,
    /// Higher version that invalidates it; no other rollout uses it.
    pub invalidating_version: MapVersion,
    /// Map that the ranks use now.
    pub current_map: Arc<GroupMap>,
    /// Passes between choosing a pass to hold and its beginning, in which all ranks are armed.
    pub lead_passes: Pass,
    /// The same while orders get lost, which leaves time to repeat them before the group has to
    /// wait.
    pub lossy_lead_passes: Pass,
    /// Orders were lost lately.
    pub lossy: bool,
    /// The held pass must be later than this one, which orders of earlier rollouts may name.
    pub after_pass: Pass,
}

impl Rollout {
    /// Starts the rollout of `map`, which ranks load in about `loading`.
    #[must_use]
    pub fn new(now: Now, params: RolloutParams, map: Arc<GroupMap>, loading: Duration) -> Self {
        Self {
            loading,
            loaded_at: now + loading,
            owner: params.rank,
            holder: holder_of(params.rank, params.size),
            owner_armed: false,
            epoch: params.epoch,
            version: params.version,
            map,
            current_map: params.current_map,
            invalidating_version: Some(params.invalidating_version),
            pass: 0,
            lead_passes: params.lead_passes,
            after_pass: params.after_pass,
            hold_attempts: 0,
            phase: Phase::Prepare,
            started: now,
            phase_started: now,
            ranks: vec![Progress::default(); params.size],
            prepared: vec![None; params.size],
            unarmable: false,
            lossy: params.lossy,
            lossy_lead_passes: params.lossy_lead_passes,
        }
    }

    /// Takes over a rollout that another sidecar left with a held pass. `views` are the states of
    /// all ranks, read after the group began to wait; `holder` is the rank at which the pass is
    /// held.
    #[must_use]
    pub fn take_over(
        now: Now,
        params: RolloutParams,
        holder: RankIndex,
        pass: Pass,
        views: &[RankView],
    ) -> Self {
        // All ranks accepted the owner's version before it held the pass. A rank that shows none of
        // its versions either still loads it or has taken another one since.
        let owner = owner_of_hold(holder, params.size);
        let of_owner = |v: &MapVersion| version_owner(*v) == Some(owner);
        let visible = |v: &RankView| [v.armed.map(|a| a.0), v.prepared];
        let versions = views.iter().flat_map(visible).flatten();
        let version = versions.filter(of_owner).max().unwrap_or(NO_VERSION);
        let is_armed = |v: &RankView| v.armed == Some((version, pass));
        let mut rollout = Self {
            owner,
            holder,
            owner_armed: views.iter().any(is_armed),
            version,
            pass,
            ..Self::new(now, params, Arc::default(), Duration::ZERO)
        };
        let has = |v: &RankView| v.prepared == Some(version) || is_armed(v);
        rollout.prepared = views.iter().map(|v| has(v).then_some(now)).collect();
        let phase = if views.iter().all(has) {
            Phase::Arm
        } else {
            Phase::Invalidate
        };
        rollout.enter(now, phase);
        rollout
    }

    /// Finishes a rollout that its owner left with `pass` held at `holder`, after some rank was seen
    /// armed with `version`, a version of the owner, for that pass. The owner's rank need not be
    /// reachable.
    #[must_use]
    pub fn finish(
        now: Now,
        epoch: GroupEpoch,
        size: usize,
        holder: RankIndex,
        (version, pass): (MapVersion, Pass),
    ) -> Self {
        let owner = owner_of_hold(holder, size);
        debug_assert_eq!(version_owner(version), Some(owner));
        let params = RolloutParams {
            rank: owner,
            size,
            epoch,
            version,
            invalidating_version: NO_VERSION,
            current_map: Arc::default(),
            lead_passes: 0,
            lossy_lead_passes: 0,
            lossy: false,
            after_pass: pass,
        };
        let mut rollout = Self {
            pass,
            owner_armed: true,
            invalidating_version: None,
            ..Self::new(now, params, Arc::default(), Duration::ZERO)
        };
        rollout.enter(now, Phase::Arm);
        rollout
    }

    /// Version that the rollout switches to.
    #[must_use]
    pub fn version(&self) -> MapVersion {
        self.version
    }

    /// Map that the rollout switches to; empty if another sidecar planned it.
    #[must_use]
    pub fn map(&self) -> &Arc<GroupMap> {
        &self.map
    }

    /// Pass to be held; 0 before one is chosen.
    #[must_use]
    pub fn pass(&self) -> Pass {
        self.pass
    }

    /// Rank whose sidecar holds the pass.
    #[must_use]
    pub fn owner(&self) -> RankIndex {
        self.owner
    }

    /// Outcome of the rollout, once it has ended.
    #[must_use]
    pub fn ended(&self) -> Option<RolloutOutcome> {
        match self.phase {
            Phase::Ended(ended) => Some(ended),
            _ => None,
        }
    }

    /// Ranks whose state must be read before the rollout can continue.
    #[must_use]
    pub fn ranks_to_read(&self) -> Vec<RankIndex> {
        let to_read = |(rank, p): (usize, &Progress)| p.needs_view.then_some(rank);
        self.ranks.iter().enumerate().filter_map(to_read).collect()
    }

    /// When the rollout has to act next, unless it waits for an answer.
    #[must_use]
    pub fn next_at(&self) -> Option<Now> {
        let waits = |p: &&Progress| !p.done && p.sent.is_none();
        let due = self.ranks.iter().filter(waits).map(|p| p.not_before).min();
        match self.phase {
            Phase::Prepare => Some(due.unwrap_or(self.loaded_at)),
            Phase::Confirm => Some(self.next_confirmation()),
            _ => due,
        }
    }

    /// Returns the orders to send now. `pass` is the last pass that is known to have begun.
    pub fn orders(&mut self, now: Now, pass: Pass) -> Vec<RankOrder> {
        self.advance(now);
        match self.phase {
            Phase::Prepare | Phase::Confirm
                if now.saturating_sub(self.started) > PREPARE_TIMEOUT =>
            {
                self.phase = Phase::Ended(RolloutOutcome::Abandoned);
                Vec::new()
            }
            Phase::Confirm => {
                self.request_confirmations(now);
                Vec::new()
            }
            // A pass that has begun can no longer be held.
            Phase::Hold if self.pass <= pass => {
                self.choose_pass(now, pass);
                self.due_orders(now)
            }
            Phase::Ended(_) => Vec::new(),
            _ => self.due_orders(now),
        }
    }

    fn due_orders(&mut self, now: Now) -> Vec<RankOrder> {
        let epoch = self.epoch;
        let mut orders = Vec::new();
        for rank in 0..self.ranks.len() {
            let progress = &self.ranks[rank];
            let waits = progress.done || progress.needs_view || now < progress.not_before;
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
            Phase::Arm => (self.owner_armed || rank == self.owner).then_some(Order::Arm {
                version: self.version,
                pass: self.pass,
            }),
            Phase::Invalidate => self.invalidate_order(rank),
            Phase::Release => (rank == self.holder).then_some(Order::Go { pass: self.pass }),
            Phase::Confirm | Phase::Ended(_) => None,
        }
    }

    /// Time of the next read that confirms the loading of a rank, or of the next round of reads.
    fn next_confirmation(&self) -> Now {
        let waits = |p: &&Progress| !p.done && !p.needs_view;
        let reads = self.ranks.iter().filter(waits).map(|p| p.not_before);
        reads.fold(self.phase_started + CONFIRM_TIMEOUT, Now::min)
    }

    /// Has all ranks read, or those that still load, if the present round has not ended.
    fn request_confirmations(&mut self, now: Now) {
        if now.saturating_sub(self.phase_started) >= CONFIRM_TIMEOUT {
            self.enter(now, Phase::Confirm);
        }
        for progress in &mut self.ranks {
            progress.needs_view |= !progress.done && now >= progress.not_before;
        }
    }

    /// Some rank must be unable to arm the version before any rank is disarmed: until then another
    /// sidecar may still find all ranks armed.
    fn invalidate_order(&self, rank: RankIndex) -> Option<Order> {
        if !self.unarmable && self.prepared[rank].is_some() {
            return None;
        }
        if let Some(version) = self.ranks[rank].disarm {
            return Some(Order::Disarm { version });
        }
        Some(Order::Prepare {
            version: self.invalidating_version?,
            map: Arc::clone(&self.current_map),
        })
    }

    /// Processes the result of an order.
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
            // The order does not fit the current knowledge any more, so the state of the rank is
            // read again.
            progress.needs_view = true;
            return;
        }
        match result {
            OrderResult::Unknown => {
                self.lossy = true;
                progress.not_before = now + RESEND_DELAY;
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
                progress.needs_view = true;
            }
            (Order::Prepare { .. }, Phase::Prepare) => {
                progress.done = true;
                // A delayed order starts loading only when it is accepted.
                self.loaded_at = self.loaded_at.max(now + self.loading);
            }
            (Order::Prepare { .. }, Phase::Invalidate) => {
                progress.done = true;
                self.unarmable = true;
            }
            (Order::Arm { .. }, _) => {
                progress.done = true;
                self.owner_armed |= order.rank == self.owner;
            }
            _ => progress.done = true,
        }
        self.advance(now);
    }

    fn refused(&mut self, now: Now, order: &RankOrder) {
        match (&order.order, self.phase) {
            (Order::Hold { .. }, _) if self.hold_attempts >= MAX_HOLD_ATTEMPTS => {
                self.phase = Phase::Ended(RolloutOutcome::Abandoned);
            }
            _ => {
                let progress = &mut self.ranks[order.rank];
                progress.needs_view = true;
                progress.not_before = now + REFUSED_RETRY_DELAY;
            }
        }
    }

    /// Processes a rank's state that was requested at `requested_at`. A state from before the
    /// current phase is no evidence: the rank may have been prepared or armed since.
    pub fn observe(&mut self, now: Now, requested_at: Now, rank: RankIndex, view: &RankView) {
        if requested_at < self.phase_started && view.epoch == self.epoch {
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
        let not_held = rank == self.holder && view.held != Some(self.pass);
        if not_held && matches!(self.phase, Phase::Arm | Phase::Invalidate) {
            // Another sidecar has finished the rollout and released the pass.
            self.phase = Phase::Ended(RolloutOutcome::Abandoned);
            return;
        }
        match self.phase {
            Phase::Prepare | Phase::Confirm => self.observe_prepare(now, rank, view),
            Phase::Hold => self.observe_hold(now, rank, view),
            Phase::Arm => self.observe_arm(now, requested_at, rank, view),
            Phase::Invalidate => self.observe_invalidate(now, requested_at, rank, view),
            Phase::Release => {
                if rank == self.holder && view.held != Some(self.pass) {
                    self.ranks[rank].done = true;
                }
                self.ranks[rank].needs_view = false;
            }
            Phase::Ended(_) => {}
        }
        self.advance(now);
    }

    fn observe_prepare(&mut self, now: Now, rank: RankIndex, view: &RankView) {
        let progress = &mut self.ranks[rank];
        let was_refused = std::mem::take(&mut progress.needs_view);
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
        } else if self.phase == Phase::Confirm {
            progress.not_before = now + LOADED_POLL_INTERVAL;
        } else if was_refused {
            // The rank accepted the version earlier, without an answer, and still loads it.
            progress.done = true;
        }
    }

    fn observe_hold(&mut self, now: Now, rank: RankIndex, view: &RankView) {
        if rank != self.holder {
            return;
        }
        let progress = &mut self.ranks[rank];
        progress.needs_view = false;
        if view.held == Some(self.pass) {
            progress.done = true;
        } else if view.held.is_some() {
            // Another sidecar holds a pass; nothing has been armed yet.
            self.phase = Phase::Ended(RolloutOutcome::Abandoned);
        } else if view.pass >= self.pass {
            self.choose_pass(now, view.pass);
        }
    }

    /// Whether the rank was seen with the version prepared no later than `requested_at`, which
    /// matters because answers may arrive out of order.
    fn was_prepared_by(&self, rank: RankIndex, requested_at: Now) -> bool {
        self.prepared[rank].is_some_and(|at| requested_at >= at)
    }

    fn observe_arm(&mut self, now: Now, requested_at: Now, rank: RankIndex, view: &RankView) {
        let armed = view.armed == Some((self.version, self.pass)) || view.map == self.version;
        let newest = view
            .prepared
            .max(view.armed.map(|a| a.0))
            .max(Some(view.map));
        let has_version = view.prepared == Some(self.version);
        let replaced = !has_version && self.was_prepared_by(rank, requested_at);
        if has_version {
            self.prepared[rank].get_or_insert(now);
        }
        let progress = &mut self.ranks[rank];
        progress.needs_view = false;
        if armed {
            progress.done = true;
            self.owner_armed = true;
            self.ranks[self.owner].done = true;
        } else if view.pass >= self.pass {
            // Another sidecar released the pass, or the group was not held.
            self.phase = Phase::Ended(RolloutOutcome::Abandoned);
        } else if !progress.done && (replaced || newest > Some(self.version)) {
            // The rank has taken a higher version since it accepted this one.
            if self.invalidating_version.is_some() {
                self.unarmable = true;
                self.enter(now, Phase::Invalidate);
            } else {
                self.phase = Phase::Ended(RolloutOutcome::Abandoned);
            }
        }
    }

    fn observe_invalidate(
        &mut self,
        now: Now,
        requested_at: Now,
        rank: RankIndex,
        view: &RankView,
    ) {
        let Some(invalidating_version) = self.invalidating_version else {
            return;
        };
        let for_pass =
            |a: &(MapVersion, Pass)| a.1 == self.pass && version_owner(a.0) == Some(self.owner);
        if let Some((version, _)) = view.armed.filter(for_pass) {
            // The version was still being loaded when the rollout was taken over.
            self.version = version;
            self.owner_armed = true;
        }
        let armed = view.armed.map(|a| a.0);
        let has_version = view.prepared == Some(self.version) || armed == Some(self.version);
        let switched = view.map == self.version;
        let replaced = !has_version && !switched && self.was_prepared_by(rank, requested_at);
        if has_version {
            self.prepared[rank].get_or_insert(now);
        }
        let progress = &mut self.ranks[rank];
        progress.needs_view = false;
        progress.disarm = armed.filter(|v| *v == self.version);
        // A rank that is armed with another version took it later, or never had this one.
        let other = armed.is_some_and(|v| v != self.version);
        let higher = view.prepared.is_some_and(|v| v >= invalidating_version);
        let impossible = other || higher || view.map >= invalidating_version;
        progress.done = impossible && progress.disarm.is_none();
        self.unarmable |= replaced || impossible;
    }

    fn advance(&mut self, now: Now) {
        let all = |ranks: &[Progress]| ranks.iter().all(|p| p.done);
        match self.phase {
            Phase::Prepare if all(&self.ranks) && now >= self.loaded_at => {
                self.enter(now, Phase::Confirm);
            }
            Phase::Confirm if all(&self.ranks) => self.enter(now, Phase::Hold),
            Phase::Hold if self.ranks[self.holder].done => self.enter(now, Phase::Arm),
            Phase::Arm | Phase::Invalidate if all(&self.ranks) => self.enter(now, Phase::Release),
            // A rank that seemed to lack the version has prepared it.
            Phase::Invalidate if !self.unarmable && self.prepared.iter().all(Option::is_some) => {
                self.enter(now, Phase::Arm);
            }
            Phase::Release if self.ranks[self.holder].done => {
                let ended = if self.unarmable {
                    RolloutOutcome::Invalidated
                } else {
                    RolloutOutcome::Switched
                };
                self.phase = Phase::Ended(ended);
            }
            _ => {}
        }
    }

    fn enter(&mut self, now: Now, phase: Phase) {
        self.phase = phase;
        self.phase_started = now;
        self.ranks.fill(Progress {
            not_before: now,
            needs_view: matches!(phase, Phase::Confirm | Phase::Invalidate),
            ..Progress::default()
        });
        self.ranks[self.owner].done = phase == Phase::Arm && self.owner_armed;
    }

    /// Chooses a pass that no order of an earlier rollout of this sidecar names. Other sidecars
    /// hold their passes at other ranks, see [`holder_of`].
    fn choose_pass(&mut self, now: Now, begun: Pass) {
        self.hold_attempts += 1;
        let lead_passes = if self.lossy {
            self.lossy_lead_passes
        } else {
            self.lead_passes
        };
        self.pass = (begun + lead_passes.max(1) + 1).max(self.after_pass + 1);
        self.after_pass = self.pass;
        self.ranks[self.holder] = Progress {
            not_before: now,
            ..Progress::default()
        };
    }
}
