//! Reads callers' requests and admits or refuses them.

use std::sync::Arc;
use std::time::Duration;

use eelgrasshold_core::event::{Event, EventKind};
use eelgrasshold_core::gateway::quarantine::content_hash;
use eelgrasshold_core::gateway::{Admitted, RequestHead};
use eelgrasshold_core::types::{Refusal, RefusalKind};
use eelgrasshold_platform::headers as names;
use http::{HeaderMap, HeaderValue, Request, Response, Uri, header, request};
use hyper::body::Incoming;

use super::exchange::Exchange;
use super::shared::Shared;
use crate::http::{Body, BodyError, collect_held, discard, full};
use crate::wire::headers::{number, text, value};
use crate::wire::problem_response;

/// Largest request body while there is no configuration, in bytes.
const DEFAULT_MAX_BODY_BYTES: usize = 4 << 20;
/// Largest number of parts of a prompt that are looked at.
const MAX_PARTS: usize = 32;
/// Longest time for the request body to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Most bytes of a refused request that are read, and the longest time for it.
const MAX_DISCARDED_BYTES: usize = 64 << 10;
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which a request may fit that found no room: a few bodies of the largest size have passed
/// a fast link by then.
const ROOM_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Serves a request of a caller, up to the response or the refusal.
pub(super) async fn serve(shared: Arc<Shared>, request: Request<Incoming>) -> Response<Body> {
    let (parts, body) = request.into_parts();
    let id = text(&parts.headers, &names::REQUEST_ID).unwrap_or_default();
    let admitted = admit(&shared, id, &parts.uri, &parts.headers);
    let limit = shared
        .core()
        .table()
        .map_or(DEFAULT_MAX_BODY_BYTES, |t| t.limits.body_bytes);
    let mut admitted = match admitted {
        Ok(admitted) => admitted,
        Err(refusal) => {
            // A short body is read to its end, so that the connection can be reused.
            let whole = discard(body, MAX_DISCARDED_BYTES, DISCARD_TIMEOUT).await;
            let response = refuse(&shared, &refusal, id);
            return if whole { response } else { closing(response) };
        }
    };
    let time = admitted.deadline.saturating_sub(shared.now());
    match collect_held(body, limit, time.min(BODY_TIMEOUT), &shared.held).await {
        Ok((body, held)) => {
            admitted.set_content(content_of(&parts, &body));
            let exchange = Exchange::new(shared, admitted, parts, (body, held));
            exchange.run().await
        }
        Err(error) => {
            if matches!(error, BodyError::Evicted) {
                record_eviction(&shared, id, "body");
            }
            closing(refuse(&shared, &body_refusal(&error), id))
        }
    }
}

/// Tells the caller that the connection closes after the response: the rest of its request is not read.
fn closing(mut response: Response<Body>) -> Response<Body> {
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(header::CONNECTION, close);
    response
}

/// Records that the body or the answer of a request was given up, since too many bytes were held.
pub(super) fn record_eviction(shared: &Shared, id: &str, what: &'static str) {
    shared.metrics.request_evicted(what);
    let event = Event::new(EventKind::RequestEvicted, "")
        .about_request(id)
        .with("what", what)
        .with("held", shared.held.bytes())
        .with("limit", shared.held.capacity());
    shared.timeline.record(event);
}

fn admit(shared: &Shared, id: &str, uri: &Uri, headers: &HeaderMap) -> Result<Admitted, Refusal> {
    if id.is_empty() {
        let detail = format!("the request has no {} header", names::REQUEST_ID);
        return Err(Refusal::not_run(RefusalKind::BadRequest, detail));
    }
    let now = shared.now();
    let parts = shared_parts_of(headers);
    let head = head_of(uri, headers, id, &parts);
    let mut admitted = shared.core().admit(now, head)?;
    if let Some(shutdown) = shared.shutdown.get() {
        shutdown.take(now, &mut admitted)?;
    }
    let event = Event::new(EventKind::RequestAdmitted, "")
        .about_request(id)
        .with("route", admitted.route.name.as_str())
        .with("table", admitted.table)
        .with("service", admitted.service.as_str())
        .with("team", admitted.team.as_deref().unwrap_or(""))
        .with("priority", u32::from(admitted.priority))
        .with("parts", parts.join(","))
        .with("max_events", admitted.max_events.unwrap_or_default())
        .with(
            "time_ms",
            admitted.deadline.saturating_sub(admitted.arrived),
        );
    shared.timeline.record(event);
    Ok(admitted)
}

