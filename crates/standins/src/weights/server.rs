//! Builder, handle and HTTP handler of the weight store.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use futures::stream;
use http::header::{CONTENT_LENGTH, RETRY_AFTER};
use http::{HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use serde::Serialize;
use tokio::time::Instant;

use super::rate::RateLimiter;
use crate::http_util::{Body, Hangup, answer, decode, empty};
use crate::server::{BoundServer, Handler, Server, StartError};

const WEIGHTS_PATH: &str = "/v1/weights/";
/// Size of the chunks in which a download is sent and charged to the rate limit.
const CHUNK_BYTES: usize = 64 << 10;

/// Counters since the start of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counters {
    /// Downloads started; refused ones are not included.
    pub downloads: u64,
    /// Downloads sent completely.
    pub finished: u64,
    /// Downloads refused because of the limit on concurrent downloads.
    pub refused: u64,
    /// Bytes sent, including those of interrupted downloads.
    pub bytes: u64,
    /// Downloads in progress.
    pub running: u64,
    /// Maximum number of downloads that were in progress at once.
    pub peak_running: u64,
}

/// Content of a weight: an 8-byte pattern derived from the name, repeated up to the size.
#[must_use]
pub fn content(name: &str, size_bytes: usize) -> Bytes {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    let pattern = hasher.finish().to_le_bytes();
    pattern
        .iter()
        .copied()
        .cycle()
        .take(size_bytes)
        .collect::<Vec<u8>>()
        .into()
}

/// Configures and starts a [`WeightStore`].
#[derive(Clone, Debug)]
pub struct WeightStoreBuilder {
    sizes: BTreeMap<String, usize>,
    default_size_bytes: Option<usize>,
    bytes_per_s: u64,
    max_downloads: u64,
}

impl Default for WeightStoreBuilder {
    fn default() -> Self {
        Self {
            sizes: BTreeMap::new(),
            default_size_bytes: None,
            bytes_per_s: 100 << 20,
            max_downloads: 64,
        }
    }
}

impl WeightStoreBuilder {
    /// Adds a weight, replacing one with the same name.
    #[must_use]
    pub fn weight(mut self, name: &str, size_bytes: usize) -> Self {
        self.sizes.insert(name.to_owned(), size_bytes);
        self
    }

    /// Serves weights that were not added with this size; without it they get status 404.
    #[must_use]
    pub fn default_size_bytes(self, size_bytes: usize) -> Self {
        Self {
            default_size_bytes: Some(size_bytes),
            ..self
        }
    }

    /// Total rate of all downloads, in bytes per second; 100 MiB/s by default.
    #[must_use]
    pub fn bytes_per_s(self, bytes_per_s: u64) -> Self {
        Self {
            bytes_per_s,
            ..self
        }
    }

    /// Maximum number of concurrent downloads; further ones are refused with status 429. 64 by
    /// default.
    #[must_use]
    pub fn max_downloads(self, max_downloads: u64) -> Self {
        Self {
            max_downloads,
            ..self
        }
    }

    /// Binds a port on loopback and starts the store. Must be called inside a tokio runtime.
    ///
    /// # Errors
    /// Returns an error if no port on loopback can be bound.
    pub fn start(self) -> Result<WeightStore, StartError> {
        let bound = BoundServer::new()?;
        let state = State {
            limiter: RateLimiter::new(self.bytes_per_s),
            counters: Counters::default(),
        };
        let shared = Arc::new(Shared {
            settings: self,
            started: Instant::now(),
            state: Mutex::new(state),
        });
        let server = bound.serve(handler(&shared));
        Ok(WeightStore { shared, server })
    }
}

/// Handle of a running weight store.
pub struct WeightStore {
    shared: Arc<Shared>,
    server: Server,
}

impl WeightStore {
    /// Returns a builder with default settings.
    #[must_use]
    pub fn builder() -> WeightStoreBuilder {
        WeightStoreBuilder::default()
    }

