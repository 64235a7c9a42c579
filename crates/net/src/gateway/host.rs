//! Start and shutdown of a gateway.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;

use bytes::Bytes;
use eelgrasshold_core::event::{Event, EventKind};
use eelgrasshold_core::fleet::platform_policy::PlatformLimits;
use eelgrasshold_core::gateway::concurrency::PauseControl;
use eelgrasshold_core::gateway::evacuations::Evacuations;
use eelgrasshold_core::gateway::peers::{PeerRecord, PeerState, Peers};
use eelgrasshold_core::gateway::stopping::Shutdown;
use eelgrasshold_core::gateway::{Gateway, GatewaySettings};
use eelgrasshold_core::types::Now;
use eelgrasshold_platform::callers::{READY_PATH, RESOLVE_PATH};
use eelgrasshold_platform::store;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::buffer::AnswerBuffers;
use super::copies::Copies;
use super::ends::EndChecks;
use super::metrics::{GatewayMetrics, open_descriptors, resident_bytes};
use super::permits::Permits;
use super::pool::Pool;
use super::shared::Shared;
use super::turns::Turns;
use super::{GatewayOptions, callers, directory, follow, gossip, load_reports, pulls, quarantine};
use crate::connect::{ACCEPT_RETRY_DELAY, ConnectionTasks, detect_dead_peer};
use crate::host::{Drained, StartError, new_incarnation};
use crate::http::{Body, HeldBytes};
use crate::metrics::Metrics;
use crate::platform::{Dialect, Platform};
use crate::runtime::{Clock, Timeline};

/// Longest time for the headers of requests about addresses, readiness or metrics to arrive.
const HEADER_TIMEOUT: Duration = Duration::from_secs(30);
/// Largest total size of those headers, in bytes.
const HEADER_BYTES: usize = 16 << 10;
/// Connections to one of the listeners for addresses, readiness and metrics; one more closes the oldest. All
/// three together are within the descriptors that the process reserves.
const MAX_PATH_CONNECTIONS: usize = 48;
/// Time after the start of a shutdown in which new connections are still accepted, since callers
/// may use resolved addresses until their validity ends; with a margin.
const SERVE_WHILE_DRAINING: Duration = Duration::from_millis(3_500);
/// Time for the last bytes of responses to be written to the sockets, and for connections on which
/// no request arrives to be closed.
const FLUSH_TIME: Duration = Duration::from_millis(800);
/// Number of failures that keeps the client's circuit breaker closed: the watches of the store
/// have a backoff of their own.
const BREAKER_DISABLED: u32 = u32::MAX;

/// A running gateway.
#[derive(Debug)]
pub struct GatewayHost {
    shared: Arc<Shared>,
    tasks: Vec<JoinHandle<()>>,
    closing: CancellationToken,
    callers: SocketAddr,
    directory: SocketAddr,
    ready: SocketAddr,
}

