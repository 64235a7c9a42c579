//! Waiting work of all teams, picked by weighted fair shares.
//!
//! Each team has a usage: the tokens that its started work needs, which count
//! half after a while. A team whose usage over its weight is at most the average
//! is within its share; such teams go first, by arrival. Of the others the one
//! that is least above goes first, so unused share is lent out.
//!
//! The order of a queue alone gives no fair shares here: queues are short, since
//! work that would wait long is bounced, so a small team often finds nothing
//! waiting and all slots taken by a large one. Usage remembers who took them.

use std::collections::{BTreeMap, BTreeSet};

use super::{Item, Policy};
use crate::types::{AttemptId, Now, Priority, TeamId};

/// Time in which a team's usage loses half its weight: long enough to hold
/// several requests of a small team, and short enough that a team that comes
/// back has no more than some seconds of the upstream in advance.
const USAGE_HALF_LIFE_S: f64 = 15.0;
/// Usage over the average that a correction may lead to. One very long answer
/// must not shut a team out for minutes.
const MAX_CORRECTED: f64 = 2.0;
/// Usage below which an idle team is forgotten, in tokens.
const FORGOTTEN_TOKENS: f64 = 1.0;

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
    /// Tokens of started work at the time `used_at`.
    usage: f64,
    used_at: Now,
    short: Lane,
    long: Lane,
}

impl Team {
    fn is_idle(&self) -> bool {
        self.short.items.is_empty() && self.long.items.is_empty()
    }

    fn lane(&self, long: bool) -> &Lane {
        if long { &self.long } else { &self.short }
    }

    fn lane_mut(&mut self, long: bool) -> &mut Lane {
        if long {
            &mut self.long
        } else {
            &mut self.short
        }
    }

    /// Whether the next item is a long one; none if there is none that may start.
    fn next_lane(&self, now: Now, policy: &Policy, with_long: bool) -> Option<bool> {
        let overdue = |i: &Item| now.saturating_sub(i.arrived) > policy.max_wait();
        match (self.short.head(), self.long.head()) {
            (None, None) => None,
            (Some(_), Some((_, long))) if with_long => Some(overdue(long)),
            (Some(_), _) => Some(false),
            (None, Some(_)) => with_long.then_some(true),
        }
    }

    fn usage(&self, now: Now) -> f64 {
        faded(self.usage, self.used_at, now)
    }

    /// Adds usage and returns by how much it changed.
    fn add_usage(&mut self, now: Now, tokens: f64) -> f64 {
        let before = self.usage(now);
        self.usage = (before + tokens).max(0.0);
        self.used_at = now;
        self.usage - before
    }

    /// Usage over weight, as far as it is above the average after `more` tokens.
    fn excess(&self, now: Now, average: f64, more: f64) -> f64 {
        ((self.usage(now) + more) / self.weight - average).max(0.0)
    }

    /// Tokens that the team may still start within its share.
    fn share_left(&self, now: Now, average: f64) -> f64 {
        (average * self.weight - self.usage(now)).max(0.0)
    }

