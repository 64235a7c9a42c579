//! The group as seen by one sidecar: drives the state machine that leads.

mod events;
mod search;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use eelgrasshold_core::ranks::counts::Selections;
use eelgrasshold_core::ranks::overlay::{Branch, split_by_place};
use eelgrasshold_core::ranks::reads::ReadsInFlight;
use eelgrasshold_core::ranks::{
    GroupEpoch, Input, Leader, LeaderSettings, MapVersion, Order, OrderResult, Output, RankIndex,
    RankOrder, RankView, ReadScope,
};
use eelgrasshold_core::types::{DataCentreId, Now};
use futures::StreamExt;
use futures::stream::FuturesUnordered;

pub(super) use search::Candidate;

use super::local::LocalRank;
use super::lock;
use super::overlay::Links;
use super::remote::RemoteRank;
use super::wire::{Call, Caller, Member, RankReply, Reply, Task, WireOrder};
use crate::runtime::{Clock, Timeline};

/// Interval at which a sidecar that does not lead reads its local rank.
const LOCAL_READ_INTERVAL: Duration = Duration::from_secs(1);
/// The same until the rank is known: the engine may start at the same time.
const FIRST_READ_INTERVAL: Duration = Duration::from_millis(200);
/// Time limit of a call along the tree: a call to an engine, and a hop at each level.
const TREE_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for which a rank that did not answer is called outside the tree, where it delays no other.
const SUSPECT_TIME: Duration = Duration::from_secs(3);

#[derive(Debug)]
struct KnownRank {
    remote: Arc<RemoteRank>,
    data_centre: DataCentreId,
    last_answer_at: Now,
    suspect_until: Now,
}

/// A known rank, for one call.
#[derive(Clone, Debug)]
struct Addressee {
    rank: RankIndex,
    remote: Arc<RemoteRank>,
    data_centre: DataCentreId,
    suspect: bool,
}

/// What a group's driver needs of its process.
#[derive(Debug)]
pub(super) struct Surroundings {
    pub(super) clock: Clock,
    pub(super) timeline: Timeline,
    pub(super) local: Arc<LocalRank>,
    pub(super) links: Arc<Links>,
    /// Address of the local sidecar.
    pub(super) sidecar: SocketAddr,
    /// Age of the state that an engine reports to hosts other than its own.
    pub(super) report_lag: Duration,
}

/// The group of the local rank.
#[derive(Debug)]
pub(super) struct Group {
    clock: Clock,
    timeline: Timeline,
    local: Arc<LocalRank>,
    links: Arc<Links>,
    local_sidecar: SocketAddr,
    experts: usize,
    fanout: usize,
    /// Age of the state that an engine reports to hosts other than its own.
    report_lag: Duration,
    leader: Mutex<Leader>,
    ranks: Mutex<BTreeMap<RankIndex, KnownRank>>,
    reads: Mutex<ReadsInFlight>,
    outputs: tokio::sync::mpsc::UnboundedSender<(String, Vec<Output>)>,
}

impl Group {
    /// The group of the local rank. The caller must pass the items of `outputs` to
    /// [`Self::execute_outputs`].
    pub(super) fn new(
        surroundings: Surroundings,
        settings: LeaderSettings,
        outputs: tokio::sync::mpsc::UnboundedSender<(String, Vec<Output>)>,
    ) -> Self {
        let Surroundings {
            clock,
            timeline,
            local,
            links,
            sidecar,
            report_lag,
        } = surroundings;
        Self {
            clock,
            timeline,
            local,
            links,
            local_sidecar: sidecar,
            experts: settings.layout.experts as usize,
            fanout: settings.fanout,
            report_lag,
            leader: Mutex::new(Leader::new(clock.now(), settings)),
            ranks: Mutex::new(BTreeMap::new()),
            reads: Mutex::new(ReadsInFlight::default()),
            outputs,
        }
    }

    /// Passes an input to the state machine and queues its outputs, with the group that they are for.
    pub(super) fn handle_input(&self, input: Input) {
        self.handle_locked(&mut lock(&self.leader), input);
    }

