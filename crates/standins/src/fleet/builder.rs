//! Builder of a fleet and the configuration that it publishes by default.

use std::time::Duration;

use eelgrasshold_core::config::{Config, IdempotentCall, Service, ServiceKind, Team};

use super::start::{self, FleetError};
use super::{DRAFTS, Fleet, RESERVATIONS};
use crate::model::Spec;

/// Builder of a [`Fleet`]; two entry hosts, two model engines and one plain service by default.
#[derive(Clone, Debug)]
pub struct FleetBuilder {
    pub(super) entries: usize,
    pub(super) engines: usize,
    pub(super) plain_services: usize,
    pub(super) config: Config,
    pub(super) spec: Spec,
    pub(super) drain_limit: Duration,
    pub(super) seed: u64,
}

impl Default for FleetBuilder {
    fn default() -> Self {
        Self {
            entries: 2,
            engines: 2,
            plain_services: 1,
            config: sample_config(),
            spec: Spec::default(),
            drain_limit: Duration::from_secs(60),
            seed: 1,
        }
    }
}

impl FleetBuilder {
    /// Sets the number of entry hosts; 2 by default.
    #[must_use]
    pub fn entries(self, entries: usize) -> Self {
        Self { entries, ..self }
    }

    /// Sets the number of model engines, each behind an upstream process of its own; 2 by default.
    #[must_use]
    pub fn engines(self, engines: usize) -> Self {
        Self { engines, ..self }
    }

    /// Sets the number of plain services, each behind an upstream process of its own; 1 by default.
    #[must_use]
    pub fn plain_services(self, plain_services: usize) -> Self {
        Self {
            plain_services,
            ..self
        }
    }

    /// Sets the configuration that is published before the hosts start; [`sample_config`] by
    /// default.
    #[must_use]
    pub fn config(self, config: Config) -> Self {
        Self { config, ..self }
    }

    /// Sets the capacity and speed of each engine.
    #[must_use]
    pub fn spec(self, spec: Spec) -> Self {
        Self { spec, ..self }
    }

    /// Sets the time limit of each process's graceful shutdown; 60 s by default.
    #[must_use]
    pub fn drain_limit(self, drain_limit: Duration) -> Self {
        Self {
            drain_limit,
            ..self
        }
    }

    /// Sets the seed from which each process derives its own for random choices; 1 by default.
    #[must_use]
    pub fn seed(self, seed: u64) -> Self {
        Self { seed, ..self }
    }

    /// Starts the fleet and waits until each entry host has the configuration and knows all
    /// upstreams.
    ///
    /// # Errors
    ///
    /// If a stand-in or process can't start, the configuration is not accepted, or the fleet is
    /// not ready within 30 s.
    pub async fn start(self) -> Result<Fleet, FleetError> {
        start::start(self).await
    }
}

/// Configuration with one model service, one plain service and ten teams, three of which have
/// four times the weight of the others.
#[must_use]
pub fn sample_config() -> Config {
    let mut cfg = Config::default();
    let large = ["classers", "shearers", "mill-buyers"];
    for name in large {
        cfg.teams.insert(
            name.into(),
            Team {
                weight: 4,
                requests_per_s: None,
            },
        );
    }
    for n in 1..=7 {
        cfg.teams.insert(format!("studio-{n}"), Team::default());
    }
    let drafts = Service {
        default_team: Some("classers".into()),
        ..Service::default()
    };
    cfg.services.insert(DRAFTS.into(), drafts);
    let status = IdempotentCall {
        method: "POST".into(),
        path_prefix: "/status".into(),
    };
    let reservations = Service {
        kind: ServiceKind::Plain,
        idempotent: vec![status],
        default_deadline_ms: 5_000,
        default_team: Some("shearers".into()),
        ..Service::default()
    };
    cfg.services.insert(RESERVATIONS.into(), reservations);
    cfg
}
