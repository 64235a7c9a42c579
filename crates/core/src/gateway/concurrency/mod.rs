//! How many streams of a service this host keeps in flight, and the order in which further ones start.
//!
//! All streams of a group wait for the same passes, and a pass takes longer the more streams it serves. Streams
//! beyond what keeps the pauses within the target would therefore make all others late, too. Each host limits
//! its own streams by the pauses that it observes itself; what exceeds the limit waits here, in the order of
//! [`waiting`], or is refused at once if it could not begin well before its caller leaves. See `docs/design/pause-control.md`.

pub mod limit;
pub mod refused;
pub mod waiting;

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use limit::Limit;
use refused::{Refused, RetryKey};
use waiting::{Waiting, WaitingRequests};

use crate::types::{Now, ServiceId, TeamId};

/// Number of a request that has a place in flight or waits for one; later requests have larger ones.
pub type Ticket = u64;

/// Period over which starts and ends are counted.
const RATE_PERIOD: Duration = Duration::from_secs(2);
/// Share of the starts that do not go to the request that is first in the order.
const OTHER_STARTS: f64 = 4.0 / 3.0;
/// Weight of a new value in the mean time to the first event.
const BEGIN_WEIGHT: f64 = 0.1;
/// Share of the limit up to which streams that are at least as urgent as a new request do not make it wait.
const URGENT_SHARE: f64 = 0.8;
/// Share of the limit up to which requests that will be late start.
const LATE_SHARE: f64 = 0.85;
/// Multiple of the limit that urgent requests may reach.
const URGENT_EXCESS: f64 = 1.15;
/// Longest time after which a waiting request is decided on again.
const RECHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time without a waiting request after which the limit no longer binds.
const UNBOUND_TIME: Duration = Duration::from_secs(2);

/// What the decision depends on.
#[derive(Clone, Debug)]
pub struct Candidate<'a> {
    /// Service that serves the request.
    pub service: &'a str,
    /// Team of the caller.
    pub team: Option<&'a TeamId>,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Expected work, relative to a usual request.
    pub work: f64,
    /// When the first event has to arrive to be in time.
    pub in_time_by: Now,
    /// When the first event has to arrive at the latest.
    pub begin_by: Now,
    /// When the caller leaves.
    pub leaves_at: Now,
    /// Time for which requests that were sent to the upstreams wait there.
    pub wait_at_upstreams: Duration,
    /// Whether the stream has begun, so that it goes on without waiting.
    pub has_begun: bool,
    /// What identifies the request when its caller repeats it.
    pub retry: Option<RetryKey>,
}

/// What to do with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It may be sent.
    Start,
    /// It waits, for this time at most until it is decided on again.
    Wait(Duration),
    /// It can't begin well before its caller leaves; there will be capacity after this time.
    Refuse(Duration),
}

/// Begin or end of the time in which requests wait for the limit of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct BindingChange {
    /// The service.
    pub service: ServiceId,
    /// Whether requests begin to wait.
    pub begins: bool,
    /// State of the service.
    pub state: LimitState,
}

/// Figures of a limit, for events and gauges.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LimitState {
    /// The limit; `None` if there is none.
    pub limit: Option<f64>,
    /// Requests that wait.
    pub waiting: usize,
    /// Streams in flight.
    pub in_flight: usize,
    /// Upper quartile of the recent pauses.
    pub pause: Duration,
}

/// Numbers of decisions since the start, for counters.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests that had to wait.
    pub delayed: u64,
    /// Requests that were refused since they could not begin well before their callers leave.
    pub refused: u64,
    /// Requests that were recognized as repetitions of refused ones.
    pub retries: u64,
}

#[derive(Clone, Debug)]
struct Service {
    limit: Limit,
    waiting: WaitingRequests,
    /// Streams in flight with their priorities.
    in_flight: BTreeMap<Ticket, u8>,
    /// Times of starts and ends within [`RATE_PERIOD`].
    starts: VecDeque<Now>,
    ends: VecDeque<Now>,
    /// Mean time from a send to the first event.
    begin_time: Option<Duration>,
    is_binding: bool,
    waited_at: Now,
}

/// Limits of all services, and the requests that wait for them.
#[derive(Clone, Debug, Default)]
pub struct PauseControl {
    services: BTreeMap<ServiceId, Service>,
    refused: Refused,
    last_ticket: Ticket,
    /// Tickets whose requests are to be decided on again at once.
    woken: Vec<Ticket>,
    changes: Vec<BindingChange>,
    counts: Counts,
}

impl PauseControl {
    /// Sets the services that have limits, with the target pauses of their streams.
    pub fn set_targets(&mut self, targets: &BTreeMap<ServiceId, Duration>) {
        let gone = self.services.iter();
        for (_, service) in gone.filter(|(id, _)| !targets.contains_key(*id)) {
            self.woken.extend(service.waiting.tickets());
        }
        self.services.retain(|id, _| targets.contains_key(id));
        for (id, target) in targets {
            match self.services.get_mut(id) {
                Some(service) => service.limit.set_target(*target),
                None => {
                    self.services.insert(id.clone(), Service::new(*target));
                }
            }
        }
    }

