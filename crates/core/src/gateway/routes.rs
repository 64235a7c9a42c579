//! Operators' configuration of a gateway: routes, services, teams and limits of callers.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::types::{DataCentreId, ServiceId, TeamId, WorkClass};

/// Version of a route table; operators only raise it.
pub type TableVersion = u64;
/// API key that identifies the team of a caller.
pub type ApiKey = String;

/// How the requests of a route may be repeated and answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteKind {
    /// Single answer; a request may run more than once.
    Safe,
    /// Single answer; a request may run at most once.
    Unsafe,
    /// Event stream with increasing ids.
    Stream {
        /// Whether another upstream may continue the stream after the last event that was
        /// forwarded.
        resumable: bool,
    },
}

impl RouteKind {
    /// Work class of the requests: idempotent ones may run again.
    #[must_use]
    pub fn class(self) -> WorkClass {
        match self {
            Self::Safe | Self::Stream { resumable: true } => WorkClass::Idempotent,
            Self::Unsafe | Self::Stream { resumable: false } => WorkClass::NonIdempotent,
        }
    }

    /// Name, for logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Safe => "safe",
            Self::Unsafe => "unsafe",
            Self::Stream { .. } => "stream",
        }
    }

    /// Whether the answer is a stream of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A route: the requests that it matches and how they are handled.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Name of the route, for logs.
    pub name: String,
    /// Host name that requests must carry.
    pub host: String,
    /// Prefix of the path; begins and ends with a slash.
    pub path_prefix: String,
    /// How its requests may be repeated and answered.
    pub kind: RouteKind,
    /// Longest time that a request may take; a shorter deadline of the caller takes precedence.
    pub timeout: Duration,
    /// Target time to the answer, or to the first event.
    pub target_latency: Duration,
    /// Target for the longest pause between two events of a stream.
    pub target_pause: Option<Duration>,
    /// Largest number of upstreams that a request may be sent to.
    pub attempts: u32,
    /// Priority of its requests; 0 is the highest.
    pub priority: u8,
    /// Whether requests need no key.
    pub public: bool,
    /// Services that run its requests, with their weights.
    pub services: Vec<(ServiceId, u32)>,
}

/// Shortest time without an event after which callers abandon a stream.
const MIN_PATIENCE: Duration = Duration::from_secs(2);
/// Multiple of the target time to the first event after which callers abandon a stream, if longer.
const PATIENCE_PER_TARGET_LATENCY: u32 = 4;
/// Multiple of the target pause between events after which callers abandon a stream, if longer.
const PATIENCE_PER_TARGET_PAUSE: u32 = 8;

impl Route {
    /// Time without an event after which callers abandon a stream.
    #[must_use]
    pub fn patience(&self) -> Duration {
        let pause = self.target_pause.unwrap_or_default();
        MIN_PATIENCE
            .max(self.target_latency * PATIENCE_PER_TARGET_LATENCY)
            .max(pause * PATIENCE_PER_TARGET_PAUSE)
    }

    /// Chooses the service of a request at random by weight. `None` if the route has no service.
    pub fn choose_service(&self, rng: &mut impl Rng) -> Option<&ServiceId> {
        let total: u32 = self.services.iter().map(|s| s.1).sum();
        if total == 0 || self.services.len() == 1 {
            return self.services.first().map(|s| &s.0);
        }
        let mut left = rng.random_range(0..total);
        for (service, weight) in &self.services {
            if left < *weight {
                return Some(service);
            }
            left -= weight;
        }
        None
    }
}

/// Timing and memory model of an engine; all upstreams of a service share it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineProfile {
    /// Number of requests that run in one batch.
    pub slots: u32,
    /// Number of tokens that fit into the engine's memory.
    pub memory_tokens: u64,
    /// Fixed duration of one token step.
    pub step: Duration,
    /// Additional duration of a step per request that generates tokens.
    pub step_per_request: Duration,
    /// Additional duration of a step per 1,000 tokens of context.
    pub step_per_1k_context: Duration,
    /// Prompt tokens that are processed per second.
    pub prompt_tokens_per_s: f64,
    /// Largest number of prompt tokens that one step processes.
    pub prompt_tokens_per_step: u32,
    /// Number of token steps in one pass.
    pub steps_per_pass: u32,
    /// Mean length of a prompt, in tokens.
    pub usual_prompt: u32,
    /// Mean length of an answer, in tokens.
    pub usual_answer: u32,
    /// Age of the state that an engine reports to hosts other than its own.
    pub report_lag: Duration,
    /// Expert layout, if the engines are ranks of groups.
    pub experts: Option<ExpertLayout>,
}

