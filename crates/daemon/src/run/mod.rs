//! Runs a role until a signal or an operator's request shuts it down.

use std::path::Path;
use std::time::Duration;

use eelgrasshold_core::held::default_capacity;
use eelgrasshold_net::gateway::{GatewayHost, GatewayOptions};
use eelgrasshold_net::host::{
    Drained, EngineOptions, EntryHost, HostOptions, StartError, UpstreamHost,
};
use eelgrasshold_net::ranks::{RankHost, RankOptions};
use eelgrasshold_net::tls::{Identity, TlsError};
use snafu::{ResultExt, Snafu};
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::logs;
use crate::settings::{self, EngineSettings, GatewaySettings, Role, Settings};

/// Upper limit on the validity of directory answers: for that long, callers may still connect to a
/// host that has failed.
const MAX_ANSWER_VALIDITY: Duration = Duration::from_secs(2);
/// File descriptors reserved for files, listeners, peers and the platform. The rest is split evenly
/// between connections of callers and connections to upstreams.
const RESERVED_DESCRIPTORS: usize = 240;

/// Errors that end the process.
#[derive(Debug, Snafu)]
pub enum RunError {
    /// The async runtime or the signal handlers can't be set up.
    #[snafu(display("can't set up the process: {source}"))]
    Setup { source: std::io::Error },
    /// The certificate files can't be read or used.
    #[snafu(display("{source}"), context(false))]
    Tls { source: TlsError },
    #[snafu(display("{source}"), context(false))]
    Start { source: StartError },
    /// Requests were still open when the graceful shutdown ended.
    #[snafu(display("{open} requests were cut"))]
    Cut {
        /// Number of requests cut off.
        open: u64,
    },
}

/// Signals that the process handles.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    fn new() -> Result<Self, RunError> {
        Ok(Self {
            terminate: signal(SignalKind::terminate()).context(SetupSnafu)?,
            interrupt: signal(SignalKind::interrupt()).context(SetupSnafu)?,
            hangup: signal(SignalKind::hangup()).context(SetupSnafu)?,
        })
    }

    async fn next(&mut self) -> SignalAction {
        tokio::select! {
            _ = self.terminate.recv() => SignalAction::Terminate,
            _ = self.interrupt.recv() => SignalAction::Interrupt,
            _ = self.hangup.recv() => SignalAction::Reload,
        }
    }

    /// Waits for a signal that requests a shutdown; ignores reload requests.
    async fn shutdown(&mut self) {
        while self.next().await == SignalAction::Reload {}
    }

    /// Waits for a signal that ends a graceful shutdown at once. A repeated SIGTERM does not: whoever stops
    /// the process may send it more than once, and ends it by SIGKILL if it takes too long.
    async fn interrupt(&mut self) {
        loop {
            match self.next().await {
                SignalAction::Interrupt => return,
                SignalAction::Terminate => log::info!("the process is shutting down already"),
                SignalAction::Reload => {}
            }
        }
    }
}

/// Action that a signal requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SignalAction {
    /// Shut down gracefully.
    Terminate,
    /// The same, or at once if a graceful shutdown is in progress.
    Interrupt,
    /// Read the settings again.
    Reload,
}

/// Runs the process that the settings describe.
///
/// # Errors
///
/// Fails if the process can't start, or if its shutdown cut off requests.
pub fn run(path: &Path, settings: Settings) -> Result<(), RunError> {
    // Hosts of these roles have a share of one core, so more threads would only add context switches.
    let mut builder = match settings.role {
        Some(Role::Gateway | Role::Rank) => tokio::runtime::Builder::new_current_thread(),
        _ => tokio::runtime::Builder::new_multi_thread(),
    };
    let runtime = builder.enable_all().build().context(SetupSnafu)?;
    runtime.block_on(run_role(path, settings))
}

