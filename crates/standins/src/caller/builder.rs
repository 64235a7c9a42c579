//! Builder and settings of a caller.

use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::Instant;

use super::Caller;
use super::hosts::HostTable;
use crate::client::Client;

/// Settings that a caller keeps after it is built.
#[derive(Clone, Debug)]
pub(super) struct Settings {
    pub(super) name: String,
    pub(super) team: Option<String>,
    pub(super) priority: Option<u8>,
    pub(super) deadline: Duration,
    pub(super) max_resumes: u32,
}

/// Builder of a [`Caller`].
#[derive(Clone, Debug)]
pub struct CallerBuilder {
    seed_urls: Vec<String>,
    settings: Settings,
    seed: u64,
    http2: bool,
}

impl CallerBuilder {
    pub(super) fn new(seed_urls: Vec<String>) -> Self {
        Self {
            seed_urls,
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

    /// Sets the prefix of generated request ids; `caller` by default. Callers that share a fleet
    /// need different names so that their ids don't collide.
    #[must_use]
    pub fn name(mut self, name: &str) -> Self {
        name.clone_into(&mut self.settings.name);
        self
    }

    /// Sets the team in the `eel-team` header of each request; the header is omitted by default.
    #[must_use]
    pub fn team(mut self, team: &str) -> Self {
        self.settings.team = Some(team.to_owned());
        self
    }

    /// Sets the priority in the `eel-priority` header, 0 (highest) to 7; the header is omitted by
    /// default.
    #[must_use]
    pub fn priority(mut self, priority: u8) -> Self {
        self.settings.priority = Some(priority);
        self
    }

    /// Sets the deadline of each request, counted from its start and sent as `eel-deadline-ms`;
    /// 30 s by default.
    #[must_use]
    pub fn deadline(mut self, deadline: Duration) -> Self {
        self.settings.deadline = deadline;
        self
    }

    /// Sets how often a broken completion stream is resumed before the request ends as
    /// [`Outcome::Cut`](super::Outcome::Cut); 3 by default.
    #[must_use]
    pub fn max_resumes(mut self, max_resumes: u32) -> Self {
        self.settings.max_resumes = max_resumes;
        self
    }

    /// Seeds the random choice between entry hosts; 1 by default.
    #[must_use]
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Sends requests over HTTP/2 without TLS instead of HTTP/1.1.
    #[must_use]
    pub fn http2(mut self) -> Self {
        self.http2 = true;
        self
    }

    /// Builds the caller without contacting any entry host.
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
            table: Mutex::new(HostTable::new(self.seed_urls)),
            rng: Mutex::new(SmallRng::seed_from_u64(self.seed)),
            refreshing: tokio::sync::Mutex::default(),
            next_id: AtomicU64::new(1),
        }
    }
}
