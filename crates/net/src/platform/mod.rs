//! Client of the platform's object API.

mod config;

pub use config::{ReadError, publish_config, read_config};

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use eelgrasshold_core::fleet::platform_policy::{PlatformLimits, PlatformPolicy};
use eelgrasshold_core::platform::{Call, Condition, MAX_VALUE_BYTES, Reply, Version};
use http::{HeaderName, Method, Request, Response, StatusCode, header};
use hyper::body::Incoming;

use crate::http::{Client, collect, empty, full, plain_client};
use crate::runtime::Clock;
use crate::wire::headers;

/// Version of an object, in answers.
const VERSION: HeaderName = HeaderName::from_static("x-version");
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
        }
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
        if self.lock_policy().ask(self.clock.now()).is_err() {
            return Reply::Unavailable;
        }
        self.calls.fetch_add(1, Ordering::Relaxed);
        let reply = self.send(call).await;
        let answered = !matches!(reply, Reply::Unavailable | Reply::Lost);
        self.lock_policy().report(self.clock.now(), answered);
        reply
    }

    async fn send(&self, call: &Call) -> Reply {
        let limit = match call {
            Call::Watch { .. } => WATCH_TIMEOUT + CALL_TIMEOUT,
            _ => CALL_TIMEOUT,
        };
        let Some(request) = self.request(call) else {
            return Reply::Unavailable;
        };
        match tokio::time::timeout(limit, self.client.request(request)).await {
            Ok(Ok(response)) => read_reply(call, response).await,
            Ok(Err(error)) if error.is_connect() => Reply::Unavailable,
            Ok(Err(_)) | Err(_) => Reply::Lost,
        }
    }

    fn lock_policy(&self) -> MutexGuard<'_, PlatformPolicy> {
        self.policy.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn request(&self, call: &Call) -> Option<Request<crate::http::Body>> {
        let object = |key: &str| format!("{}/v1/objects/{key}", self.base);
        let builder = Request::builder();
        let request = match call {
            Call::Get { key } => builder.uri(object(key)).body(empty()),
            Call::Put {
                key,
                value,
                condition,
            } => {
                let builder = builder.method(Method::PUT).uri(object(key));
                let builder = match condition {
                    Condition::Absent => builder.header(header::IF_NONE_MATCH, "*"),
                    Condition::Version(v) => builder.header(header::IF_MATCH, v.to_string()),
                };
                builder.body(full(value.clone()))
            }
            Call::Delete { key, version } => builder
                .method(Method::DELETE)
                .uri(object(key))
                .header(header::IF_MATCH, version.to_string())
                .body(empty()),
            Call::Watch { key, after } => {
                let timeout_ms = WATCH_TIMEOUT.as_millis();
                let uri = format!("{}?watch={after}&timeout_ms={timeout_ms}", object(key));
                builder.uri(uri).body(empty())
            }
        };
        request.ok()
    }
}

async fn read_reply(call: &Call, response: Response<Incoming>) -> Reply {
    let is_write = matches!(call, Call::Put { .. } | Call::Delete { .. });
    let version = headers::parsed::<Version>(response.headers(), &VERSION)
        .ok()
        .flatten();
    let version = version.unwrap_or(0);
    match response.status() {
        StatusCode::NOT_FOUND => Reply::Missing,
        StatusCode::NOT_MODIFIED => Reply::Unchanged,
        StatusCode::PRECONDITION_FAILED => Reply::Conflict { version },
        StatusCode::TOO_MANY_REQUESTS | StatusCode::PAYLOAD_TOO_LARGE => Reply::Unavailable,
        status if status.is_success() && is_write => Reply::Written { version },
        status if status.is_success() => {
            let value = collect(response.into_body(), MAX_VALUE_BYTES, CALL_TIMEOUT).await;
            value.map_or(Reply::Lost, |value: Bytes| Reply::Object {
                version,
                value: value.into(),
            })
        }
        // Other errors don't say whether a write took effect.
        _ => Reply::Lost,
    }
}