    /// Decides on a request. `ticket` is the one of an earlier decision, if there was one, and is set while the
    /// request waits or is in flight; [`Self::release`] has to follow then.
    pub fn decide(
        &mut self,
        now: Now,
        request: &Candidate<'_>,
        ticket: &mut Option<Ticket>,
    ) -> Verdict {
        let Some(service) = self.services.get_mut(request.service) else {
            *ticket = None;
            return Verdict::Start;
        };
        service.start_waiting(now, &mut self.woken);
        if let Some(ticket) = *ticket {
            return service.decide_again(now, request, ticket, &mut self.counts);
        }
        self.last_ticket += 1;
        let id = self.last_ticket;
        let team = request.team.cloned().unwrap_or_default();
        let in_time_until = service.start_by(request, request.in_time_by);
        let is_late = now > in_time_until;
        if request.has_begun || service.has_place(request.priority, is_late) {
            service.start(now, id, request.priority, &team, request.work);
            *ticket = Some(id);
            return Verdict::Start;
        }
        let is_retry = request
            .retry
            .as_ref()
            .is_some_and(|k| self.refused.take(now, k));
        self.counts.retries += u64::from(is_retry);
        let waiting = Waiting {
            ticket: id,
            priority: request.priority,
            is_retry,
            team,
            work: request.work,
            leaves_at: request.leaves_at,
            in_time_until,
            start_by: service.start_by(request, request.begin_by),
        };
        if now + service.expected_wait(now, &waiting) > waiting.start_by {
            self.counts.refused += 1;
            return Verdict::Refuse(service.time_to_capacity(now));
        }
        *ticket = Some(id);
        self.counts.delayed += 1;
        let start_by = waiting.start_by;
        service.waiting.push(waiting);
        service.waited_at = now;
        service.start_waiting(now, &mut self.woken);
        if service.in_flight.contains_key(&id) {
            return Verdict::Start;
        }
        if !service.is_binding {
            service.is_binding = true;
            self.changes.push(service.change(request.service, true));
        }
        Verdict::Wait(wait_time(now, start_by))
    }

    /// Records that a request has ended, whether it waited or was in flight.
    pub fn release(&mut self, now: Now, service: &str, ticket: Ticket) {
        let Some(service) = self.services.get_mut(service) else {
            return;
        };
        if service.in_flight.remove(&ticket).is_some() {
            service.ends.push_back(now);
            if service.in_flight.is_empty() {
                service.limit.clear();
            }
        } else {
            service.waiting.remove(ticket);
        }
        service.start_waiting(now, &mut self.woken);
    }

    /// Records the pause before an event of a stream.
    pub fn record_pause(&mut self, now: Now, service: &str, pause: Duration) {
        let Some(service) = self.services.get_mut(service) else {
            return;
        };
        let is_binding = !service.waiting.is_empty();
        let in_flight = service.in_flight.len();
        service.limit.record(now, pause, in_flight, is_binding);
        if is_binding {
            service.start_waiting(now, &mut self.woken);
        }
    }

    /// Records the time from a send to the first event.
    pub fn record_begin(&mut self, service: &str, took: Duration) {
        if let Some(service) = self.services.get_mut(service) {
            let mean = service.begin_time.unwrap_or(took);
            let mean = mean.mul_f64(1.0 - BEGIN_WEIGHT) + took.mul_f64(BEGIN_WEIGHT);
            service.begin_time = Some(mean);
        }
    }

    /// Records a refusal whose caller may retry after `delay`.
    pub fn record_refusal(&mut self, now: Now, key: RetryKey, delay: Duration) {
        if !self.services.is_empty() {
            self.refused.record(now, key, delay);
        }
    }

    /// Whether the request of a ticket does not wait any more.
    #[must_use]
    pub fn is_decided(&self, service: &str, ticket: Ticket) -> bool {
        let service = self.services.get(service);
        service.is_none_or(|s| !s.waiting.contains(ticket))
    }

    /// Takes the tickets whose requests are to be decided on again at once.
    pub fn take_woken(&mut self) -> Vec<Ticket> {
        std::mem::take(&mut self.woken)
    }

    /// Takes the changes since the last call. To be called regularly.
    pub fn take_changes(&mut self, now: Now) -> Vec<BindingChange> {
        for (id, service) in &mut self.services {
            if !service.waiting.is_empty() {
                service.waited_at = now;
            } else if service.is_binding && now >= service.waited_at + UNBOUND_TIME {
                service.is_binding = false;
                self.changes.push(service.change(id, false));
            }
        }
        std::mem::take(&mut self.changes)
    }

    /// Numbers of decisions since the start.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// States of all services that have limits.
    pub fn states(&self) -> impl Iterator<Item = (&ServiceId, LimitState)> {
        self.services.iter().map(|(id, s)| (id, s.state()))
    }
}

impl Service {
    fn new(target: Duration) -> Self {
        Self {
            limit: Limit::new(target),
            waiting: WaitingRequests::default(),
            in_flight: BTreeMap::new(),
            starts: VecDeque::new(),
            ends: VecDeque::new(),
            begin_time: None,
            is_binding: false,
            waited_at: Now::ZERO,
        }
    }

