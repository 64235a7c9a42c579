//! Client of the system for tests, `quickstart` and `load`.
//!
//! A caller fetches the list of entry hosts from one of them and caches it for
//! its validity. It sends completion requests and plain requests, and checks
//! each answer against what the stand-in engine or plain service must return.
//! A broken completion stream is resumed through another entry host.

mod builder;
mod call;
mod completion;
mod hosts;
mod outcome;
mod sse;

#[cfg(test)]
mod tests;

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::rngs::SmallRng;
use tokio::time::Instant;

pub use builder::CallerBuilder;
pub use call::PlainCall;
pub use completion::CompletionCall;
pub use hosts::{EntryHost, EntryHosts};
pub use outcome::{Outcome, Report};

use crate::client::Client;
use builder::Settings;
use hosts::HostTable;

/// Time limit for fetching the list of entry hosts from one of them.
const ENTRY_HOSTS_TIMEOUT: Duration = Duration::from_secs(1);

/// Sends requests to entry hosts and checks the answers; see the [module](self) for details.
pub struct Caller {
    settings: Settings,
    client: Client,
    started: Instant,
    table: Mutex<HostTable>,
    rng: Mutex<SmallRng>,
    refreshing: tokio::sync::Mutex<()>,
    next_id: AtomicU64,
}

impl Caller {
    /// Creates a builder. `seed_urls` are base URLs of entry hosts, used until one of them has
    /// returned the list of entry hosts, and again if no listed host can be reached.
    #[must_use]
    pub fn builder(seed_urls: Vec<String>) -> CallerBuilder {
        CallerBuilder::new(seed_urls)
    }

    /// Returns a request id that this caller has not returned before: its name and a number.
    #[must_use]
    pub fn request_id(&self) -> String {
        let number = self.next_id.fetch_add(1, Ordering::Relaxed);
        format!("{}-{number}", self.settings.name)
    }

    /// Entry hosts of the last fetched list; empty before the first one. Seed URLs are not included.
    #[must_use]
    pub fn entry_hosts(&self) -> Vec<EntryHost> {
        self.lock_table().known().to_vec()
    }

    /// Chooses an entry host that is not in `tried`, after fetching the list if it has expired.
    async fn choose(&self, tried: &BTreeSet<String>) -> Option<String> {
        self.refresh().await;
        let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
        self.lock_table().choose(&mut *rng, tried)
    }

    /// Fetches the list of entry hosts unless the last one is still valid. If no host answers, the
    /// expired list stays in use.
    async fn refresh(&self) {
        if self.lock_table().is_valid(self.now()) {
            return;
        }
        let _single_refresh = self.refreshing.lock().await;
        if self.lock_table().is_valid(self.now()) {
            return;
        }
        let candidates = self.lock_table().candidates();
        for address in candidates {
            if let Some(answer) = self.fetch_entry_hosts(&address).await {
                let now = self.now();
                self.lock_table().set(now, answer);
                return;
            }
        }
    }

    async fn fetch_entry_hosts(&self, address: &str) -> Option<EntryHosts> {
        let url = format!("{address}/v1/entry-hosts");
        let answer = tokio::time::timeout(ENTRY_HOSTS_TIMEOUT, self.client.get(&url)).await;
        let answer = answer.ok()?.ok()?;
        serde_json::from_slice(&answer.body)
            .inspect_err(|error| log::warn!("invalid list of entry hosts from {url}: {error}"))
            .ok()
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    fn lock_table(&self) -> MutexGuard<'_, HostTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
