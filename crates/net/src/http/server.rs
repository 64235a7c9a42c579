//! HTTP/1.1 and HTTP/2 server with connection limits and graceful shutdown.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::TcpListener;
use tokio::sync::{Notify, Semaphore};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::Body;
use crate::connect::{ACCEPT_RETRY_DELAY, SharedStream, may_end};
use crate::tls::{Identity, server_stream};

/// Bytes of an answer that an HTTP/2 stream buffers while its peer does not read them.
const SEND_BUFFER_BYTES: usize = 16 << 10;

/// Limits of a [`Server`]; see the methods of [`LimitsBuilder`].
#[derive(Clone, Debug)]
pub struct Limits {
    header_bytes: usize,
    header_timeout: Duration,
    connections: usize,
    streams: u32,
}

/// Builder of [`Limits`].
#[derive(Clone, Debug)]
pub struct LimitsBuilder {
    limits: Limits,
}

impl Limits {
    /// Starts with defaults for a callers' listener of a small host: 32 KiB of headers within 5 s,
    /// 10,000 connections, 1,000 streams each.
    #[must_use]
    pub fn builder() -> LimitsBuilder {
        LimitsBuilder {
            limits: Self {
                header_bytes: 32 * 1_024,
                header_timeout: Duration::from_secs(5),
                connections: 10_000,
                streams: 1_000,
            },
        }
    }
}

impl LimitsBuilder {
    /// Sets the largest total size of a request's headers, in bytes; at least 8 KiB.
    #[must_use]
    pub fn header_bytes(mut self, bytes: usize) -> Self {
        self.limits.header_bytes = bytes.max(8 * 1_024);
        self
    }

    /// Sets the time limit for the TLS handshake, and for the headers of a request.
    #[must_use]
    pub fn header_timeout(mut self, timeout: Duration) -> Self {
        self.limits.header_timeout = timeout;
        self
    }

    /// Sets the maximum number of concurrent connections, at least 1; further ones wait in the
    /// listener's backlog.
    #[must_use]
    pub fn connections(mut self, connections: usize) -> Self {
        self.limits.connections = connections.max(1);
        self
    }

    /// Sets the maximum number of concurrent streams on an HTTP/2 connection, at least 1.
    #[must_use]
    pub fn streams(mut self, streams: u32) -> Self {
        self.limits.streams = streams.max(1);
        self
    }

    /// Returns the limits as set so far.
    #[must_use]
    pub fn build(self) -> Limits {
        self.limits
    }
}

/// An HTTP server on one listener.
#[derive(Debug)]
pub struct Server {
    listener: TcpListener,
    limits: Limits,
    identity: Option<Identity>,
}

impl Server {
    /// Creates a server on a bound listener. With an identity, clients must use mutual TLS.
    #[must_use]
    pub fn new(listener: TcpListener, limits: Limits, identity: Option<Identity>) -> Self {
        Self {
            listener,
            limits,
            identity,
        }
    }

    /// Serves until `shutdown` is cancelled, then waits for open requests. Dropping the future
    /// earlier closes all connections.
    pub async fn run<F, R>(self, shutdown: CancellationToken, handler: F)
    where
        F: Fn(Request<Incoming>) -> R + Clone + Send + Sync + 'static,
        R: Future<Output = Response<Body>> + Send + 'static,
    {
        let builder = connection_builder(&self.limits);
        let connections = TaskTracker::new();
        // Connections run in tasks of their own, which would outlive an aborted server.
        let abort = CancellationToken::new();
        let _abort_on_drop = abort.clone().drop_guard();
        let slots = Arc::new(Semaphore::new(self.limits.connections));
        loop {
            let accepted = tokio::select! {
                accepted = accept(&self.listener, &slots) => accepted,
                () = shutdown.cancelled() => break,
            };
            let Some((stream, slot)) = accepted else {
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let handler = handler.clone();
            let request_began = Arc::new(Notify::new());
            let began = Arc::clone(&request_began);
            let service = service_fn(move |req| {
                began.notify_one();
                let answer = handler(req);
                async move { Ok::<_, Infallible>(answer.await) }
            });
            let (builder, closing) = (builder.clone(), shutdown.clone());
            let (identity, timeout) = (self.identity.clone(), self.limits.header_timeout);
            let serve = async move {
                let socket = SharedStream::new(stream);
                let handshake = server_stream(identity.as_ref(), socket.clone());
                match tokio::time::timeout(timeout, handshake).await {
                    Ok(Ok(stream)) => {
                        let connection = builder.serve_connection(TokioIo::new(stream), service);
                        let graceful = GracefulShutdown::new();
                        let serving = graceful.watch(connection.into_owned());
                        let closed = async {
                            may_end(&closing, &request_began).await;
                            graceful.shutdown().await;
                        };
                        tokio::select! {
                            ended = serving => {
                                if let Err(error) = ended {
                                    log::debug!("a connection ended with an error: {error}");
                                }
                            }
                            () = closed => {}
                            () = socket.ended() => {}
                        }
                    }
                    Ok(Err(error)) => log::warn!("a TLS handshake failed: {error}"),
                    Err(_) => log::warn!("a TLS handshake took longer than {timeout:?}"),
                }
                drop(slot);
            };
            let abort = abort.clone();
            connections.spawn(async move { abort.run_until_cancelled(serve).await });
        }
        drop(self.listener);
        connections.close();
        connections.wait().await;
    }
}

async fn accept(
    listener: &TcpListener,
    slots: &Arc<Semaphore>,
) -> Option<(tokio::net::TcpStream, tokio::sync::OwnedSemaphorePermit)> {
    let slot = Arc::clone(slots).acquire_owned().await.ok()?;
    match listener.accept().await {
        Ok((stream, _)) => {
            if let Err(error) = stream.set_nodelay(true) {
                log::debug!("can't set TCP_NODELAY: {error}");
            }
            Some((stream, slot))
        }
        Err(error) => {
            log::warn!("can't accept a connection: {error}");
            None
        }
    }
}

fn connection_builder(limits: &Limits) -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .max_buf_size(limits.header_bytes)
        .header_read_timeout(limits.header_timeout);
    builder
        .http2()
        .timer(TokioTimer::new())
        .adaptive_window(true)
        .max_send_buf_size(SEND_BUFFER_BYTES)
        .max_concurrent_streams(limits.streams)
        .max_header_list_size(u32::try_from(limits.header_bytes).unwrap_or(u32::MAX));
    builder
}
