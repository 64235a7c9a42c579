//! Attempts at upstreams, from their dispatch to their outcome.

use std::sync::Arc;

use eelgrasshold_core::event::{Event, EventKind};
use eelgrasshold_core::gateway::placing::Work;
use eelgrasshold_core::gateway::quarantine::FeatureId;
use eelgrasshold_core::gateway::registry::Upstream;
use eelgrasshold_core::gateway::{Admitted, Outcome};
use eelgrasshold_core::types::Now;

use super::ends::Ended;
use super::shared::Shared;

/// Events from which on an upstream has not just begun to answer.
const BEGUN_EVENTS: u32 = 3;

/// An attempt in flight. Dropping it without an outcome reports [`Outcome::GivenUp`].
pub(super) struct InFlight {
    pub(super) shared: Arc<Shared>,
    pub(super) request: String,
    pub(super) upstream: Upstream,
    work: Work,
    features: Vec<FeatureId>,
    pub(super) sent_at: Now,
    /// When bytes of the answer last arrived; [`Self::sent_at`] before the first.
    heard_at: Now,
    /// Whether the head of an answer arrived.
    has_head: bool,
    /// Number of events that arrived.
    pub(super) events: u32,
    /// When the last event arrived; [`Self::sent_at`] before the first.
    event_at: Now,
    ended: bool,
}

impl InFlight {
    pub(super) fn start(
        shared: &Arc<Shared>,
        admitted: &Admitted,
        upstream: &Upstream,
        now: Now,
    ) -> Self {
        Self {
            shared: Arc::clone(shared),
            request: admitted.id.clone(),
            upstream: upstream.clone(),
            work: admitted.work,
            features: admitted.features.clone(),
            sent_at: now,
            heard_at: now,
            has_head: false,
            events: 0,
            event_at: now,
            ended: false,
        }
    }

    /// Records that the head of the answer arrived.
    pub(super) fn record_head(&mut self) {
        self.has_head = true;
        self.record_bytes();
    }

    /// Records that bytes of the answer arrived.
    pub(super) fn record_bytes(&mut self) {
        self.heard_at = self.shared.now();
        let mut core = self.shared.core();
        core.record_sign(self.heard_at, &self.upstream.service, &self.upstream.id);
    }

    /// Records that a whole event of the answer arrived.
    pub(super) fn record_event(&mut self) {
        self.events += 1;
        let (now, upstream) = (self.shared.now(), &self.upstream);
        let pause = now.saturating_sub(self.event_at);
        self.event_at = now;
        let core = &mut self.shared.core();
        if self.events == 1 {
            core.stream_begun(now, &upstream.service, &upstream.id, &self.request);
            core.pauses.record_begin(&upstream.service, pause);
        } else {
            core.pauses.record_pause(now, &upstream.service, pause);
            self.shared.turns.wake(core);
        }
    }

    /// Ends the attempt. `is_sound` tells that an answer shows the request to be sound if the upstream lives
    /// on.
    pub(super) fn end(mut self, outcome: Outcome, is_sound: bool) {
        self.report(outcome, is_sound);
    }

    fn report(&mut self, outcome: Outcome, is_sound: bool) {
        if self.ended {
            return;
        }
        self.ended = true;
        let shared = &self.shared;
        let now = shared.now();
        let ejected = {
            let core = &mut shared.core();
            let upstream = &self.upstream;
            let has_begun = self.events > 0;
            core.stream_ended(&upstream.service, &upstream.id, &self.request, has_begun);
            core.attempt_ended(now, &upstream.id, self.work, outcome)
        };
        shared.metrics.attempt_ended(outcome);
        let event = Event::new(EventKind::AttemptEnded, "")
            .about_request(self.request.as_str())
            .with("upstream", self.upstream.id.as_str())
            .with("outcome", outcome.name())
            .with("took_ms", now.saturating_sub(self.sent_at))
            .with("head", u32::from(self.has_head))
            .with("events", self.events)
            .with("silent_ms", now.saturating_sub(self.heard_at));
        shared.timeline.record(event);
        if outcome == Outcome::Broken {
            let ended = Ended {
                upstream: self.upstream.clone(),
                request: self.request.clone(),
                at: now,
                at_begin: self.has_head && self.events < BEGUN_EVENTS,
                features: self.features.clone(),
            };
            ended.check(shared);
        } else if outcome.may_have_run() {
            let is_answered = outcome == Outcome::Answered && is_sound;
            let (id, features) = (&self.upstream.id, &self.features);
            let quarantine = &mut shared.core().quarantine;
            quarantine.record_left(now, id, features, is_answered);
        }
        if ejected {
            let event = Event::new(EventKind::UpstreamEjected, "left out for a while")
                .about_request(self.request.as_str())
                .with("upstream", self.upstream.id.as_str())
                .with("outcome", outcome.name());
            shared.timeline.record(event);
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.report(Outcome::GivenUp, false);
    }
}