fn body_refusal(error: &BodyError) -> Refusal {
    let retry = matches!(error, BodyError::NoRoom | BodyError::Evicted);
    let kind = match error {
        BodyError::TooLarge { .. } => RefusalKind::TooLarge,
        BodyError::TooSlow { .. } => RefusalKind::TooSlow,
        BodyError::Broken => RefusalKind::BadRequest,
        BodyError::NoRoom | BodyError::Evicted => RefusalKind::Overloaded,
    };
    let refusal = Refusal::not_run(kind, error.to_string());
    if retry {
        return refusal.with_retry_after(ROOM_RETRY_AFTER);
    }
    refusal
}

/// Hash of what a request consists of, the same when its caller repeats it.
fn content_of(parts: &request::Parts, body: &[u8]) -> u64 {
    let key = text(&parts.headers, &names::API_KEY).unwrap_or_default();
    content_hash(&format!("{} {} {key}", parts.method, parts.uri), body)
}

fn head_of<'a>(
    uri: &'a Uri,
    headers: &'a HeaderMap,
    id: &'a str,
    parts: &'a [&'a str],
) -> RequestHead<'a> {
    let host = uri.authority().map(http::uri::Authority::as_str);
    let host = host.or_else(|| text(headers, &header::HOST));
    let tokens = text(headers, &names::TOKENS).and_then(|t| t.split_once(','));
    // The conversion saturates.
    let count = |text: &str| number(text).map(|n| n.ceil() as u32);
    let hint = text(headers, &names::LENGTH_HINT).and_then(count);
    let prompt = tokens.and_then(|(prompt, _)| count(prompt));
    let max_answer = tokens.and_then(|(_, max)| count(max));
    let deadline = text(headers, &names::DEADLINE_MS)
        .and_then(number)
        .map(|ms| Duration::try_from_secs_f64(ms / 1_000.0).unwrap_or(Duration::MAX));
    RequestHead {
        id,
        host: host.unwrap_or_default(),
        path: uri.path(),
        key: text(headers, &names::API_KEY),
        deadline,
        parts,
        prompt_tokens: prompt.unwrap_or_default(),
        answer_tokens: hint.or(max_answer).unwrap_or_default(),
        max_answer_tokens: max_answer.unwrap_or_default(),
    }
}

/// Ids of the parts of the prompt that other requests may share, at most [`MAX_PARTS`].
fn shared_parts_of(headers: &HeaderMap) -> Vec<&str> {
    let value = text(headers, &names::PROMPT_PARTS).unwrap_or_default();
    let mut parts = names::shared_parts(value);
    parts.truncate(MAX_PARTS);
    parts
}

/// Records a refusal and returns the response for the caller.
pub(super) fn refuse(shared: &Shared, refusal: &Refusal, id: &str) -> Response<Body> {
    shared.metrics.request_refused(refusal.kind.slug());
    let event = Event::new(EventKind::RequestRefused, refusal.detail.as_str())
        .about_request(id)
        .with("reason", refusal.kind.slug())
        .with("status", u32::from(refusal.kind.status()))
        .with("run", refusal.run.name())
        .with("retry_after_ms", refusal.retry_after.unwrap_or_default())
        .with("table", shared.core().table_version());
    shared.timeline.record(event);
    let mut response = problem_response(refusal, id).map(full);
    let headers = response.headers_mut();
    headers.insert(names::REQUEST_ID, value(id));
    if let Some(after) = refusal.retry_after {
        // Callers of this platform accept fractions of a second in this header.
        let seconds = format!("{:.3}", after.as_secs_f64());
        headers.insert(header::RETRY_AFTER, value(&seconds));
    }
    response
}