async fn run_role(path: &Path, settings: Settings) -> Result<(), RunError> {
    let mut signals = Signals::new()?;
    for path in &settings.unknown {
        log::warn!("ignoring unknown setting `{path}`");
    }
    for note in &settings.notes {
        log::warn!("settings: {note}");
    }
    if let Some(gateway) = &settings.gateway {
        let host = GatewayHost::start(gateway_options(&settings, gateway)).await?;
        while signals.next().await == SignalAction::Reload {
            reload(path, &host);
        }
        return drain_result(host.close(signals.interrupt()).await);
    }
    if let (Some(Role::Rank), Some(engine)) = (settings.role, &settings.engine) {
        let host = RankHost::start(rank_options(&settings, engine)).await?;
        signals.shutdown().await;
        host.close();
        return Ok(());
    }
    let options = host_options(&settings)?;
    let drained = match settings.engine {
        None => {
            let host = EntryHost::start(options).await?;
            tokio::select! {
                () = signals.shutdown() => {}
                () = host.drain_requested() => {}
            }
            host.close(signals.interrupt()).await
        }
        Some(engine) => {
            let host = UpstreamHost::start(options, engine_options(engine)).await?;
            tokio::select! {
                () = signals.shutdown() => {}
                () = host.drain_requested() => {}
            }
            host.close(signals.interrupt()).await
        }
    };
    drain_result(drained)
}

/// Reads the settings again and applies the seeds. Invalid settings are logged and not applied.
fn reload(path: &Path, host: &GatewayHost) {
    match settings::read(path) {
        Ok(settings) => host.reload(settings.seeds),
        Err(error) => log::warn!("settings not reloaded: {error}"),
    }
}

fn drain_result(drained: Drained) -> Result<(), RunError> {
    match drained {
        Drained::Whole => Ok(()),
        Drained::Cut(open) => CutSnafu { open }.fail(),
    }
}

fn rank_options(settings: &Settings, engine: &EngineSettings) -> RankOptions {
    RankOptions {
        engine: engine.address,
        service: engine.service.clone(),
        peers: settings.control_address,
        platform: settings.platform_url.clone(),
        link_bytes_per_s: settings.rank.link_bytes_per_s(),
        fanout: settings.rank.fanout(),
        first_start: settings.first_start,
        host: settings.host.clone(),
        metrics: settings.metrics_address,
    }
}

fn gateway_options(settings: &Settings, gateway: &GatewaySettings) -> GatewayOptions {
    let validity = gateway.answer_validity().min(MAX_ANSWER_VALIDITY);
    let held_bytes = gateway.held_mib.count().map_or_else(
        || default_capacity(gateway.memory_mb.count()),
        |mib| mib << 20,
    );
    GatewayOptions::builder(&settings.host, &settings.platform_url)
        .place(&settings.region, &settings.data_centre)
        .callers(settings.data_address)
        .ready(gateway.ready_address)
        .directory(gateway.directory_address)
        .peers(settings.control_address, settings.seeds.clone())
        .metrics(settings.metrics_address)
        .settle_time(gateway.settle_time())
        .evacuate_within(gateway.evacuate_within())
        .retry_bound(gateway.retry_bound())
        .cold_bound(gateway.cold_bound())
        .first_start(settings.first_start)
        .sidecar_port(gateway.sidecar_port())
        .pause_control(gateway.pause_control)
        .answer_validity(validity)
        .drain_limit(settings.drain_limit())
        .connections((gateway.max_descriptors() - RESERVED_DESCRIPTORS) / 2)
        .held_bytes(held_bytes)
        .lines_dropped(logs::dropped_lines)
        .build()
}

fn host_options(settings: &Settings) -> Result<HostOptions, RunError> {
    let identity = match &settings.tls {
        None => None,
        Some(tls) => Some(Identity::from_files(
            &tls.certificate,
            &tls.key,
            &tls.authority,
        )?),
    };
    Ok(HostOptions::builder(&settings.host, &settings.platform_url)
        .place(&settings.region, &settings.data_centre)
        .data(settings.data_address)
        .control(settings.control_address)
        .admin(settings.admin_address)
        .seeds(settings.seeds.iter().map(ToString::to_string).collect())
        .identity(identity)
        .drain_limit(settings.drain_limit())
        .build())
}

fn engine_options(engine: EngineSettings) -> EngineOptions {
    EngineOptions {
        address: engine.address.to_string(),
        service: engine.service,
        kind: engine.kind,
    }
}
