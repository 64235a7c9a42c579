//! Answers to callers who ask where to connect, and to the platform who asks whether the host
//! takes callers.

use std::sync::atomic::Ordering;

use eelgrasshold_platform::callers::resolve_answer;
use http::{Response, StatusCode, header};

use super::shared::Shared;
use crate::http::{Body, empty, full};
use crate::metrics::Metrics;

/// Path of the metrics.
pub(super) const METRICS_PATH: &str = "/metrics";

/// Whether the host takes callers.
pub(super) fn ready(shared: &Shared) -> Response<Body> {
    let ready = shared.core().is_ready() && !shared.draining.load(Ordering::Relaxed);
    status(if ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    })
}

/// Where to connect.
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

/// The metrics, as Prometheus text.
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
