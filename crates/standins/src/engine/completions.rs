//! Handlers of `/v1/completions`: start and stream a completion, change its priority, cancel it.

use std::sync::Arc;

use futures::stream::{self, Stream};
use http::header::CONTENT_TYPE;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;

use super::state::{BodyFrame, Shared};
use crate::http_util::{Body, HandlerResult, answer, empty, header, read_json};
use crate::model::JobId;

/// Larger request bodies are refused with status 413.
const MAX_BODY_BYTES: usize = 4 << 20;

/// Body of `POST /v1/completions`. Unknown fields are ignored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Completion {
    /// Text to complete. It determines the tokens of the answer, see [`super::token`].
    pub prompt: String,
    /// Upper bound on the tokens of the complete answer, including those before `resume_from`.
    pub max_tokens: u32,
    /// Whether to stream the answer. False is refused with status 400.
    pub stream: bool,
    /// Priority, 0 (highest) to 7.
    pub priority: u8,
    /// Index of the first token to produce; above 0 when an interrupted answer is resumed.
    pub resume_from: u32,
}

impl Default for Completion {
    fn default() -> Self {
        Self {
            prompt: String::new(),
            max_tokens: 256,
            stream: true,
            priority: 4,
            resume_from: 0,
        }
    }
}

/// Body of `PATCH /v1/completions/{id}`.
#[derive(Deserialize)]
struct PriorityChange {
    priority: u8,
}

pub(super) async fn post(shared: &Arc<Shared>, req: Request<Incoming>) -> HandlerResult {
    let mut request_id = header(req.headers(), "x-request-id").to_owned();
    if request_id.is_empty() {
        return Ok(answer(StatusCode::BAD_REQUEST, "send x-request-id"));
    }
    let mut completion: Completion = match read_json(req.into_body(), MAX_BODY_BYTES).await {
        Ok(completion) => completion,
        Err(refused) => return Ok(refused),
    };
    if !completion.stream {
        return Ok(answer(StatusCode::BAD_REQUEST, "set stream to true"));
    }
    let mut state = shared.lock();
    if state.faults.mismatched > 0 {
        state.faults.mismatched -= 1;
        request_id.push_str("-crossed");
        completion.prompt.push_str(" crossed");
    }
    let (job, rx) = state.submit(shared.now(), &request_id, &completion);
    drop(state);
    shared.changed.notify_waiters();
    let cancel_guard = CancelOnDrop {
        shared: shared.clone(),
        job,
    };
    Ok(stream_response(&request_id, body_frames(rx, cancel_guard)))
}

pub(super) async fn patch(shared: &Shared, id: &str, body: Incoming) -> HandlerResult {
    let change: PriorityChange = match read_json(body, MAX_BODY_BYTES).await {
        Ok(change) => change,
        Err(refused) => return Ok(refused),
    };
    let mut state = shared.lock();
    let jobs = state.jobs_of(id);
    for job in &jobs {
        state.model.set_priority(*job, change.priority);
    }
    Ok(empty(found_status(!jobs.is_empty())))
}

pub(super) fn delete(shared: &Shared, id: &str) -> Response<Body> {
    let cancelled = shared.lock().cancel_request(shared.now(), id);
    shared.changed.notify_waiters();
    empty(found_status(cancelled > 0))
}

fn found_status(found: bool) -> StatusCode {
    if found {
        StatusCode::NO_CONTENT
    } else {
        StatusCode::NOT_FOUND
    }
}

/// Cancels the job when its response stream is dropped: hyper drops it when the connection closes.
struct CancelOnDrop {
    shared: Arc<Shared>,
    job: JobId,
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        self.shared.lock().cancel(self.shared.now(), self.job);
        self.shared.changed.notify_waiters();
    }
}

fn body_frames(
    rx: mpsc::UnboundedReceiver<BodyFrame>,
    cancel_guard: CancelOnDrop,
) -> impl Stream<Item = BodyFrame> + Send + 'static {
    stream::unfold((rx, cancel_guard), |(mut rx, cancel_guard)| async move {
        let frame = rx.recv().await?;
        Some((frame, (rx, cancel_guard)))
    })
}

fn stream_response(
    request_id: &str,
    body_frames: impl Stream<Item = BodyFrame> + Send + 'static,
) -> Response<Body> {
    let mut response = Response::new(StreamBody::new(body_frames).boxed_unsync());
    let headers: &mut HeaderMap = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    // The echoed id lets the client detect an answer to another request.
    if let Ok(id) = HeaderValue::from_str(request_id) {
        headers.insert("x-request-id", id);
    }
    response
}
