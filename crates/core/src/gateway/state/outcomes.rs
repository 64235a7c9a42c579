//! What attempts and answers say of upstreams.

use super::{Admitted, Gateway, Outcome};
use crate::gateway::cold::ColdChange;
use crate::gateway::load_reports::LoadReport;
use crate::gateway::notices::{Changes, LeavingReport, Notice};
use crate::gateway::placing::Work;
use crate::gateway::registry::Upstream;
use crate::gateway::silence::{Prospect, StreamAttempt};
use crate::gateway::upstream_limits::Rate;
use crate::types::Now;

/// Consecutive refusals, by a service that runs nothing for this host, after which its groups are
/// assumed to be forming. Fewer may be chance, where other hosts fill some of the upstreams.
const MIN_FORMING_REFUSALS: u32 = 3;

impl Gateway {
    /// Records the outcome of an attempt that [`Self::next`] started; [`Admitted::record_outcome`]
    /// records what it means for the request. Returns whether the upstream is ejected from now on.
    pub fn attempt_ended(
        &mut self,
        now: Now,
        upstream: &str,
        work: Work,
        outcome: Outcome,
    ) -> bool {
        self.loads.sub(upstream, work);
        self.notices.record_end(upstream);
        if outcome == Outcome::Full {
            self.loads.record_full(now, upstream);
        }
        if let (Outcome::Stalled, Some(u)) = (outcome, self.registry.get(upstream)) {
            self.signs.record_stall(now, &u.service);
        }
        if let Some(listed) = self.registry.get(upstream) {
            self.cold.record_outcome(now, listed, outcome);
        }
        self.count_idle_refusal(upstream, outcome);
        self.health.observe(now, upstream, outcome)
    }

    /// Upstreams whose load is of use to this host: the engines that it uses first.
    pub fn reported_upstreams(&self) -> impl Iterator<Item = &Upstream> {
        let table = self.table.as_ref();
        let is_engine = move |service: &str| {
            let service = table.and_then(|t| t.services.get(service));
            service.is_some_and(|s| s.engine.is_some())
        };
        let subsets = self.subsets.iter().filter(move |(s, _)| is_engine(s));
        let ids = subsets.flat_map(|(_, (_, subset))| subset);
        ids.filter_map(|id| self.registry.get(id))
    }

    /// Records the load that a sidecar reports; returns whether it is used.
    pub fn record_load(&mut self, now: Now, report: &LoadReport) -> bool {
        let Some(upstream) = self.registry.newest_at(report.engine) else {
            return false;
        };
        let own = self.loads.requests(&upstream.id);
        self.load_reports.record(now, upstream, report, own)
    }

    /// Whether a request may still be sent to the upstream that was chosen for it: it may have left,
    /// started anew or been evacuated while the connection was opened.
    #[must_use]
    pub fn may_send(&self, now: Now, upstream: &Upstream) -> bool {
        let listed = self.registry.get(&upstream.id);
        let is_evacuated = |l: &Upstream| self.evacuations.is_evacuated(&l.data_centre);
        listed.is_some_and(|l| !l.leaving && l.born == upstream.born && !is_evacuated(l))
            && self.notices.may_send(now, upstream)
    }

    /// Records what the head of an answer says of its upstream, to which the request was sent at `sent_at`.
    pub fn record_notice(
        &mut self,
        now: Now,
        upstream: &Upstream,
        sent_at: Now,
        notice: Notice,
    ) -> Changes {
        let listed = self.registry.get(&upstream.id);
        if listed.is_some_and(|l| l.born != upstream.born) {
            return Changes::default();
        }
        self.notices.record_answer(now, upstream, sent_at, notice)
    }

    /// Records a report of another host; returns whether it is news.
    pub fn receive_leaving(&mut self, now: Now, report: &LeavingReport) -> bool {
        let listed = self.registry.get(&report.upstream);
        self.notices.receive(now, report, listed)
    }

    /// Records the limit that the head of an answer names, or that it names none. Returns whether that
    /// changes the limit of the upstream. A refusal of a request that was not run may leave it out.
    pub fn record_limit(
        &mut self,
        now: Now,
        upstream: &str,
        sent_at: Now,
        rate: Option<Rate>,
        is_refusal: bool,
    ) -> bool {
        let says = rate.is_some() || !is_refusal;
        says && self.limits.record_answer(now, upstream, sent_at, rate)
    }

