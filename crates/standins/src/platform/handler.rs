//! HTTP handlers of the platform.

use std::sync::Arc;
use std::time::Duration;

use eelgrasshold_core::platform::{Condition, MAX_VALUE_BYTES, Version};
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use tokio::time::Instant;

use super::state::{Shared, State};
use super::{ListedObject, Listing, Outage, Store, WriteError};
use crate::http_util::{
    Body, HandlerResult, Hangup, answer, decode, empty, header, json, query_value, read_body,
};
use crate::server::Handler;

const OBJECTS_PATH: &str = "/v1/objects";
/// Upper limit of a watch's `timeout_ms`; longer ones are shortened to it.
const MAX_WATCH_TIMEOUT: Duration = Duration::from_secs(300);
/// Timeout of a watch without `timeout_ms`.
const DEFAULT_WATCH_TIMEOUT_MS: u64 = 30_000;

pub(super) fn new(shared: &Arc<Shared>) -> Handler {
    let shared = shared.clone();
    Arc::new(move |req| {
        let shared = shared.clone();
        Box::pin(async move { handle(&shared, req).await })
    })
}

async fn handle(shared: &Shared, req: Request<Incoming>) -> HandlerResult {
    let delay = shared.lock().faults.delay;
    if !delay.is_zero() {
        tokio::time::sleep(delay).await;
    }
    let path = req.uri().path().to_owned();
    if path == "/v1/hosts" && req.method() == Method::GET {
        return hosts(shared);
    }
    if path == OBJECTS_PATH && req.method() == Method::GET {
        return list(shared, req.uri().query());
    }
    let Some(key) = path
        .strip_prefix(OBJECTS_PATH)
        .and_then(|rest| rest.strip_prefix('/'))
    else {
        return Ok(empty(StatusCode::NOT_FOUND));
    };
    let key = decode(key);
    match *req.method() {
        Method::GET => match query_value(req.uri().query(), "watch") {
            Some(after) => watch(shared, &key, &after, req.uri().query()).await,
            None => get(shared, &key),
        },
        Method::PUT => put(shared, &key, req).await,
        Method::DELETE => delete(shared, &key, req.headers()),
        _ => Ok(empty(StatusCode::METHOD_NOT_ALLOWED)),
    }
}

/// Selects the rate limit of a call.
#[derive(Clone, Copy)]
enum CallKind {
    Read,
    Write,
}

/// Result of a call that an outage or its rate limit refuses; `None` if the call is admitted.
fn check_admission(shared: &Shared, state: &mut State, kind: CallKind) -> Option<HandlerResult> {
    if let Some(failed) = check_outage(state) {
        return Some(failed);
    }
    let limit = match kind {
        CallKind::Read => &mut state.read_limit,
        CallKind::Write => &mut state.write_limit,
    };
    if limit.try_acquire(shared.now()) {
        return None;
    }
    state.counters.over_rate += 1;
    Some(Ok(answer(
        StatusCode::TOO_MANY_REQUESTS,
        "rate limit exceeded",
    )))
}

fn check_outage(state: &mut State) -> Option<HandlerResult> {
    let outcome = match state.faults.outage {
        Outage::None => return None,
        Outage::Unavailable => Ok(empty(StatusCode::SERVICE_UNAVAILABLE)),
        Outage::HangUp => Err(Hangup),
    };
    state.counters.outage += 1;
    Some(outcome)
}

fn hosts(shared: &Shared) -> HandlerResult {
    let mut state = shared.lock();
    state.counters.host_lists += 1;
    if let Some(refused) = check_admission(shared, &mut state, CallKind::Read) {
        return refused;
    }
    Ok(json(StatusCode::OK, &state.hosts.visible(shared.now())))
}

fn list(shared: &Shared, query: Option<&str>) -> HandlerResult {
    let mut state = shared.lock();
    state.counters.lists += 1;
    if let Some(refused) = check_admission(shared, &mut state, CallKind::Read) {
        return refused;
    }
    let prefix = query_value(query, "prefix").unwrap_or_default();
    let objects = state
        .read_store()
        .list(&prefix)
        .map(|(key, object)| ListedObject {
            key: key.to_owned(),
            version: object.version,
            size_bytes: object.value.len() as u64,
        })
        .collect();
    Ok(json(StatusCode::OK, &Listing { objects }))
}

fn get(shared: &Shared, key: &str) -> HandlerResult {
    let mut state = shared.lock();
    state.counters.gets += 1;
    if let Some(refused) = check_admission(shared, &mut state, CallKind::Read) {
        return refused;
    }
    Ok(object_answer(state.read_store(), key))
}

fn object_answer(store: &Store, key: &str) -> Response<Body> {
    match store.get(key) {
        Some(object) => versioned_answer(StatusCode::OK, object.version, object.value.clone()),
        None => empty(StatusCode::NOT_FOUND),
    }
}

fn versioned_answer(
    status: StatusCode,
    version: Version,
    bytes: impl Into<bytes::Bytes>,
) -> Response<Body> {
    let mut response = answer(status, bytes);
    response
        .headers_mut()
        .insert("x-version", HeaderValue::from(version));
    response
}