    fn handle_locked(&self, leader: &mut Leader, input: Input) {
        let outputs = leader.handle(self.clock.now(), input);
        if !outputs.is_empty() {
            // The receiver is dropped only when the process stops.
            let _ = self.outputs.send((leader.group().to_owned(), outputs));
        }
    }

    /// Passes on what a call to the ranks of a group yielded, unless the local engine has left that group.
    fn handle_answer(&self, group: &str, input: Input) {
        let mut leader = lock(&self.leader);
        if leader.group() == group {
            self.handle_locked(&mut leader, input);
        }
    }

    fn caller(&self, group: &str, leader: Option<RankIndex>) -> Caller {
        Caller {
            service: self.local.service().to_owned(),
            group: group.to_owned(),
            leader,
        }
    }

    /// Reads the local rank at intervals and drives the timer of the state machine; never returns.
    pub(super) async fn run(self: Arc<Self>) {
        let mut next_local_read = Now::ZERO;
        loop {
            let now = self.clock.now();
            let leads = lock(&self.leader).leads();
            if now >= next_local_read && !leads {
                let known = self.local.view().is_some();
                next_local_read = now
                    + if known {
                        LOCAL_READ_INTERVAL
                    } else {
                        FIRST_READ_INTERVAL
                    };
                if let Some((view, before)) = self.local.refresh().await {
                    if before.is_some_and(|b| b.epoch != view.epoch || b.group != view.group) {
                        // Other engines may form the group in the new epoch.
                        lock(&self.ranks).clear();
                    }
                    self.handle_input(Input::OwnView(view));
                }
            }
            self.handle_input(Input::Tick);
            let at = lock(&self.leader).next_tick(self.clock.now());
            tokio::time::sleep_until(self.clock.instant(at)).await;
        }
    }

    /// Executes outputs of the state machine that are for `name`. Reads of the same scope, and equal orders, are sent
    /// to all their ranks together.
    pub(super) fn execute_outputs(self: &Arc<Self>, name: &str, outputs: Vec<Output>) {
        let mut reads: BTreeMap<ReadScope, Vec<RankIndex>> = BTreeMap::new();
        let mut orders: Vec<(GroupEpoch, Order, Vec<RankIndex>)> = Vec::new();
        for output in outputs {
            match output {
                Output::Read(rank, scope) => reads.entry(scope).or_default().push(rank),
                Output::Send(RankOrder { rank, epoch, order }) => {
                    match orders.iter_mut().find(|o| o.0 == epoch && o.1 == order) {
                        Some((_, _, ranks)) => ranks.push(rank),
                        None => orders.push((epoch, order, vec![rank])),
                    }
                }
                Output::Event(event) => self.record_event(&event),
            }
        }
        for (scope, ranks) in reads {
            let ranks = lock(&self.reads).begin(scope, ranks);
            if ranks.is_empty() {
                continue;
            }
            let (group, name) = (Arc::clone(self), name.to_owned());
            tokio::spawn(async move { group.read(&name, ranks, scope).await });
        }
        for (epoch, order, ranks) in orders {
            let (group, name) = (Arc::clone(self), name.to_owned());
            tokio::spawn(async move { group.order(&name, epoch, order, ranks).await });
        }
    }

    /// Splits ranks into the local one and the branches of a tree of the others. Ranks that are
    /// not known are left out.
    fn branches(&self, mut ranks: Vec<RankIndex>) -> (Option<RankIndex>, Vec<Branch<Addressee>>) {
        let own = self.local.rank();
        let local = own.filter(|own| ranks.contains(own));
        ranks.retain(|rank| Some(*rank) != own);
        let now = self.clock.now();
        let known = lock(&self.ranks);
        let addressee = |rank: RankIndex| {
            let known = known.get(&rank)?;
            Some(Addressee {
                rank,
                remote: Arc::clone(&known.remote),
                data_centre: known.data_centre.clone(),
                suspect: now < known.suspect_until,
            })
        };
        let addressees = ranks.into_iter().filter_map(addressee).collect();
        let place = |a: &Addressee| a.data_centre.clone();
        let branches = split_by_place(addressees, self.fanout, place, |a| a.suspect);
        (local, branches)
    }

