//! Serves one attempt, from an entry host's dispatch to the end of the engine's answer.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use eelgrasshold_core::config::ServiceKind;
use eelgrasshold_core::event::Stamp;
use eelgrasshold_core::types::{AttemptId, Load, Request as Meta, Run};
use eelgrasshold_core::upstream::{Bounce, EngineEvent, Input};
use http::request::Parts;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming};
use tokio::sync::mpsc;

use super::driver::{Command, UpstreamDriver};
use crate::http::{Body, BodySender, Hold, channel_body, collect_held, empty};
use crate::wire::{SseSplitter, headers};

/// Largest body of a dispatch, in bytes; entry hosts accept no larger one.
const MAX_BODY_BYTES: usize = 4 << 20;
/// Time limit for reading the body of a dispatch.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Cancels the attempt in the machine if the entry host disconnects before the attempt has ended.
struct AttemptGuard {
    driver: Arc<UpstreamDriver>,
    attempt: AttemptId,
    engine_id: String,
    ended: bool,
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        self.driver.unregister(self.attempt);
        if !self.ended {
            self.driver.handle_input(Input::Cancel(self.attempt));
        }
    }
}

impl AttemptGuard {
    fn report(&mut self, event: EngineEvent) {
        self.ended = !matches!(event, EngineEvent::Tokens(_));
        self.driver.handle_input(Input::Engine(self.attempt, event));
    }
}

struct Dispatch {
    attempt: AttemptId,
    meta: Meta,
    age: Duration,
    alone: bool,
    parts: Parts,
    body: Bytes,
    /// Covers `body` in the budget of held bytes.
    _held: Hold,
}

pub(super) async fn serve(
    driver: Arc<UpstreamDriver>,
    request: Request<Incoming>,
) -> Response<Body> {
    if request.headers().contains_key(headers::PROBE) {
        return probe_response(&driver);
    }
    let dispatch = match read_dispatch(&driver, request).await {
        Ok(dispatch) => dispatch,
        Err(response) => return *response,
    };
    let attempt = dispatch.attempt;
    let mut commands = driver.register(attempt);
    let mut guard = AttemptGuard {
        driver: Arc::clone(&driver),
        attempt,
        engine_id: driver.engine().engine_id(&dispatch.meta, attempt),
        ended: false,
    };
    let (request, age) = (dispatch.meta.clone(), dispatch.age);
    driver.handle_input(Input::Work {
        attempt,
        request,
        age,
        alone: dispatch.alone,
    });
    let priority = match commands.recv().await {
        Some(Command::Start { priority }) => priority,
        Some(Command::Bounce { reason, load }) => {
            guard.ended = true;
            return bounce_response(reason, load);
        }
        Some(Command::Fail { run }) => {
            guard.ended = true;
            return failure_response(failure_code(run));
        }
        Some(Command::Stop) | None => return failure_response(headers::FAILED_NOT_RUN),
    };
    let call = driver.engine().send(
        &dispatch.meta,
        &guard.engine_id,
        priority,
        &dispatch.parts,
        &dispatch.body,
    );
    let answer = tokio::select! {
        answer = call => answer,
        command = commands.recv() => {
            guard.ended = true;
            return failure_response(stop_code(command));
        }
    };
    match answer {
        Ok(answer) if is_failure(driver.engine().kind(), answer.status()) => {
            guard.report(EngineEvent::Failed(Run::Unknown));
            failure_response(headers::FAILED_UNKNOWN)
        }
        Ok(answer) => stream_answer(guard, answer, commands),
        Err(error) => {
            guard.report(EngineEvent::Failed(error.run()));
            let crashed = driver.check_engine().await && error.run() == Run::Unknown;
            failure_response(if crashed {
                headers::FAILED_CRASHED
            } else {
                failure_code(error.run())
            })
        }
    }
}

/// Returns whether an answer is a failure of the attempt. A plain service's error goes to the
/// caller; an engine's is a failure that a retry on another engine may avoid.
fn is_failure(kind: ServiceKind, status: StatusCode) -> bool {
    kind == ServiceKind::Model && status.is_server_error()
}

async fn read_dispatch(
    driver: &UpstreamDriver,
    request: Request<Incoming>,
) -> Result<Dispatch, Box<Response<Body>>> {
    let refuse = |reason| Box::new(bounce_response(reason, driver.load()));
    let (parts, body) = request.into_parts();
    let attempt = headers::parsed(&parts.headers, &headers::ATTEMPT)
        .ok()
        .flatten();
    let meta: Option<Meta> = headers::json(&parts.headers, &headers::REQUEST);
    let (Some(attempt), Some(mut meta)) = (attempt, meta) else {
        let mut response = Response::new(empty());
        *response.status_mut() = StatusCode::BAD_REQUEST;
        response
            .headers_mut()
            .insert(headers::FAILED, headers::value("not_run"));
        return Err(Box::new(response));
    };
    let expected = headers::parsed(&parts.headers, &headers::INCARNATION)
        .ok()
        .flatten();
    if expected.is_some_and(|expected: u64| expected != driver.incarnation()) {
        return Err(refuse(Bounce::Stale));
    }
    if let Ok(Some(resume_from)) = headers::parsed(&parts.headers, &headers::RESUME_FROM) {
        meta.resume_from = resume_from;
    }
    let age = match headers::parsed::<Stamp>(&parts.headers, &headers::CLOCK) {
        Ok(Some(stamp)) => driver.observe(stamp),
        _ => Duration::ZERO,
    };
    let alone = parts.headers.contains_key(headers::ALONE);
    let read = collect_held(body, MAX_BODY_BYTES, BODY_TIMEOUT, driver.held());
    let Ok((body, held)) = read.await else {
        return Err(Box::new(failure_response(headers::FAILED_NOT_RUN)));
    };
    Ok(Dispatch {
        attempt,
        meta,
        age,
        alone,
        parts,
        body,
        _held: held,
    })
}