impl GatewayHost {
    /// Binds the listeners and starts the tasks of the host.
    ///
    /// # Errors
    ///
    /// If a listener can't be bound.
    pub async fn start(mut options: GatewayOptions) -> Result<Self, StartError> {
        let callers = bind(options.callers).await?;
        let ready = bind(options.ready).await?;
        let directory = bind(options.directory).await?;
        let (links, peers) = bind_peers(options.peers).await?;
        options.callers = callers.local_addr().unwrap_or(options.callers);
        options.ready = ready.local_addr().unwrap_or(options.ready);
        options.directory = directory.local_addr().unwrap_or(options.directory);
        options.peers = peers.local_addr().unwrap_or(options.peers);
        let metrics = Metrics::new()?;
        let clock = Clock::start();
        let peers = Arc::new(peers);
        let permits = Permits::new(Arc::clone(&peers));
        let shared = Arc::new(shared(options, clock, &metrics, permits));
        register_gauges(&metrics, &shared);
        let closing = CancellationToken::new();
        let mut tasks = vec![
            tokio::spawn(follow::configuration(Arc::clone(&shared))),
            tokio::spawn(follow::registry(Arc::clone(&shared))),
            tokio::spawn(follow::evacuations(Arc::clone(&shared))),
            tokio::spawn(follow::expire(Arc::clone(&shared))),
            tokio::spawn(load_reports::subscribe(
                Arc::clone(&shared),
                Arc::clone(&peers),
            )),
            tokio::spawn(gossip::run(Arc::clone(&shared), peers)),
            tokio::spawn(quarantine::run(Arc::clone(&shared))),
            tokio::spawn(pulls::serve(Arc::clone(&shared), links)),
            tokio::spawn(serve_path(ready, READY_PATH, {
                let shared = Arc::clone(&shared);
                move || directory::ready(&shared)
            })),
            tokio::spawn(serve_path(directory, RESOLVE_PATH, {
                let shared = Arc::clone(&shared);
                move || directory::resolve(&shared)
            })),
            tokio::spawn(callers::serve(
                Arc::clone(&shared),
                callers,
                closing.clone(),
            )),
        ];
        if let Some(address) = shared.options.metrics {
            tasks.push(serve_metrics(address, metrics).await?);
        }
        let options = &shared.options;
        let event = Event::new(EventKind::DaemonStarted, "gateway")
            .with("callers", options.callers.to_string())
            .with("data_centre", options.data_centre.as_str())
            .with("platform", options.platform.as_str())
            .with("seeds", options.seeds.len());
        shared.timeline.record(event);
        Ok(Self {
            callers: options.callers,
            directory: options.directory,
            ready: options.ready,
            shared,
            tasks,
            closing,
        })
    }

    /// Bound address of the listener for callers.
    #[must_use]
    pub fn callers_address(&self) -> SocketAddr {
        self.callers
    }

    /// Bound address at which callers resolve entry hosts.
    #[must_use]
    pub fn directory_address(&self) -> SocketAddr {
        self.directory
    }

    /// Bound address of the readiness check.
    #[must_use]
    pub fn ready_address(&self) -> SocketAddr {
        self.ready
    }

    /// Bound address for other entry hosts; the port is the same for UDP and TCP.
    #[must_use]
    pub fn peers_address(&self) -> SocketAddr {
        self.shared.options.peers
    }

    /// Stops at once, without waiting for open requests.
    pub fn abort(self) {
        self.closing.cancel();
        for task in self.tasks {
            task.abort();
        }
    }

    /// Shuts down gracefully: withdraws the host from resolved addresses, accepts callers until
    /// these have expired, waits for open requests and stops. The drain limit or the end of
    /// `force`, whichever comes first, ends the wait.
    pub async fn close(self, force: impl Future<Output = ()>) -> Drained {
        let limit = self.shared.options.drain_limit;
        let shutdown = Shutdown::new(self.shared.now(), limit);
        self.shared.shutdown.get_or_init(|| shutdown);
        tokio::select! {
            _ = tokio::time::timeout(limit, self.drain()) => {}
            () = force => {}
        }
        let open = self.shared.open_requests.load(Ordering::Relaxed) as u64;
        let kind = if open == 0 {
            EventKind::DrainFinished
        } else {
            EventKind::DrainCut
        };
        self.shared
            .timeline
            .record(Event::new(kind, "").with("open", open));
        for task in self.tasks {
            task.abort();
        }
        if open == 0 {
            Drained::Whole
        } else {
            Drained::Cut(open)
        }
    }

    /// Applies the settings that can change while the process runs: addresses of other entry hosts.
    pub fn reload(&self, seeds: Vec<SocketAddr>) {
        let count = seeds.len();
        self.shared.peers().add_seeds(seeds);
        let event = Event::new(EventKind::SettingsReloaded, "").with("seeds", count);
        self.shared.timeline.record(event);
    }

    async fn drain(&self) {
        self.shared.draining.store(true, Ordering::Relaxed);
        let open = self.shared.open_requests.load(Ordering::Relaxed);
        let event = Event::new(EventKind::DrainStarted, "").with("open", open);
        self.shared.timeline.record(event);
        self.shared.state_changed.notify_one();
        tokio::time::sleep(SERVE_WHILE_DRAINING).await;
        self.closing.cancel();
        loop {
            self.requests_ended().await;
            // The end of the last response may not have been written yet, and first requests may
            // arrive on new connections.
            let closed = self.shared.connections.wait();
            if tokio::time::timeout(FLUSH_TIME, closed).await.is_ok() {
                return;
            }
            if self.shared.open_requests.load(Ordering::Relaxed) == 0 {
                let left = self.shared.connections.len();
                log::debug!("{left} connections of callers were still open at the end");
                return;
            }
        }
    }

