//! Client of the platform's object API.
//!
//! One client serves all platforms; a [`Dialect`] writes the calls of one and reads its answers.

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
use http::Response;
use hyper::body::Incoming;

use crate::http::{Client, collect, full, plain_client};
use crate::runtime::Clock;

/// Largest answer about a kind, in bytes: a page or a batch of changes of full-size objects.
const MAX_KIND_REPLY_BYTES: usize = 16 << 20;
/// Longest time that the platform may take to answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time that a watch waits on the platform's side.
const WATCH_TIMEOUT: Duration = Duration::from_secs(30);

/// The platform's object API at one address, behind a budget and a circuit breaker.
#[derive(Clone, Debug)]
pub struct Platform {
    base: String,
    client: Client,
    clock: Clock,
    policy: Arc<Mutex<PlatformPolicy>>,
    calls: Arc<AtomicU64>,
    dialect: Dialect,
}

impl Platform {
    /// A client of the API at a base address such as `http://127.0.0.1:7000`.
    #[must_use]
    pub fn new(base: &str, clock: Clock, limits: PlatformLimits, seed: u64) -> Self {
        Self {
            base: base.trim_end_matches('/').to_owned(),
            client: plain_client(),
            clock,
            policy: Arc::new(Mutex::new(PlatformPolicy::new(limits, seed))),
            calls: Arc::default(),
            dialect: Dialect::native(),
        }
    }

    /// The same client for another platform's dialect.
    #[must_use]
    pub fn with_dialect(self, dialect: Dialect) -> Self {
        Self { dialect, ..self }
    }

    /// A client for one command of an operator, which may read and write all shards at once.
    #[must_use]
    pub fn for_operator(base: &str) -> Self {
        let limits = PlatformLimits {
            calls_per_s: 50.0,
            burst: 2_000.0,
            ..PlatformLimits::default()
        };
        Self::new(base, Clock::start(), limits, rand::random())
    }

    /// Calls that were made.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Makes a call. A write without an answer comes back as [`Reply::Lost`]; a call that the
    /// budget or the breaker refuses comes back as [`Reply::Unavailable`] at once.
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

    /// Makes a call about a kind of objects.
    pub async fn call_kind(&self, call: &KindCall) -> KindReply {
        let failed = |reason: String| KindReply::Failed { reason };
        if self.lock_policy().try_acquire(self.clock.now()).is_err() {
            return failed("the budget of calls is spent".to_owned());
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
            KindCall::Watch { wait, .. } => *wait + CALL_TIMEOUT,
            KindCall::List { .. } => CALL_TIMEOUT,
        };
        let request = match (self.dialect.kind_request)(&self.base, call) {
            Ok(request) => request.map(full),
            Err(error) => return failed(format!("the call can't be written: {error}")),
        };
        match tokio::time::timeout(limit, self.client.request(request)).await {
            Ok(Ok(response)) => match read_response(response, MAX_KIND_REPLY_BYTES).await {
                Some(response) => (self.dialect.kind_reply)(call, &response),
                None => failed("the answer broke off".to_owned()),
            },
            Ok(Err(error)) => failed(format!("no answer: {error}")),
            Err(_) => failed(format!("no answer within {limit:?}")),
        }
    }

    async fn send(&self, call: &Call) -> Reply {
        let limit = match call {
            Call::Watch { .. } => WATCH_TIMEOUT + CALL_TIMEOUT,
            _ => CALL_TIMEOUT,
        };
        let request = match (self.dialect.object_request)(&self.base, call) {
            Ok(request) => request.map(full),
            Err(error) => {
                log::warn!("a call to the platform can't be written: {error}");
                return Reply::Unavailable;
            }
        };
        match tokio::time::timeout(limit, self.client.request(request)).await {
            Ok(Ok(response)) => match read_response(response, MAX_VALUE_BYTES).await {
                Some(response) => (self.dialect.object_reply)(call, &response),
                None => Reply::Lost,
            },
            Ok(Err(error)) if error.is_connect() => Reply::Unavailable,
            Ok(Err(_)) | Err(_) => Reply::Lost,
        }
    }

    fn lock_policy(&self) -> MutexGuard<'_, PlatformPolicy> {
        self.policy.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The response with its body; none if that broke off or is too large.
async fn read_response(response: Response<Incoming>, limit: usize) -> Option<Response<Bytes>> {
    let (parts, body) = response.into_parts();
    let body = collect(body, limit, CALL_TIMEOUT).await.ok()?;
    Some(Response::from_parts(parts, body))
}
