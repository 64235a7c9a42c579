//! Calls to ranks along a tree of sidecars, as the driver makes them.

use std::sync::Arc;
use std::time::Duration;

use eelgrasshold_core::ranks::counts::Selections;
use eelgrasshold_core::ranks::overlay::{Branch, split, split_by_place};
use eelgrasshold_core::ranks::{
    GroupMap, Input, MapChange, Order, OrderResult, RankOrder, ReadScope,
};
use eelgrasshold_core::types::Now;
use rand::Rng;

use super::{Event, FANOUT, STEP, Simulation, describe, trace};

/// Time after which a call along the tree has no answer.
const TREE_TIMEOUT: Duration = Duration::from_millis(400);
/// The same for a call to one rank.
const CALL_TIMEOUT: Duration = Duration::from_millis(150);
const SUSPECT_TIME: Duration = Duration::from_secs(3);
/// Share of lost calls and lost answers of a hop, relative to that of unanswered orders.
const HOP_LOSS: f64 = 0.1;

/// What becomes of a call on its way to a rank's sidecar.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    Lost,
    /// It waits at a sidecar that is paused and is carried out when that resumes.
    Buffered(usize),
    Delivered {
        answered: bool,
    },
}

impl Simulation {
    /// Sends a call from one sidecar along the tree; returns its fate for each rank.
    fn call(&mut self, from: usize, ranks: Vec<usize>) -> Vec<(usize, Fate)> {
        let now = self.now;
        let suspects = self.sidecars[from].suspect_until.clone();
        let is_suspect = |rank: &usize| now < suspects[*rank];
        let mut fates = Vec::new();
        let (own, others): (Vec<_>, Vec<_>) = ranks.into_iter().partition(|r| *r == from);
        fates.extend(own.iter().map(|r| (*r, Fate::Delivered { answered: true })));
        for branch in split_by_place(others, FANOUT, |r| r % 2, is_suspect) {
            if is_suspect(&branch.child) {
                // The sidecar may be bypassed, and the engine called.
                let reachable = now >= self.sidecars[from].unreachable_until[branch.child]
                    && now >= self.sidecars[branch.child].frozen_until;
                let fate = if reachable {
                    Fate::Delivered { answered: true }
                } else {
                    Fate::Lost
                };
                fates.push((branch.child, fate));
                continue;
            }
            let branch_fates = self.descend(from, branch);
            for (rank, fate) in &branch_fates {
                if *fate != (Fate::Delivered { answered: true }) {
                    self.sidecars[from].suspect_until[*rank] = now + SUSPECT_TIME;
                }
            }
            fates.extend(branch_fates);
        }
        fates
    }

    fn descend(&mut self, from: usize, branch: Branch<usize>) -> Vec<(usize, Fate)> {
        let Branch { child, members } = branch;
        let all = |fate: Fate, members: Vec<usize>| {
            let ranks = std::iter::once(child).chain(members);
            ranks.map(|rank| (rank, fate)).collect::<Vec<_>>()
        };
        let lost = self.rng.random_bool(self.unanswered_share * HOP_LOSS);
        if lost || self.now < self.sidecars[from].unreachable_until[child] {
            return all(Fate::Lost, members);
        }
        if self.now < self.sidecars[child].paused_until {
            return all(Fate::Buffered(child), members);
        }
        let mut fates = vec![(child, Fate::Delivered { answered: true })];
        for branch in split(members, FANOUT) {
            fates.extend(self.descend(child, branch));
        }
        if self.rng.random_bool(self.unanswered_share * HOP_LOSS) {
            for (_, fate) in &mut fates {
                if let Fate::Delivered { answered } = fate {
                    *answered = false;
                }
            }
        }
        fates
    }

