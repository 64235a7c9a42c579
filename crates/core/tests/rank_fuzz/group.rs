//! Model of a group of ranks, as the platform specifies it; the test delays and drops its orders.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use eelgrasshold_core::ranks::{
    Expert, GroupEpoch, GroupMap, MapVersion, Order, OrderResult, Pass, RankOrder, RankView,
};
use eelgrasshold_core::types::Now;
use rand::Rng;
use rand::rngs::SmallRng;

/// Time between the crash of a rank and the next incarnation of the group.
const FORM_TIME: Duration = Duration::from_millis(600);

#[derive(Clone, Debug, Default)]
struct Rank {
    highest_version: MapVersion,
    map: (MapVersion, Arc<GroupMap>),
    loading: Option<(MapVersion, Arc<GroupMap>, Now)>,
    prepared: Option<(MapVersion, Arc<GroupMap>)>,
    armed: Option<(MapVersion, Pass)>,
    held: Option<Pass>,
    counts: Vec<Vec<u64>>,
}

/// State of the simulated group and its ranks.
#[derive(Debug)]
pub struct Group {
    ranks: Vec<Rank>,
    sets: usize,
    experts: usize,
    pub epoch: GroupEpoch,
    pub pass: Pass,
    pub pass_began_at: Now,
    next_pass_at: Now,
    opens_at: Option<Now>,
    pub switches: u64,
}

impl Group {
    pub fn new(ranks: usize, sets: usize, experts: usize) -> Self {
        let mut group = Self {
            ranks: Vec::new(),
            sets,
            experts,
            epoch: 0,
            pass: 0,
            pass_began_at: Now::ZERO,
            next_pass_at: Now::ZERO,
            opens_at: None,
            switches: 0,
        };
        group.ranks = vec![Rank::default(); ranks];
        group.form(Now::ZERO);
        group
    }

    fn form(&mut self, now: Now) {
        let size = self.ranks.len();
        let initial = Arc::new(GroupMap::round_robin(self.sets, size, self.experts));
        self.epoch += 1;
        for rank in &mut self.ranks {
            *rank = Rank {
                map: (0, Arc::clone(&initial)),
                counts: vec![vec![0; self.experts]; self.sets],
                ..Rank::default()
            };
        }
        self.pass = 0;
        self.pass_began_at = now;
        self.next_pass_at = now;
        self.opens_at = None;
    }

    pub fn size(&self) -> usize {
        self.ranks.len()
    }

    /// Crashes a rank, which stops the group until it has formed again.
    pub fn crash(&mut self, now: Now) {
        self.opens_at = Some(now + FORM_TIME);
    }

    pub fn add_selections(&mut self, rng: &mut SmallRng, popular: usize) {
        for rank in &mut self.ranks {
            for set in &mut rank.counts {
                for count in set.iter_mut() {
                    *count += rng.random_range(20..80);
                }
                set[popular] += 2_000;
            }
        }
    }

    /// Begins the next pass if it is due and not held. Fails if two ranks use different maps.
    pub fn step(&mut self, now: Now, rng: &mut SmallRng) -> Result<(), String> {
        if let Some(at) = self.opens_at {
            if now >= at {
                self.form(now);
            }
            return Ok(());
        }
        for rank in &mut self.ranks {
            if let Some((version, map, _)) = rank.loading.take_if(|l| l.2 <= now) {
                rank.prepared = Some((version, map));
            }
        }
        let next = self.pass + 1;
        let held = self.ranks.iter().any(|r| r.held == Some(next));
        if now < self.next_pass_at || held {
            return Ok(());
        }
        self.pass = next;
        self.pass_began_at = now;
        self.next_pass_at = now + Duration::from_millis(rng.random_range(30..90));
        let mut switched = false;
        for rank in &mut self.ranks {
            if rank.armed.is_some_and(|a| a.1 == next)
                && let Some(prepared) = rank.prepared.take()
            {
                rank.map = prepared;
                rank.armed = None;
                switched = true;
            }
        }
        self.switches += u64::from(switched);
        let first = &self.ranks[0].map;
        match self.ranks.iter().position(|r| r.map != *first) {
            Some(other) => Err(format!(
                "pass {next}: rank 0 uses map {}, rank {other} uses map {}",
                first.0, self.ranks[other].map.0
            )),
            None => Ok(()),
        }
    }

    pub fn is_held(&self) -> bool {
        self.ranks.iter().any(|r| r.held.is_some())
    }

    pub fn view(&self, rank: usize) -> RankView {
        let r = &self.ranks[rank];
        RankView {
            group: "g".into(),
            rank,
            size: self.ranks.len(),
            epoch: self.epoch,
            open: self.opens_at.is_none(),
            pass: self.pass,
            map: r.map.0,
            prepared: r.prepared.as_ref().map(|p| p.0),
            armed: r.armed,
            held: r.held,
            active: 3,
            pace: 1.0,
        }
    }

    pub fn counts(&self, rank: usize) -> Vec<Vec<u64>> {
        self.ranks[rank].counts.clone()
    }

    pub fn held_experts(&self, rank: usize) -> Vec<BTreeSet<Expert>> {
        let map = &self.ranks[rank].map.1;
        map.sets.iter().map(|s| s.ranks[rank].clone()).collect()
    }

    /// Executes an order.
    pub fn order(&mut self, now: Now, order: &RankOrder, rng: &mut SmallRng) -> OrderResult {
        if order.epoch != self.epoch || self.opens_at.is_some() {
            return OrderResult::Refused;
        }
        let pass = self.pass;
        let rank = &mut self.ranks[order.rank];
        let accepted = match &order.order {
            Order::Prepare { version, map } => rank.prepare(now, *version, map, rng),
            Order::Arm { version, pass: at } => {
                let possible =
                    *at > pass && rank.prepared.as_ref().is_some_and(|p| p.0 == *version);
                if possible {
                    rank.armed = Some((*version, *at));
                }
                possible
            }
            Order::Disarm { version } => {
                rank.armed.take_if(|a| a.0 == *version);
                rank.map.0 != *version
            }
            Order::Hold { pass: at } => {
                let possible = *at > pass && rank.held.is_none_or(|h| h == *at);
                if possible {
                    rank.held = Some(*at);
                }
                possible
            }
            Order::Go { pass: at } => {
                rank.held.take_if(|h| *h == *at);
                true
            }
        };
        if accepted {
            OrderResult::Accepted
        } else {
            OrderResult::Refused
        }
    }
}

impl Rank {
    fn prepare(
        &mut self,
        now: Now,
        version: MapVersion,
        map: &Arc<GroupMap>,
        rng: &mut SmallRng,
    ) -> bool {
        let again = self.loading.as_ref().is_some_and(|l| l.0 == version);
        if again {
            return true;
        }
        if version <= self.highest_version || self.armed.is_some() {
            return false;
        }
        self.highest_version = version;
        self.prepared = None;
        let differs = self
            .map
            .1
            .sets
            .iter()
            .zip(&map.sets)
            .any(|(from, to)| from != to);
        let time = if differs {
            rng.random_range(100..900)
        } else {
            0
        };
        self.loading = Some((version, Arc::clone(map), now + Duration::from_millis(time)));
        true
    }
}
