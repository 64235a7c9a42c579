//! The next step of a request: an upstream for it, or a refusal.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::Rng;

use super::{Admitted, Gateway, Next, Outcome, Reasons};
use crate::gateway::notices::Willingness;
use crate::gateway::placing::{self, Signals};
use crate::gateway::registry::{Upstream, UpstreamId};
use crate::gateway::retry_after;
use crate::gateway::silence::Liveness;
use crate::gateway::upstream_limits::{Decider, Permit};
use crate::serving::subset::even_subset;
use crate::types::{HostId, Now, Refusal, RefusalKind};

/// Remaining time below which a request is not sent any more: it would reach the upstream too late.
const MIN_TIME_LEFT: Duration = Duration::from_millis(5);
/// Largest share of a request's time in which it waits here for upstreams that pause.
const MAX_SHARE_WAITED: f64 = 1.0 / 3.0;
/// Longest random time that is added to a wait, as a share of it, so that waiting requests don't go on
/// together.
const WAIT_SPREAD: f64 = 1.0;
const MIN_WAIT_SPREAD: Duration = Duration::from_millis(300);
/// Longest random time that is added to a wait for a permit of a cold upstream: half the time after
/// which the permit expires.
const COLD_WAIT_SPREAD: Duration = Duration::from_millis(100);
/// Failed connections after which a request is refused: the next one is likely to fail too, and
/// each takes up to the connect timeout.
const MAX_FAILED_CONNECTIONS: u32 = 4;

impl Admitted {
    /// Longest time that the request may go on waiting at this host. One that waits longer has too little of
    /// its time left elsewhere if it is refused in the end.
    fn time_to_wait(&self, now: Now) -> Duration {
        let end = self
            .departure
            .at()
            .unwrap_or(self.deadline)
            .min(self.deadline);
        let start = self.departure.served_at();
        let limit = start + end.saturating_sub(start).mul_f64(MAX_SHARE_WAITED);
        limit.saturating_sub(now)
    }
}

impl Gateway {
    /// Decides on the next step of a request. The chosen upstream counts as loaded with the request
    /// until [`Self::attempt_ended`].
    pub fn next(&mut self, now: Now, request: &mut Admitted) -> Next {
        if now + MIN_TIME_LEFT >= request.deadline {
            return self.refuse(
                now,
                request,
                RefusalKind::DeadlineExceeded,
                "the time ran out",
            );
        }
        if request.departure.left(now) == Some(Duration::ZERO) {
            let detail = "no event in the time for which the caller waits";
            return self.refuse(now, request, RefusalKind::DeadlineExceeded, detail);
        }
        if let Some(left) = self.quarantine.refused_for(now, &request.features) {
            return refuse_quarantined(request, left);
        }
        request.stalled |= match request.last_outcome {
            Some(Outcome::Full) => self.is_forming(&request.service),
            Some(Outcome::Silent) => self.signs.stall_reported(now, &request.service),
            _ => false,
        };
        if request.stalled {
            let detail = "the group that serves the request waits for one of its ranks";
            return self.refuse(now, request, RefusalKind::NoUpstream, detail);
        }
        if request.failed_connections >= MAX_FAILED_CONNECTIONS {
            let detail = "no upstream that was tried could be reached";
            return self.refuse(now, request, RefusalKind::NoUpstream, detail);
        }
        let repeated = !request.tried.is_empty();
        if repeated && !request.is_repeatable() {
            let detail = "the upstreams that were tried did not serve the request";
            return self.refuse(now, request, RefusalKind::Overloaded, detail);
        }
        if !self.can_begin(now, request) {
            let detail = "the stream could not begin in time";
            return self.refuse(now, request, RefusalKind::Overloaded, detail);
        }
        if let Some(step) = self.hold(now, request) {
            return step;
        }
        let (chosen, reasons) = loop {
            let Some((chosen, reasons)) = self.choose(now, request) else {
                return self.wait_or_refuse(now, request);
            };
            if repeated && !self.charge(now, request) {
                let detail = "the budget of repeated sends is spent";
                return self.refuse(now, request, RefusalKind::Overloaded, detail);
            }
            if request.permit.take().is_some_and(|id| id == chosen.id) {
                break (chosen, reasons);
            }
            match self.limits.decider(now, &chosen.id) {
                Decider::Nobody => break (chosen, reasons),
                Decider::Host(accountant) => return Next::Ask(chosen.id, accountant),
                Decider::Local => match self.limits.decide(now, &chosen.id) {
                    Permit::Granted => break (chosen, reasons),
                    Permit::Denied { wait } => self.limits.record_denial(now, &chosen.id, wait),
                },
            }
        };
        request.last_charge = request.charged_at.take();
        request.tried.insert(chosen.id.clone());
        let is_idle = self.loads.requests(&chosen.id) == 0;
        self.signs
            .record_send(now, &request.service, &chosen.id, is_idle);
        if request.route.kind.is_stream() {
            let (service, id) = (&request.service, &request.id);
            self.admission
                .record_send(now, service, id, request.send_priority());
        }
        self.loads.add(now, &chosen.id, request.work);
        self.notices.record_send(now, &chosen.id);
        self.cold.take(&chosen.id);
        Next::Send(chosen, reasons)
    }