async fn watch(shared: &Shared, key: &str, after: &str, query: Option<&str>) -> HandlerResult {
    let timeout_ms =
        query_value(query, "timeout_ms").map_or(Ok(DEFAULT_WATCH_TIMEOUT_MS), |t| t.parse());
    let (Ok(after), Ok(timeout_ms)) = (after.parse::<Version>(), timeout_ms) else {
        return Ok(answer(
            StatusCode::BAD_REQUEST,
            "watch and timeout_ms must be whole numbers",
        ));
    };
    {
        let mut state = shared.lock();
        state.counters.watches += 1;
        if let Some(refused) = check_admission(shared, &mut state, CallKind::Read) {
            return refused;
        }
    }
    let timeout = Duration::from_millis(timeout_ms).min(MAX_WATCH_TIMEOUT);
    let waiting = WaitingWatch::begin(shared);
    let result = wait_for_change(shared, key, after, Instant::now() + timeout).await;
    drop(waiting);
    result
}

/// Counts a waiting watch until it is dropped, which also happens with the handler's future when
/// the client disconnects.
struct WaitingWatch<'a> {
    shared: &'a Shared,
}

impl<'a> WaitingWatch<'a> {
    fn begin(shared: &'a Shared) -> Self {
        let now = shared.now();
        let mut state = shared.lock();
        state.read_limit.begin_wait(now);
        state.counters.waiting_watches += 1;
        state.counters.peak_waiting_watches = state
            .counters
            .peak_waiting_watches
            .max(state.counters.waiting_watches);
        drop(state);
        Self { shared }
    }
}

impl Drop for WaitingWatch<'_> {
    fn drop(&mut self) {
        let now = self.shared.now();
        let mut state = self.shared.lock();
        state.read_limit.end_wait(now);
        state.counters.waiting_watches -= 1;
    }
}

async fn wait_for_change(
    shared: &Shared,
    key: &str,
    after: Version,
    deadline: Instant,
) -> HandlerResult {
    loop {
        let changed = shared.changed.notified();
        tokio::pin!(changed);
        // Registers before the check, so that a change between the check and the wait is not missed.
        changed.as_mut().enable();
        {
            let mut state = shared.lock();
            if let Some(failed) = check_outage(&mut state) {
                return failed;
            }
            if state.read_store().changed(key, after) {
                return Ok(object_answer(state.read_store(), key));
            }
        }
        if tokio::time::timeout_at(deadline, changed).await.is_err() {
            return Ok(empty(StatusCode::NOT_MODIFIED));
        }
    }
}

async fn put(shared: &Shared, key: &str, req: Request<Incoming>) -> HandlerResult {
    {
        let mut state = shared.lock();
        state.counters.puts += 1;
        if let Some(refused) = check_admission(shared, &mut state, CallKind::Write) {
            return refused;
        }
    }
    let Some(condition) = condition(req.headers()) else {
        return Ok(answer(
            StatusCode::PRECONDITION_REQUIRED,
            "send if-match: VERSION or if-none-match: *",
        ));
    };
    let value = match read_body(req.into_body(), MAX_VALUE_BYTES).await {
        Ok(value) => value,
        Err(refused) => return Ok(refused),
    };
    let mut state = shared.lock();
    let result = state.store.put(key, value, condition);
    write_result(shared, &mut state, key, result)
}

fn delete(shared: &Shared, key: &str, headers: &HeaderMap) -> HandlerResult {
    let mut state = shared.lock();
    state.counters.deletes += 1;
    if let Some(refused) = check_admission(shared, &mut state, CallKind::Write) {
        return refused;
    }
    let Some(Condition::Version(version)) = condition(headers) else {
        return Ok(answer(
            StatusCode::PRECONDITION_REQUIRED,
            "send if-match: VERSION",
        ));
    };
    let result = state.store.delete(key, version);
    write_result(shared, &mut state, key, result)
}

fn condition(headers: &HeaderMap) -> Option<Condition> {
    if header(headers, "if-none-match") == "*" {
        return Some(Condition::Absent);
    }
    let version = header(headers, "if-match").trim_matches('"');
    version.parse().ok().map(Condition::Version)
}

fn write_result(
    shared: &Shared,
    state: &mut State,
    key: &str,
    result: Result<Version, WriteError>,
) -> HandlerResult {
    match result {
        Ok(version) => {
            shared.changed.notify_waiters();
            if state.faults.take_lost_answer(key) {
                state.counters.lost_answers += 1;
                return Err(Hangup);
            }
            Ok(versioned_answer(StatusCode::OK, version, ""))
        }
        Err(WriteError::Conflict { version }) => {
            state.counters.conflicts += 1;
            Ok(versioned_answer(
                StatusCode::PRECONDITION_FAILED,
                version,
                "",
            ))
        }
        Err(error @ WriteError::TooLarge) => {
            Ok(answer(StatusCode::PAYLOAD_TOO_LARGE, error.to_string()))
        }
    }
}
