//! HTTP routes of the admin listener.

use std::fmt;
use std::sync::Arc;

use eelgrasshold_core::config::Config;
use eelgrasshold_core::event::Filter;
use http::{Method, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use serde::Serialize;

use super::Status;
use crate::http::{Body, full};
use crate::metrics::Metrics;
use crate::runtime::Timeline;
use crate::wire::headers;

/// Data sources and actions behind the admin routes.
pub struct Admin {
    /// Source of `/v1/timeline`.
    pub timeline: Arc<Timeline>,
    /// Source of `/metrics`.
    pub metrics: Metrics,
    /// Reads the current status, for `/readyz`, `/v1/status` and `/v1/revision`.
    pub status: Box<dyn Fn() -> Status + Send + Sync>,
    /// Reads the configuration in force; `None` before the first one.
    pub config: Box<dyn Fn() -> Option<Arc<Config>> + Send + Sync>,
    /// Begins a graceful shutdown; called for each `POST /v1/drain`.
    pub drain: Box<dyn Fn() + Send + Sync>,
}

impl fmt::Debug for Admin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Admin").finish_non_exhaustive()
    }
}

/// Parses a query of the form `request=ID&group=ID&from_ms=N&until_ms=N`, with each part optional.
///
/// # Errors
///
/// A message for the operator if a parameter is unknown or a time is not a number.
pub fn parse_filter(query: &str) -> Result<Filter, String> {
    let mut filter = Filter::default();
    for pair in query.split('&').filter(|pair| !pair.is_empty()) {
        let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
        let time = || {
            let time: Result<u64, _> = value.parse();
            time.map_err(|_| format!("`{name}` must be a number of milliseconds"))
        };
        match name {
            "request" => filter.request = Some(value.to_owned()),
            "group" => filter.group = Some(value.to_owned()),
            "from_ms" => filter.from_ms = Some(time()?),
            "until_ms" => filter.until_ms = Some(time()?),
            other => return Err(format!("`{other}` is no parameter of the time line")),
        }
    }
    Ok(filter)
}

/// Formats a filter as a query for [`parse_filter`]. Ids are not percent-encoded.
#[must_use]
pub fn filter_query(filter: &Filter) -> String {
    let times = [("from_ms", filter.from_ms), ("until_ms", filter.until_ms)];
    let times = times.map(|(name, time)| (name, time.map(|time| time.to_string())));
    let ids = [
        ("request", filter.request.clone()),
        ("group", filter.group.clone()),
    ];
    let pairs = ids.into_iter().chain(times);
    let given = pairs.filter_map(|(name, value)| Some(format!("{name}={}", value?)));
    given.collect::<Vec<_>>().join("&")
}

impl Admin {
    /// Handles a request to the admin listener; 404 if there is no such route.
    pub fn serve(&self, request: &Request<Incoming>) -> Response<Body> {
        self.route(
            request.method(),
            request.uri().path(),
            request.uri().query().unwrap_or(""),
        )
    }

    pub(super) fn route(&self, method: &Method, path: &str, query: &str) -> Response<Body> {
        match (method, path) {
            (&Method::GET, "/healthz") => text(StatusCode::OK, "ok\n"),
            (&Method::GET, "/readyz") => self.ready(),
            (&Method::GET, "/metrics") => text(StatusCode::OK, self.metrics.render()),
            (&Method::GET, "/v1/status") => json(&(self.status)()),
            (&Method::GET, "/v1/revision") => json(&(self.status)().revision),
            (&Method::GET, "/v1/timeline") => self.timeline(query),
            (&Method::GET, "/v1/config") => match (self.config)() {
                Some(cfg) => json(&*cfg),
                None => text(StatusCode::NOT_FOUND, "no configuration is in force\n"),
            },
            (&Method::POST, "/v1/drain") => {
                (self.drain)();
                text(StatusCode::ACCEPTED, "draining\n")
            }
            _ => text(
                StatusCode::NOT_FOUND,
                format!("there is no {method} {path}\n"),
            ),
        }
    }

    fn ready(&self) -> Response<Body> {
        let status = (self.status)();
        if status.ready {
            return text(StatusCode::OK, "ready\n");
        }
        text(
            StatusCode::SERVICE_UNAVAILABLE,
            format!("not ready: {}\n", status.reason),
        )
    }

    fn timeline(&self, query: &str) -> Response<Body> {
        let filter = match parse_filter(query) {
            Ok(filter) => filter,
            Err(reason) => return text(StatusCode::BAD_REQUEST, format!("{reason}\n")),
        };
        let mut records = self.timeline.records();
        records.retain(|record| filter.passes(record));
        json(&records)
    }
}

fn text(status: StatusCode, content: impl Into<Vec<u8>>) -> Response<Body> {
    let mut response = Response::new(full(content.into()));
    *response.status_mut() = status;
    let content_type = headers::value("text/plain; charset=utf-8");
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}

fn json(content: &impl Serialize) -> Response<Body> {
    match serde_json::to_vec(content) {
        Ok(bytes) => {
            let mut response = Response::new(full(bytes));
            let content_type = headers::value("application/json");
            response
                .headers_mut()
                .insert(header::CONTENT_TYPE, content_type);
            response
        }
        Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, format!("{error}\n")),
    }
}