    /// Whether some upstream can be expected to begin a request before its caller leaves.
    fn can_begin(&self, now: Now, request: &Admitted) -> bool {
        let Some(left) = request.departure.left(now) else {
            return true;
        };
        let (service, patience) = (&request.service, request.route.patience());
        let priority = request.send_priority();
        let admission = &self.admission;
        if request.tried.is_empty() {
            return request.departure.allows(now, Duration::ZERO)
                && admission.admits(now, service, priority, patience, left);
        }
        let wait = admission.expected_wait(now, service, priority, patience);
        request.departure.allows(now, wait)
    }

    /// Charges the budget for the next send of a request, and gives back what it was charged for one that did
    /// not happen: an arrival counts from when it is sent. Returns false if the budget is spent.
    fn charge(&mut self, now: Now, request: &mut Admitted) -> bool {
        if let Some(at) = request.charged_at.take() {
            self.budget.give_back(now, &request.service, at);
        }
        let is_charged = self.budget.try_take(now, &request.service);
        request.charged_at = is_charged.then_some(now);
        is_charged
    }

    /// Records whether a request may be sent to an upstream, as the accountant of its limit says; `None`
    /// if that host did not answer.
    pub fn permit_answered(
        &mut self,
        now: Now,
        request: &mut Admitted,
        upstream: &str,
        accountant: &HostId,
        permit: Option<Permit>,
    ) {
        if permit == Some(Permit::Granted) {
            request.permit = Some(upstream.to_owned());
        }
        self.limits.record_permit(now, upstream, accountant, permit);
    }

