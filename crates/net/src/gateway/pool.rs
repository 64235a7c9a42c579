//! Kept connections to upstreams.
//!
//! A connection carries one request at a time and is kept only after an answer that ended
//! exactly. Bytes that arrive on an idle connection close it, so a second answer to an earlier
//! request can't be taken for the answer to a later one unless it arrives while that one runs;
//! then its id tells.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use eelgrasshold_core::gateway::registry::{Upstream, UpstreamId};
use eelgrasshold_core::types::Now;
use http::HeaderMap;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;

use crate::connect::{connect, reset_on_close};

/// Time for which an idle connection is kept if the upstream names none.
const UNNAMED_IDLE_LIMIT: Duration = Duration::from_millis(800);
/// Part of the named idle time that is used, so that a request doesn't cross the close.
const IDLE_SHARE: f64 = 0.6;
/// Longest time for which an idle connection is kept.
const MAX_IDLE: Duration = Duration::from_secs(60);
/// Idle connections that are kept for one upstream.
const MAX_IDLE_PER_UPSTREAM: usize = 16;

/// Sends requests on a connection to an upstream, one at a time.
pub(super) type Sender = SendRequest<Full<Bytes>>;

#[derive(Debug)]
struct Idle {
    sender: Sender,
    usable_until: Now,
}

/// Idle connections by upstream.
#[derive(Debug, Default)]
pub(super) struct Pool {
    idle: Mutex<BTreeMap<UpstreamId, Vec<Idle>>>,
}

impl Pool {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// If the upstream refuses or does not answer in time.
    pub(super) async fn open(upstream: &Upstream) -> io::Result<Sender> {
        let stream = connect(upstream.address).await?;
        reset_on_close(&stream);
        let (sender, connection) = http1::Builder::new()
            .handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("a connection to an upstream ended with an error: {error}");
            }
        });
        Ok(sender)
    }

    /// Keeps a connection whose answer ended exactly, as long as the upstream does.
    pub(super) fn keep(&self, now: Now, upstream: &str, sender: Sender, limit: Option<Duration>) {
        if sender.is_closed() {
            return;
        }
        let limit = limit.map_or(UNNAMED_IDLE_LIMIT, |l| l.mul_f64(IDLE_SHARE).min(MAX_IDLE));
        let mut idle = self.lock();
        let kept = idle.entry(upstream.to_owned()).or_default();
        if kept.len() >= MAX_IDLE_PER_UPSTREAM {
            kept.remove(0);
        }
        kept.push(Idle {
            sender,
            usable_until: now + limit,
        });
    }

    /// Closes connections that are idle for too long or go to upstreams that left.
    pub(super) fn sweep(&self, now: Now, known: impl Fn(&str) -> bool) {
        self.lock().retain(|upstream, kept| {
            kept.retain(|i| now < i.usable_until && !i.sender.is_closed());
            !kept.is_empty() && known(upstream)
        });
    }

    /// An idle connection, if there is one that can be used.
    pub(super) fn take(&self, now: Now, upstream: &str) -> Option<Sender> {
        let mut idle = self.lock();
        let kept = idle.get_mut(upstream)?;
        while let Some(connection) = kept.pop() {
            let usable = now < connection.usable_until && connection.sender.is_ready();
            if usable {
                return Some(connection.sender);
            }
        }
        None
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<UpstreamId, Vec<Idle>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Idle time that an answer names, if any.
pub(super) fn idle_limit(headers: &HeaderMap) -> Option<Duration> {
    let named = headers.get("keep-alive")?.to_str().ok()?;
    let timeout = named
        .split(',')
        .find_map(|p| p.trim().strip_prefix("timeout="))?;
    timeout.trim().parse().ok().map(Duration::from_secs)
}
