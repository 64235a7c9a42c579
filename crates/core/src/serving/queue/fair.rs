//! Weighted fair queue of the teams' work.
//!
//! Each team has a usage: the cost in tokens of the work that it has started, with
//! exponential decay. A team whose usage divided by its weight is at most the average
//! is within its share; such teams go first, in order of arrival. Among the others the
//! one with the least excess goes first, so other teams can use an unused share.
//!
//! Fair ordering of the queue alone is not sufficient. Queues are short, since work
//! that would wait long is bounced, so a small team often finds an empty queue and all
//! slots taken by a large team. The usage accounts for the slots taken earlier.

use std::collections::{BTreeMap, BTreeSet};

use super::{Item, Policy};
use crate::types::{AttemptId, Now, Priority, TeamId};

/// Half-life of a team's usage, in seconds. It is long enough to cover several requests of a small
/// team, and short enough that a team that returns after a pause has precedence for no more than a
/// few seconds of the upstream's time.
const USAGE_HALF_LIFE_S: f64 = 15.0;
/// Maximum ratio of usage to the average after a correction. One very long answer must not block a
/// team for minutes.
const MAX_CORRECTED_RATIO: f64 = 2.0;
/// Usage, in tokens, below which the entry of an idle team is removed.
const MIN_USAGE_TOKENS: f64 = 1.0;

/// Order within a lane: priority, then arrival number.
type Position = (Priority, u64);

#[derive(Clone, Debug, Default)]
struct Lane {
    items: BTreeMap<Position, Item>,
    cost: f64,
}

impl Lane {
    fn push(&mut self, position: Position, item: Item) {
        self.cost += item.cost();
        self.items.insert(position, item);
    }

    fn remove(&mut self, position: Position) -> Option<Item> {
        let item = self.items.remove(&position)?;
        self.cost = if self.items.is_empty() {
            0.0
        } else {
            self.cost - item.cost()
        };
        Some(item)
    }

    fn head(&self) -> Option<(Position, &Item)> {
        self.items.first_key_value().map(|(p, i)| (*p, i))
    }

    /// Cost of the items before a position.
    fn cost_before(&self, position: Position) -> f64 {
        self.items.range(..position).map(|(_, i)| i.cost()).sum()
    }
}

#[derive(Clone, Debug)]
struct Team {
    weight: f64,
    /// Decayed cost of started work at the time `used_at`, in tokens.
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

    /// Whether the next item is a long one; `None` if there is no item that may start.
    fn next_lane(&self, now: Now, policy: &Policy, include_long: bool) -> Option<bool> {
        let overdue = |i: &Item| now.saturating_sub(i.arrived) > policy.max_wait();
        match (self.short.head(), self.long.head()) {
            (None, None) => None,
            (Some(_), Some((_, long))) if include_long => Some(overdue(long)),
            (Some(_), _) => Some(false),
            (None, Some(_)) => include_long.then_some(true),
        }
    }

    fn usage(&self, now: Now) -> f64 {
        decayed(self.usage, self.used_at, now)
    }

    /// Adds usage, which doesn't fall below 0, and returns the actual change.
    fn add_usage(&mut self, now: Now, tokens: f64) -> f64 {
        let before = self.usage(now);
        self.usage = (before + tokens).max(0.0);
        self.used_at = now;
        self.usage - before
    }

    /// Usage per weight above the average, after `more` tokens; 0 within the share.
    fn excess(&self, now: Now, average: f64, more: f64) -> f64 {
        ((self.usage(now) + more) / self.weight - average).max(0.0)
    }

    /// Tokens that the team may still start within its share.
    fn share_left(&self, now: Now, average: f64) -> f64 {
        (average * self.weight - self.usage(now)).max(0.0)
    }

    /// Cost of the queued items before a position; long items count only for a long one.
    fn cost_before(&self, position: Position, long: bool) -> f64 {
        let short = self.short.cost_before(position);
        if long {
            short + self.long.cost_before(position)
        } else {
            short
        }
    }

    fn waiting_cost(&self, include_long: bool) -> f64 {
        self.short.cost + if include_long { self.long.cost } else { 0.0 }
    }
}