    pub fn read(&mut self, sidecar: usize, ranks: Vec<usize>, scope: ReadScope) {
        let now = self.now;
        let polling_rank = self.sidecars[sidecar].leader.polling_rank();
        let mut selections = Selections::default();
        for (rank, fate) in self.call(sidecar, ranks) {
            if !matches!(fate, Fate::Delivered { .. }) {
                continue;
            }
            if let Some(leader) = polling_rank.filter(|leader| *leader != rank) {
                let polled = Event::Input(rank, Box::new(Input::PolledBy(leader)));
                self.schedule(now + STEP, polled);
            }
            if scope == ReadScope::Counts {
                let counts = self.group.counts(rank);
                let epoch = self.group.epoch;
                let report = self.sidecars[rank].reporter.report(now, epoch, counts);
                if fate == (Fate::Delivered { answered: true }) {
                    selections.add(&report);
                }
            }
            if fate != (Fate::Delivered { answered: true }) {
                continue;
            }
            let view = self.group.view(rank);
            let held = (scope == ReadScope::HeldExperts).then(|| self.group.held_experts(rank));
            let delay = Duration::from_millis(self.rng.random_range(1..40));
            let input = Input::Read {
                requested_at: now,
                view,
                held,
            };
            self.schedule(now + delay, Event::Input(sidecar, Box::new(input)));
        }
        if !selections.is_empty() {
            let input = Box::new(Input::Selected(selections));
            self.schedule(now + STEP * 4, Event::Input(sidecar, input));
        }
    }

    pub fn order(&mut self, sidecar: usize, order: &RankOrder, ranks: Vec<usize>) {
        let now = self.now;
        let base = self.sidecars[sidecar].leader.current_map();
        let change = match (&order.order, &base) {
            (Order::Prepare { map, .. }, Some((version, base))) => {
                MapChange::between(base, map).map(|change| (*version, change))
            }
            _ => None,
        };
        for (rank, fate) in self.call(sidecar, ranks) {
            let mut order = RankOrder {
                rank,
                ..order.clone()
            };
            if fate == Fate::Lost {
                self.answer(now + TREE_TIMEOUT, sidecar, order, OrderResult::Unknown);
                continue;
            }
            if let Order::Prepare { version, map } = &mut order.order {
                // The map as the rank's sidecar restores it. If it lacks the base, it asks for the
                // whole map.
                if let Some((base, change)) = &change
                    && let Some(base) = self.known_map(rank, order.epoch, *base)
                {
                    *map = Arc::new(change.apply(&base).expect("a change fits its base"));
                }
                self.sidecars[rank]
                    .maps
                    .insert(order.epoch, *version, Arc::clone(map));
            }
            match fate {
                Fate::Lost => {}
                Fate::Buffered(at) => {
                    self.schedule(now + STEP, Event::Buffered(at, order.clone()));
                    self.answer(now + TREE_TIMEOUT, sidecar, order, OrderResult::Unknown);
                }
                Fate::Delivered { answered } => self.send(sidecar, order, answered),
            }
        }
    }

    fn known_map(&self, rank: usize, epoch: u64, version: u64) -> Option<Arc<GroupMap>> {
        let size = self.group.size();
        if version == 0 {
            return Some(Arc::new(GroupMap::round_robin(2, size, size * 3)));
        }
        self.sidecars[rank].maps.get(epoch, version)
    }

    /// Passes an order to an engine, which may not answer it.
    fn send(&mut self, sidecar: usize, order: RankOrder, answered: bool) {
        let now = self.now;
        let delay = Duration::from_millis(self.rng.random_range(1..20));
        let roll: f64 = self.rng.random();
        let (answer, at) = if roll < self.unanswered_share * 0.7 {
            let late = Duration::from_millis(self.rng.random_range(2_000..12_000));
            self.schedule(now + late, Event::Order(order.clone()));
            (OrderResult::Unknown, now + CALL_TIMEOUT)
        } else if roll < self.unanswered_share * 0.85 {
            self.schedule(now + delay, Event::Order(order.clone()));
            (OrderResult::Unknown, now + CALL_TIMEOUT)
        } else if roll < self.unanswered_share {
            (OrderResult::Unknown, now + CALL_TIMEOUT)
        } else {
            (self.group.order(now, &order, &mut self.rng), now + delay)
        };
        if answered {
            self.answer(at, sidecar, order, answer);
        } else {
            self.answer(now + TREE_TIMEOUT, sidecar, order, OrderResult::Unknown);
        }
    }

    fn answer(&mut self, at: Now, sidecar: usize, order: RankOrder, answer: OrderResult) {
        trace(self.now, || {
            format!("sidecar {sidecar}, answer {answer:?}: {}", describe(&order))
        });
        let result = Event::Input(sidecar, Box::new(Input::Result(order, answer)));
        self.schedule(at, result);
    }
}
