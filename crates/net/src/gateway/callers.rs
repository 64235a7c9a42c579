//! Accepts and serves connections of callers.

use std::convert::Infallible;
use std::future::pending;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use eelgrasshold_core::gateway::routes::CallerLimits;
use eelgrasshold_core::types::Now;
use eelgrasshold_platform::headers as names;
use http::{HeaderValue, Request, header};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore, watch};
use tokio_util::sync::CancellationToken;

use super::delivery::{FollowedStream, Unwritten};
use super::intake;
use super::shared::{OpenRequest, Shared};
use crate::connect::{ACCEPT_RETRY_DELAY, SharedStream, close_listener, detect_dead_peer, may_end};
use crate::http::Hold;
use crate::wire::headers::text;

/// Smallest connection buffer that hyper accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8 << 10;

/// Time for which a connection stays open after a response to a request that was not read to its end, and
/// most bytes that are read from it meanwhile.
const LINGER_TIME: Duration = Duration::from_secs(1);
const LINGER_BYTES: usize = 256 << 10;

/// Accepts connections until `closing` is cancelled. Open requests then run to their end.
pub(super) async fn serve(shared: Arc<Shared>, listener: TcpListener, closing: CancellationToken) {
    let slots = Arc::new(Semaphore::new(shared.options.connections));
    loop {
        let slot = tokio::select! {
            slot = Arc::clone(&slots).acquire_owned() => slot,
            () = closing.cancelled() => break,
        };
        // The semaphore is never closed.
        let Ok(slot) = slot else { break };
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = closing.cancelled() => break,
        };
        match accepted {
            Ok((stream, _)) => spawn_connection(&shared, stream, &closing, slot),
            Err(error) => {
                log::warn!("can't accept a caller's connection: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    match close_listener(listener).await {
        Ok(streams) => {
            for stream in streams {
                let Ok(slot) = Arc::clone(&slots).try_acquire_owned() else {
                    break;
                };
                spawn_connection(&shared, stream, &closing, slot);
            }
        }
        Err(error) => log::warn!("can't accept the rest of the callers' connections: {error}"),
    }
    // No connection is spawned from here on.
    shared.connections.close();
}

fn spawn_connection(
    shared: &Arc<Shared>,
    stream: TcpStream,
    closing: &CancellationToken,
    slot: OwnedSemaphorePermit,
) {
    detect_dead_peer(&stream);
    let serving = serve_connection(Arc::clone(shared), stream, closing.clone());
    shared.connections.spawn(async move {
        serving.await;
        drop(slot);
    });
}

/// Tracks requests on a connection, for its idle timeout.
#[derive(Debug)]
struct Activity {
    in_flight: AtomicUsize,
    /// A response says that the rest of its request is not read.
    has_unread_request: AtomicBool,
    /// Notified at each request.
    request_began: Notify,
    last_request_end: Mutex<Now>,
}

impl Activity {
    fn record_request_end(&self, now: Now) {
        *self
            .last_request_end
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = now;
    }

    fn last_request_end(&self) -> Now {
        *self
            .last_request_end
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

async fn serve_connection(shared: Arc<Shared>, stream: TcpStream, closing: CancellationToken) {
    let limits = limits(&shared);
    let activity = Arc::new(Activity {
        in_flight: AtomicUsize::new(0),
        has_unread_request: AtomicBool::new(false),
        request_began: Notify::new(),
        last_request_end: Mutex::new(shared.now()),
    });
    let unwritten = Unwritten::new();
    // The answer that is being sent, if it counts towards the held bytes.
    let (leaving, mut leaves) = watch::channel::<Option<Leaving>>(None);
    let service = {
        let (shared, activity) = (Arc::clone(&shared), Arc::clone(&activity));
        let unwritten = unwritten.clone();
        service_fn(move |request: Request<Incoming>| {
            let leaving = leaving.clone();
            let (shared, activity) = (Arc::clone(&shared), Arc::clone(&activity));
            let (unwritten, open_request) = (unwritten.clone(), OpenRequest::new(&shared));
            activity.in_flight.fetch_add(1, Ordering::Relaxed);
            activity.request_began.notify_one();
            async move {
                let mut response = intake::serve(Arc::clone(&shared), request).await;
                let unread = response.headers().contains_key(header::CONNECTION);
                activity
                    .has_unread_request
                    .fetch_or(unread, Ordering::Relaxed);
                if shared.draining.load(Ordering::Relaxed) {
                    // Callers then don't send on a connection that is about to be closed.
                    let close = HeaderValue::from_static("close");
                    response.headers_mut().insert(header::CONNECTION, close);
                }
                activity.in_flight.fetch_sub(1, Ordering::Relaxed);
                activity.record_request_end(shared.now());
                let answer = response.extensions_mut().remove::<Arc<Hold>>();
                leaving.send_replace(answer.as_ref().map(|hold| {
                    Leaving {
                        id: text(response.headers(), &names::REQUEST_ID)
                            .unwrap_or_default()
                            .to_owned(),
                        evicted: hold.evicted().clone(),
                    }
                }));
                let open_request = open_request.with_answer(answer);
                Ok::<_, Infallible>(unwritten.follow(response, open_request))
            }
        })
    };
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .max_buf_size(limits.header_bytes.max(MIN_BUFFER_BYTES))
        .header_read_timeout(limits.header_timeout + limits.idle_timeout);
    let stream = SharedStream::new(stream);
    let written = FollowedStream::new(stream.clone(), unwritten);
    let connection = builder.serve_connection(TokioIo::new(written), service);
    tokio::pin!(connection);
    let caller_gone = stream.ended();
    tokio::pin!(caller_gone);
    let idle = idle(&shared, &activity);
    tokio::pin!(idle);
    let may_end = may_end(&closing, &activity.request_began);
    tokio::pin!(may_end);
    let mut ending = false;
    loop {
        tokio::select! {
            ended = &mut connection => {
                if let Err(error) = ended {
                    log::debug!("a caller's connection ended with an error: {error}");
                }
                if activity.has_unread_request.load(Ordering::Relaxed) {
                    linger(stream.clone()).await;
                }
                return;
            }
            () = &mut caller_gone => return,
            id = evicted(&mut leaves) => {
                intake::record_eviction(&shared, &id, "answer");
                return;
            }
            () = &mut idle, if !ending => {}
            () = &mut may_end, if !ending => {}
        }
        ending = true;
        connection.as_mut().graceful_shutdown();
    }
}

/// Keeps a connection open whose request was not read to its end, so that its caller gets the response: the
/// system discards it when a connection closes on which bytes arrive.
async fn linger(mut stream: SharedStream) {
    let mut left = LINGER_BYTES;
    let mut buf = [0; 4 << 10];
    let read = async {
        while left > 0 {
            match stream.read(&mut buf).await {
                Ok(length) if length > 0 => left = left.saturating_sub(length),
                _ => return,
            }
        }
        stream.ended().await;
    };
    let _ = tokio::time::timeout(LINGER_TIME, read).await;
}

/// An answer that its caller reads.
#[derive(Clone, Debug)]
struct Leaving {
    id: String,
    evicted: CancellationToken,
}

/// Waits until an answer on a connection is evicted, and returns the id of its request.
async fn evicted(leaves: &mut watch::Receiver<Option<Leaving>>) -> String {
    loop {
        let leaving = leaves.borrow_and_update().clone();
        let evicted = async {
            match &leaving {
                Some(leaving) => leaving.evicted.cancelled().await,
                None => pending().await,
            }
        };
        tokio::select! {
            () = evicted => return leaving.map(|l| l.id).unwrap_or_default(),
            changed = leaves.changed() => if changed.is_err() {
                return pending().await;
            },
        }
    }
}

/// Waits until a connection has had no request for the configured idle timeout.
async fn idle(shared: &Shared, activity: &Activity) {
    loop {
        let limit = limits(shared).idle_timeout;
        let left = (activity.last_request_end() + limit).saturating_sub(shared.now());
        if activity.in_flight.load(Ordering::Relaxed) > 0 {
            tokio::time::sleep(limit).await;
        } else if left.is_zero() {
            return;
        } else {
            tokio::time::sleep(left).await;
        }
    }
}

fn limits(shared: &Shared) -> CallerLimits {
    shared
        .core()
        .table()
        .map(|t| t.limits.clone())
        .unwrap_or_default()
}
