//! Settings of a caller.

use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::Instant;

use super::Caller;
use super::hosts::HostTable;
use crate::client::Client;

/// What the builder sets.
#[derive(Clone, Debug)]
pub(super) struct Settings {
    pub(super) name: String,
    pub(super) team: Option<String>,
    pub(super) priority: Option<u8>,
    pub(super) deadline: Duration,
    pub(super) max_resumes: u32,
}

/// Settings of a caller.
#[derive(Clone, Debug)]
pub struct CallerBuilder {
    entries: Vec<String>,
    settings: Settings,
    seed: u64,
    http2: bool,
}

impl CallerBuilder {
    pub(super) fn new(entries: Vec<String>) -> Self {
        Self {
            entries,
            settings: Settings {
                name: "caller".into(),
                team: None,
                priority: None,
                deadline: Duration::from_secs(30),
                max_resumes: 3,
            },
            seed: 1,
            http2: false,
        }
    }

    /// Name, the first part of its request ids; callers of one test need different ones.
    #[must_use]
    pub fn name(mut self, name: &str) -> Self {
        name.clone_into(&mut self.settings.name);
        self
    }

    /// Team that requests name; none by default.
    #[must_use]
    pub fn team(mut self, team: &str) -> Self {
        self.settings.team = Some(team.to_owned());
        self
    }

    /// Priority that requests name, 0 (highest) to 7; none by default.
    #[must_use]
    pub fn priority(mut self, priority: u8) -> Self {
        self.settings.priority = Some(priority);
        self
    }

    /// Time that a request may take; 30 s by default.
    #[must_use]
    pub fn deadline(mut self, deadline: Duration) -> Self {
        self.settings.deadline = deadline;
        self
    }

    /// How often a draft is resumed; 3 by default.
    #[must_use]
    pub fn max_resumes(mut self, max_resumes: u32) -> Self {
        self.settings.max_resumes = max_resumes;
        self
    }

    /// Seed of the choice between entry hosts; 1 by default.
    #[must_use]
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Uses HTTP/2 in place of HTTP/1.1.
    #[must_use]
    pub fn http2(mut self) -> Self {
        self.http2 = true;
        self
    }

    /// Builds the caller.
    #[must_use]
    pub fn build(self) -> Caller {
        let client = if self.http2 {
            Client::new_http2()
        } else {
            Client::new()
        };
        Caller {
            settings: self.settings,
            client,
            started: Instant::now(),
            table: Mutex::new(HostTable::new(self.entries)),
            rng: Mutex::new(SmallRng::seed_from_u64(self.seed)),
            refreshing: tokio::sync::Mutex::default(),
            next_id: AtomicU64::new(1),
        }
    }
}