    /// Decides on a request that no upstream takes now. It waits for the end of a pause if that comes early
    /// in its time. Otherwise it is refused, with the time until some upstream takes it if that is known.
    fn wait_or_refuse(&mut self, now: Now, request: &Admitted) -> Next {
        let untried = self.registry.usable(&request.service);
        let untried = untried.filter(|u| {
            !request.tried.contains(&u.id) && !self.evacuations.is_evacuated(&u.data_centre)
        });
        let (mut limited, mut paused, mut cold) = (None, None, None);
        for upstream in untried {
            let (wait, earliest) = match self.notices.willingness(now, upstream) {
                Willingness::Open => match (
                    self.limits.exhausted_for(now, &upstream.id),
                    self.cold.wait(now, upstream),
                ) {
                    (None, permit_in) => (permit_in, &mut cold),
                    (limited_for, permit_in) => (limited_for.max(permit_in), &mut limited),
                },
                Willingness::Leaving => continue,
                Willingness::Paused(left) => (Some(left), &mut paused),
            };
            *earliest = [*earliest, wait].into_iter().flatten().min();
        }
        let Some(wait) = [limited, paused, cold].into_iter().flatten().min() else {
            let reason = if self.is_evacuated(&request.service) {
                "is in a data centre that is not evacuated"
            } else {
                "takes requests now"
            };
            let detail = format!("no upstream of `{}` {reason}", request.service);
            return self.refuse(now, request, RefusalKind::NoUpstream, &detail);
        };
        let most = request.time_to_wait(now);
        if paused == Some(wait) && wait <= most {
            let spread = wait.mul_f64(WAIT_SPREAD).max(MIN_WAIT_SPREAD);
            let spread = spread.mul_f64(self.rng.random_range(0.0..1.0));
            return Next::Wait((wait + spread).min(most));
        }
        if cold == Some(wait) && wait <= most {
            let spread = COLD_WAIT_SPREAD.mul_f64(self.rng.random_range(0.0..1.0));
            return Next::Wait((wait + spread).min(most));
        }
        let detail = "all upstreams that could take the request want none for now";
        if request.may_have_run {
            return Next::Refuse(Refusal::unknown(RefusalKind::UpstreamFailed, detail));
        }
        let left = request.deadline.saturating_sub(now);
        let delay = retry_after::delay(&mut self.rng, retry_after::Cause::Limited(wait), left);
        let refusal = Refusal::not_run(RefusalKind::Overloaded, detail);
        Next::Refuse(refusal.with_retry_after(delay))
    }

    fn choose(&mut self, now: Now, request: &Admitted) -> Option<(Upstream, Reasons)> {
        self.update_subset(&request.service);
        let usable: Vec<&Upstream> = self.registry.usable(&request.service).collect();
        let untried = usable.iter().filter(|u| !request.tried.contains(&u.id));
        let untried: Vec<&Upstream> = untried.copied().collect();
        let limits = &self.limits;
        let has_permit = |u: &Upstream| request.permit.as_ref() == Some(&u.id);
        let within_limits =
            |u: &&&Upstream| has_permit(u) || limits.exhausted_for(now, &u.id).is_none();
        let (mut unwilling, mut evacuated) = (0, 0);
        let candidates = untried.iter().filter(|u| {
            if self.evacuations.is_evacuated(&u.data_centre) {
                evacuated += 1;
                return false;
            }
            let is_open = self.notices.willingness(now, u) == Willingness::Open;
            unwilling += usize::from(!is_open);
            is_open && within_limits(u) && self.cold.admits(now, u)
        });
        let candidates: Vec<&Upstream> = candidates.copied().collect();
        let local_data_centre = &self.settings.data_centre;
        let (loads, health, registry) = (&self.loads, &self.health, &self.registry);
        let suspects: BTreeSet<&UpstreamId> = self.suspects(now, request, &candidates);
        let (avoided, preferred): (Vec<&Upstream>, Vec<&Upstream>) =
            candidates.iter().partition(|u| {
                health.is_ejected(now, &u.id) || registry.is_replaced(u) || suspects.contains(&u.id)
            });
        let subset = self.subsets.get(&request.service).map(|s| &s.1);
        let own: Vec<&Upstream> = preferred
            .iter()
            .filter(|u| subset.is_none_or(|s| s.contains(&u.id)) && !loads.is_full(now, &u.id))
            .copied()
            .collect();
        let enough = subset.is_none_or(|s| own.len() * 2 >= s.len().min(preferred.len()));
        let from = match (enough, preferred.is_empty()) {
            (true, _) if !own.is_empty() => &own,
            (_, false) => &preferred,
            _ => &avoided,
        };
        let signals = Signals {
            loads,
            reports: &self.load_reports,
            health,
        };
        let chosen = match candidates.iter().find(|u| has_permit(u)) {
            Some(permitted) => permitted,
            None => placing::choose(&mut self.rng, now, local_data_centre, from, &signals)?,
        };
        let reasons = Reasons {
            usable: usable.len(),
            tried: usable.len() - untried.len(),
            unwilling,
            evacuated,
            limited: untried.len() - unwilling - evacuated - candidates.len(),
            avoided: avoided.len(),
            in_flight: loads.requests(&chosen.id),
            registry: self.registry.revision(),
            registry_age: now.saturating_sub(self.registry.last_answer_at()),
            lapsed: self.registry.is_lapsed(&chosen.id),
        };
        Some((chosen.clone(), reasons))
    }

