//! HTTP client of the engine or plain service that this process serves.
//!
//! An answer may be written once more, and is then read as the answer to the next request on its
//! connection. Ids in answers tell the two apart. Without them, each request has a connection of its own.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use eelgrasshold_core::config::ServiceKind;
use eelgrasshold_core::types::{AttemptId, Request as Meta, Run};
use http::request::Parts;
use http::{Method, Request, Response, Uri, header};
use hyper::body::Incoming;
use serde_json::Value;
use snafu::Snafu;

use crate::http::{Client, full, is_final_status, plain_client, single_use_client};
use crate::wire::headers;

/// Time limit of a call that stops a draft or changes its priority.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(500);

/// Why the engine gave no answer.
#[derive(Debug, Snafu)]
pub enum EngineError {
    /// The connection failed, so the work certainly did not start.
    #[snafu(display("can't connect to the engine"))]
    Unreachable,
    /// The connection broke before the answer began; the work may have run.
    #[snafu(display("the connection to the engine broke before it answered"))]
    Broken,
    /// The answer has the id of another request; the work may have run.
    #[snafu(display("the engine's answer belongs to another request"))]
    MismatchedAnswer,
    /// The answer has no id and its connection may have been used before, so that it may belong to
    /// another request; the work may have run.
    #[snafu(display("the engine's answer has no request id, unlike earlier ones"))]
    UnidentifiedAnswer,
    /// The status is one that no final answer has; the work may have run.
    #[snafu(display("no final answer has the status {status} of the engine's"))]
    InvalidStatus {
        /// Status of the answer.
        status: u16,
    },
    /// The request can't be converted into one for the engine, and was not sent.
    #[snafu(display("the request can't be converted for the engine: {reason}"))]
    BadRequest {
        /// What is wrong with the path or the body.
        reason: String,
    },
}

impl EngineError {
    /// Returns whether the engine certainly did not run the work; only then a retry is always
    /// safe.
    #[must_use]
    pub fn run(&self) -> Run {
        match self {
            Self::Unreachable | Self::BadRequest { .. } => Run::NotRun,
            Self::Broken
            | Self::MismatchedAnswer
            | Self::UnidentifiedAnswer
            | Self::InvalidStatus { .. } => Run::Unknown,
        }
    }
}

/// Whether answers have had the ids of their requests so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum AnswerIds {
    #[default]
    Unknown,
    Always,
    NotAlways,
}

impl AnswerIds {
    fn record_id(&mut self) {
        if *self == Self::Unknown {
            *self = Self::Always;
        }
    }
}

/// Client of one engine or plain service; clones share the connection pool.
#[derive(Clone, Debug)]
pub struct Engine {
    address: String,
    kind: ServiceKind,
    client: Client,
    /// Opens a connection for each request.
    single_use: Client,
    answer_ids: Arc<Mutex<AnswerIds>>,
}

impl Engine {
    /// Creates a client of the engine at `address` (`IP:PORT`); connects on the first request.
    #[must_use]
    pub fn new(address: String, kind: ServiceKind) -> Self {
        Self {
            address,
            kind,
            client: plain_client(),
            single_use: single_use_client(),
            answer_ids: Arc::default(),
        }
    }

    /// Whether it is a model engine or a plain service.
    #[must_use]
    pub fn kind(&self) -> ServiceKind {
        self.kind
    }

    /// Forwards a request and returns the head of its answer; the body follows as it is produced.
    ///
    /// # Errors
    ///
    /// See the variants of [`EngineError`].
    pub async fn send(
        &self,
        meta: &Meta,
        engine_id: &str,
        priority: u8,
        parts: &Parts,
        body: &Bytes,
    ) -> Result<Response<Incoming>, EngineError> {
        let path = parts
            .uri
            .path_and_query()
            .map_or("/", http::uri::PathAndQuery::as_str);
        let uri: Uri = format!("http://{}{path}", self.address).parse().map_err(
            |e: http::uri::InvalidUri| EngineError::BadRequest {
                reason: e.to_string(),
            },
        )?;
        let is_draft = self.kind == ServiceKind::Model && parts.method == http::Method::POST;
        let body = if is_draft {
            completion_body(body, meta, priority)?
        } else {
            body.clone()
        };
        let mut request = Request::new(full(body));
        *request.method_mut() = parts.method.clone();
        *request.uri_mut() = uri;
        *request.headers_mut() = forwarded_headers(parts);
        request
            .headers_mut()
            .insert(headers::X_REQUEST_ID, headers::value(engine_id));
        let reuses = *self.answer_ids() == AnswerIds::Always;
        let client = if reuses {
            &self.client
        } else {
            &self.single_use
        };
        let answer = client.request(request).await.map_err(|error| {
            if error.is_connect() {
                EngineError::Unreachable
            } else {
                EngineError::Broken
            }
        })?;
        match headers::text(answer.headers(), &headers::X_REQUEST_ID) {
            Some(id) if id != engine_id => return Err(EngineError::MismatchedAnswer),
            Some(_) => self.answer_ids().record_id(),
            None => {
                *self.answer_ids() = AnswerIds::NotAlways;
                if reuses {
                    return Err(EngineError::UnidentifiedAnswer);
                }
            }
        }
        if !is_final_status(answer.status()) {
            return Err(EngineError::InvalidStatus {
                status: answer.status().as_u16(),
            });
        }
        Ok(answer)
    }

