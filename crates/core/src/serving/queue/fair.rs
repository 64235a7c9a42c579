//! Waiting work of all teams, picked by weighted fair shares.
//!
//! Start-time fair queueing over expected tokens: each team has a virtual time
//! that advances by the cost of its started work over its weight, and the team
//! that is furthest behind goes first. A team that was idle starts at the
//! present virtual time, so unused share is lent out and never saved up.

use std::collections::{BTreeMap, BTreeSet};

use super::{Item, Policy};
use crate::types::{AttemptId, Now, Priority, TeamId};

/// Order within a lane: priority, then arrival.
type Place = (Priority, u64);

#[derive(Clone, Debug, Default)]
struct Lane {
    items: BTreeMap<Place, Item>,
    cost: f64,
}

impl Lane {
    fn push(&mut self, place: Place, item: Item) {
        self.cost += item.cost();
        self.items.insert(place, item);
    }

    fn remove(&mut self, place: Place) -> Option<Item> {
        let item = self.items.remove(&place)?;
        self.cost = if self.items.is_empty() {
            0.0
        } else {
            self.cost - item.cost()
        };
        Some(item)
    }

    fn head(&self) -> Option<(Place, &Item)> {
        self.items.first_key_value().map(|(p, i)| (*p, i))
    }

    /// Cost of the items at or before a place.
    fn cost_before(&self, place: Place) -> f64 {
        self.items.range(..place).map(|(_, i)| i.cost()).sum()
    }
}

#[derive(Clone, Debug)]
struct Team {
    weight: f64,
    virtual_time: f64,
    short: Lane,
    long: Lane,
}

impl Team {
    fn is_idle(&self) -> bool {
        self.short.items.is_empty() && self.long.items.is_empty()
    }

    fn waiting_cost(&self, with_long: bool) -> f64 {
        self.short.cost + if with_long { self.long.cost } else { 0.0 }
    }
}

/// Where a waiting attempt is kept.
#[derive(Clone, Debug)]
struct Whereabouts {
    team: TeamId,
    long: bool,
    place: Place,
    latest_start: Now,
}

/// Waiting work of all teams.
#[derive(Clone, Debug, Default)]
pub struct FairQueue {
    teams: BTreeMap<TeamId, Team>,
    places: BTreeMap<AttemptId, Whereabouts>,
    /// Latest time at which each item may start, earliest first.
    latest_starts: BTreeSet<(Now, AttemptId)>,
    virtual_time: f64,
    arrivals: u64,
}

impl FairQueue {
    /// Items that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Whether an attempt waits.
    #[must_use]
    pub fn contains(&self, attempt: AttemptId) -> bool {
        self.places.contains_key(&attempt)
    }

    /// Expected cost of all that waits, in tokens.
    #[must_use]
    pub fn waiting_cost(&self) -> f64 {
        self.teams.values().map(|t| t.waiting_cost(true)).sum()
    }

    /// Adds an item.
    pub fn push(&mut self, policy: &Policy, item: Item) {
        let place = (item.request.priority, self.arrivals);
        self.arrivals += 1;
        let id = item.request.team.clone();
        let whereabouts = Whereabouts {
            team: id.clone(),
            long: item.long,
            place,
            latest_start: item.latest_start,
        };
        self.places.insert(item.attempt, whereabouts);
        self.latest_starts.insert((item.latest_start, item.attempt));
        let team = self.team(policy, id);
        let lane = if item.long {
            &mut team.long
        } else {
            &mut team.short
        };
        lane.push(place, item);
    }

    /// Takes the next item of the team that is furthest behind; long items only if `with_long`.
    pub fn pop(&mut self, now: Now, policy: &Policy, with_long: bool) -> Option<Item> {
        let eligible = |t: &&Team| !t.short.items.is_empty() || (with_long && !t.is_idle());
        let team = self
            .teams
            .values_mut()
            .filter(|t| eligible(&&**t))
            .min_by(|a, b| a.virtual_time.total_cmp(&b.virtual_time))?;
        let overdue = |i: &Item| now.saturating_sub(i.arrived) > policy.max_wait();
        let long_first = with_long
            && (team.short.items.is_empty() || team.long.head().is_some_and(|(_, i)| overdue(i)));
        let lane = if long_first {
            &mut team.long
        } else {
            &mut team.short
        };
        let (place, _) = lane.head()?;
        let item = lane.remove(place)?;
        self.virtual_time = self.virtual_time.max(team.virtual_time);
        team.virtual_time += item.cost() / team.weight;
        self.forget_place(item.attempt);
        self.forget_idle_teams();
        Some(item)
    }