    /// Candidates that a request had better not be sent to, as they may stand still. None, if that
    /// is most of them: the others could not do their work.
    fn suspects<'a>(
        &self,
        now: Now,
        request: &Admitted,
        candidates: &[&'a Upstream],
    ) -> BTreeSet<&'a UpstreamId> {
        let is_suspect = |u: &&&Upstream| {
            let is_idle = self.loads.requests(&u.id) == 0;
            match self.signs.liveness(now, &request.service, &u.id, is_idle) {
                Liveness::Likely => false,
                Liveness::Suspect => true,
                Liveness::Unknown => !request.may_be_sent_twice(),
            }
        };
        let suspects = candidates.iter().filter(is_suspect).map(|u| &u.id);
        let suspects: BTreeSet<&UpstreamId> = suspects.collect();
        if suspects.len() * 2 > candidates.len() {
            return BTreeSet::new();
        }
        suspects
    }

    /// Chooses the upstreams of a service that this host uses first, after a change of the registry
    /// or of the fleet.
    fn update_subset(&mut self, service: &str) {
        let revision = self.registry.revision();
        if self.subsets.get(service).is_some_and(|s| s.0 == revision) {
            return;
        }
        let usable = self.registry.usable(service);
        let usable = usable.filter(|u| !self.evacuations.is_evacuated(&u.data_centre));
        let usable: BTreeSet<UpstreamId> = usable.map(|u| u.id.clone()).collect();
        let subset = if usable.len() <= placing::MAX_UPSTREAMS_WITHOUT_SUBSETS {
            usable
        } else {
            let me = &self.settings.host;
            even_subset(me, &self.fleet, &usable, placing::SUBSET_SIZE)
        };
        self.subsets.insert(service.to_owned(), (revision, subset));
    }

    /// Builds the refusal of a request, with what is known of its execution and, if it has not run,
    /// the delay after which its caller should retry.
    fn refuse(&mut self, now: Now, request: &Admitted, kind: RefusalKind, detail: &str) -> Next {
        if request.may_have_run {
            let kind = match kind {
                RefusalKind::DeadlineExceeded => kind,
                _ => RefusalKind::UpstreamFailed,
            };
            return Next::Refuse(Refusal::unknown(kind, detail));
        }
        let kind = match kind {
            RefusalKind::DeadlineExceeded => RefusalKind::NoUpstream,
            _ => kind,
        };
        let left = request.deadline.saturating_sub(now);
        let cause = if request.stalled || kind == RefusalKind::NoUpstream {
            retry_after::Cause::Stalled
        } else {
            retry_after::Cause::Full
        };
        let delay = retry_after::delay(&mut self.rng, cause, left);
        if kind == RefusalKind::Overloaded {
            self.record_refusal(now, request, delay);
        }
        Next::Refuse(Refusal::not_run(kind, detail).with_retry_after(delay))
    }
}

/// Refuses a request under which upstreams would end. Callers that come back sooner than it says are
/// refused again.
fn refuse_quarantined(request: &Admitted, left: Duration) -> Next {
    let detail = "upstreams ended when they began to answer requests like this one";
    Next::Refuse(if request.may_have_run {
        Refusal::unknown(RefusalKind::UpstreamFailed, detail)
    } else {
        Refusal::not_run(RefusalKind::Quarantined, detail).with_retry_after(left)
    })
}
