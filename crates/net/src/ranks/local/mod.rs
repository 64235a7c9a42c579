//! The rank beside which a sidecar runs.

use std::net::SocketAddr;
use std::sync::Mutex;

use eelgrasshold_core::gateway::load_reports::LoadReport;
use eelgrasshold_core::ranks::counts::{Reporter, Selections};
use eelgrasshold_core::ranks::{
    GroupEpoch, GroupMap, KnownMaps, MapVersion, Order, RankIndex, RankOrder, RankView, ReadScope,
};

use super::engine::{Engine, RankReading};
use super::lock;
use super::wire::{Answers, Call, Caller, RankReply, Task, WireOrder};
use crate::runtime::Clock;

/// The local engine, and what its sidecar knows without asking it.
#[derive(Debug)]
pub(super) struct LocalRank {
    clock: Clock,
    service: String,
    engine: Engine,
    sets: usize,
    experts: usize,
    view: Mutex<Option<RankView>>,
    reporter: Mutex<Reporter>,
    /// Maps whose versions this sidecar passed on to its engine, and the group that they are of.
    maps: Mutex<(String, KnownMaps)>,
}

impl LocalRank {
    /// The rank of the engine at `address`; `sets` and `experts` are the sizes of its maps.
    pub(super) fn new(
        clock: Clock,
        service: &str,
        address: SocketAddr,
        sets: usize,
        experts: usize,
    ) -> Self {
        Self {
            clock,
            service: service.to_owned(),
            engine: Engine::new(address, experts),
            sets,
            experts,
            view: Mutex::new(None),
            reporter: Mutex::new(Reporter::default()),
            maps: Mutex::default(),
        }
    }

    /// The state of the rank when it was last read.
    pub(super) fn view(&self) -> Option<RankView> {
        lock(&self.view).clone()
    }

    /// Position of the rank in its group, if it is known.
    pub(super) fn rank(&self) -> Option<RankIndex> {
        lock(&self.view).as_ref().map(|v| v.rank)
    }

    /// Whether the rank was in the caller's group when it was last read.
    pub(super) fn is_in_group_of(&self, caller: &Caller) -> bool {
        let view = lock(&self.view);
        let in_group = view.as_ref().is_some_and(|v| v.group == caller.group);
        in_group && caller.service == self.service
    }

    /// Service of the engine.
    pub(super) fn service(&self) -> &str {
        &self.service
    }

    /// Records a state that was read by [`Self::carry_out`].
    pub(super) fn record(&self, view: RankView) {
        *lock(&self.view) = Some(view);
    }

    /// Reads the load of the engine.
    pub(super) async fn load(&self) -> Option<LoadReport> {
        self.engine.load().await
    }

    /// Reads the state; returns it with the one before.
    pub(super) async fn refresh(&self) -> Option<(RankView, Option<RankView>)> {
        let reading = self.engine.read(ReadScope::View).await?;
        let before = lock(&self.view).replace(reading.view.clone());
        Some((reading.view, before))
    }

    /// Reads the state without recording it as the last one.
    pub(super) async fn read_view(&self) -> Option<RankView> {
        Some(self.engine.read(ReadScope::View).await?.view)
    }

    /// Carries out what a call asks of the rank. There is no answer if the engine gives none, or is of another
    /// service.
    pub(super) async fn carry_out(&self, rank: RankIndex, call: &Call) -> Answers {
        let mut answers = Answers::default();
        if call.caller.service != self.service {
            return answers;
        }
        let group = &call.caller.group;
        match &call.task {
            Task::Read(scope) => {
                let Some((answer, selections)) = self.read(group, *scope).await else {
                    return answers;
                };
                answers.selections = selections;
                answers.ranks.push((rank, answer));
            }
            Task::Execute(epoch, order) => {
                let answer = self.execute(group, rank, *epoch, order.clone()).await;
                answers.ranks.push((rank, answer));
            }
        }
        answers
    }

    async fn read(&self, group: &str, scope: ReadScope) -> Option<(RankReply, Selections)> {
        let RankReading { view, counts, held } = self.engine.read(scope).await?;
        // What the ranks of another group select says nothing about this one.
        let counts = counts.filter(|_| view.group == group);
        let selections = counts.map_or_else(Selections::default, |counts| {
            let now = self.clock.now();
            lock(&self.reporter).report(now, view.epoch, counts)
        });
        let answer = match held {
            Some((version, held)) => RankReply::Held(view, version, held),
            None => RankReply::View(view),
        };
        Some((answer, selections))
    }

    async fn execute(
        &self,
        group: &str,
        rank: RankIndex,
        epoch: GroupEpoch,
        order: WireOrder,
    ) -> RankReply {
        let Some(order) = order.decode(|version| self.map(group, epoch, version)) else {
            return RankReply::UnknownBase;
        };
        if let Order::Prepare { version, map } = &order {
            let mut maps = lock(&self.maps);
            if maps.0 != group {
                *maps = (group.to_owned(), KnownMaps::default());
            }
            maps.1.insert(epoch, *version, map.clone());
        }
        let order = RankOrder { rank, epoch, order };
        RankReply::Result(self.engine.execute(group, &order).await)
    }

    fn map(
        &self,
        group: &str,
        epoch: GroupEpoch,
        version: MapVersion,
    ) -> Option<std::sync::Arc<GroupMap>> {
        if version == 0 {
            let size = lock(&self.view).as_ref().map(|v| v.size)?;
            return Some(GroupMap::round_robin(self.sets, size, self.experts).into());
        }
        let maps = lock(&self.maps);
        let maps = Some(&*maps).filter(|maps| maps.0 == group);
        maps.and_then(|maps| maps.1.get(epoch, version))
    }
}
