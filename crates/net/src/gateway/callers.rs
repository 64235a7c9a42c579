//! Accepts and serves connections of callers.

use std::convert::Infallible;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use eelgrasshold_core::gateway::routes::CallerLimits;
use eelgrasshold_core::types::Now;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;

use super::intake;
use super::shared::Shared;
use crate::connect::{ACCEPT_RETRY_DELAY, detect_dead_peer};

/// Smallest connection buffer that hyper accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8 << 10;

/// Accepts connections until `closing` is cancelled. Open requests then run to their end.
pub(super) async fn serve(shared: Arc<Shared>, listener: TcpListener, closing: CancellationToken) {
    let slots = Arc::new(Semaphore::new(shared.options.connections));
    loop {
        let slot = tokio::select! {
            slot = Arc::clone(&slots).acquire_owned() => slot,
            () = closing.cancelled() => return,
        };
        // The semaphore is never closed.
        let Ok(slot) = slot else { return };
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = closing.cancelled() => return,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("can't accept a caller's connection: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        detect_dead_peer(&stream);
        let (shared, closing) = (Arc::clone(&shared), closing.clone());
        tokio::spawn(async move {
            serve_connection(shared, stream, closing).await;
            drop(slot);
        });
    }
}

/// Tracks requests on a connection, for its idle timeout.
#[derive(Debug)]
struct Activity {
    in_flight: AtomicUsize,
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
        last_request_end: Mutex::new(shared.now()),
    });
    let service = {
        let (shared, activity) = (Arc::clone(&shared), Arc::clone(&activity));
        service_fn(move |request| {
            let (shared, activity) = (Arc::clone(&shared), Arc::clone(&activity));
            activity.in_flight.fetch_add(1, Ordering::Relaxed);
            async move {
                let response = intake::serve(Arc::clone(&shared), request).await;
                activity.in_flight.fetch_sub(1, Ordering::Relaxed);
                activity.record_request_end(shared.now());
                Ok::<_, Infallible>(response)
            }
        })
    };
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .max_buf_size(limits.header_bytes.max(MIN_BUFFER_BYTES))
        .header_read_timeout(limits.header_timeout + limits.idle_timeout);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let idle = idle(&shared, &activity);
    tokio::pin!(idle);
    let mut ending = false;
    loop {
        tokio::select! {
            ended = &mut connection => {
                if let Err(error) = ended {
                    log::debug!("a caller's connection ended with an error: {error}");
                }
                return;
            }
            () = &mut idle, if !ending => {}
            () = closing.cancelled(), if !ending => {}
        }
        ending = true;
        connection.as_mut().graceful_shutdown();
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
