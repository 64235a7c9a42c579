//! Calls to plain services.

use std::collections::BTreeSet;
use std::time::Duration;

use http::{Method, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::Instant;

use super::Caller;
use super::outcome::{Outcome, Report, is_problem, read_problem};
use crate::client::ClientError;
use crate::plain::Echo;

/// Time after the deadline within which the system must report that it has passed.
const DEADLINE_REPORT_GRACE: Duration = Duration::from_secs(5);

/// Longest time for which a caller waits for the end of a request with this deadline.
pub(super) fn total_timeout(deadline: Duration) -> Duration {
    deadline + DEADLINE_REPORT_GRACE
}

/// A request to a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlainCall {
    /// Name of the service, as in the published configuration.
    pub service: String,
    /// HTTP method, which the service sees unchanged.
    pub method: Method,
    /// Path and query after the service's name, with a leading slash.
    pub path: String,
    /// Request body; the `content-type` is `application/json` whatever it holds.
    pub body: String,
    /// Key under which the system recognizes repeats of one non-idempotent request; sent as
    /// `idempotency-key`.
    pub idempotency_key: Option<String>,
    /// Whether a successful answer must be an [`Echo`] of this request.
    pub checks_echo: bool,
}

impl PlainCall {
    /// Creates a request without an idempotency key whose answer must be its echo.
    #[must_use]
    pub fn new(service: &str, method: Method, path: &str, body: &str) -> Self {
        Self {
            service: service.to_owned(),
            method,
            path: path.to_owned(),
            body: body.to_owned(),
            idempotency_key: None,
            checks_echo: true,
        }
    }

    /// Sets the idempotency key.
    #[must_use]
    pub fn key(self, key: &str) -> Self {
        Self {
            idempotency_key: Some(key.to_owned()),
            ..self
        }
    }

    /// Checks a completely received answer; `Wrong` if it is not the echo of this request.
    pub(crate) fn check_answer(
        &self,
        request_id: &str,
        status: StatusCode,
        body: &[u8],
    ) -> Outcome {
        if self.checks_echo && status.is_success() {
            check_echo(self, request_id, body)
        } else {
            Outcome::Whole
        }
    }
}

impl Caller {
    /// Sends a plain request and checks its answer. Another entry host is tried only if the
    /// connection could not be made, so that the request is never sent twice.
    pub async fn call(&self, request_id: &str, call: &PlainCall) -> Report {
        let started = Instant::now();
        let mut report = Report::new(request_id);
        let total_timeout = total_timeout(self.settings.deadline);
        let running = self.run_call(call, &mut report, started);
        if tokio::time::timeout(total_timeout, running).await.is_err() {
            report.outcome = Outcome::Cut;
            report.detail = format!(
                "request not finished within {} ms",
                total_timeout.as_millis()
            );
        }
        report.total = started.elapsed();
        report
    }

    /// Headers that plain and completion requests share.
    pub(super) fn headers(&self, request_id: &str) -> Vec<(&'static str, String)> {
        let settings = &self.settings;
        let mut headers = vec![
            ("content-type", "application/json".to_owned()),
            ("eel-request-id", request_id.to_owned()),
            ("eel-deadline-ms", settings.deadline.as_millis().to_string()),
        ];
        headers.extend(settings.team.clone().map(|team| ("eel-team", team)));
        let priority = settings.priority.map(|p| ("eel-priority", p.to_string()));
        headers.extend(priority);
        headers
    }

    async fn run_call(&self, call: &PlainCall, report: &mut Report, started: Instant) {
        let mut headers = self.headers(&report.request_id);
        let key = call.idempotency_key.clone();
        headers.extend(key.map(|key| ("idempotency-key", key)));
        let headers: Vec<(&str, &str)> = headers.iter().map(|(n, v)| (*n, v.as_str())).collect();
        let mut tried = BTreeSet::new();
        while let Some(address) = self.choose(&tried).await {
            let url = format!("{address}/v1/services/{}{}", call.service, call.path);
            let sent = self
                .client
                .open(call.method.clone(), &url, &headers, call.body.clone());
            match sent.await {
                Ok(response) => {
                    report.time_to_first = Some(started.elapsed());
                    return read_answer(call, report, response).await;
                }
                Err(error) if error.is_connect() => {
                    report.detail = error.to_string();
                    tried.insert(address);
                }
                Err(error) => return record_cut(report, &error),
            }
        }
    }
}

fn record_cut(report: &mut Report, error: &ClientError) {
    report.outcome = Outcome::Cut;
    report.detail = error.to_string();
}

async fn read_answer(call: &PlainCall, report: &mut Report, response: Response<Incoming>) {
    let (parts, body) = response.into_parts();
    report.status = Some(parts.status);
    let body = match body.collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => {
            report.outcome = Outcome::Cut;
            report.detail = format!("answer body broke off: {error}");
            return;
        }
    };
    if is_problem(&parts.headers) {
        let refusal = read_problem(&parts.headers, &body);
        report.outcome = refusal.outcome;
        report.detail = refusal.detail;
        report.retry_after = refusal.retry_after;
        return;
    }
    report.outcome = call.check_answer(&report.request_id, parts.status, &body);
    report.body = body;
}

fn check_echo(call: &PlainCall, request_id: &str, body: &[u8]) -> Outcome {
    let expected = Echo {
        method: call.method.to_string(),
        path: call.path.clone(),
        request_id: request_id.to_owned(),
        idempotency_key: call.idempotency_key.clone().unwrap_or_default(),
        body: call.body.clone(),
    };
    match serde_json::from_slice::<Echo>(body) {
        Ok(echo) if echo == expected => Outcome::Whole,
        Ok(echo) => Outcome::Wrong(format!("the answer belongs to request {}", echo.request_id)),
        Err(error) => Outcome::Wrong(format!("the answer is not an echo: {error}")),
    }
}