/// Expert layout of a group of ranks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExpertLayout {
    /// Number of sets of layers; the layers of a set share one map.
    pub sets: u32,
    /// Number of experts in each set.
    pub experts: u32,
    /// Number of experts that one rank may hold per set.
    pub slots_per_rank: u32,
    /// Number of experts that one rank may load per set in one rollout.
    pub spare: u32,
    /// Share of the work per token that experts do, from 0 to 1.
    pub share: f64,
    /// Size of one expert's weights, in megabytes.
    pub expert_mb: f64,
    /// Rate at which a rank copies weights, in megabits a second.
    pub link_mbps: f64,
    /// Time until a group opens again after the loss of a rank.
    pub form_time: Duration,
}

/// A service that routes send requests to.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendService {
    /// Path of the health check of its upstreams.
    pub health_path: String,
    /// Connections that one upstream accepts from all clients together; 0 if unknown.
    pub max_connections: u32,
    /// Model of the engines, if the upstreams are engines.
    pub engine: Option<EngineProfile>,
    /// Time for which an upstream is cold after it starts.
    pub cold_start: Duration,
    /// Requests a second that a cold upstream should get at most; 0 if there is no limit.
    pub cold_per_s: f64,
    /// Known one-way network delays between data centres.
    pub delays: BTreeMap<(DataCentreId, DataCentreId), Duration>,
}

/// Size and time limits for callers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerLimits {
    /// Largest total size of the headers, in bytes.
    pub header_bytes: usize,
    /// Largest size of the body, in bytes.
    pub body_bytes: usize,
    /// Longest time until the headers of a request have been received.
    pub header_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Limits of a table without any: those of an entry host's listener for callers.
    fn default() -> Self {
        Self {
            header_bytes: 32 << 10,
            body_bytes: 4 << 20,
            header_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(60),
        }
    }
}

/// Settings of a team that sends requests.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerTeam {
    /// Priority of its requests, which overrides that of the route; 0 is the highest.
    pub priority: Option<u8>,
}

/// Complete configuration of a gateway at one version.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteTable {
    /// Version of the table; only rises.
    pub version: TableVersion,
    /// Services by name.
    pub services: BTreeMap<ServiceId, BackendService>,
    /// Size and time limits for callers.
    pub limits: CallerLimits,
    /// Teams by name; if there are none, requests need no key.
    pub teams: BTreeMap<TeamId, CallerTeam>,
    /// Team of each key.
    keys: BTreeMap<ApiKey, TeamId>,
    /// Routes by host name and path prefix.
    routes: BTreeMap<String, BTreeMap<String, Arc<Route>>>,
}

impl RouteTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new(version: TableVersion) -> Self {
        Self {
            version,
            ..Self::default()
        }
    }

    /// Adds a route, replacing any with the same host name and prefix.
    pub fn add_route(&mut self, route: Route) {
        let host_routes = self.routes.entry(route.host.clone()).or_default();
        host_routes.insert(route.path_prefix.clone(), Arc::new(route));
    }

    /// Adds a team with its keys.
    pub fn add_team(&mut self, name: TeamId, team: CallerTeam, keys: Vec<ApiKey>) {
        for key in keys {
            self.keys.insert(key, name.clone());
        }
        self.teams.insert(name, team);
    }

    /// All routes, ordered by host name and path prefix.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.routes
            .values()
            .flat_map(BTreeMap::values)
            .map(Arc::as_ref)
    }

    /// Finds the route with the longest prefix of the path. `host` may include a port.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.split_once(':').map_or(host, |(name, _)| name);
        let host_routes = self.routes.get(name).or_else(|| self.routes.get(host))?;
        let mut ends = path.rmatch_indices('/').map(|(at, _)| at + 1);
        ends.find_map(|end| host_routes.get(&path[..end]))
    }

    /// Team that owns a key.
    #[must_use]
    pub fn team_of(&self, key: &str) -> Option<&TeamId> {
        self.keys.get(key)
    }
}