    /// Waits until no request is open.
    async fn requests_ended(&self) {
        loop {
            let ended = self.shared.requests_ended.notified();
            if self.shared.open_requests.load(Ordering::Relaxed) == 0 {
                return;
            }
            ended.await;
        }
    }
}

fn shared(options: GatewayOptions, clock: Clock, metrics: &Metrics, permits: Permits) -> Shared {
    let held = HeldBytes::new(options.held_bytes);
    let settings = GatewaySettings {
        host: options.host.clone(),
        data_centre: options.data_centre.clone(),
        retry_bound: options.retry_bound,
        first_start: options.first_start,
        pause_control: options.pause_control,
        cold_bound: options.cold_bound,
        settle_time: options.settle_time,
    };
    let mut core = Gateway::new(clock.now(), settings, options.seed);
    if options.evacuate_within.is_some() {
        core.evacuations = Evacuations::followed(clock.now(), options.settle_time);
    }
    let own_record = PeerRecord {
        host: options.host.clone(),
        incarnation: new_incarnation(),
        version: 0,
        region: options.region.clone(),
        data_centre: options.data_centre.clone(),
        callers: options.callers,
        peers: options.peers,
        state: PeerState::Starting,
    };
    Shared {
        timeline: Timeline::logging_all(options.host.clone(), Some(metrics.clone()), clock),
        metrics: GatewayMetrics::new(metrics),
        core: Mutex::new(core),
        peers: Mutex::new(Peers::new(own_record, options.seeds.clone(), options.seed)),
        pool: Pool::default(),
        platform: platform_client(&options.platform, clock, options.seed),
        copies: Copies::default(),
        permits,
        answer_buffers: AnswerBuffers::new(held.clone()),
        turns: Turns::default(),
        held,
        connections: TaskTracker::new(),
        end_checks: EndChecks::default(),
        quarantine_news: Notify::new(),
        quarantine_changed: Notify::new(),
        document: Mutex::new(Bytes::new()),
        table_confirmed_at: Mutex::new(Now::ZERO),
        draining: AtomicBool::new(false),
        shutdown: OnceLock::new(),
        open_requests: AtomicUsize::new(0),
        requests_ended: Notify::new(),
        state_changed: Notify::new(),
        versions_changed: Notify::new(),
        clock,
        options,
    }
}

