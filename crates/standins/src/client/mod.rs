//! HTTP client for tests and examples.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client as Pool;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use snafu::{ResultExt, Snafu};

/// Time limit for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// A request that failed before its answer was complete.
#[derive(Debug, Snafu)]
pub enum ClientError {
    /// The URL or a header is malformed, so that nothing was sent.
    #[snafu(display("can't build the request to {url}: {source}"))]
    Build {
        /// URL of the request.
        url: String,
        /// Reason why the URL or header was rejected.
        source: http::Error,
    },
    /// The connection failed before the head of an answer was received.
    #[snafu(display("no answer from {url}: {source}"))]
    Send {
        /// URL of the request.
        url: String,
        /// Failure of the connection; tells whether it could be made at all.
        source: hyper_util::client::legacy::Error,
    },
    /// The connection failed while the body of the answer was read.
    #[snafu(display("the answer of {url} broke off: {source}"))]
    Receive {
        /// URL of the request.
        url: String,
        /// Failure of the connection.
        source: hyper::Error,
    },
}

impl ClientError {
    /// Whether the connection could not be made, so that nothing was sent.
    #[must_use]
    pub fn is_connect(&self) -> bool {
        matches!(self, Self::Send { source, .. } if source.is_connect())
    }
}

/// A complete answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Status code; the client treats no status as an error.
    pub status: StatusCode,
    /// Headers, without trailers.
    pub headers: HeaderMap,
    /// Complete body, of any size.
    pub body: Bytes,
}

impl Answer {
    /// Value of a header; empty if it is missing or not ASCII text.
    #[must_use]
    pub fn header(&self, name: &str) -> &str {
        crate::http_util::header(&self.headers, name)
    }

    /// Body as text; bytes that are not UTF-8 are replaced.
    #[must_use]
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// HTTP client with a pool of connections; clones share the pool.
///
/// It sends each request once: a request that fails on a pooled connection is not sent again.
#[derive(Clone, Debug)]
pub struct Client {
    pool: Pool<HttpConnector, Full<Bytes>>,
}

impl Default for Client {
    fn default() -> Self {
        Self::new()
    }
}

impl Client {
    /// Creates a client that uses HTTP/1.1.
    #[must_use]
    pub fn new() -> Self {
        Self::build(false)
    }

    /// Creates a client that uses HTTP/2 without TLS.
    #[must_use]
    pub fn new_http2() -> Self {
        Self::build(true)
    }

    fn build(http2: bool) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let pool = Pool::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .timer(TokioTimer::new())
            .retry_canceled_requests(false)
            .http2_only(http2)
            .build(connector);
        Self { pool }
    }

    /// Sends a request and returns once the head of the answer has been received.
    ///
    /// # Errors
    /// [`ClientError::Build`] or [`ClientError::Send`].
    pub async fn open(
        &self,
        method: Method,
        url: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<Response<Incoming>, ClientError> {
        let mut builder = Request::builder().method(method).uri(url);
        for (name, value) in headers {
            builder = builder.header(*name, *value);
        }
        let req = builder
            .body(Full::new(body.into()))
            .context(BuildSnafu { url })?;
        self.pool.request(req).await.context(SendSnafu { url })
    }

    /// Sends a request and returns its complete answer.
    ///
    /// # Errors
    /// As [`Self::open`], or [`ClientError::Receive`].
    pub async fn send(
        &self,
        method: Method,
        url: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<Answer, ClientError> {
        let (parts, body) = self.open(method, url, headers, body).await?.into_parts();
        let body = body.collect().await.context(ReceiveSnafu { url })?;
        Ok(Answer {
            status: parts.status,
            headers: parts.headers,
            body: body.to_bytes(),
        })
    }

    /// Sends a `GET` request without headers of its own and returns the complete answer.
    ///
    /// # Errors
    /// As [`Self::send`].
    pub async fn get(&self, url: &str) -> Result<Answer, ClientError> {
        self.send(Method::GET, url, &[], Bytes::new()).await
    }
}