    /// Cost of the waiting items that go before a place; long ones only before a long item.
    fn cost_before(&self, place: Place, long: bool) -> f64 {
        let short = self.short.cost_before(place);
        if long {
            short + self.long.cost_before(place)
        } else {
            short
        }
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

/// Sums over all teams. All usage fades alike, so its sum needs no pass over the teams.
#[derive(Clone, Copy, Debug, Default)]
struct Total {
    weight: f64,
    usage: f64,
    used_at: Now,
}

impl Total {
    fn usage(&self, now: Now) -> f64 {
        faded(self.usage, self.used_at, now)
    }

    fn add_usage(&mut self, now: Now, tokens: f64) {
        self.usage = self.usage(now) + tokens;
        self.used_at = now;
    }
}

/// Usage at the time `now` that was `usage` at the time `used_at`.
fn faded(usage: f64, used_at: Now, now: Now) -> f64 {
    let age = now.saturating_sub(used_at);
    usage * (-age.as_secs_f64() / USAGE_HALF_LIFE_S).exp2()
}

/// Waiting work of all teams.
#[derive(Clone, Debug, Default)]
pub struct FairQueue {
    teams: BTreeMap<TeamId, Team>,
    places: BTreeMap<AttemptId, Whereabouts>,
    /// Latest time at which each item may start, earliest first.
    latest_starts: BTreeSet<(Now, AttemptId)>,
    /// Teams with waiting work. There may be thousands of others with some usage.
    waiting: BTreeSet<TeamId>,
    total: Total,
    swept_at: Now,
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
        self.waiting_teams().map(|t| t.waiting_cost(true)).sum()
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
        self.waiting.insert(id.clone());
        self.team(policy, id).lane_mut(item.long).push(place, item);
    }

    /// Takes the next item by the teams' shares; long items only if `with_long`.
    pub fn pop(&mut self, now: Now, policy: &Policy, with_long: bool) -> Option<Item> {
        let average = self.average(now);
        let urgency = |t: &Team| {
            let lane = t.next_lane(now, policy, with_long)?;
            let ((_, arrival), _) = t.lane(lane).head()?;
            Some((t.excess(now, average, 0.0), arrival, lane))
        };
        let waiting = self.waiting.iter().filter_map(|id| {
            let (excess, arrival, lane) = urgency(self.teams.get(id)?)?;
            Some((excess, arrival, lane, id))
        });
        let (_, _, lane, id) = waiting.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)))?;
        let team = self.teams.get_mut(id)?;
        let lane = team.lane_mut(lane);
        let (place, _) = lane.head()?;
        let item = lane.remove(place)?;
        let used = team.add_usage(now, item.cost());
        self.total.add_usage(now, used);
        self.forget_place(item.attempt);
        self.sweep(now);
        Some(item)
    }

    /// Removes an attempt that waits.
    pub fn remove(&mut self, attempt: AttemptId) -> Option<Item> {
        let Whereabouts {
            team, long, place, ..
        } = self.forget_place(attempt)?;
        let item = self.teams.get_mut(&team)?.lane_mut(long).remove(place);
        self.note_waiting(&team);
        item
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

    /// Corrects a team's usage by the tokens that its work needed beyond what was expected.
    pub fn correct(&mut self, now: Now, policy: &Policy, team: &TeamId, tokens: f64) {
        let average = self.average(now);
        let team = self.team(policy, team.clone());
        let most = average * team.weight * MAX_CORRECTED - team.usage(now);
        let used = team.add_usage(now, tokens.min(most.max(0.0)));
        self.total.add_usage(now, used);
        self.sweep(now);
    }

    /// Whether a team stays within its share if one more item of it starts.
    #[must_use]
    pub fn within_share(&self, now: Now, policy: &Policy, item: &Item) -> bool {
        let id = &item.request.team;
        let usage = self.teams.get(id).map_or(0.0, |t| t.usage(now));
        usage / policy.weight(id) <= self.average(now)
    }

    /// Expected cost of what starts before a new item of a team, in tokens.
    #[must_use]
    pub fn cost_before(&self, now: Now, item: &Item, with_long: bool) -> f64 {
        let id = &item.request.team;
        let average = self.average(now);
        let (own, excess) = self.teams.get(id).map_or((0.0, 0.0), |t| {
            let own = t.cost_before((item.request.priority, self.arrivals), item.long);
            (own, t.excess(now, average, own))
        });
        let before = |t: &Team| {
            let above = (excess - t.excess(now, average, 0.0)) * t.weight;
            let share = above + t.share_left(now, average);
            share.clamp(0.0, t.waiting_cost(with_long))
        };
        let others = self.waiting.iter().filter(|other| *other != id);
        let others = others.filter_map(|other| self.teams.get(other));
        own + others.map(before).sum::<f64>()
    }

    /// Expected cost of what starts before a new short item of a team that has nothing waiting.
    #[must_use]
    pub fn cost_before_new_team(&self, now: Now) -> f64 {
        let average = self.average(now);
        let share = |t: &Team| t.share_left(now, average).min(t.waiting_cost(false));
        self.waiting_teams().map(share).sum()
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
            weight: 0.0,
            usage: 0.0,
            used_at: Now::ZERO,
            short: Lane::default(),
            long: Lane::default(),
        });
        self.total.weight += weight - team.weight;
        team.weight = weight;
        team
    }

    fn waiting_teams(&self) -> impl Iterator<Item = &Team> {
        self.waiting.iter().filter_map(|id| self.teams.get(id))
    }

    /// Average usage over weight of the teams that have any usage or work.
    fn average(&self, now: Now) -> f64 {
        if self.total.weight > 0.0 {
            self.total.usage(now) / self.total.weight
        } else {
            0.0
        }
    }

    fn note_waiting(&mut self, team: &TeamId) {
        if self.teams.get(team).is_none_or(Team::is_idle) {
            self.waiting.remove(team);
        }
    }

    fn forget_place(&mut self, attempt: AttemptId) -> Option<Whereabouts> {
        let whereabouts = self.places.remove(&attempt)?;
        self.latest_starts
            .remove(&(whereabouts.latest_start, attempt));
        self.note_waiting(&whereabouts.team);
        Some(whereabouts)
    }

    /// Forgets idle teams whose usage has faded, and sums up anew, since rounding adds up.
    fn sweep(&mut self, now: Now) {
        if now.saturating_sub(self.swept_at).as_secs_f64() < USAGE_HALF_LIFE_S {
            return;
        }
        self.swept_at = now;
        self.teams
            .retain(|_, t| !t.is_idle() || t.usage(now) >= FORGOTTEN_TOKENS);
        self.total = Total {
            weight: self.teams.values().map(|t| t.weight).sum(),
            usage: self.teams.values().map(|t| t.usage(now)).sum(),
            used_at: now,
        };
    }
}