    /// Address of the HTTP server; it stays the same after a restart.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Counters since the start; [`Self::kill`] doesn't reset them.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.shared.lock().counters
    }

    /// Changes the total rate of all downloads, in bytes per second. Reserved chunks keep their
    /// times.
    pub fn set_bytes_per_s(&self, bytes_per_s: u64) {
        self.shared.lock().limiter = RateLimiter::new(bytes_per_s);
    }

    /// Closes all connections and refuses new ones.
    pub async fn kill(&self) {
        self.server.control().stop().await;
    }

    /// Starts a killed store on the same address.
    pub async fn restart(&self) {
        self.server.control().start().await;
    }

    /// Stops the server and closes all connections.
    pub async fn close(self) {
        self.server.close().await;
    }
}

struct State {
    limiter: RateLimiter,
    counters: Counters,
}

struct Shared {
    settings: WeightStoreBuilder,
    started: Instant,
    state: Mutex<State>,
}

impl Shared {
    /// Locks the state, also after a panic of another holder.
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn handler(shared: &Arc<Shared>) -> Handler {
    let shared = shared.clone();
    Arc::new(move |req| {
        let response = handle(&shared, &req);
        Box::pin(async move { Ok(response) })
    })
}

fn handle(shared: &Arc<Shared>, req: &Request<Incoming>) -> Response<Body> {
    let name = req.uri().path().strip_prefix(WEIGHTS_PATH).map(decode);
    let Some(name) = name.filter(|_| req.method() == Method::GET) else {
        return empty(StatusCode::NOT_FOUND);
    };
    let size = shared.settings.sizes.get(&name).copied();
    let Some(size) = size.or(shared.settings.default_size_bytes) else {
        return empty(StatusCode::NOT_FOUND);
    };
    match Download::begin(shared, content(&name, size)) {
        Some(download) => stream_response(size, download),
        None => too_many_downloads(),
    }
}

fn too_many_downloads() -> Response<Body> {
    let mut response = answer(StatusCode::TOO_MANY_REQUESTS, "too many downloads");
    let seconds = HeaderValue::from_static("1");
    response.headers_mut().insert(RETRY_AFTER, seconds);
    response
}

fn stream_response(size_bytes: usize, download: Download) -> Response<Body> {
    let chunks = stream::unfold(download, |mut download| async move {
        let chunk = download.next_chunk().await?;
        Some((Ok::<_, Hangup>(Frame::data(chunk)), download))
    });
    let mut response = Response::new(StreamBody::new(chunks).boxed_unsync());
    let length = HeaderValue::from(size_bytes);
    response.headers_mut().insert(CONTENT_LENGTH, length);
    response
}

/// A download in progress. It ends when its stream is dropped, which hyper does when the
/// connection closes.
struct Download {
    shared: Arc<Shared>,
    remaining: Bytes,
}

impl Download {
    /// Starts a download unless the limit on concurrent downloads is reached.
    fn begin(shared: &Arc<Shared>, remaining: Bytes) -> Option<Self> {
        let counters = &mut shared.lock().counters;
        if counters.running >= shared.settings.max_downloads {
            counters.refused += 1;
            return None;
        }
        counters.downloads += 1;
        counters.running += 1;
        counters.peak_running = counters.peak_running.max(counters.running);
        let shared = shared.clone();
        Some(Self { shared, remaining })
    }

    async fn next_chunk(&mut self) -> Option<Bytes> {
        if self.remaining.is_empty() {
            return None;
        }
        let chunk = self
            .remaining
            .split_to(CHUNK_BYTES.min(self.remaining.len()));
        let now = self.shared.started.elapsed();
        let at = self.shared.lock().limiter.reserve(now, chunk.len());
        tokio::time::sleep_until(self.shared.started + at).await;
        self.shared.lock().counters.bytes += chunk.len() as u64;
        Some(chunk)
    }
}

impl Drop for Download {
    fn drop(&mut self) {
        let counters = &mut self.shared.lock().counters;
        counters.running -= 1;
        counters.finished += u64::from(self.remaining.is_empty());
    }
}
