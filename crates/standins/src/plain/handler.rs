//! HTTP handler of the plain service.

use std::sync::Arc;

use bytes::Bytes;
use futures::{StreamExt, stream};
use http::{HeaderValue, Request, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};

use super::Echo;
use super::state::{Execution, Failure, Shared, take_failure, take_remaining};
use crate::http_util::{Body, HandlerResult, Hangup, empty, header, json, read_body};
use crate::server::Handler;

/// Upper limit of a request body, in bytes.
const MAX_BODY_BYTES: usize = 8 << 20;

pub(super) fn new(shared: &Arc<Shared>) -> Handler {
    let shared = shared.clone();
    Arc::new(move |req| {
        let shared = shared.clone();
        Box::pin(async move { handle(&shared, req).await })
    })
}

async fn handle(shared: &Shared, req: Request<Incoming>) -> HandlerResult {
    let (parts, body) = req.into_parts();
    let body = match read_body(body, MAX_BODY_BYTES).await {
        Ok(body) => body,
        Err(refused) => return Ok(refused),
    };
    let request_id = match header(&parts.headers, "x-request-id") {
        "" => header(&parts.headers, "eel-request-id"),
        id => id,
    };
    let echo = Echo {
        method: parts.method.to_string(),
        path: parts.uri.to_string(),
        request_id: request_id.to_owned(),
        idempotency_key: header(&parts.headers, "idempotency-key").to_owned(),
        body: String::from_utf8_lossy(&body).into_owned(),
    };
    run(shared, echo).await
}

/// Executes a request. The execution is recorded before the latency elapses,
/// so that a request whose caller disconnects meanwhile counts as executed.
async fn run(shared: &Shared, echo: Echo) -> HandlerResult {
    let latency = {
        let mut state = shared.lock();
        state.counters.requests += 1;
        if let Some(failure) = take_failure(&mut state.faults.before) {
            state.counters.failed_before += 1;
            return failure_result(failure);
        }
        state.record_execution(Execution {
            request_id: echo.request_id.clone(),
            idempotency_key: echo.idempotency_key.clone(),
            method: echo.method.clone(),
            path: echo.path.clone(),
        });
        state.faults.latency
    };
    if !latency.is_zero() {
        tokio::time::sleep(latency).await;
    }
    answer_echo(shared, echo)
}

fn answer_echo(shared: &Shared, mut echo: Echo) -> HandlerResult {
    let (mismatched, truncated) = {
        let mut state = shared.lock();
        if let Some(failure) = take_failure(&mut state.faults.after) {
            state.counters.failed_after += 1;
            return failure_result(failure);
        }
        let faults = &mut state.faults;
        (
            take_remaining(&mut faults.mismatched),
            take_remaining(&mut faults.truncated),
        )
    };
    if mismatched {
        echo.request_id.push_str("-crossed");
        echo.body.push_str(" crossed");
    }
    let mut response = json(StatusCode::OK, &echo);
    if truncated {
        *response.body_mut() = truncated_body();
    }
    // The header lets the receiver detect an answer to another request.
    if let Ok(id) = HeaderValue::from_str(&echo.request_id) {
        response.headers_mut().insert("x-request-id", id);
    }
    Ok(response)
}

fn failure_result(failure: Failure) -> HandlerResult {
    match failure {
        Failure::HangUp => Err(Hangup),
        Failure::Status(status) => Ok(empty(status)),
    }
}

/// Body that holds the start of an echo and then closes the connection.
fn truncated_body() -> Body {
    let start = Frame::data(Bytes::from_static(b"{\"method\":"));
    let end = stream::once(async {
        // Yields so that the server sends the head and the start of the body before the error.
        tokio::task::yield_now().await;
        Err(Hangup)
    });
    let frames = stream::once(async { Ok(start) }).chain(end);
    StreamBody::new(frames).boxed_unsync()
}