    async fn read(&self, group: &str, ranks: Vec<RankIndex>, scope: ReadScope) {
        let requested_at = self.clock.now();
        let (local, branches) = self.branches(ranks.clone());
        let called: BTreeSet<RankIndex> = branches
            .iter()
            .flat_map(|b| std::iter::once(&b.child).chain(&b.members))
            .map(|a| a.rank)
            .collect();
        // Ranks whose address is not known are not read, and the local one answers at once.
        let left_out: Vec<RankIndex> = ranks
            .into_iter()
            .filter(|rank| !called.contains(rank))
            .collect();
        lock(&self.reads).end(scope, &left_out);
        let (direct, trees): (Vec<_>, Vec<_>) = branches.into_iter().partition(|b| b.child.suspect);
        let leader = lock(&self.leader).polling_rank();
        let call = Call {
            caller: self.caller(group, leader),
            task: Task::Read(scope),
        };
        let mut calls: FuturesUnordered<_> = trees
            .into_iter()
            .map(|branch| self.call_branch(branch, call.clone()))
            .collect();
        let mut selections = Selections::default();
        let in_tree = async {
            if let Some(rank) = local {
                let answers = self.local.carry_out(rank, &call).await;
                selections.add(&answers.selections);
                self.follow_local_engine(group, rank, &answers.ranks);
                self.handle_readings(group, requested_at, answers.ranks);
            }
            while let Some((called, reply)) = calls.next().await {
                lock(&self.reads).end(scope, &called);
                selections.add(&reply.selections());
                self.handle_readings(group, requested_at, reply.ranks);
            }
            if !selections.is_empty() {
                self.handle_answer(group, Input::Selected(selections));
            }
        };
        let directly = direct
            .into_iter()
            .map(|b| self.read_directly(requested_at, &call.caller, b.child, scope));
        tokio::join!(in_tree, futures::future::join_all(directly));
    }

    async fn read_directly(
        &self,
        requested_at: Now,
        caller: &Caller,
        to: Addressee,
        scope: ReadScope,
    ) {
        let reading = to.remote.read(caller, to.rank, scope).await;
        lock(&self.reads).end(scope, &[to.rank]);
        if let Some(reading) = reading {
            let lag = if reading.from_engine {
                self.report_lag
            } else {
                Duration::ZERO
            };
            let requested_at = requested_at.saturating_sub(lag);
            self.handle_readings(&caller.group, requested_at, vec![(to.rank, reading.reply)]);
        }
    }

    /// Calls the members of a branch; those that do not answer become suspects.
    async fn call_branch(&self, branch: Branch<Addressee>, call: Call) -> (Vec<RankIndex>, Reply) {
        let member = |a: &Addressee| Member {
            rank: a.rank,
            sidecar: a.remote.sidecar(),
        };
        let members: Vec<Member> = branch.members.iter().map(member).collect();
        let child = member(&branch.child);
        let mut called = vec![child.rank];
        called.extend(members.iter().map(|m| m.rank));
        let deadline = Instant::now() + TREE_TIMEOUT;
        let answer = self.links.call(child, call, members, deadline).await;
        let reply = answer.unwrap_or_else(|error| {
            log::info!("the branch of rank {} did not answer: {error}", child.rank);
            self.record_silence(child.rank, branch.members.len());
            Reply::default()
        });
        let now = self.clock.now();
        let mut known = lock(&self.ranks);
        for rank in &called {
            if let Some(known) = known.get_mut(rank) {
                if reply.ranks.iter().any(|(answered, _)| answered == rank) {
                    known.last_answer_at = now;
                } else {
                    known.suspect_until = now + SUSPECT_TIME;
                }
            }
        }
        drop(known);
        (called, reply)
    }

    /// Takes over the position of the local engine if it is not `rank` of `group` any more. A leader reads it
    /// only as one of the ranks that it polls.
    fn follow_local_engine(
        &self,
        group: &str,
        rank: RankIndex,
        replies: &[(RankIndex, RankReply)],
    ) {
        let views = replies.iter().filter_map(|(_, reply)| match reply {
            RankReply::View(view) | RankReply::Held(view, ..) => Some(view),
            RankReply::Result(_) | RankReply::UnknownBase => None,
        });
        for view in views.filter(|v| v.rank != rank || v.group != group) {
            lock(&self.ranks).clear();
            self.local.record(view.clone());
            self.handle_input(Input::OwnView(view.clone()));
        }
    }