    /// Removes an attempt that waits.
    pub fn remove(&mut self, attempt: AttemptId) -> Option<Item> {
        let Whereabouts {
            team, long, place, ..
        } = self.forget_place(attempt)?;
        let team = self.teams.get_mut(&team)?;
        let lane = if long {
            &mut team.long
        } else {
            &mut team.short
        };
        lane.remove(place)
    }

    /// Takes an item whose latest start has come.
    pub fn expire(&mut self, now: Now) -> Option<Item> {
        let (at, attempt) = *self.latest_starts.first()?;
        if at > now {
            return None;
        }
        self.remove(attempt)
    }

    /// When the next item expires.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Now> {
        self.latest_starts.first().map(|(at, _)| *at)
    }

    /// Corrects a team's share by the tokens that its work needed beyond what was expected.
    pub fn correct(&mut self, policy: &Policy, team: &TeamId, tokens: f64) {
        let team = self.team(policy, team.clone());
        team.virtual_time += tokens / team.weight;
        self.forget_idle_teams();
    }

    /// Expected cost of what starts before a new item of a team, in tokens.
    #[must_use]
    pub fn cost_before(&self, policy: &Policy, item: &Item, with_long: bool) -> f64 {
        let id = &item.request.team;
        let place = (item.request.priority, self.arrivals);
        let (begin, own) = self.teams.get(id).map_or((0.0, 0.0), |t| {
            let short = t.short.cost_before(place);
            let long = t.long.cost_before(place);
            (t.virtual_time, if item.long { short + long } else { short })
        });
        let tag = begin.max(self.virtual_time) + own / policy.weight(id);
        let before = |t: &Team| {
            let share = (tag - t.virtual_time.max(self.virtual_time)) * t.weight;
            share.clamp(0.0, t.waiting_cost(with_long))
        };
        let others = self.teams.iter().filter(|(other, _)| *other != id);
        own + others.map(|(_, t)| before(t)).sum::<f64>()
    }

    /// Expected cost of what starts before a new item of a team that has nothing waiting.
    #[must_use]
    pub fn cost_before_newcomer(&self) -> f64 {
        // It goes first but for teams that are just as far behind.
        let behind = |t: &&Team| t.virtual_time <= self.virtual_time;
        let first_cost = |t: &Team| t.short.head().map_or(0.0, |(_, i)| i.cost());
        self.teams.values().filter(behind).map(first_cost).sum()
    }

    /// Takes everything that waits.
    pub fn drain(&mut self) -> Vec<Item> {
        let attempts: Vec<_> = self.places.keys().copied().collect();
        attempts
            .into_iter()
            .filter_map(|a| self.remove(a))
            .collect()
    }

    fn team(&mut self, policy: &Policy, id: TeamId) -> &mut Team {
        let weight = policy.weight(&id);
        let team = self.teams.entry(id).or_insert_with(|| Team {
            weight,
            virtual_time: self.virtual_time,
            short: Lane::default(),
            long: Lane::default(),
        });
        team.weight = weight;
        if team.is_idle() {
            team.virtual_time = team.virtual_time.max(self.virtual_time);
        }
        team
    }

    fn forget_place(&mut self, attempt: AttemptId) -> Option<Whereabouts> {
        let whereabouts = self.places.remove(&attempt)?;
        self.latest_starts
            .remove(&(whereabouts.latest_start, attempt));
        Some(whereabouts)
    }

    /// Teams without work that have no share to make up for need no record.
    fn forget_idle_teams(&mut self) {
        let now = self.virtual_time;
        self.teams
            .retain(|_, t| !t.is_idle() || t.virtual_time > now);
    }
}