/// Registers the gauges, whose values are read when metrics are scraped.
fn register_gauges(metrics: &Metrics, shared: &Arc<Shared>) {
    let gauge = |value: fn(&Shared) -> u64| {
        let shared = Arc::downgrade(shared);
        move || shared.upgrade().map_or(0, |s| value(&s))
    };
    metrics.register_gauge(
        "eelgrasshold_requests_held",
        "Requests that are being served",
        gauge(|s| s.open_requests.load(Ordering::Relaxed) as u64),
    );
    metrics.register_gauge(
        "eelgrasshold_held_bytes",
        "Bytes of request bodies and answers that are held",
        gauge(|s| s.held.bytes() as u64),
    );
    metrics.register_gauge(
        "eelgrasshold_held_bytes_limit",
        "Most bytes of request bodies and answers that may be held",
        gauge(|s| s.held.capacity() as u64),
    );
    metrics.register_gauge(
        "eelgrasshold_table_version",
        "Version of the configuration in force",
        gauge(|s| s.core().table_version()),
    );
    metrics.register_gauge(
        "eelgrasshold_table_age_ms",
        "Time since the configuration came into force",
        gauge(|s| age_ms(s, s.core().table_since())),
    );
    metrics.register_gauge(
        "eelgrasshold_table_unconfirmed_ms",
        "Time since the store, or a host for it, last confirmed the configuration",
        gauge(|s| age_ms(s, s.table_confirmed_at())),
    );
    metrics.register_gauge(
        "eelgrasshold_registry_age_ms",
        "Time since the store last told about the registry",
        gauge(|s| age_ms(s, s.core().registry.last_answer_at())),
    );
    register_evacuation_gauges(metrics, shared);
    metrics.register_gauge(
        "eelgrasshold_peers",
        "Entry hosts that callers are told of",
        gauge(|s| s.usable_host_count() as u64),
    );
    metrics.register_gauge(
        "eelgrasshold_quarantined",
        "Features of requests that are refused since upstreams ended under them",
        gauge(|s| s.core().quarantine.len() as u64),
    );
    metrics.register_gauge(
        "eelgrasshold_limited_upstreams",
        "Upstreams that name a limit of requests a second",
        gauge(|s| s.core().limits.len() as u64),
    );
    metrics.register_gauge(
        "eelgrasshold_leaving_upstreams",
        "Upstreams that said in answers that they leave",
        gauge(|s| s.core().notices.leaving() as u64),
    );
    metrics.register_gauge(
        "eelgrasshold_paused_upstreams",
        "Upstreams that want no requests from this host for a while",
        gauge(|s| s.core().notices.paused() as u64),
    );
    register_pause_gauges(metrics, shared);
    metrics.register_gauge(
        "eelgrasshold_reported_upstreams",
        "Upstreams whose load their sidecars reported a moment ago",
        gauge(|s| s.core().load_reports.len(s.now()) as u64),
    );
    metrics.register_gauge(
        "eelgrasshold_cold_upstreams",
        "Upstreams that this host takes for cold",
        gauge(|s| s.core().cold.len(s.now()) as u64),
    );
    metrics.register_counter(
        "eelgrasshold_cold_upstreams_skipped",
        "Times that a cold upstream was passed over for lack of a permit",
        gauge(|s| s.core().cold.skipped()),
    );
    metrics.register_gauge(
        "eelgrasshold_resident_bytes",
        "Resident memory of the process",
        resident_bytes,
    );
    metrics.register_gauge(
        "eelgrasshold_open_descriptors",
        "Open files, sockets and pipes of the process",
        open_descriptors,
    );
    metrics.register_gauge(
        "eelgrasshold_log_lines_dropped",
        "Lines of the log that were dropped since their reader had stalled",
        shared.options.lines_dropped,
    );
}

/// Registers the gauges and counts of the limits of streams.
fn register_pause_gauges(metrics: &Metrics, shared: &Arc<Shared>) {
    let gauge = |value: fn(&PauseControl) -> u64| {
        let shared = Arc::downgrade(shared);
        move || shared.upgrade().map_or(0, |s| value(&s.core().pauses))
    };
    metrics.register_gauge(
        "eelgrasshold_stream_limit",
        "Streams that may be in flight, over the services that have limits; 0 if none has",
        gauge(|p| {
            let limits = p.states().filter_map(|(_, s)| s.limit);
            limits.map(|limit| limit.floor() as u64).sum()
        }),
    );
    metrics.register_gauge(
        "eelgrasshold_streams_waiting",
        "Streams that wait for a limit",
        gauge(|p| p.states().map(|(_, s)| s.waiting as u64).sum()),
    );
    metrics.register_gauge(
        "eelgrasshold_streams_in_flight",
        "Streams in flight at services that may have limits",
        gauge(|p| p.states().map(|(_, s)| s.in_flight as u64).sum()),
    );
    metrics.register_gauge(
        "eelgrasshold_observed_pause_ms",
        "Upper quartile of the recent pauses between events, of the service with the longest",
        gauge(|p| {
            let pause = p.states().map(|(_, s)| s.pause).max().unwrap_or_default();
            u64::try_from(pause.as_millis()).unwrap_or(u64::MAX)
        }),
    );
    metrics.register_counter(
        "eelgrasshold_streams_delayed",
        "Streams that had to wait for a limit",
        gauge(|p| p.counts().delayed),
    );
    metrics.register_counter(
        "eelgrasshold_streams_refused_for_limit",
        "Streams that were refused since a limit would have let them begin too late",
        gauge(|p| p.counts().refused),
    );
    metrics.register_counter(
        "eelgrasshold_retries_recognized",
        "Streams that had to wait and were recognized as repetitions of refused ones",
        gauge(|p| p.counts().retries),
    );
}