fn bounce_response(reason: Bounce, load: Load) -> Response<Body> {
    let mut response = Response::new(empty());
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    let name = serde_json::to_value(reason).ok();
    let name = name
        .as_ref()
        .and_then(serde_json::Value::as_str)
        .unwrap_or("unknown");
    response
        .headers_mut()
        .insert(headers::BOUNCE, headers::value(name));
    response
        .headers_mut()
        .insert(headers::LOAD, headers::json_value(&load));
    response
}

/// Answers a probe: success if new work is accepted, else a bounce.
fn probe_response(driver: &UpstreamDriver) -> Response<Body> {
    if !driver.takes_work() {
        return bounce_response(Bounce::EngineDown, driver.load());
    }
    let mut response = Response::new(empty());
    let load = headers::json_value(&driver.load());
    response.headers_mut().insert(headers::LOAD, load);
    response
}

fn failure_code(run: Run) -> &'static str {
    match run {
        Run::NotRun => headers::FAILED_NOT_RUN,
        Run::Unknown => headers::FAILED_UNKNOWN,
    }
}

fn failure_response(code: &'static str) -> Response<Body> {
    let mut response = Response::new(empty());
    *response.status_mut() = StatusCode::BAD_GATEWAY;
    response
        .headers_mut()
        .insert(headers::FAILED, headers::value(code));
    response
}

/// Failure code for work that the machine ended after its start. [`Command::Fail`] comes only when
/// the engine died; any other command stops the work.
fn stop_code(command: Option<Command>) -> &'static str {
    match command {
        Some(Command::Fail { .. }) => headers::FAILED_CRASHED,
        _ => headers::FAILED_UNKNOWN,
    }
}

async fn send_failure(tx: &BodySender, code: &'static str) {
    let mut trailers = HeaderMap::new();
    trailers.insert(headers::FAILED, headers::value(code));
    // The entry host may have closed the stream at the same time.
    let _ = tx.send(Ok(Frame::trailers(trailers))).await;
}

fn stream_answer(
    guard: AttemptGuard,
    answer: Response<Incoming>,
    commands: mpsc::UnboundedReceiver<Command>,
) -> Response<Body> {
    let (mut parts, body) = answer.into_parts();
    headers::remove_hop_by_hop(&mut parts.headers);
    parts
        .headers
        .insert(headers::LOAD, headers::json_value(&guard.driver.load()));
    parts.headers.insert(
        headers::CLOCK,
        headers::value(&guard.driver.stamp().to_string()),
    );
    parts.version = http::Version::HTTP_2;
    let (tx, response_body) = channel_body();
    let is_draft =
        guard.driver.engine().kind() == ServiceKind::Model && parts.status == StatusCode::OK;
    tokio::spawn(forward_answer(guard, body, tx, commands, is_draft));
    Response::from_parts(parts, response_body)
}

/// Forwards the answer until it ends, fails or is cancelled.
async fn forward_answer(
    mut guard: AttemptGuard,
    mut body: Incoming,
    tx: BodySender,
    mut commands: mpsc::UnboundedReceiver<Command>,
    is_draft: bool,
) {
    let mut splitter = SseSplitter::default();
    let mut done = false;
    loop {
        let frame = tokio::select! {
            frame = body.frame() => frame,
            () = tx.closed() => break,
            command = commands.recv() => {
                guard.ended = true;
                send_failure(&tx, stop_code(command)).await;
                break;
            }
        };
        match frame {
            Some(Ok(frame)) => {
                if is_draft && let Some(data) = frame.data_ref() {
                    done |= count_tokens(&mut guard, &mut splitter, data);
                    if splitter.is_oversized() {
                        guard.report(EngineEvent::Failed(Run::Unknown));
                        send_failure(&tx, headers::FAILED_UNKNOWN).await;
                        break;
                    }
                }
                // A part of the connection's read buffer would keep the whole of it.
                let frame = frame.map_data(|data| Bytes::copy_from_slice(&data));
                if tx.send(Ok(frame)).await.is_err() {
                    break;
                }
            }
            None if done || !is_draft => {
                guard.report(EngineEvent::Finished);
                let mut trailers = HeaderMap::new();
                let load = guard.driver.load();
                trailers.insert(headers::LOAD, headers::json_value(&load));
                let _ = tx.send(Ok(Frame::trailers(trailers))).await;
                return;
            }
            Some(Err(_)) | None => {
                guard.report(EngineEvent::Failed(Run::Unknown));
                let crashed = guard.driver.check_engine().await;
                let code = if crashed {
                    headers::FAILED_CRASHED
                } else {
                    headers::FAILED_UNKNOWN
                };
                send_failure(&tx, code).await;
                return;
            }
        }
    }
    drop(body);
    guard.driver.engine().cancel(&guard.engine_id).await;
}

/// Reports the tokens in a chunk of the stream; returns whether it contains the end mark.
fn count_tokens(guard: &mut AttemptGuard, splitter: &mut SseSplitter, data: &[u8]) -> bool {
    splitter.push(data);
    let (mut tokens, mut done) = (0, false);
    while let Some(event) = splitter.next_event() {
        done |= event.done;
        tokens += u32::from(event.id.is_some());
    }
    if tokens > 0 {
        guard.report(EngineEvent::Tokens(tokens));
    }
    done
}
