//! Streams that wait at the host until the limit of their service allows one more.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Admitted, Gateway, Next};
use crate::gateway::concurrency::refused::RetryKey;
use crate::gateway::concurrency::{Candidate, Ticket, Verdict};
use crate::gateway::retry_after;
use crate::gateway::routes::RouteTable;
use crate::types::{Now, Refusal, RefusalKind, ServiceId};

/// Largest share of the time until its caller leaves after which the first event of a request may arrive.
const MAX_SHARE_HELD: f64 = 0.75;

impl Admitted {
    /// Ticket of the request while it waits for its turn or is in flight.
    #[must_use]
    pub fn ticket(&self) -> Option<Ticket> {
        self.ticket
    }

    /// What identifies the request when its caller repeats it.
    fn retry_key(&self) -> Option<RetryKey> {
        self.content.map(|content| RetryKey {
            content,
            team: self.team.clone(),
            route: self.route.name.clone(),
        })
    }

    /// When the first event has to arrive at the latest: well before the caller leaves, as the upstream may fail.
    fn begin_by(&self) -> Now {
        let answer_by = self.departure.answer_by().unwrap_or(self.deadline);
        let time = answer_by.min(self.deadline).saturating_sub(self.arrived);
        self.arrived + time.mul_f64(MAX_SHARE_HELD)
    }
}

impl Gateway {
    /// Makes a request wait, or refuses it, if the limit of its service allows no more streams. `None` if it may
    /// be sent now.
    pub(super) fn hold(&mut self, now: Now, request: &mut Admitted) -> Option<Next> {
        if !self.settings.pause_control
            || !request.route.kind.is_stream()
            || self.has_several_groups(now, &request.service)
        {
            return None;
        }
        let (service, patience) = (&request.service, request.route.patience());
        let candidate = Candidate {
            service,
            team: request.team.as_ref(),
            priority: request.priority,
            work: request.work,
            in_time_by: request.arrived + request.route.target_latency,
            begin_by: request.begin_by(),
            leaves_at: request.departure.at().unwrap_or(request.deadline),
            wait_at_upstreams: self.admission.expected_wait(
                now,
                service,
                request.send_priority(),
                patience,
            ),
            has_begun: request.departure.has_event(),
            retry: request.retry_key(),
        };
        let mut ticket = request.ticket;
        let verdict = self.pauses.decide(now, &candidate, &mut ticket);
        request.ticket = ticket;
        match verdict {
            Verdict::Start => None,
            Verdict::Wait(time) => Some(Next::Wait(time)),
            Verdict::Refuse(wait) => {
                let detail = "the stream could not begin in time without longer pauses for all";
                if request.may_have_run {
                    let refusal = Refusal::unknown(RefusalKind::UpstreamFailed, detail);
                    return Some(Next::Refuse(refusal));
                }
                let left = request.deadline.saturating_sub(now);
                let cause = retry_after::Cause::Limited(wait);
                let delay = retry_after::delay(&mut self.rng, cause, left);
                self.record_refusal(now, request, delay);
                let refusal = Refusal::not_run(RefusalKind::Overloaded, detail);
                Some(Next::Refuse(refusal.with_retry_after(delay)))
            }
        }
    }

    /// Whether the upstreams of a service belong to several groups. The pauses of one of them say nothing of the
    /// others, and one limit for all would hold back streams that don't lengthen them.
    fn has_several_groups(&self, now: Now, service: &str) -> bool {
        let subset = self.subsets.get(service).map(|s| &s.1);
        self.load_reports.groups(now, subset.into_iter().flatten()) > 1
    }

    /// Records a refusal for overload, so that the request is recognized when its caller retries.
    pub(super) fn record_refusal(&mut self, now: Now, request: &Admitted, delay: Duration) {
        if let (true, Some(key)) = (self.settings.pause_control, request.retry_key()) {
            self.pauses.record_refusal(now, key, delay);
        }
    }

    /// Gives up the place of a request that has ended, whether it waited or was in flight.
    pub fn release(&mut self, now: Now, request: &mut Admitted) {
        if let Some(ticket) = request.ticket.take() {
            self.pauses.release(now, &request.service, ticket);
        }
    }

    /// Whether a request still waits for its turn.
    #[must_use]
    pub fn is_waiting(&self, request: &Admitted) -> bool {
        let ticket = request.ticket;
        ticket.is_some_and(|t| !self.pauses.is_decided(&request.service, t))
    }

    /// Derives the targets of the limits from a route table.
    pub(super) fn update_targets(&mut self, table: &RouteTable) {
        if self.settings.pause_control {
            self.pauses.set_targets(&targets(table));
        }
    }
}

/// Services with engines whose streams have target pauses, with the shortest of these.
fn targets(table: &RouteTable) -> BTreeMap<ServiceId, Duration> {
    let mut targets = BTreeMap::new();
    for route in table.routes().filter(|r| r.kind.is_stream()) {
        let Some(target) = route.target_pause else {
            continue;
        };
        for (id, _) in &route.services {
            let profile = table.services.get(id).and_then(|s| s.engine.as_ref());
            if profile.is_some() {
                let shortest = targets.entry(id.clone()).or_insert(target);
                *shortest = target.min(*shortest);
            }
        }
    }
    targets
}
