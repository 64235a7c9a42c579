//! Caller of the system for tests, `quickstart` and `load`.
//!
//! It asks an entry host which addresses to use, keeps the answer for its
//! validity, sends drafts and plain calls, and checks each answer against what
//! the stand-ins of engine and plain service must say. A draft that breaks off
//! is resumed through another entry host.

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

/// Longest time to wait for the list of entry hosts from one of them.
const HOSTS_TIMEOUT: Duration = Duration::from_secs(1);

/// A caller.
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
    /// A builder; `entries` are the URLs that the caller knows from the start.
    #[must_use]
    pub fn builder(entries: Vec<String>) -> CallerBuilder {
        CallerBuilder::new(entries)
    }

    /// A new request id.
    #[must_use]
    pub fn request_id(&self) -> String {
        let number = self.next_id.fetch_add(1, Ordering::Relaxed);
        format!("{}-{number}", self.settings.name)
    }

    /// Addresses of the entry hosts that the caller knows from an answer.
    #[must_use]
    pub fn entry_hosts(&self) -> Vec<EntryHost> {
        self.lock_table().known().to_vec()
    }

    /// Chooses an entry host that is not in `tried`, after asking for them anew if need be.
    async fn choose(&self, tried: &BTreeSet<String>) -> Option<String> {
        self.refresh().await;
        let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
        self.lock_table().choose(&mut *rng, tried)
    }

    /// Asks for the entry hosts unless the last answer is still valid. If
    /// nobody answers, the old ones remain in use.
    async fn refresh(&self) {
        if self.lock_table().is_valid(self.now()) {
            return;
        }
        let _one_at_a_time = self.refreshing.lock().await;
        if self.lock_table().is_valid(self.now()) {
            return;
        }
        let candidates = self.lock_table().candidates();
        for address in candidates {
            if let Some(answer) = self.ask(&address).await {
                let now = self.now();
                self.lock_table().set(now, answer);
                return;
            }
        }
    }

    async fn ask(&self, address: &str) -> Option<EntryHosts> {
        let url = format!("{address}/v1/entry-hosts");
        let answer = tokio::time::timeout(HOSTS_TIMEOUT, self.client.get(&url)).await;
        let answer = answer.ok()?.ok()?;
        serde_json::from_slice(&answer.body)
            .inspect_err(|error| log::warn!("{url} gave an unusable answer: {error}"))
            .ok()
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    fn lock_table(&self) -> MutexGuard<'_, HostTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