    fn handle_readings(
        &self,
        group: &str,
        requested_at: Now,
        replies: Vec<(RankIndex, RankReply)>,
    ) {
        for (rank, reply) in replies {
            let (view, held): (RankView, Option<(MapVersion, _)>) = match reply {
                RankReply::View(view) => (view, None),
                RankReply::Held(view, version, held) => (view, Some((version, held))),
                RankReply::Result(_) | RankReply::UnknownBase => continue,
            };
            let mut ranks = lock(&self.ranks);
            if view.rank != rank || view.group != group {
                // The engine is a different rank now.
                ranks.remove(&rank);
                continue;
            }
            if let Some(known) = ranks.get_mut(&rank) {
                known.last_answer_at = self.clock.now();
            }
            drop(ranks);
            // The map may have changed between the reads of the state and of the held experts.
            let held = held.filter(|h| h.0 == view.map).map(|h| h.1);
            let read = Input::Read {
                requested_at,
                view,
                held,
            };
            self.handle_answer(group, read);
        }
    }

    async fn order(&self, group: &str, epoch: GroupEpoch, order: Order, ranks: Vec<RankIndex>) {
        let base = lock(&self.leader).current_map();
        let encoded = WireOrder::encode(&order, base.as_ref());
        let mut unknown = ranks.clone();
        let lacking = self
            .order_all(group, epoch, &order, encoded, ranks, &mut unknown)
            .await;
        if !lacking.is_empty() {
            let whole = WireOrder::Whole(order.clone());
            self.order_all(group, epoch, &order, whole, lacking, &mut unknown)
                .await;
        }
        for rank in unknown {
            self.handle_result(group, rank, epoch, &order, OrderResult::Unknown);
        }
    }

    /// Sends an order to ranks and removes those whose result is known from `unknown`. Returns the
    /// ranks that do not know the map to which the encoded order refers.
    async fn order_all(
        &self,
        group: &str,
        epoch: GroupEpoch,
        order: &Order,
        encoded: WireOrder,
        ranks: Vec<RankIndex>,
        unknown: &mut Vec<RankIndex>,
    ) -> Vec<RankIndex> {
        let (local, branches) = self.branches(ranks);
        let call = &Call {
            caller: self.caller(group, self.local.rank()),
            task: Task::Execute(epoch, encoded.clone()),
        };
        let own = async {
            match local {
                Some(rank) => self.local.carry_out(rank, call).await.ranks,
                None => Vec::new(),
            }
        };
        let send = |branch: Branch<Addressee>| {
            let encoded = encoded.clone();
            async move {
                if !branch.child.suspect {
                    return self.call_branch(branch, call.clone()).await.1.ranks;
                }
                let rank = branch.child.rank;
                let order = RankOrder {
                    rank,
                    epoch,
                    order: order.clone(),
                };
                let remote = branch.child.remote;
                let result = remote.execute(&call.caller, &order, encoded).await;
                vec![(rank, RankReply::Result(result))]
            }
        };
        let mut lacking = Vec::new();
        let mut handle = |replies: Vec<(RankIndex, RankReply)>| {
            for (rank, reply) in replies {
                match reply {
                    RankReply::Result(result) if unknown.contains(&rank) => {
                        unknown.retain(|r| *r != rank);
                        self.handle_result(group, rank, epoch, order, result);
                    }
                    RankReply::UnknownBase => lacking.push(rank),
                    _ => {}
                }
            }
        };
        let mut calls: FuturesUnordered<_> = branches.into_iter().map(send).collect();
        handle(own.await);
        while let Some(replies) = calls.next().await {
            handle(replies);
        }
        lacking
    }

    fn handle_result(
        &self,
        group: &str,
        rank: RankIndex,
        epoch: GroupEpoch,
        order: &Order,
        result: OrderResult,
    ) {
        let order = RankOrder {
            rank,
            epoch,
            order: order.clone(),
        };
        self.record_order(&order, result);
        self.handle_answer(group, Input::Result(order, result));
    }
}
