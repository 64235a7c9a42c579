//! A whole fleet in one process, on loopback with ephemeral ports.
//!
//! Entry hosts and upstream processes are the real ones; platform, engines and
//! plain services are stand-ins. Tests and `quickstart` use it.

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

/// Name of the service of the model engines.
pub const DRAFTS: &str = "drafts";
/// Name of the plain service.
pub const RESERVATIONS: &str = "reservations";

/// A running fleet.
pub struct Fleet {
    /// The platform.
    pub platform: Platform,
    /// Engines, in the order of their upstream processes.
    pub engines: Vec<ModelEngine>,
    /// Plain services, in the order of their upstream processes.
    pub plain_services: Vec<PlainService>,
    /// Upstream processes: first those of the engines, then those of the plain services.
    pub upstreams: Vec<UpstreamHost>,
    /// Entry hosts.
    pub entries: Vec<EntryHost>,
}

impl Fleet {
    /// Base URL of the platform.
    #[must_use]
    pub fn platform_url(&self) -> String {
        format!("http://{}", self.platform.address())
    }

    /// URLs of the entry hosts.
    #[must_use]
    pub fn entry_urls(&self) -> Vec<String> {
        self.entries
            .iter()
            .map(|e| format!("http://{}", e.data_address()))
            .collect()
    }

    /// Publishes a configuration on top of the present one.
    ///
    /// # Errors
    ///
    /// If it was not accepted.
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

    /// Whether each entry host has a revision and knows all upstreams.
    #[must_use]
    pub fn is_ready(&self, revision: u64) -> bool {
        self.entries.iter().all(|entry| {
            entry.revision() >= revision && entry.known_upstreams() == self.upstreams.len()
        })
    }

    /// Stops everything at once.
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
