//! Routes of the admin address.

use std::fmt;
use std::sync::Arc;

use eelgrasshold_core::config::Config;
use eelgrasshold_core::event::Record;
use http::{Method, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use serde::Serialize;

use super::Status;
use crate::http::{Body, full};
use crate::metrics::Metrics;
use crate::runtime::Timeline;
use crate::wire::headers;

/// What the routes answer from.
pub struct Admin {
    /// Events of the process.
    pub timeline: Arc<Timeline>,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// The present status.
    pub status: Box<dyn Fn() -> Status + Send + Sync>,
    /// The configuration in force.
    pub config: Box<dyn Fn() -> Option<Arc<Config>> + Send + Sync>,
    /// Begins a graceful shutdown.
    pub drain: Box<dyn Fn() + Send + Sync>,
}

impl fmt::Debug for Admin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Admin").finish_non_exhaustive()
    }
}

/// Which events `GET /v1/timeline` answers with.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TimelineQuery {
    /// Only those about this request.
    pub request: Option<String>,
    /// Only those about this group.
    pub group: Option<String>,
    /// Only those since this time, in milliseconds of the Unix epoch.
    pub since_ms: Option<u64>,
}

impl TimelineQuery {
    /// Reads `request=ID&group=ID&since_ms=N`; unknown parameters are an error.
    ///
    /// # Errors
    ///
    /// A sentence for the operator if a parameter is unknown or malformed.
    pub fn parse(query: &str) -> Result<Self, String> {
        let mut parsed = Self::default();
        for pair in query.split('&').filter(|pair| !pair.is_empty()) {
            let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
            match name {
                "request" => parsed.request = Some(value.to_owned()),
                "group" => parsed.group = Some(value.to_owned()),
                "since_ms" => {
                    let since = value
                        .parse()
                        .map_err(|_| "since_ms must be a number".to_owned());
                    parsed.since_ms = Some(since?);
                }
                other => return Err(format!("`{other}` is no parameter of the time line")),
            }
        }
        Ok(parsed)
    }

    fn matches(&self, record: &Record) -> bool {
        self.request
            .as_ref()
            .is_none_or(|id| record.request.as_ref() == Some(id))
            && self
                .group
                .as_ref()
                .is_none_or(|id| record.group.as_ref() == Some(id))
            && self
                .since_ms
                .is_none_or(|since| record.stamp.wall_ms >= since)
    }
}

impl Admin {
    /// Answers an operator or a scraper.
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
        let query = match TimelineQuery::parse(query) {
            Ok(query) => query,
            Err(reason) => return text(StatusCode::BAD_REQUEST, format!("{reason}\n")),
        };
        let mut records = self.timeline.records();
        records.retain(|record| query.matches(record));
        json(&records)
    }
}

fn text(status: StatusCode, content: impl Into<Vec<u8>>) -> Response<Body> {
    let mut response = Response::new(full(content.into()));
    *response.status_mut() = status;
    let kind = headers::value("text/plain; charset=utf-8");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}

fn json(content: &impl Serialize) -> Response<Body> {
    match serde_json::to_vec(content) {
        Ok(bytes) => {
            let mut response = Response::new(full(bytes));
            let kind = headers::value("application/json");
            response.headers_mut().insert(header::CONTENT_TYPE, kind);
            response
        }
        Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, format!("{error}\n")),
    }
}