    fn state(&self) -> LimitState {
        LimitState {
            limit: self.limit.value(),
            waiting: self.waiting.len(),
            in_flight: self.in_flight.len(),
            pause: self.limit.pause(),
        }
    }

    fn change(&self, id: &str, begins: bool) -> BindingChange {
        BindingChange {
            service: id.to_owned(),
            begins,
            state: self.state(),
        }
    }

    /// Decides on a request that has waited or is in flight.
    fn decide_again(
        &mut self,
        now: Now,
        request: &Candidate<'_>,
        ticket: Ticket,
        counts: &mut Counts,
    ) -> Verdict {
        if self.in_flight.contains_key(&ticket) {
            return Verdict::Start;
        }
        if request.has_begun {
            self.in_flight.insert(ticket, request.priority);
            return Verdict::Start;
        }
        let start_by = self.start_by(request, request.begin_by);
        if self.waiting.contains(ticket) && now <= start_by {
            return Verdict::Wait(wait_time(now, start_by));
        }
        self.waiting.remove(ticket);
        counts.refused += 1;
        Verdict::Refuse(self.time_to_capacity(now))
    }

    fn start(&mut self, now: Now, ticket: Ticket, priority: u8, team: &str, work: f64) {
        self.in_flight.insert(ticket, priority);
        self.starts.push_back(now);
        self.waiting.record_start(now, team, work);
    }

    /// Whether a new request may start at once. Requests that would fit if there were no less urgent ones do not
    /// wait for those: they may exceed the limit a little, and others start later instead. Requests that will be
    /// late have no such place.
    fn has_place(&self, priority: u8, is_late: bool) -> bool {
        if is_late {
            return self.waiting.is_empty() && self.allows_late();
        }
        let in_flight = self.in_flight.len();
        if self.waiting.is_empty() && self.limit.allows(in_flight) {
            return true;
        }
        let Some(limit) = self.limit.value() else {
            return true;
        };
        let as_urgent = self.in_flight.values().filter(|p| **p <= priority);
        let as_urgent = as_urgent.count() + 1;
        as_urgent as f64 <= limit * URGENT_SHARE
            && in_flight as f64 + 1.0 <= (limit * URGENT_EXCESS).max(limit + 1.0)
    }

    /// Whether a request that will be late may start: the rest of the limit is kept for those that come next and
    /// can be in time.
    fn allows_late(&self) -> bool {
        let in_flight = self.in_flight.len() as f64 + 1.0;
        self.limit
            .value()
            .is_none_or(|v| in_flight <= (v * LATE_SHARE).max(1.0))
    }

    /// Starts waiting requests as far as the limit allows.
    fn start_waiting(&mut self, now: Now, woken: &mut Vec<Ticket>) {
        if self.waiting.is_empty() {
            return;
        }
        self.waited_at = now;
        woken.extend(self.waiting.take_expired(now));
        while self.limit.allows(self.in_flight.len()) {
            let allows_late = self.allows_late();
            let Some(next) = self.waiting.take_next(now, allows_late) else {
                return;
            };
            self.start(now, next.ticket, next.priority, &next.team, next.work);
            woken.push(next.ticket);
        }
    }

    /// Latest time at which a request may start for its first event to arrive by a time.
    fn start_by(&self, request: &Candidate<'_>, begin_by: Now) -> Now {
        let begin = self.begin_time.unwrap_or_default();
        let begin = begin.max(request.wait_at_upstreams);
        begin_by.saturating_sub(begin)
    }

    /// Rate at which places in flight become free, per second. Starts are too few while more streams are in
    /// flight than the limit allows; ends count then.
    fn rate(&mut self, now: Now) -> f64 {
        for times in [&mut self.starts, &mut self.ends] {
            while times.front().is_some_and(|at| now >= *at + RATE_PERIOD) {
                times.pop_front();
            }
        }
        self.starts.len().max(self.ends.len()) as f64 / RATE_PERIOD.as_secs_f64()
    }

    /// Time after which a request that is not waiting yet would start.
    fn expected_wait(&mut self, now: Now, request: &Waiting) -> Duration {
        let before = self.waiting.before(now, request) as f64 * OTHER_STARTS;
        self.time_for(now, before)
    }

    /// Time after which there is capacity for one more request of any kind.
    fn time_to_capacity(&mut self, now: Now) -> Duration {
        let before = self.waiting.len() as f64;
        self.time_for(now, before)
    }

    fn time_for(&mut self, now: Now, before: f64) -> Duration {
        let places = before + self.limit.excess(self.in_flight.len());
        if places <= 0.0 {
            return Duration::ZERO;
        }
        let time = Duration::try_from_secs_f64(places / self.rate(now));
        time.unwrap_or(Duration::from_secs(3_600))
    }
}

/// Time after which a waiting request is decided on again.
fn wait_time(now: Now, start_by: Now) -> Duration {
    let left = start_by.saturating_sub(now) + Duration::from_millis(1);
    left.min(RECHECK_INTERVAL)
}
