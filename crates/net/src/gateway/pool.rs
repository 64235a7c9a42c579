//! Pool of idle connections to upstreams.
//!
//! A connection carries one request at a time and returns to the pool only after a complete
//! answer. Bytes that arrive on an idle connection close it. A duplicate answer to an earlier
//! request can therefore be taken for the answer to a later one only if it arrives while the later
//! request runs; the request id that answers echo distinguishes the two.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use eelgrasshold_core::gateway::registry::{Upstream, UpstreamId};
use eelgrasshold_core::types::Now;
use http::{HeaderMap, HeaderValue, header};

use crate::connect::{connect, reset_on_close};
use crate::http::{Sender, handshake};

/// Idle timeout if the upstream announces none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(800);
/// Share of the announced idle timeout that is used, so that no request is sent while the upstream
/// closes the connection.
const IDLE_TIMEOUT_SHARE: f64 = 0.6;
/// Upper limit of the idle timeout.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Maximum number of idle connections to one upstream; a further one replaces the oldest.
const MAX_IDLE_PER_UPSTREAM: usize = 16;

#[derive(Debug)]
struct IdleConnection {
    upstream: Upstream,
    sender: Sender,
    usable_until: Now,
}

/// Idle connections by upstream.
#[derive(Debug, Default)]
pub(super) struct Pool {
    idle: Mutex<BTreeMap<UpstreamId, Vec<IdleConnection>>>,
}

impl Pool {
    /// Opens a connection to an upstream.
    ///
    /// # Errors
    ///
    /// If the upstream refuses the connection or does not accept it in time.
    pub(super) async fn open(address: SocketAddr) -> io::Result<Sender> {
        let stream = connect(address).await?;
        reset_on_close(&stream);
        handshake(stream).await.map_err(io::Error::other)
    }

    /// Adds a connection after a complete answer. `limit` is the idle timeout that the upstream
    /// announced; zero if it closes the connection.
    pub(super) fn keep(
        &self,
        now: Now,
        upstream: &Upstream,
        sender: Sender,
        limit: Option<Duration>,
    ) {
        let limit = limit.map_or(DEFAULT_IDLE_TIMEOUT, |l| {
            l.mul_f64(IDLE_TIMEOUT_SHARE).min(MAX_IDLE_TIMEOUT)
        });
        if limit.is_zero() {
            return;
        }
        let mut idle = self.lock();
        let connections = idle.entry(upstream.id.clone()).or_default();
        if connections.len() >= MAX_IDLE_PER_UPSTREAM {
            connections.remove(0);
        }
        connections.push(IdleConnection {
            upstream: upstream.clone(),
            sender,
            usable_until: now + limit,
        });
    }

    /// Closes connections past their idle timeout and those to upstreams that are not `known`. Returns the
    /// upstreams that closed connections before that, by id.
    pub(super) fn sweep(
        &self,
        now: Now,
        known: impl Fn(&str) -> bool,
    ) -> BTreeMap<UpstreamId, Upstream> {
        let mut closed = BTreeMap::new();
        self.lock().retain(|id, connections| {
            connections.retain(|i| now < i.usable_until);
            for idle in connections.extract_if(.., |i| i.sender.is_closed()) {
                closed.insert(id.clone(), idle.upstream);
            }
            !connections.is_empty() && known(id)
        });
        closed
    }

    /// Takes a usable idle connection to an upstream, if there is one.
    pub(super) fn take(&self, now: Now, upstream: &str) -> Option<Sender> {
        let mut idle = self.lock();
        let connections = idle.get_mut(upstream)?;
        while let Some(connection) = connections.pop() {
            let usable = now < connection.usable_until && connection.sender.is_ready();
            if usable {
                return Some(connection.sender);
            }
        }
        None
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<UpstreamId, Vec<IdleConnection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Timeout in the `keep-alive` header of an answer, if any; zero if the answer says that the connection is
/// closed.
pub(super) fn idle_limit(headers: &HeaderMap) -> Option<Duration> {
    let mut options = headers.get_all(header::CONNECTION).iter();
    let closes = |o: &HeaderValue| o.as_bytes().eq_ignore_ascii_case(b"close");
    if options.any(closes) {
        return Some(Duration::ZERO);
    }
    let keep_alive = headers.get("keep-alive")?.to_str().ok()?;
    let timeout = keep_alive
        .split(',')
        .find_map(|p| p.trim().strip_prefix("timeout="))?;
    timeout.trim().parse().ok().map(Duration::from_secs)
}
