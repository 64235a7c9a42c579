//! State that both roles share: listeners, links, platform, event timeline and metrics.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use eelgrasshold_core::config::Config;
use eelgrasshold_core::event::{Event, EventKind};
use eelgrasshold_core::fleet::platform_policy::PlatformLimits;
use http::Request;
use hyper::body::Incoming;
use snafu::ResultExt;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use super::options::HostOptions;
use super::{ListenSnafu, StartError, UnspecifiedSnafu};
use crate::admin::{Admin, Status};
use crate::control::{ControlServer, Links, Message, Traffic};
use crate::http::{Limits, Server};
use crate::metrics::Metrics;
use crate::platform::Platform;
use crate::runtime::{Clock, Timeline};

/// Longest time for the last frames of answers to be written once all work has ended.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(2);

/// The part of a process that does not depend on its role.
pub(super) struct Base {
    pub(super) clock: Clock,
    pub(super) timeline: Arc<Timeline>,
    pub(super) metrics: Metrics,
    pub(super) links: Arc<Links>,
    pub(super) platform: Platform,
    pub(super) traffic: Arc<Traffic>,
    pub(super) data: BoundListener,
    pub(super) control: BoundListener,
    pub(super) admin: BoundListener,
    /// Closes the data listener; open requests go on.
    pub(super) stop_accepting: CancellationToken,
    /// Stops the other listeners and the fleet machine.
    pub(super) shutdown: CancellationToken,
}

/// A listener that is bound, and taken when it starts to serve.
pub(super) struct BoundListener {
    pub(super) listener: Option<TcpListener>,
    /// Actual address, also if port 0 was configured.
    pub(super) address: SocketAddr,
}

impl BoundListener {
    async fn new(address: SocketAddr) -> Result<Self, StartError> {
        let listener = TcpListener::bind(address)
            .await
            .context(ListenSnafu { address })?;
        let address = listener.local_addr().context(ListenSnafu { address })?;
        if address.ip().is_unspecified() {
            return UnspecifiedSnafu { address }.fail();
        }
        Ok(Self {
            listener: Some(listener),
            address,
        })
    }
}

impl Base {
    pub(super) async fn new(options: &HostOptions) -> Result<Self, StartError> {
        let traffic = Arc::new(Traffic::default());
        let metrics = Metrics::new()?;
        let clock = Clock::start();
        let platform = Platform::new(
            &options.platform,
            clock,
            PlatformLimits::default(),
            options.seed,
        );
        register_metrics(&metrics, &traffic, &platform);
        Ok(Self {
            clock,
            timeline: Arc::new(Timeline::new(options.host.clone(), Some(metrics.clone()))),
            metrics,
            links: Links::new(Arc::clone(&traffic), options.identity.clone()),
            platform,
            traffic,
            data: BoundListener::new(options.data).await?,
            control: BoundListener::new(options.control).await?,
            admin: BoundListener::new(options.admin).await?,
            stop_accepting: CancellationToken::new(),
            shutdown: CancellationToken::new(),
        })
    }

    /// Starts the server for links; `deliver` is called for each message. `None` if it runs
    /// already.
    pub(super) fn serve_control(
        &mut self,
        options: &HostOptions,
        deliver: impl Fn(Message) + Send + Sync + 'static,
    ) -> Option<JoinHandle<()>> {
        let listener = self.control.listener.take()?;
        let identity = options.identity.clone();
        let server = ControlServer::new(listener, Arc::clone(&self.traffic), identity, deliver);
        Some(tokio::spawn(server.run(self.shutdown.clone())))
    }

    /// Starts the operators' server; `drain` is called when an operator requests a graceful
    /// shutdown. `None` if it runs already.
    pub(super) fn serve_admin(
        &mut self,
        options: &HostOptions,
        status: impl Fn() -> Status + Send + Sync + 'static,
        config: impl Fn() -> Option<Arc<Config>> + Send + Sync + 'static,
        drain: impl Fn() + Send + Sync + 'static,
    ) -> Option<JoinHandle<()>> {
        let admin = Arc::new(Admin {
            timeline: Arc::clone(&self.timeline),
            metrics: self.metrics.clone(),
            status: Box::new(status),
            config: Box::new(config),
            drain: Box::new(drain),
        });
        let listener = self.admin.listener.take()?;
        let limits = Limits::builder().connections(256).build();
        let server = Server::new(listener, limits, options.identity.clone());
        let serve = move |request: Request<Incoming>| {
            let answer = admin.serve(&request);
            std::future::ready(answer)
        };
        Some(tokio::spawn(server.run(self.shutdown.clone(), serve)))
    }

    /// Waits until the connections of the data listener have written their last frames and closed,
    /// after all work has ended.
    pub(super) async fn flush(&self, data_task: &mut JoinHandle<()>) {
        self.stop_accepting.cancel();
        if tokio::time::timeout(FLUSH_TIMEOUT, data_task)
            .await
            .is_err()
        {
            log::info!("connections of the data listener were still open at the end");
        }
    }

    /// Stops all tasks; the `open` requests that remain are cut.
    pub(super) fn stop(self, open: u64, tasks: Vec<JoinHandle<()>>, data_task: &JoinHandle<()>) {
        self.timeline.record(if open == 0 {
            Event::new(EventKind::DrainFinished, "")
        } else {
            Event::new(EventKind::DrainCut, format!("{open} requests"))
        });
        self.stop_accepting.cancel();
        self.shutdown.cancel();
        for task in tasks {
            task.abort();
        }
        if open > 0 {
            data_task.abort();
        }
        self.metrics.close();
    }

    /// Returns a function that reads the status fields that don't depend on the role.
    pub(super) fn status(&self, options: &HostOptions, role: &str) -> impl Fn() -> Status + use<> {
        let fixed = Status {
            host: options.host.clone(),
            role: role.to_owned(),
            region: options.region.clone(),
            data_centre: options.data_centre.clone(),
            ..Status::default()
        };
        let (clock, traffic) = (self.clock, Arc::clone(&self.traffic));
        let platform = self.platform.clone();
        move || Status {
            uptime_ms: u64::try_from(clock.now().as_millis()).unwrap_or(u64::MAX),
            control_sent_bytes: traffic.sent(),
            control_received_bytes: traffic.received(),
            platform_calls: platform.calls(),
            ..fixed.clone()
        }
    }
}

fn register_metrics(metrics: &Metrics, traffic: &Arc<Traffic>, platform: &Platform) {
    let sent = Arc::clone(traffic);
    let description = "Bytes sent to other daemons for control";
    metrics.register_gauge("eelgrasshold_control_sent_bytes", description, move || {
        sent.sent()
    });
    let received = Arc::clone(traffic);
    let description = "Bytes received from other daemons for control";
    metrics.register_gauge(
        "eelgrasshold_control_received_bytes",
        description,
        move || received.received(),
    );
    let platform = platform.clone();
    let description = "Calls to the platform";
    metrics.register_gauge("eelgrasshold_platform_calls", description, move || {
        platform.calls()
    });
}
