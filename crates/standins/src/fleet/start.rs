//! Starts the processes and stand-ins of a fleet in the order of their dependencies.

use std::time::Duration;

use eelgrasshold_core::config::ServiceKind;
use eelgrasshold_net::host::{EngineOptions, EntryHost, HostOptions, StartError, UpstreamHost};
use snafu::Snafu;

use super::{DRAFTS, Fleet, FleetBuilder, RESERVATIONS};
use crate::engine::ModelEngine;
use crate::plain::PlainService;
use crate::platform::Platform;
use crate::server;

/// Pause between two checks whether the fleet is ready.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Checks after which the start fails, 30 s in all.
const MAX_READY_POLLS: u32 = 1_500;
/// Data centres, assigned round-robin to the hosts of each kind.
const DATA_CENTRES: [&str; 3] = ["erie-1", "huron-1", "superior-1"];

/// Why a fleet did not start.
#[derive(Debug, Snafu)]
pub enum FleetError {
    /// The platform, an engine or a plain service could not listen on loopback.
    #[snafu(display("can't start a stand-in: {source}"), context(false))]
    StandIn {
        /// Error of the stand-in's server.
        source: server::StartError,
    },
    /// An entry host or upstream process could not start.
    #[snafu(display("{source}"), context(false))]
    Process {
        /// Error of the process, which names what it could not do.
        source: StartError,
    },
    /// The platform could not be read, or the configuration was refused.
    #[snafu(display("can't publish the configuration: {reason}"))]
    Publish {
        /// Text of the platform error, or the outcome of the publication.
        reason: String,
    },
    /// Within the time limit, an entry host lacked the configuration or some upstreams.
    #[snafu(display("fleet not ready: an entry host lacks the configuration or some upstreams"))]
    NotReady,
}

pub(super) async fn start(builder: FleetBuilder) -> Result<Fleet, FleetError> {
    let mut fleet = Fleet {
        platform: Platform::builder().start()?,
        engines: Vec::new(),
        plain_services: Vec::new(),
        upstreams: Vec::new(),
        entries: Vec::new(),
    };
    let revision = fleet.publish(builder.config.clone()).await?;
    for n in 0..builder.entries {
        let options = host_options(&builder, &fleet, "entry", n);
        fleet.entries.push(EntryHost::start(options).await?);
    }
    for n in 0..builder.engines {
        let engine = ModelEngine::builder().spec(builder.spec).start()?;
        let engine_options =
            engine_options(engine.address().to_string(), DRAFTS, ServiceKind::Model);
        let options = host_options(&builder, &fleet, "draft", n);
        fleet
            .upstreams
            .push(UpstreamHost::start(options, engine_options).await?);
        fleet.engines.push(engine);
    }
    for n in 0..builder.plain_services {
        let plain = PlainService::builder().start()?;
        let engine_options = engine_options(
            plain.address().to_string(),
            RESERVATIONS,
            ServiceKind::Plain,
        );
        let options = host_options(&builder, &fleet, "reserve", n);
        fleet
            .upstreams
            .push(UpstreamHost::start(options, engine_options).await?);
        fleet.plain_services.push(plain);
    }
    for _ in 0..MAX_READY_POLLS {
        if fleet.is_ready(revision) {
            return Ok(fleet);
        }
        tokio::time::sleep(READY_POLL_INTERVAL).await;
    }
    NotReadySnafu.fail()
}

fn engine_options(address: String, service: &str, kind: ServiceKind) -> EngineOptions {
    EngineOptions {
        address,
        service: service.to_owned(),
        kind,
    }
}

fn host_options(builder: &FleetBuilder, fleet: &Fleet, kind: &str, n: usize) -> HostOptions {
    let seeds = fleet
        .entries
        .iter()
        .take(3)
        .map(|e| e.control_address().to_string())
        .collect();
    let started = fleet.entries.len() + fleet.upstreams.len();
    HostOptions::builder(&format!("{kind}-{}", n + 1), &fleet.platform_url())
        .place("lakes", DATA_CENTRES[n % DATA_CENTRES.len()])
        .seeds(seeds)
        .drain_limit(builder.drain_limit)
        .seed(
            builder
                .seed
                .wrapping_mul(1_000)
                .wrapping_add(started as u64),
        )
        .build()
}
