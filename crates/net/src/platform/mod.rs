//! Client of the platform's object API.
//!
//! One client serves all platforms; a [`Dialect`] encodes the calls and decodes the answers of one.

mod config;
mod dialect;

pub use config::{ReadError, publish_config, read_config};
pub use dialect::Dialect;

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use eelgrasshold_core::fleet::platform_policy::{PlatformLimits, PlatformPolicy};
use eelgrasshold_core::platform::{Call, KindCall, KindReply, MAX_VALUE_BYTES, Reply};
use http::{Request, Response};
use hyper_util::client::legacy;

use crate::http::{Body, Client, collect, full, store_client};
use crate::runtime::Clock;

/// Largest answer to a call about a kind, in bytes: a page or a batch of changes with objects of
/// full size.
const MAX_KIND_REPLY_BYTES: usize = 16 << 20;
/// Time limit of a call; for a watch of an object, in addition to the time for which the platform
/// holds it.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time limit of a list of a kind.
const LIST_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Time limit of a watch of a kind, beyond the time for which the platform holds it.
const WATCH_MARGIN: Duration = Duration::from_millis(700);
/// Time that the platform holds a watch of an unchanged object.
const WATCH_TIMEOUT: Duration = Duration::from_secs(30);

/// Client of the platform's object API, with a rate limit and a circuit breaker.
///
/// Clones share both.
#[derive(Clone, Debug)]
pub struct Platform {
    base: String,
    client: Arc<Mutex<Client>>,
    clock: Clock,
    policy: Arc<Mutex<PlatformPolicy>>,
    calls: Arc<AtomicU64>,
    dialect: Dialect,
}

impl Platform {
    /// Creates a client of the API at a base URL such as `http://127.0.0.1:7000`.
    #[must_use]
    pub fn new(base: &str, clock: Clock, limits: PlatformLimits, seed: u64) -> Self {
        Self {
            base: base.trim_end_matches('/').to_owned(),
            client: Arc::new(Mutex::new(store_client())),
            clock,
            policy: Arc::new(Mutex::new(PlatformPolicy::new(limits, seed))),
            calls: Arc::default(),
            dialect: Dialect::native(),
        }
    }

    /// Replaces the dialect, which is [`Dialect::native`] by default.
    #[must_use]
    pub fn with_dialect(self, dialect: Dialect) -> Self {
        Self { dialect, ..self }
    }

    /// Creates a client for one command of an operator. Its rate limit lets the command read and
    /// write all shards in one burst.
    #[must_use]
    pub fn for_operator(base: &str) -> Self {
        let limits = PlatformLimits {
            calls_per_s: 50.0,
            burst: 2_000.0,
            ..PlatformLimits::default()
        };
        Self::new(base, Clock::start(), limits, rand::random())
    }

    /// Number of calls sent to the platform, without those that the rate limit or the breaker
    /// refused.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Makes a call about one object. Returns [`Reply::Lost`] if no usable answer came, in which
    /// case a write may have taken effect, and [`Reply::Unavailable`] if the call can't have had an
    /// effect, for instance because the rate limit or the breaker refused it.
    pub async fn call(&self, call: &Call) -> Reply {
        if self.lock_policy().try_acquire(self.clock.now()).is_err() {
            return Reply::Unavailable;
        }
        self.calls.fetch_add(1, Ordering::Relaxed);
        let reply = self.send(call).await;
        let answered = !matches!(reply, Reply::Unavailable | Reply::Lost);
        self.lock_policy().report(self.clock.now(), answered);
        reply
    }

    /// Makes a call about a kind of objects. All errors are returned as [`KindReply::Failed`].
    pub async fn call_kind(&self, call: &KindCall) -> KindReply {
        let failed = |reason: String| KindReply::Failed { reason };
        if self.lock_policy().try_acquire(self.clock.now()).is_err() {
            return failed("the rate limit or the circuit breaker refused the call".to_owned());
        }
        self.calls.fetch_add(1, Ordering::Relaxed);
        let reply = self.send_kind(call).await;
        let answered = !matches!(reply, KindReply::Failed { .. });
        self.lock_policy().report(self.clock.now(), answered);
        reply
    }

    async fn send_kind(&self, call: &KindCall) -> KindReply {
        let failed = |reason: String| KindReply::Failed { reason };
        let limit = match call {
            KindCall::Watch { wait, .. } => *wait + WATCH_MARGIN,
            KindCall::List { .. } => LIST_TIMEOUT,
        };
        let request = match (self.dialect.kind_request)(&self.base, call) {
            Ok(request) => request.map(full),
            Err(error) => return failed(format!("can't build the request: {error}")),
        };
        let calling = self.exchange(request, MAX_KIND_REPLY_BYTES);
        match tokio::time::timeout(limit, calling).await {
            Ok(Ok(Some(response))) => (self.dialect.kind_reply)(call, &response),
            Ok(Ok(None)) => failed("the answer is truncated or too large".to_owned()),
            Ok(Err(error)) => failed(format!("no answer: {error}")),
            Err(_) => {
                self.drop_idle_connections();
                failed(format!("no answer within {limit:?}"))
            }
        }
    }

    /// Makes later calls open new connections. Where one is silent, the others that were open then
    /// may be, too.
    fn drop_idle_connections(&self) {
        *self.lock_client() = store_client();
    }

    async fn send(&self, call: &Call) -> Reply {
        let limit = match call {
            Call::Watch { .. } => WATCH_TIMEOUT + CALL_TIMEOUT,
            _ => CALL_TIMEOUT,
        };
        let request = match (self.dialect.object_request)(&self.base, call) {
            Ok(request) => request.map(full),
            Err(error) => {
                log::warn!("can't build a request to the platform: {error}");
                return Reply::Unavailable;
            }
        };
        let calling = self.exchange(request, MAX_VALUE_BYTES);
        match tokio::time::timeout(limit, calling).await {
            Ok(Ok(Some(response))) => (self.dialect.object_reply)(call, &response),
            Ok(Err(error)) if error.is_connect() => Reply::Unavailable,
            Ok(Ok(None) | Err(_)) => Reply::Lost,
            Err(_) => {
                self.drop_idle_connections();
                Reply::Lost
            }
        }
    }

    /// Sends a request and reads the whole response; `None` if that is truncated or larger than
    /// `max_bytes`. One time limit has to hold for both.
    async fn exchange(
        &self,
        request: Request<Body>,
        max_bytes: usize,
    ) -> Result<Option<Response<Bytes>>, legacy::Error> {
        let client = self.lock_client().clone();
        let response = client.request(request).await?;
        let (parts, body) = response.into_parts();
        let body = collect(body, max_bytes, CALL_TIMEOUT).await.ok();
        Ok(body.map(|b| Response::from_parts(parts, b)))
    }

    fn lock_client(&self) -> MutexGuard<'_, Client> {
        self.client.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_policy(&self) -> MutexGuard<'_, PlatformPolicy> {
        self.policy.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
