//! Starts a fleet, part by part.

use std::time::Duration;

use eelgrasshold_core::config::ServiceKind;
use eelgrasshold_net::host::{EngineOptions, EntryHost, HostOptions, StartError, UpstreamHost};
use snafu::Snafu;

use super::{DRAFTS, Fleet, FleetBuilder, RESERVATIONS};
use crate::engine::ModelEngine;
use crate::plain::PlainService;
use crate::platform::Platform;
use crate::server;

/// Pause between looks at whether the fleet is ready.
const PAUSE: Duration = Duration::from_millis(20);
/// Looks after which a fleet counts as never ready.
const LOOKS: u32 = 1_500;
/// Data centres, which entry hosts and upstreams take in turn.
const DATA_CENTRES: [&str; 3] = ["erie-1", "huron-1", "superior-1"];

/// Why a fleet did not start.
#[derive(Debug, Snafu)]
pub enum FleetError {
    /// A stand-in did not start.
    #[snafu(display("a stand-in did not start: {source}"), context(false))]
    StandIn {
        /// Cause.
        source: server::StartError,
    },
    /// A process did not start.
    #[snafu(display("{source}"), context(false))]
    Process {
        /// Cause.
        source: StartError,
    },
    /// The configuration was not accepted.
    #[snafu(display("the configuration was not published: {reason}"))]
    Publish {
        /// Reason.
        reason: String,
    },
    /// Some entry host has no configuration or lacks upstreams.
    #[snafu(display("the fleet did not get ready"))]
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
        let options = options(&builder, &fleet, "entry", n);
        fleet.entries.push(EntryHost::start(options).await?);
    }
    for n in 0..builder.engines {
        let engine = ModelEngine::builder().spec(builder.spec).start()?;
        let behind = behind(engine.address().to_string(), DRAFTS, ServiceKind::Model);
        let options = options(&builder, &fleet, "draft", n);
        fleet
            .upstreams
            .push(UpstreamHost::start(options, behind).await?);
        fleet.engines.push(engine);
    }
    for n in 0..builder.plain_services {
        let plain = PlainService::builder().start()?;
        let behind = behind(
            plain.address().to_string(),
            RESERVATIONS,
            ServiceKind::Plain,
        );
        let options = options(&builder, &fleet, "reserve", n);
        fleet
            .upstreams
            .push(UpstreamHost::start(options, behind).await?);
        fleet.plain_services.push(plain);
    }
    for _ in 0..LOOKS {
        if fleet.is_ready(revision) {
            return Ok(fleet);
        }
        tokio::time::sleep(PAUSE).await;
    }
    NotReadySnafu.fail()
}

fn behind(address: String, service: &str, kind: ServiceKind) -> EngineOptions {
    EngineOptions {
        address,
        service: service.to_owned(),
        kind,
    }
}

fn options(builder: &FleetBuilder, fleet: &Fleet, kind: &str, n: usize) -> HostOptions {
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
