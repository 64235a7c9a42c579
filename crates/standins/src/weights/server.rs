//! Builder, handle and HTTP side of the weight store.

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

use super::rate::Pace;
use crate::http_util::{Body, Hangup, answer, decode, empty};
use crate::server::{BoundServer, Handler, Server, StartError};

const WEIGHTS: &str = "/v1/weights/";
/// Bytes that are sent at once.
const CHUNK_BYTES: usize = 64 << 10;

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counters {
    /// Downloads that began.
    pub downloads: u64,
    /// Downloads that were sent as a whole.
    pub finished: u64,
    /// Downloads that were refused because too many ran.
    pub refused: u64,
    /// Bytes sent.
    pub bytes: u64,
    /// Downloads that run now.
    pub running: u64,
    /// Most downloads that ran at once.
    pub peak_running: u64,
}

/// Bytes of a weight: a pattern that differs by name.
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

/// Settings of a weight store.
#[derive(Clone, Debug)]
pub struct WeightStoreBuilder {
    sizes: BTreeMap<String, usize>,
    default_bytes: Option<usize>,
    bytes_per_s: u64,
    max_downloads: u64,
}

impl Default for WeightStoreBuilder {
    fn default() -> Self {
        Self {
            sizes: BTreeMap::new(),
            default_bytes: None,
            bytes_per_s: 100 << 20,
            max_downloads: 64,
        }
    }
}

impl WeightStoreBuilder {
    /// Adds a weight.
    #[must_use]
    pub fn weight(mut self, name: &str, size_bytes: usize) -> Self {
        self.sizes.insert(name.to_owned(), size_bytes);
        self
    }

    /// Size of each weight that was not added; without it they don't exist.
    #[must_use]
    pub fn default_bytes(self, size_bytes: usize) -> Self {
        Self {
            default_bytes: Some(size_bytes),
            ..self
        }
    }

    /// Bytes a second over all downloads; 100 MiB by default.
    #[must_use]
    pub fn bytes_per_s(self, bytes_per_s: u64) -> Self {
        Self {
            bytes_per_s,
            ..self
        }
    }

    /// Downloads at once, above which new ones are refused with status 429; 64 by default.
    #[must_use]
    pub fn max_downloads(self, max_downloads: u64) -> Self {
        Self {
            max_downloads,
            ..self
        }
    }

    /// Starts the store. It must be called inside a tokio runtime.
    ///
    /// # Errors
    /// No port on loopback could be bound.
    pub fn start(self) -> Result<WeightStore, StartError> {
        let bound = BoundServer::new()?;
        let state = State {
            pace: Pace::new(self.bytes_per_s),
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

/// A running weight store.
pub struct WeightStore {
    shared: Arc<Shared>,
    server: Server,
}

impl WeightStore {
    /// A builder with default settings.
    #[must_use]
    pub fn builder() -> WeightStoreBuilder {
        WeightStoreBuilder::default()
    }

    /// Address of the store.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Counts since the start.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.shared.lock().counters
    }

    /// Changes the rate, in bytes a second over all downloads.
    pub fn set_bytes_per_s(&self, bytes_per_s: u64) {
        self.shared.lock().pace = Pace::new(bytes_per_s);
    }

    /// Closes all connections and refuses new ones.
    pub async fn kill(&self) {
        self.server.control().stop().await;
    }

    /// Starts a killed store under the same address.
    pub async fn restart(&self) {
        self.server.control().start().await;
    }

    /// Ends the store.
    pub async fn close(self) {
        self.server.close().await;
    }
}

struct State {
    pace: Pace,
    counters: Counters,
}

struct Shared {
    settings: WeightStoreBuilder,
    started: Instant,
    state: Mutex<State>,
}

impl Shared {
    /// Locks the state. A panic of another holder leaves it usable.
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
    let name = req.uri().path().strip_prefix(WEIGHTS).map(decode);
    let Some(name) = name.filter(|_| req.method() == Method::GET) else {
        return empty(StatusCode::NOT_FOUND);
    };
    let size = shared.settings.sizes.get(&name).copied();
    let Some(size) = size.or(shared.settings.default_bytes) else {
        return empty(StatusCode::NOT_FOUND);
    };
    match Download::begin(shared, content(&name, size)) {
        Some(download) => stream_response(size, download),
        None => too_many(),
    }
}

fn too_many() -> Response<Body> {
    let mut response = answer(StatusCode::TOO_MANY_REQUESTS, "too many downloads");
    let seconds = HeaderValue::from_static("1");
    response.headers_mut().insert(RETRY_AFTER, seconds);
    response
}

fn stream_response(size_bytes: usize, download: Download) -> Response<Body> {
    let chunks = stream::unfold(download, |mut download| async move {
        let chunk = download.next().await?;
        Some((Ok::<_, Hangup>(Frame::data(chunk)), download))
    });
    let mut response = Response::new(StreamBody::new(chunks).boxed_unsync());
    let length = HeaderValue::from(size_bytes);
    response.headers_mut().insert(CONTENT_LENGTH, length);
    response
}

/// A download that runs. It ends when its stream is dropped, which is how a
/// closed connection shows.
struct Download {
    shared: Arc<Shared>,
    left: Bytes,
}

impl Download {
    /// Begins a download unless too many run.
    fn begin(shared: &Arc<Shared>, left: Bytes) -> Option<Self> {
        let counters = &mut shared.lock().counters;
        if counters.running >= shared.settings.max_downloads {
            counters.refused += 1;
            return None;
        }
        counters.downloads += 1;
        counters.running += 1;
        counters.peak_running = counters.peak_running.max(counters.running);
        let shared = shared.clone();
        Some(Self { shared, left })
    }

    async fn next(&mut self) -> Option<Bytes> {
        if self.left.is_empty() {
            return None;
        }
        let chunk = self.left.split_to(CHUNK_BYTES.min(self.left.len()));
        let now = self.shared.started.elapsed();
        let at = self.shared.lock().pace.reserve(now, chunk.len());
        tokio::time::sleep_until(self.shared.started + at).await;
        self.shared.lock().counters.bytes += chunk.len() as u64;
        Some(chunk)
    }
}

impl Drop for Download {
    fn drop(&mut self) {
        let counters = &mut self.shared.lock().counters;
        counters.running -= 1;
        counters.finished += u64::from(self.left.is_empty());
    }
}
