//! Answers of upstreams, judged by their heads.

use std::net::SocketAddr;

use eelgrasshold_core::event::{Event, EventKind};
use eelgrasshold_core::gateway::Outcome;
use eelgrasshold_core::gateway::notices::Notice;
use eelgrasshold_core::gateway::upstream_limits::valid_rate;
use eelgrasshold_platform::headers as names;
use http::{StatusCode, header, response};
use hyper::body::Incoming;

use super::in_flight::InFlight;
use super::permits;
use crate::http::Sender;
use crate::wire::headers::parsed;

/// The head of an upstream's answer, with its unread body and the connection.
pub(super) struct Answer {
    /// Address of the upstream that answered.
    pub(super) address: SocketAddr,
    pub(super) parts: response::Parts,
    /// What the upstream says of itself.
    pub(super) notice: Notice,
    pub(super) body: Incoming,
    pub(super) sender: Sender,
    pub(super) in_flight: InFlight,
}

impl Answer {
    /// Whether a success comes unmodified from the upstream: it has the upstream's digest, and
    /// nothing on the way has encoded the body.
    pub(super) fn is_genuine(&self) -> bool {
        let headers = &self.parts.headers;
        headers.contains_key(names::DIGEST) && !headers.contains_key(header::CONTENT_ENCODING)
    }

    /// Records the limit of requests a second that the upstream names, or that it names none.
    pub(super) fn record_limit(&self) {
        let in_flight = &self.in_flight;
        let (shared, upstream) = (&in_flight.shared, &in_flight.upstream.id);
        let rate = match parsed::<f64>(&self.parts.headers, &names::UPSTREAM_LIMIT) {
            Ok(rate) => rate.and_then(valid_rate),
            Err(error) => {
                log::debug!("upstream `{upstream}` names no limit that can be read: {error}");
                return;
            }
        };
        let rejection = self.rejection();
        if rejection == Some(Outcome::Misdirected) {
            return;
        }
        let now = shared.now();
        let is_refusal = rejection.is_some();
        let changed =
            shared
                .core()
                .record_limit(now, upstream, in_flight.sent_at, rate, is_refusal);
        if changed {
            let text = rate.map_or_else(|| "none".to_owned(), |r| format!("{r:.2}"));
            let event = Event::new(EventKind::UpstreamLimited, "")
                .about_request(in_flight.request.as_str())
                .with("upstream", upstream.as_str())
                .with("limit", text);
            shared.timeline.record(event);
            permits::publish(shared, upstream);
        }
    }

    /// The outcome if the upstream refused the request without running it.
    pub(super) fn rejection(&self) -> Option<Outcome> {
        if self.parts.status == StatusCode::MISDIRECTED_REQUEST {
            return Some(Outcome::Misdirected);
        }
        if !self.parts.headers.contains_key(names::NOT_RUN) {
            return None;
        }
        let at_fault = parsed::<SocketAddr>(&self.parts.headers, &names::AT_FAULT);
        let other_at_fault = matches!(at_fault, Ok(Some(at_fault)) if at_fault != self.address);
        let declines = self.notice.leaving || self.notice.pause.is_some_and(|p| !p.is_zero());
        Some(if other_at_fault {
            Outcome::Stalled
        } else if declines {
            Outcome::Declined
        } else {
            Outcome::Full
        })
    }
}
