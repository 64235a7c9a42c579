//! Sizes of a fleet.

use std::time::Duration;

use eelgrasshold_core::config::{Config, IdempotentCall, Service, ServiceKind, Team};

use super::start::{self, FleetError};
use super::{DRAFTS, Fleet, RESERVATIONS};
use crate::model::Spec;

/// Builder of a [`Fleet`].
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
    /// Number of entry hosts.
    #[must_use]
    pub fn entries(self, entries: usize) -> Self {
        Self { entries, ..self }
    }

    /// Number of model engines.
    #[must_use]
    pub fn engines(self, engines: usize) -> Self {
        Self { engines, ..self }
    }

    /// Number of plain services.
    #[must_use]
    pub fn plain_services(self, plain_services: usize) -> Self {
        Self {
            plain_services,
            ..self
        }
    }

    /// Configuration that is published at the start.
    #[must_use]
    pub fn config(self, config: Config) -> Self {
        Self { config, ..self }
    }

    /// Sizes and speeds of the engines.
    #[must_use]
    pub fn spec(self, spec: Spec) -> Self {
        Self { spec, ..self }
    }

    /// Longest graceful shutdown of a process.
    #[must_use]
    pub fn drain_limit(self, drain_limit: Duration) -> Self {
        Self {
            drain_limit,
            ..self
        }
    }

    /// Seed of the processes' random choices.
    #[must_use]
    pub fn seed(self, seed: u64) -> Self {
        Self { seed, ..self }
    }

    /// Starts the fleet and waits until each entry host can serve.
    ///
    /// # Errors
    ///
    /// If a process can't start or the fleet does not get ready.
    pub async fn start(self) -> Result<Fleet, FleetError> {
        start::start(self).await
    }
}

/// Two services and ten teams, three of them large.
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