/// Registers the gauges of evacuations, if these are followed.
fn register_evacuation_gauges(metrics: &Metrics, shared: &Arc<Shared>) {
    if shared.options.evacuate_within.is_none() {
        return;
    }
    let gauge = |value: fn(&Shared) -> u64| {
        let shared = Arc::downgrade(shared);
        move || shared.upgrade().map_or(0, |s| value(&s))
    };
    metrics.register_gauge(
        "eelgrasshold_evacuated_data_centres",
        "Data centres that are evacuated",
        gauge(|s| s.core().evacuations.in_force().len() as u64),
    );
    metrics.register_gauge(
        "eelgrasshold_evacuations_unmatched",
        "Evacuated data centres in which the registry lists no upstream",
        gauge(|s| {
            let core = s.core();
            let is_unmatched = |name: &&String| {
                let mut upstreams = core.registry.all();
                !upstreams.any(|u| u.data_centre == **name)
            };
            let names = core.evacuations.in_force().keys();
            names.filter(is_unmatched).count() as u64
        }),
    );
    metrics.register_gauge(
        "eelgrasshold_evacuations_unconfirmed_ms",
        "Time since the store, or a host for it, last confirmed the evacuated data centres",
        gauge(|s| age_ms(s, s.core().evacuations.confirmed_at())),
    );
}

fn age_ms(shared: &Shared, since: Now) -> u64 {
    let age = shared.now().saturating_sub(since);
    u64::try_from(age.as_millis()).unwrap_or(u64::MAX)
}

/// Creates a client of the users' platform's store.
pub(crate) fn platform_client(address: &str, clock: Clock, seed: u64) -> Platform {
    let limits = PlatformLimits {
        failures_to_open: BREAKER_DISABLED,
        ..PlatformLimits::default()
    };
    Platform::new(address, clock, limits, seed).with_dialect(Dialect {
        object_request: store::object_request,
        object_reply: store::object_reply,
        kind_request: store::kind_request,
        kind_reply: store::kind_reply,
    })
}

/// Binds the same port for TCP and UDP.
async fn bind_peers(address: SocketAddr) -> Result<(TcpListener, UdpSocket), StartError> {
    let links = bind(address).await?;
    let address = links.local_addr().unwrap_or(address);
    let datagrams = UdpSocket::bind(address)
        .await
        .map_err(|source| StartError::Listen { address, source })?;
    Ok((links, datagrams))
}

async fn bind(address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address)
        .await
        .map_err(|source| StartError::Listen { address, source })
}

/// Serves metrics on an address until the task is aborted.
///
/// # Errors
///
/// If the listener can't be bound.
pub(crate) async fn serve_metrics(
    address: SocketAddr,
    metrics: Metrics,
) -> Result<JoinHandle<()>, StartError> {
    let listener = bind(address).await?;
    let handler = move || directory::metrics(&metrics);
    Ok(tokio::spawn(serve_path(
        listener,
        directory::METRICS_PATH,
        handler,
    )))
}

/// Serves `GET` of one path on a listener and 404 for all else; never returns.
async fn serve_path<F>(listener: TcpListener, path: &'static str, handler: F)
where
    F: Fn() -> Response<Body> + Clone + Send + Sync + 'static,
{
    let mut connections = ConnectionTasks::new(MAX_PATH_CONNECTIONS);
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("can't accept a connection: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        detect_dead_peer(&stream);
        let handler = handler.clone();
        connections.spawn(async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let is_known = request.method() == Method::GET && request.uri().path() == path;
                let response = if is_known {
                    handler()
                } else {
                    directory::status(StatusCode::NOT_FOUND)
                };
                async move { Ok::<_, Infallible>(response) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEADER_TIMEOUT)
                .max_buf_size(HEADER_BYTES)
                .serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                log::debug!("a connection ended with an error: {error}");
            }
        });
    }
}
