//! Runs a role until a signal or an operator ends it.

use std::path::Path;
use std::time::Duration;

use eelgrasshold_core::gateway::budget::RetryBound;
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

/// Longest validity of answers about addresses: a host that died is named for so long.
const ANSWER_VALIDITY: Duration = Duration::from_secs(2);
/// Descriptors that are left to files, listeners, peers and the platform; half of the others are
/// for callers and half for upstreams.
const RESERVED_DESCRIPTORS: usize = 240;

/// Why the process failed.
#[derive(Debug, Snafu)]
pub enum RunError {
    /// The runtime or the signals can't be set up.
    #[snafu(display("can't set up the process: {source}"))]
    Setup {
        /// Cause.
        source: std::io::Error,
    },
    /// Certificates can't be used.
    #[snafu(display("{source}"), context(false))]
    Tls {
        /// Cause.
        source: TlsError,
    },
    /// The role did not start.
    #[snafu(display("{source}"), context(false))]
    Start {
        /// Cause.
        source: StartError,
    },
    /// The shutdown cut requests.
    #[snafu(display("{open} requests were cut"))]
    Cut {
        /// Requests that were open.
        open: u64,
    },
}

/// Signals that end the process.
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

    async fn next(&mut self) -> Wanted {
        tokio::select! {
            _ = self.terminate.recv() => Wanted::End,
            _ = self.interrupt.recv() => Wanted::End,
            _ = self.hangup.recv() => Wanted::Reload,
        }
    }

    /// Waits for a signal that ends the process.
    async fn end(&mut self) {
        while self.next().await != Wanted::End {}
    }
}

/// What a signal asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Wanted {
    /// A graceful shutdown.
    End,
    /// Reading the settings again.
    Reload,
}

/// Runs the process that the settings describe.
///
/// # Errors
///
/// If it can't start, or if its shutdown cut requests.
pub fn run(path: &Path, settings: Settings) -> Result<(), RunError> {
    // On the users' platform each host has a share of one core, so further threads would only add switches.
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
        log::warn!("setting `{path}` is not known and is passed over");
    }
    if let Some(gateway) = &settings.gateway {
        let host = GatewayHost::start(gateway_options(&settings, gateway)).await?;
        while signals.next().await == Wanted::Reload {
            reload(path, &host);
        }
        return whole(host.close(signals.end()).await);
    }
    if let (Some(Role::Rank), Some(engine)) = (settings.role, &settings.engine) {
        let host = RankHost::start(rank_options(&settings, engine)).await?;
        signals.end().await;
        host.close();
        return Ok(());
    }
    let options = options(&settings)?;
    let drained = match settings.engine {
        None => {
            let host = EntryHost::start(options).await?;
            tokio::select! {
                () = signals.end() => {}
                () = host.drain_requested() => {}
            }
            host.close(signals.end()).await
        }
        Some(engine) => {
            let host = UpstreamHost::start(options, engine_options(engine)).await?;
            tokio::select! {
                () = signals.end() => {}
                () = host.drain_requested() => {}
            }
            host.close(signals.end()).await
        }
    };
    whole(drained)
}

/// Reads the settings again. Settings that can't be used leave the process as it is.
fn reload(path: &Path, host: &GatewayHost) {
    match settings::read(path) {
        Ok(settings) => host.reload(settings.seeds),
        Err(error) => log::warn!("the settings stay as they are: {error}"),
    }
}

fn whole(drained: Drained) -> Result<(), RunError> {
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
        first_start: settings.first_start,
        host: settings.host.clone(),
        metrics: settings.metrics_address,
    }
}

fn gateway_options(settings: &Settings, gateway: &GatewaySettings) -> GatewayOptions {
    let retry_bound = RetryBound {
        window: Duration::from_secs_f64(gateway.retry_window_s),
        ratio: gateway.retry_ratio,
        allowance: gateway.retry_allowance,
    };
    let validity = Duration::from_secs_f64(gateway.answer_validity_s).min(ANSWER_VALIDITY);
    GatewayOptions::builder(&settings.host, &settings.platform_url)
        .place(&settings.region, &settings.data_centre)
        .callers(settings.data_address)
        .ready(gateway.ready_address)
        .directory(gateway.directory_address)
        .peers(settings.control_address, settings.seeds.clone())
        .metrics(settings.metrics_address)
        .retry_bound(retry_bound)
        .first_start(settings.first_start)
        .answer_validity(validity)
        .drain_limit(Duration::from_secs(settings.drain_limit_s))
        .connections((gateway.max_descriptors - RESERVED_DESCRIPTORS) / 2)
        .lines_dropped(logs::dropped_lines)
        .build()
}

fn options(settings: &Settings) -> Result<HostOptions, RunError> {
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
        .drain_limit(Duration::from_secs(settings.drain_limit_s))
        .build())
}

fn engine_options(engine: EngineSettings) -> EngineOptions {
    EngineOptions {
        address: engine.address.to_string(),
        service: engine.service,
        kind: engine.kind,
    }
}