/// Location of a queued attempt.
#[derive(Clone, Debug)]
struct Location {
    team: TeamId,
    long: bool,
    position: Position,
    latest_start: Now,
}

/// Sums over all teams. All usage decays at the same rate, so the sum can be decayed without a pass
/// over the teams.
#[derive(Clone, Copy, Debug, Default)]
struct Totals {
    weight: f64,
    usage: f64,
    used_at: Now,
}

impl Totals {
    fn usage(&self, now: Now) -> f64 {
        decayed(self.usage, self.used_at, now)
    }

    fn add_usage(&mut self, now: Now, tokens: f64) {
        self.usage = self.usage(now) + tokens;
        self.used_at = now;
    }
}

/// Usage at the time `now`, decayed from `usage` at the time `used_at`.
fn decayed(usage: f64, used_at: Now, now: Now) -> f64 {
    let age = now.saturating_sub(used_at);
    usage * (-age.as_secs_f64() / USAGE_HALF_LIFE_S).exp2()
}

/// Weighted fair queue of the teams' work.
#[derive(Clone, Debug, Default)]
pub struct FairQueue {
    teams: BTreeMap<TeamId, Team>,
    locations: BTreeMap<AttemptId, Location>,
    /// Latest start of each item, earliest first.
    latest_starts: BTreeSet<(Now, AttemptId)>,
    /// Teams with queued work. Thousands of others may have some usage but no queued work.
    waiting: BTreeSet<TeamId>,
    totals: Totals,
    swept_at: Now,
    arrivals: u64,
}

impl FairQueue {
    /// Number of queued items.
    #[must_use]
    pub fn len(&self) -> usize {
        self.locations.len()
    }

