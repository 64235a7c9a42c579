//! Client of the engine or plain service on this host.

use bytes::Bytes;
use eelgrasshold_core::config::ServiceKind;
use eelgrasshold_core::types::{AttemptId, Request as Meta, Run};
use http::request::Parts;
use http::{Method, Request, Response, Uri, header};
use hyper::body::Incoming;
use serde_json::Value;
use snafu::Snafu;

use crate::http::{Client, full, plain_client};
use crate::wire::headers;

/// Why the engine gave no answer.
#[derive(Debug, Snafu)]
pub enum EngineError {
    /// It refuses connections; the work certainly did not begin.
    #[snafu(display("the engine refuses connections"))]
    Unreachable,
    /// The connection broke after the request was sent.
    #[snafu(display("the engine's connection broke"))]
    Broken,
    /// The answer belongs to another request.
    #[snafu(display("the engine answered another request"))]
    MismatchedAnswer,
    /// The request can't be expressed to the engine.
    #[snafu(display("the request can't be passed on: {reason}"))]
    BadRequest {
        /// Reason.
        reason: String,
    },
}

impl EngineError {
    /// Whether the work ran.
    #[must_use]
    pub fn run(&self) -> Run {
        match self {
            Self::Unreachable | Self::BadRequest { .. } => Run::NotRun,
            Self::Broken | Self::MismatchedAnswer => Run::Unknown,
        }
    }
}

/// The engine or plain service behind this process.
#[derive(Clone, Debug)]
pub struct Engine {
    address: String,
    kind: ServiceKind,
    client: Client,
}

impl Engine {
    /// A client of the engine at `IP:PORT`.
    #[must_use]
    pub fn new(address: String, kind: ServiceKind) -> Self {
        Self {
            address,
            kind,
            client: plain_client(),
        }
    }

    /// What it is.
    #[must_use]
    pub fn kind(&self) -> ServiceKind {
        self.kind
    }

    /// Passes a request on and returns the head of its answer.
    ///
    /// # Errors
    ///
    /// If the engine can't be reached, its connection breaks or the request is unusable.
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
        let answer = self.client.request(request).await.map_err(|error| {
            if error.is_connect() {
                EngineError::Unreachable
            } else {
                EngineError::Broken
            }
        })?;
        match headers::text(answer.headers(), &headers::X_REQUEST_ID) {
            Some(id) if id != engine_id => Err(EngineError::MismatchedAnswer),
            _ => Ok(answer),
        }
    }

    /// Id of an attempt at the engine. Drafts are known by their attempt, so that stopping one
    /// attempt never stops another of the same request; plain services see the request's id.
    #[must_use]
    pub fn engine_id(&self, meta: &Meta, attempt: AttemptId) -> String {
        match self.kind {
            ServiceKind::Model => Self::draft_id(attempt),
            ServiceKind::Plain => meta.id.clone(),
        }
    }

    /// Id of a draft's attempt at the engine.
    #[must_use]
    pub fn draft_id(attempt: AttemptId) -> String {
        format!("{attempt:016x}")
    }

    /// Asks the engine to stop a draft; best effort, since a closed connection stops it as well.
    pub async fn cancel(&self, engine_id: &str) {
        self.send_control(Method::DELETE, engine_id, String::new())
            .await;
    }

    /// Changes the priority of a draft; best effort, since it only affects the order of work.
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
        if let Err(error) = self.client.request(request).await {
            log::debug!("the engine took no order about {engine_id}: {error}");
        }
    }

    /// Whether the engine accepts connections.
    pub async fn is_up(&self) -> bool {
        tokio::net::TcpStream::connect(&self.address).await.is_ok()
    }
}

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

/// The caller's completion request with the priority and the first token to produce.
fn completion_body(body: &Bytes, meta: &Meta, priority: u8) -> Result<Bytes, EngineError> {
    let unusable = |reason: String| EngineError::BadRequest { reason };
    let mut value: Value = serde_json::from_slice(body).map_err(|e| unusable(e.to_string()))?;
    let Value::Object(fields) = &mut value else {
        return Err(unusable("the body is not an object".into()));
    };
    fields.insert("stream".into(), true.into());
    fields.insert("priority".into(), priority.into());
    fields.insert("max_tokens".into(), meta.max_tokens.into());
    fields.insert("resume_from".into(), meta.resume_from.into());
    serde_json::to_vec(&value)
        .map(Bytes::from)
        .map_err(|e| unusable(e.to_string()))
}