    fn answer_ids(&self) -> MutexGuard<'_, AnswerIds> {
        let ids = self.answer_ids.lock();
        ids.unwrap_or_else(PoisonError::into_inner)
    }

    /// Id under which the engine runs an attempt. Drafts have an id of their own per attempt, so
    /// that stopping one attempt never stops another of the same request; plain services get the
    /// request's id.
    #[must_use]
    pub fn engine_id(&self, meta: &Meta, attempt: AttemptId) -> String {
        match self.kind {
            ServiceKind::Model => Self::draft_id(attempt),
            ServiceKind::Plain => meta.id.clone(),
        }
    }

    /// Id under which a model engine runs a draft: the attempt in 16 hexadecimal digits.
    #[must_use]
    pub fn draft_id(attempt: AttemptId) -> String {
        format!("{attempt:016x}")
    }

    /// Requests that the engine stop a draft. An error is only logged, since the engine also stops
    /// when the connection closes. No effect on plain services.
    pub async fn cancel(&self, engine_id: &str) {
        self.send_control(Method::DELETE, engine_id, String::new())
            .await;
    }

    /// Changes the priority of a draft. An error is only logged, since the priority affects nothing
    /// but the order of work. No effect on plain services.
    pub async fn set_priority(&self, engine_id: &str, priority: u8) {
        let body = format!("{{\"priority\":{priority}}}");
        self.send_control(Method::PATCH, engine_id, body).await;
    }

    async fn send_control(&self, method: Method, engine_id: &str, body: String) {
        if self.kind != ServiceKind::Model {
            return;
        }
        let uri = format!("http://{}/v1/completions/{engine_id}", self.address);
        let request = Request::builder().method(method).uri(uri).body(full(body));
        let Ok(request) = request else { return };
        match tokio::time::timeout(CONTROL_TIMEOUT, self.client.request(request)).await {
            Ok(Ok(_)) => {}
            Ok(Err(error)) => {
                log::debug!("call to the engine to control draft {engine_id} failed: {error}");
            }
            Err(_) => log::debug!("no answer of the engine to control draft {engine_id}"),
        }
    }

    /// Returns whether the engine accepts connections.
    pub async fn is_up(&self) -> bool {
        tokio::net::TcpStream::connect(&self.address).await.is_ok()
    }
}

/// Returns the headers for the engine: without hop-by-hop headers and without those that only the
/// daemons use.
fn forwarded_headers(parts: &Parts) -> http::HeaderMap {
    let mut fields = parts.headers.clone();
    headers::remove_hop_by_hop(&mut fields);
    let not_forwarded = [
        headers::ATTEMPT,
        headers::REQUEST,
        headers::RESUME_FROM,
        headers::CLOCK,
        headers::INCARNATION,
        header::CONTENT_LENGTH,
        header::HOST,
    ];
    for name in not_forwarded {
        fields.remove(name);
    }
    fields
}

/// Returns the caller's completion request as a stream, with the priority, the token limit and the
/// index of the first token to produce.
fn completion_body(body: &Bytes, meta: &Meta, priority: u8) -> Result<Bytes, EngineError> {
    let bad_request = |reason: String| EngineError::BadRequest { reason };
    let mut value: Value = serde_json::from_slice(body).map_err(|e| bad_request(e.to_string()))?;
    let Value::Object(fields) = &mut value else {
        return Err(bad_request("the body is not an object".into()));
    };
    fields.insert("stream".into(), true.into());
    fields.insert("priority".into(), priority.into());
    fields.insert("max_tokens".into(), meta.max_tokens.into());
    fields.insert("resume_from".into(), meta.resume_from.into());
    serde_json::to_vec(&value)
        .map(Bytes::from)
        .map_err(|e| bad_request(e.to_string()))
}