    /// Whether no item is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.locations.is_empty()
    }

    /// Whether the given attempt is queued.
    #[must_use]
    pub fn contains(&self, attempt: AttemptId) -> bool {
        self.locations.contains_key(&attempt)
    }

    /// Expected cost of all queued items, in tokens.
    #[must_use]
    pub fn waiting_cost(&self) -> f64 {
        self.waiting_teams().map(|t| t.waiting_cost(true)).sum()
    }

    /// Adds an item; its usage is charged when it starts.
    pub fn push(&mut self, policy: &Policy, item: Item) {
        let position = (item.request.priority, self.arrivals);
        self.arrivals += 1;
        let id = item.request.team.clone();
        let location = Location {
            team: id.clone(),
            long: item.long,
            position,
            latest_start: item.latest_start,
        };
        self.locations.insert(item.attempt, location);
        self.latest_starts.insert((item.latest_start, item.attempt));
        self.waiting.insert(id.clone());
        self.team(policy, id)
            .lane_mut(item.long)
            .push(position, item);
    }

    /// Removes the next item by the teams' shares and charges its cost to the team. Long items are
    /// returned only if `include_long`.
    pub fn pop(&mut self, now: Now, policy: &Policy, include_long: bool) -> Option<Item> {
        let average = self.average(now);
        let sort_key = |t: &Team| {
            let lane = t.next_lane(now, policy, include_long)?;
            let ((_, arrival), _) = t.lane(lane).head()?;
            Some((t.excess(now, average, 0.0), arrival, lane))
        };
        let waiting = self.waiting.iter().filter_map(|id| {
            let (excess, arrival, lane) = sort_key(self.teams.get(id)?)?;
            Some((excess, arrival, lane, id))
        });
        let (_, _, lane, id) = waiting.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)))?;
        let team = self.teams.get_mut(id)?;
        let lane = team.lane_mut(lane);
        let (position, _) = lane.head()?;
        let item = lane.remove(position)?;
        let used = team.add_usage(now, item.cost());
        self.totals.add_usage(now, used);
        self.remove_location(item.attempt);
        self.sweep(now);
        Some(item)
    }

    /// Removes a queued attempt without a charge; `None` if it isn't queued.
    pub fn remove(&mut self, attempt: AttemptId) -> Option<Item> {
        let Location {
            team,
            long,
            position,
            ..
        } = self.remove_location(attempt)?;
        let item = self.teams.get_mut(&team)?.lane_mut(long).remove(position);
        self.update_waiting(&team);
        item
    }

    /// Removes an item whose latest start has passed; `None` if there is none.
    pub fn expire(&mut self, now: Now) -> Option<Item> {
        let (at, attempt) = *self.latest_starts.first()?;
        if at > now {
            return None;
        }
        self.remove(attempt)
    }

    /// Earliest latest start of the queued items.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Now> {
        self.latest_starts.first().map(|(at, _)| *at)
    }

    /// Corrects a team's usage by the difference of actual and expected tokens. An increase is
    /// limited by `MAX_CORRECTED_RATIO`.
    pub fn correct(&mut self, now: Now, policy: &Policy, team: &TeamId, tokens: f64) {
        let average = self.average(now);
        let team = self.team(policy, team.clone());
        let max_increase = average * team.weight * MAX_CORRECTED_RATIO - team.usage(now);
        let used = team.add_usage(now, tokens.min(max_increase.max(0.0)));
        self.totals.add_usage(now, used);
        self.sweep(now);
    }

    /// Whether the team of an item is within its share, that item not included.
    #[must_use]
    pub fn within_share(&self, now: Now, policy: &Policy, item: &Item) -> bool {
        let id = &item.request.team;
        let usage = self.teams.get(id).map_or(0.0, |t| t.usage(now));
        usage / policy.weight(id) <= self.average(now)
    }

    /// Expected cost, in tokens, of the queued work that starts before a new item.
    #[must_use]
    pub fn cost_before(&self, now: Now, item: &Item, include_long: bool) -> f64 {
        let id = &item.request.team;
        let average = self.average(now);
        let (own, excess) = self.teams.get(id).map_or((0.0, 0.0), |t| {
            let own = t.cost_before((item.request.priority, self.arrivals), item.long);
            (own, t.excess(now, average, own))
        });
        let before = |t: &Team| {
            let above = (excess - t.excess(now, average, 0.0)) * t.weight;
            let share = above + t.share_left(now, average);
            share.clamp(0.0, t.waiting_cost(include_long))
        };
        let others = self.waiting.iter().filter(|other| *other != id);
        let others = others.filter_map(|other| self.teams.get(other));
        own + others.map(before).sum::<f64>()
    }

    /// Expected cost, in tokens, of the queued work that starts before a new short item of a team
    /// that is within its share and has no queued work.
    #[must_use]
    pub fn cost_before_new_team(&self, now: Now) -> f64 {
        let average = self.average(now);
        let share = |t: &Team| t.share_left(now, average).min(t.waiting_cost(false));
        self.waiting_teams().map(share).sum()
    }

    /// Removes and returns all items.
    pub fn drain(&mut self) -> Vec<Item> {
        let attempts: Vec<_> = self.locations.keys().copied().collect();
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
        self.totals.weight += weight - team.weight;
        team.weight = weight;
        team
    }

    fn waiting_teams(&self) -> impl Iterator<Item = &Team> {
        self.waiting.iter().filter_map(|id| self.teams.get(id))
    }

    /// Total usage per total weight of the teams that have usage or queued work.
    fn average(&self, now: Now) -> f64 {
        if self.totals.weight > 0.0 {
            self.totals.usage(now) / self.totals.weight
        } else {
            0.0
        }
    }

    fn update_waiting(&mut self, team: &TeamId) {
        if self.teams.get(team).is_none_or(Team::is_idle) {
            self.waiting.remove(team);
        }
    }

    fn remove_location(&mut self, attempt: AttemptId) -> Option<Location> {
        let location = self.locations.remove(&attempt)?;
        self.latest_starts.remove(&(location.latest_start, attempt));
        self.update_waiting(&location.team);
        Some(location)
    }

    /// Removes idle teams whose usage has decayed, and recomputes the sums, in which rounding
    /// errors accumulate. Runs once per half-life.
    fn sweep(&mut self, now: Now) {
        if now.saturating_sub(self.swept_at).as_secs_f64() < USAGE_HALF_LIFE_S {
            return;
        }
        self.swept_at = now;
        self.teams
            .retain(|_, t| !t.is_idle() || t.usage(now) >= MIN_USAGE_TOKENS);
        self.totals = Totals {
            weight: self.teams.values().map(|t| t.weight).sum(),
            usage: self.teams.values().map(|t| t.usage(now)).sum(),
            used_at: now,
        };
    }
}
