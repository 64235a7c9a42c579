//! Pooled HTTP clients, over plain TCP or mutual TLS.

use std::error::Error;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use futures::future::BoxFuture;
use http::Uri;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::rt;
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::{Connected, HttpConnector};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use tokio::net::TcpStream;
use tower_service::Service;

use super::Body;
use crate::tls::{Identity, Stream, client_stream};

/// HTTP client with a connection pool for each address.
pub type Client = legacy::Client<Connector, Body>;

/// Time limit to connect; ample for hosts in one or two regions.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which idle connections are closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// The same for connections to the platform's store, which may have fallen silent meanwhile.
const STORE_IDLE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time without an answer to an HTTP/2 ping after which a connection is closed.
const PING_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval of HTTP/2 pings on connections with open streams.
const PING_INTERVAL: Duration = Duration::from_secs(2);
/// Largest head of an answer, and bytes of a body that are read ahead. Both may come without end.
const READ_BUFFER_BYTES: usize = 32 << 10;
/// Unread bytes of one answer over HTTP/2 that are buffered.
const STREAM_WINDOW_BYTES: u32 = 64 << 10;
/// Unread bytes of all answers on one connection. It is many times [`STREAM_WINDOW_BYTES`], so that
/// callers who do not read theirs don't stall the answers to others.
const CONNECTION_WINDOW_BYTES: u32 = 16 << 20;

/// Sends requests on one HTTP/1.1 connection, one at a time.
pub(crate) type Sender = http1::SendRequest<Full<Bytes>>;

/// Opens TCP connections, with mutual TLS if there is an identity.
#[derive(Clone, Debug)]
pub struct Connector {
    tcp: HttpConnector,
    identity: Option<Identity>,
}

impl Connector {
    fn new(identity: Option<Identity>) -> Self {
        let mut tcp = HttpConnector::new();
        tcp.set_connect_timeout(Some(CONNECT_TIMEOUT));
        tcp.set_nodelay(true);
        Self { tcp, identity }
    }
}

/// An open connection, plain or encrypted.
pub struct Connection(TokioIo<Stream>);

impl Service<Uri> for Connector {
    type Response = Connection;
    type Error = Box<dyn Error + Send + Sync>;
    type Future = BoxFuture<'static, Result<Self::Response, Self::Error>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.tcp.poll_ready(cx).map_err(Into::into)
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let address = uri.authority().map_or(String::new(), ToString::to_string);
        let (connecting, identity) = (self.tcp.call(uri), self.identity.clone());
        async move {
            let stream = connecting.await?.into_inner();
            let stream = client_stream(identity.as_ref(), &address, stream).await?;
            Ok(Connection(TokioIo::new(stream)))
        }
        .boxed()
    }
}

impl legacy::connect::Connection for Connection {
    fn connected(&self) -> Connected {
        Connected::new()
    }
}

impl rt::Read for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: rt::ReadBufCursor<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.0).poll_read(cx, buf)
    }
}

impl rt::Write for Connection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.0).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }
}

/// Creates a client for engines and plain services: HTTP/1.1 over plain TCP.
#[must_use]
pub fn plain_client() -> Client {
    http1_client(None)
}

/// Creates a client for the platform's store: HTTP/1.1 over plain TCP, on connections that were in use
/// a moment ago or are new.
#[must_use]
pub fn store_client() -> Client {
    pooled_http1_client(None, STORE_IDLE_TIMEOUT)
}

/// Creates a client that opens a connection for each request: HTTP/1.1 over plain TCP.
#[must_use]
pub fn single_use_client() -> Client {
    legacy::Client::builder(TokioExecutor::new())
        .pool_max_idle_per_host(0)
        .http1_max_buf_size(READ_BUFFER_BYTES)
        .retry_canceled_requests(false)
        .build(Connector::new(None))
}

/// Creates a client for admin addresses: HTTP/1.1, with mutual TLS if there is an identity.
#[must_use]
pub fn http1_client(identity: Option<Identity>) -> Client {
    pooled_http1_client(identity, IDLE_TIMEOUT)
}

fn pooled_http1_client(identity: Option<Identity>, idle_timeout: Duration) -> Client {
    legacy::Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(idle_timeout)
        .http1_max_buf_size(READ_BUFFER_BYTES)
        .retry_canceled_requests(false)
        .build(Connector::new(identity))
}

/// Starts HTTP/1.1 on an open connection, which is then driven by a task.
///
/// # Errors
///
/// If the connection fails.
pub(crate) async fn handshake(stream: TcpStream) -> hyper::Result<Sender> {
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(READ_BUFFER_BYTES)
        .handshake(TokioIo::new(stream))
        .await?;
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!("a connection to an upstream ended with an error: {error}");
        }
    });
    Ok(sender)
}

/// Creates a client for upstream processes: HTTP/2 with prior knowledge, one connection for each
/// process, with mutual TLS if there is an identity.
#[must_use]
pub fn prior_knowledge_client(identity: Option<Identity>) -> Client {
    legacy::Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .timer(TokioTimer::new())
        .http2_only(true)
        .http2_initial_stream_window_size(STREAM_WINDOW_BYTES)
        .http2_initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .http2_keep_alive_interval(PING_INTERVAL)
        .http2_keep_alive_timeout(PING_TIMEOUT)
        .retry_canceled_requests(false)
        .build(Connector::new(identity))
}
