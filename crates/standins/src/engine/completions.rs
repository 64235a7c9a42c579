//! `/v1/completions`: streams an answer, changes its priority or cancels it.

use std::sync::Arc;

use futures::stream::{self, Stream};
use http::header::CONTENT_TYPE;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;

use super::state::{Piece, Shared};
use crate::http_util::{Body, HandlerResult, answer, empty, header, read_json};
use crate::model::JobId;

/// Largest body of a request, in bytes.
const MAX_BODY_BYTES: usize = 4 << 20;

/// Body of `POST /v1/completions`. Unknown fields are ignored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Completion {
    /// Prompt.
    pub prompt: String,
    /// Tokens of the whole answer at most, with those before `resume_from`.
    pub max_tokens: u32,
    /// The answer is streamed; nothing else is offered.
    pub stream: bool,
    /// Priority, 0 (highest) to 7.
    pub priority: u8,
    /// Index of the first token to produce.
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
struct Change {
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
    if state.faults.crossed > 0 {
        state.faults.crossed -= 1;
        request_id.push_str("-crossed");
        completion.prompt.push_str(" crossed");
    }
    let (job, rx) = state.submit(shared.now(), &request_id, &completion);
    drop(state);
    shared.changed.notify_waiters();
    let caller = Caller {
        shared: shared.clone(),
        job,
    };
    Ok(stream_response(&request_id, pieces(rx, caller)))
}

pub(super) async fn patch(shared: &Shared, id: &str, body: Incoming) -> HandlerResult {
    let change: Change = match read_json(body, MAX_BODY_BYTES).await {
        Ok(change) => change,
        Err(refused) => return Ok(refused),
    };
    let mut state = shared.lock();
    let jobs = state.jobs_of(id);
    for job in &jobs {
        state.model.set_priority(*job, change.priority);
    }
    Ok(empty(found(!jobs.is_empty())))
}

pub(super) fn delete(shared: &Shared, id: &str) -> Response<Body> {
    let cancelled = shared.lock().cancel_request(shared.now(), id);
    shared.changed.notify_waiters();
    empty(found(cancelled > 0))
}

fn found(any: bool) -> StatusCode {
    if any {
        StatusCode::NO_CONTENT
    } else {
        StatusCode::NOT_FOUND
    }
}

/// Cancels the job when its stream is dropped, which is how a closed connection shows.
struct Caller {
    shared: Arc<Shared>,
    job: JobId,
}

impl Drop for Caller {
    fn drop(&mut self) {
        self.shared.lock().cancel(self.shared.now(), self.job);
        self.shared.changed.notify_waiters();
    }
}

fn pieces(
    rx: mpsc::UnboundedReceiver<Piece>,
    caller: Caller,
) -> impl Stream<Item = Piece> + Send + 'static {
    stream::unfold((rx, caller), |(mut rx, caller)| async move {
        let piece = rx.recv().await?;
        Some((piece, (rx, caller)))
    })
}

fn stream_response(
    request_id: &str,
    pieces: impl Stream<Item = Piece> + Send + 'static,
) -> Response<Body> {
    let mut response = Response::new(StreamBody::new(pieces).boxed_unsync());
    let headers: &mut HeaderMap = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    // The echo lets the receiver notice an answer to another request.
    if let Ok(id) = HeaderValue::from_str(request_id) {
        headers.insert("x-request-id", id);
    }
    response
}
