//! Responses to address resolution by callers, to readiness checks of the platform and to metrics
//! scrapes.

use std::sync::atomic::Ordering;

use eelgrasshold_platform::callers::resolve_answer;
use http::{Response, StatusCode, header};

use super::shared::Shared;
use crate::http::{Body, empty, full};
use crate::metrics::Metrics;

/// Path at which metrics are scraped.
pub(super) const METRICS_PATH: &str = "/metrics";

/// Response to a readiness check: 200 if the host accepts callers, else 503.
pub(super) fn ready(shared: &Shared) -> Response<Body> {
    let ready = shared.core().is_ready() && !shared.draining.load(Ordering::Relaxed);
    status(if ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    })
}

/// Response to address resolution: addresses of entry hosts, or 503 if none is known.
pub(super) fn resolve(shared: &Shared) -> Response<Body> {
    let addresses = shared.addresses();
    if addresses.is_empty() {
        return status(StatusCode::SERVICE_UNAVAILABLE);
    }
    let body = resolve_answer(&addresses, shared.options.answer_validity);
    let mut response = Response::new(full(body));
    let json = http::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

/// Response with all metrics in the Prometheus text format.
pub(super) fn metrics(metrics: &Metrics) -> Response<Body> {
    let mut response = Response::new(full(metrics.render()));
    let text = http::HeaderValue::from_static("text/plain; version=0.0.4");
    response.headers_mut().insert(header::CONTENT_TYPE, text);
    response
}

pub(super) fn status(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(empty());
    *response.status_mut() = status;
    response
}
