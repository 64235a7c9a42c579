//! Order in which waiting requests start.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::time::Duration;

use super::Ticket;
use crate::types::{Now, TeamId};

/// One of this number of starts goes to the request that has waited longest.
const OLDEST_FIRST_PERIOD: u32 = 4;
/// Time after which the starts of a team count half.
const USAGE_HALF_LIFE: Duration = Duration::from_secs(5);
/// Usage of a team that counts as none.
const MIN_USAGE: f64 = 0.05;

/// A request that waits for its turn.
#[derive(Clone, Debug)]
pub struct Waiting {
    /// Its ticket; later requests have larger ones.
    pub ticket: Ticket,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Whether its caller was told to retry.
    pub is_retry: bool,
    /// Team of the caller.
    pub team: TeamId,
    /// Expected work, relative to a usual request.
    pub work: f64,
    /// When the caller leaves.
    pub leaves_at: Now,
    /// Latest time at which it has to start to be in time.
    pub in_time_until: Now,
    /// Latest time at which it may start.
    pub start_by: Now,
}

impl Waiting {
    /// Whether its first event comes late, whenever it starts.
    fn is_late(&self, now: Now) -> bool {
        now > self.in_time_until
    }
}

/// Work of the requests that a team has started, which fades.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    work: f64,
    at: Now,
}

impl Usage {
    fn at(&self, now: Now) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.work * 0.5_f64.powf(age / USAGE_HALF_LIFE.as_secs_f64())
    }
}

/// Requests that wait for the limit of a service, and the usage of the teams.
#[derive(Clone, Debug, Default)]
pub struct WaitingRequests {
    waiting: Vec<Waiting>,
    usage: BTreeMap<TeamId, Usage>,
    /// Starts of waiting requests.
    starts: u32,
}

impl WaitingRequests {
    /// Number of requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Whether a request waits.
    #[must_use]
    pub fn contains(&self, ticket: Ticket) -> bool {
        self.waiting.iter().any(|w| w.ticket == ticket)
    }

    /// Tickets of all requests.
    pub fn tickets(&self) -> impl Iterator<Item = Ticket> {
        self.waiting.iter().map(|w| w.ticket)
    }

    /// Adds a request.
    pub fn push(&mut self, request: Waiting) {
        self.waiting.push(request);
    }

    /// Removes a request; returns whether it waited.
    pub fn remove(&mut self, ticket: Ticket) -> bool {
        let count = self.waiting.len();
        self.waiting.retain(|w| w.ticket != ticket);
        self.waiting.len() < count
    }

    /// Removes the requests whose latest time to start has passed.
    pub fn take_expired(&mut self, now: Now) -> Vec<Ticket> {
        let is_expired = |w: &Waiting| now > w.start_by;
        let expired = self.waiting.iter().filter(|w| is_expired(w));
        let expired = expired.map(|w| w.ticket).collect();
        self.waiting.retain(|w| !is_expired(w));
        expired
    }

    /// Number of waiting requests that start before another one.
    #[must_use]
    pub fn before(&self, now: Now, request: &Waiting) -> usize {
        let shares = self.shares(now);
        let goes_first = |w: &&Waiting| compare(now, &shares, w, request) == Ordering::Less;
        self.waiting.iter().filter(goes_first).count()
    }

    /// Removes the request that starts next; `allows_late` tells whether one that will be late may.
    pub fn take_next(&mut self, now: Now, allows_late: bool) -> Option<Waiting> {
        let shares = self.shares(now);
        let waiting = self.waiting.iter().enumerate();
        let waiting = waiting.filter(|(_, w)| allows_late || !w.is_late(now));
        let next = if self.starts % OLDEST_FIRST_PERIOD == OLDEST_FIRST_PERIOD - 1 {
            waiting.min_by_key(|(_, w)| (w.is_late(now), w.ticket))
        } else {
            waiting.min_by(|(_, a), (_, b)| compare(now, &shares, a, b))
        };
        let index = next?.0;
        self.starts = self.starts.wrapping_add(1);
        Some(self.waiting.swap_remove(index))
    }

    /// Records that a request of a team starts.
    pub fn record_start(&mut self, now: Now, team: &str, work: f64) {
        if !self.usage.contains_key(team) {
            self.usage.retain(|_, u| u.at(now) > MIN_USAGE);
            self.usage.insert(team.to_owned(), Usage::default());
        }
        if let Some(usage) = self.usage.get_mut(team) {
            let work = usage.at(now) + work;
            *usage = Usage { work, at: now };
        }
    }

    /// Usage of each team as a multiple of the mean, rounded down; 0 for teams that have used less than that.
    fn shares(&self, now: Now) -> BTreeMap<&str, u32> {
        let usage = self.usage.iter().map(|(t, u)| (t.as_str(), u.at(now)));
        let usage: BTreeMap<&str, f64> = usage.filter(|u| u.1 > MIN_USAGE).collect();
        let mean = usage.values().sum::<f64>() / usage.len().max(1) as f64;
        let share = |used: f64| (used / mean.max(MIN_USAGE)) as u32;
        usage
            .into_iter()
            .map(|(t, used)| (t, share(used)))
            .collect()
    }
}

/// Order of two requests: `Less` if the first one starts first. Those that will be late whenever they start go
/// last, as they would make others late, too.
fn compare(now: Now, shares: &BTreeMap<&str, u32>, a: &Waiting, b: &Waiting) -> Ordering {
    let key = |w: &Waiting| {
        let share = shares.get(w.team.as_str()).copied().unwrap_or(0);
        let order = (w.priority, !w.is_retry, share, w.leaves_at, w.ticket);
        (w.is_late(now), order)
    };
    key(a).cmp(&key(b))
}