    /// Records that a stream has begun at an upstream.
    pub fn stream_begun(&mut self, now: Now, service: &str, upstream: &str, request: &str) {
        self.admission.record_begin(now, service, request);
        self.signs.record_begin(upstream);
        if let Some(listed) = self.registry.get(upstream) {
            self.cold.record_reached(now, listed);
        }
    }

    /// Records that the evacuation of a data centre has ended: its upstreams may be cold.
    pub fn record_evacuation_end(&mut self, now: Now, data_centre: &str) {
        let upstreams = self.registry.all();
        for upstream in upstreams.filter(|u| u.data_centre == data_centre) {
            self.cold.record_evacuation_end(now, upstream);
        }
    }

    /// Brings the records of cold upstreams up to date; returns the upstreams that have become cold or
    /// warm since the last call.
    pub fn refresh_cold(&mut self, now: Now) -> Vec<ColdChange> {
        self.cold.refresh(now, &self.registry)
    }

    /// Records that an attempt has ended, and with it the stream that may have begun.
    pub fn stream_ended(&mut self, service: &str, upstream: &str, request: &str, has_begun: bool) {
        self.admission.record_end(service, request);
        if has_begun {
            self.signs.record_end(upstream);
        }
    }

    /// Records that a part of an answer arrived from an upstream.
    pub fn record_sign(&mut self, now: Now, service: &str, upstream: &str) {
        self.signs.record(now, service, upstream);
    }

    /// Prospect of the last attempt of a request, which was sent to an upstream at `sent_at`. One that
    /// is no stream, or must not run twice, is not given up for the silence of its upstream.
    #[must_use]
    pub fn prospect(
        &mut self,
        now: Now,
        request: &Admitted,
        upstream: &str,
        sent_at: Now,
        has_begun: bool,
    ) -> Prospect {
        if !has_begun
            && self
                .quarantine
                .refused_for(now, &request.features)
                .is_some()
        {
            return Prospect::Withdrawn;
        }
        if !request.route.kind.is_stream() {
            return Prospect::GoesOn(request.deadline);
        }
        if !request.may_be_given_up() {
            return match request.departure.answer_by() {
                Some(by) if now >= by => Prospect::Expired,
                by => Prospect::GoesOn(by.unwrap_or(request.deadline)),
            };
        }
        let attempt = StreamAttempt {
            service: &request.service,
            upstream,
            sent_at,
            has_begun,
            patience: request.route.patience(),
            departure: request.departure,
        };
        self.signs.prospect(now, attempt)
    }

    /// Counts refusals that are not caused by load, since this host has nothing running at the
    /// service.
    fn count_idle_refusal(&mut self, upstream: &str, outcome: Outcome) {
        let Some(service) = self.registry.get(upstream).map(|u| &u.service) else {
            return;
        };
        match outcome {
            Outcome::Answered | Outcome::Failed => {
                self.idle_refusals.remove(service);
            }
            Outcome::Full if self.is_grouped(service) => {
                let mut usable = self.registry.usable(service);
                if usable.all(|u| self.loads.requests(&u.id) == 0) {
                    *self.idle_refusals.entry(service.clone()).or_default() += 1;
                } else {
                    self.idle_refusals.remove(service);
                }
            }
            _ => {}
        }
    }

    /// Whether the upstreams of a service are ranks of groups, which serve only while their group
    /// is complete.
    fn is_grouped(&self, service: &str) -> bool {
        let profile = self.table.as_ref().and_then(|t| t.services.get(service));
        let engine = profile.and_then(|p| p.engine.as_ref());
        engine.is_some_and(|e| e.experts.is_some())
    }

    /// Whether the groups of a service seem to be forming. A rank of a forming group refuses
    /// requests just as a full one does.
    pub(super) fn is_forming(&self, service: &str) -> bool {
        let refusals = self.idle_refusals.get(service);
        refusals.is_some_and(|n| *n >= MIN_FORMING_REFUSALS)
    }
}
