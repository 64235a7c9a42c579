//! Sends one attempt to an upstream process and reads its answer.

use std::time::Duration;

use bytes::Bytes;
use eelgrasshold_core::config::ServiceKind;
use eelgrasshold_core::entry::{AttemptEvent, UpstreamInfo};
use eelgrasshold_core::event::Stamp;
use eelgrasshold_core::types::{Load, Run};
use eelgrasshold_core::upstream::Bounce;
use http::response::Parts;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming as IncomingBody;

use super::driver::{Dispatch, EntryDriver};
use crate::http::{Body, Client, empty, full};
use crate::wire::{CallerRequest, SseEvent, SseSplitter, headers};

const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Start of the answer to an attempt.
pub(super) enum Head {
    /// Headers arrived; the body follows.
    Answer(Box<Stream>),
    /// The upstream process returned the work before its engine started it.
    Bounced(Bounce, Load),
    /// The attempt failed before an answer began.
    Failed(AttemptEvent),
}

/// Next part of an answer.
pub(super) enum Chunk {
    /// A token event or the end mark of a draft.
    Event(SseEvent),
    /// A chunk of the body of any other answer.
    Bytes(Bytes),
    /// The answer is complete; carries the last reported load.
    End(Load),
    /// The answer ended early.
    Broken(AttemptEvent),
}

/// The stream broke and the upstream process reported no cause.
const BROKEN: Chunk = Chunk::Broken(AttemptEvent::Failed(Run::Unknown));

/// An answer that has begun.
pub(super) struct Stream {
    pub(super) parts: Parts,
    pub(super) load: Load,
    /// The answer is a draft: a stream of token events. Only drafts can be resumed.
    pub(super) is_draft: bool,
    body: IncomingBody,
    splitter: SseSplitter,
    done: bool,
}

pub(super) async fn send(
    driver: &EntryDriver,
    incoming: &CallerRequest,
    dispatch: &Dispatch,
) -> Head {
    let Some(request) = build_request(incoming, dispatch) else {
        return Head::Failed(AttemptEvent::Failed(Run::NotRun));
    };
    match driver.client().request(request).await {
        Ok(response) => read_head(driver, incoming, response),
        Err(error) if error.is_connect() => Head::Failed(AttemptEvent::Unreachable),
        Err(_) => Head::Failed(AttemptEvent::Failed(Run::Unknown)),
    }
}

fn build_request(incoming: &CallerRequest, dispatch: &Dispatch) -> Option<Request<Body>> {
    let upstream = &dispatch.upstream;
    let uri = format!("http://{}{}", upstream.address, incoming.target.path);
    let mut request = Request::new(full(incoming.body.clone()));
    *request.method_mut() = incoming.parts.method.clone();
    *request.uri_mut() = uri.parse().ok()?;
    *request.version_mut() = http::Version::HTTP_2;
    let fields = request.headers_mut();
    *fields = incoming.parts.headers.clone();
    headers::remove_hop_by_hop(fields);
    fields.remove(http::header::HOST);
    fields.insert(
        headers::ATTEMPT,
        headers::value(&dispatch.attempt.to_string()),
    );
    fields.insert(headers::REQUEST, headers::json_value(&incoming.request));
    fields.insert(
        headers::RESUME_FROM,
        headers::value(&dispatch.resume_from.to_string()),
    );
    fields.insert(headers::CLOCK, headers::value(&dispatch.clock.to_string()));
    fields.insert(
        headers::INCARNATION,
        headers::value(&upstream.incarnation.to_string()),
    );
    if dispatch.alone {
        fields.insert(headers::ALONE, headers::value("true"));
    }
    Some(request)
}

/// Returns whether the engine of an upstream process accepts work.
pub(super) async fn probe(client: &Client, upstream: &UpstreamInfo) -> bool {
    let request = Request::get(format!("http://{}/", upstream.address))
        .version(http::Version::HTTP_2)
        .header(headers::PROBE, "true")
        .body(empty());
    let Ok(request) = request else { return false };
    let answer = tokio::time::timeout(PROBE_TIMEOUT, client.request(request)).await;
    matches!(answer, Ok(Ok(answer)) if answer.status().is_success())
}

fn read_head(
    driver: &EntryDriver,
    incoming: &CallerRequest,
    response: Response<IncomingBody>,
) -> Head {
    let (parts, body) = response.into_parts();
    if let Ok(Some(stamp)) = headers::parsed::<Stamp>(&parts.headers, &headers::CLOCK) {
        driver.observe(stamp);
    }
    let load = headers::json(&parts.headers, &headers::LOAD).unwrap_or_default();
    if let Some(name) = headers::text(&parts.headers, &headers::BOUNCE) {
        let name = serde_json::Value::String(name.to_owned());
        let reason = serde_json::from_value(name).unwrap_or(Bounce::QueueFull);
        return Head::Bounced(reason, load);
    }
    if let Some(event) = reported_failure(&parts.headers) {
        return Head::Failed(event);
    }
    let is_draft = incoming.kind == ServiceKind::Model
        && incoming.parts.method == http::Method::POST
        && parts.status == StatusCode::OK;
    let splitter = SseSplitter::default();
    Head::Answer(Box::new(Stream {
        parts,
        load,
        is_draft,
        body,
        splitter,
        done: false,
    }))
}

/// Returns the failure that an upstream process reports in headers or trailers.
fn reported_failure(fields: &HeaderMap) -> Option<AttemptEvent> {
    Some(match headers::text(fields, &headers::FAILED)? {
        headers::FAILED_NOT_RUN => AttemptEvent::Failed(Run::NotRun),
        headers::FAILED_CRASHED => AttemptEvent::Crashed,
        _ => AttemptEvent::Failed(Run::Unknown),
    })
}

impl Stream {
    /// Waits for the next chunk: drafts are split into token events, other bodies stay as they
    /// arrive.
    pub(super) async fn next(&mut self) -> Chunk {
        loop {
            if let Some(event) = self.splitter.next_event() {
                self.done |= event.done;
                return Chunk::Event(event);
            }
            if self.splitter.is_oversized() {
                return BROKEN;
            }
            match self.body.frame().await {
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) if self.is_draft => self.splitter.push(&data),
                    // A part of the connection's read buffer, which all streams share, would keep the whole
                    // of it.
                    Ok(data) => return Chunk::Bytes(Bytes::copy_from_slice(&data)),
                    Err(frame) => {
                        let trailers = frame.into_trailers().unwrap_or_default();
                        if let Some(event) = reported_failure(&trailers) {
                            return Chunk::Broken(event);
                        }
                        self.update_load(&trailers);
                    }
                },
                Some(Err(_)) => return BROKEN,
                // A draft without its end mark is truncated, even if the HTTP body ended normally.
                None if self.is_draft && !self.done => return BROKEN,
                None => return Chunk::End(self.load),
            }
        }
    }

    fn update_load(&mut self, trailers: &HeaderMap) {
        if let Some(load) = headers::json(trailers, &headers::LOAD) {
            self.load = load;
        }
    }
}
