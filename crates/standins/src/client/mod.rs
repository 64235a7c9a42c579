//! Small HTTP client for tests and examples.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client as Pool;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use snafu::{ResultExt, Snafu};

/// Longest time that connecting may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// A call without a whole answer.
#[derive(Debug, Snafu)]
pub enum ClientError {
    /// The request is malformed.
    #[snafu(display("can't build the request to {url}: {source}"))]
    Build {
        /// Where it was meant for.
        url: String,
        /// Cause.
        source: http::Error,
    },
    /// No answer began.
    #[snafu(display("no answer from {url}: {source}"))]
    Send {
        /// Where it was sent.
        url: String,
        /// Cause.
        source: hyper_util::client::legacy::Error,
    },
    /// The answer broke off.
    #[snafu(display("the answer of {url} broke off: {source}"))]
    Receive {
        /// Where it came from.
        url: String,
        /// Cause.
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

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Answer {
    /// A header's value as text; empty if it is missing.
    #[must_use]
    pub fn header(&self, name: &str) -> &str {
        crate::http_util::header(&self.headers, name)
    }

    /// The body as text.
    #[must_use]
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A client with a pool of connections.
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
    /// A client over HTTP/1.1.
    #[must_use]
    pub fn new() -> Self {
        Self::build(false)
    }

    /// A client over HTTP/2 without TLS.
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

    /// Sends a request and returns when the answer's headers are there.
    ///
    /// # Errors
    /// The request is malformed or no answer began.
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

    /// Sends a request and returns its whole answer.
    ///
    /// # Errors
    /// The request is malformed, no answer began or the answer broke off.
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

    /// Reads a URL.
    ///
    /// # Errors
    /// As [`Self::send`].
    pub async fn get(&self, url: &str) -> Result<Answer, ClientError> {
        self.send(Method::GET, url, &[], Bytes::new()).await
    }
}
