//! A fleet that runs in one process, on ephemeral loopback ports.
//!
//! Entry hosts and upstream processes are the production code; platform,
//! engines and plain services are stand-ins. Tests and `quickstart` use it.

mod builder;
mod start;

use eelgrasshold_core::config::{Config, PublishOutcome};
use eelgrasshold_net::host::{EntryHost, UpstreamHost};
use eelgrasshold_net::platform::{Platform as PlatformClient, publish_config, read_config};

pub use builder::{FleetBuilder, sample_config};
pub use start::FleetError;

use crate::engine::ModelEngine;
use crate::plain::PlainService;
use crate::platform::Platform;

/// Name of the model service that all engines of a fleet serve.
pub const DRAFTS: &str = "drafts";
/// Name under which all plain services of a fleet are registered.
pub const RESERVATIONS: &str = "reservations";

/// A running fleet. Tests may take hosts out of the lists to stop them.
pub struct Fleet {
    /// Stand-in platform that holds the configuration and the claims.
    pub platform: Platform,
    /// Engines, in the order of their upstream processes.
    pub engines: Vec<ModelEngine>,
    /// Plain services, in the order of their upstream processes.
    pub plain_services: Vec<PlainService>,
    /// Upstream processes: those of the engines, followed by those of the plain services.
    pub upstreams: Vec<UpstreamHost>,
    /// Entry hosts, in the order in which they were started.
    pub entries: Vec<EntryHost>,
}

impl Fleet {
    /// Base URL of the platform, without a trailing slash.
    #[must_use]
    pub fn platform_url(&self) -> String {
        format!("http://{}", self.platform.address())
    }

    /// Base URLs at which the entry hosts accept requests.
    #[must_use]
    pub fn entry_urls(&self) -> Vec<String> {
        self.entries
            .iter()
            .map(|e| format!("http://{}", e.data_address()))
            .collect()
    }

    /// Publishes a configuration as the successor of the current one and returns its revision.
    ///
    /// # Errors
    ///
    /// [`FleetError::Publish`] if the current configuration can't be read or the new one is not
    /// accepted.
    pub async fn publish(&self, next: Config) -> Result<u64, FleetError> {
        let platform = PlatformClient::for_operator(&self.platform_url());
        let base = read_config(&platform)
            .await
            .map_err(|error| FleetError::Publish {
                reason: error.to_string(),
            })?;
        match publish_config(&platform, base, next, 0).await {
            PublishOutcome::Accepted(revision) => Ok(revision),
            other => Err(FleetError::Publish {
                reason: format!("{other:?}"),
            }),
        }
    }

    /// Whether each entry host has applied this configuration revision or a later one, and knows
    /// as many upstreams as the fleet has.
    #[must_use]
    pub fn is_ready(&self, revision: u64) -> bool {
        self.entries.iter().all(|entry| {
            entry.revision() >= revision && entry.known_upstreams() == self.upstreams.len()
        })
    }

    /// Stops hosts and stand-ins without draining; open requests are cut.
    pub async fn close(self) {
        for entry in self.entries {
            entry.abort();
        }
        for upstream in self.upstreams {
            upstream.abort();
        }
        for engine in self.engines {
            engine.close().await;
        }
        for plain in self.plain_services {
            plain.close().await;
        }
        self.platform.close().await;
    }
}
