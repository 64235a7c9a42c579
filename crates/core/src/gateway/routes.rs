//! The operators' configuration of a gateway: routes, services, teams and limits of callers.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::types::{DataCentreId, ServiceId, TeamId, WorkClass};

/// Number of a route table; operators only raise it.
pub type TableVersion = u64;
/// Key by which a caller shows its team.
pub type ApiKey = String;

/// What may be done with the requests of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteKind {
    /// A plain answer; the request may run more than once.
    Safe,
    /// A plain answer; each request may run once at most.
    Unsafe,
    /// A stream of events with rising ids.
    Stream {
        /// The stream may go on at another upstream after the last event that was passed on.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request may be run again.
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

/// A route: which requests it takes and how they are treated.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Name, for logs.
    pub name: String,
    /// Host name that requests carry.
    pub host: String,
    /// Start of the path; begins and ends with a slash.
    pub path_prefix: String,
    /// What may be done with its requests.
    pub kind: RouteKind,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time to the answer, or to the first event, within which it is on time.
    pub target_latency: Duration,
    /// Longest pause between two events of a stream that is on time.
    pub target_pause: Option<Duration>,
    /// Most upstreams that one request may be sent to.
    pub attempts: u32,
    /// Rank among routes, 0 first.
    pub priority: u8,
    /// Requests need no key.
    pub public: bool,
    /// Services that run its requests, with the weights of their shares.
    pub services: Vec<(ServiceId, u32)>,
}

impl Route {
    /// Chooses the service of one request by the weights.
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

/// How an engine spends time and memory; all upstreams of a service have the same.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineProfile {
    /// Requests that run in one batch.
    pub slots: u32,
    /// Tokens that fit into the engine's memory.
    pub memory_tokens: u64,
    /// Fixed time of one token step.
    pub step: Duration,
    /// Time of a step for each request that writes.
    pub step_per_request: Duration,
    /// Time of a step for each 1,000 tokens of context.
    pub step_per_1k_context: Duration,
    /// Prompt tokens that are read in a second.
    pub prompt_tokens_per_s: f64,
    /// Most prompt tokens that are read in one step.
    pub prompt_tokens_per_step: u32,
    /// Token steps of one pass.
    pub steps_per_pass: u32,
    /// Mean tokens of a prompt.
    pub usual_prompt: u32,
    /// Mean tokens of an answer.
    pub usual_answer: u32,
    /// Age of the state that an engine reports to other hosts than its own.
    pub report_lag: Duration,
    /// Layout of the experts, where engines are ranks of groups.
    pub experts: Option<ExpertLayout>,
}

/// Experts of a group of ranks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExpertLayout {
    /// Sets of layers that share one map.
    pub sets: u32,
    /// Experts in each set.
    pub experts: u32,
    /// Experts that one rank may hold in a set.
    pub slots_per_rank: u32,
    /// Experts that one rank may load in a set in one step.
    pub spare: u32,
    /// Share of the work for a token that experts do.
    pub share: f64,
    /// Size of one expert's weights, in megabytes.
    pub expert_mb: f64,
    /// Rate at which a rank copies weights, in megabits a second.
    pub link_mbps: f64,
    /// Time until a broken group opens again.
    pub form_time: Duration,
}

/// A service that routes send requests to.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendService {
    /// Path of the upstreams' health check.
    pub health_path: String,
    /// Connections that one upstream accepts from all callers together; 0 if unknown.
    pub max_connections: u32,
    /// Profile of the engines, if the upstreams are engines.
    pub engine: Option<EngineProfile>,
    /// One-way delays between data centres, as far as they are known.
    pub delays: BTreeMap<(DataCentreId, DataCentreId), Duration>,
}

/// What a caller may send and how long it may take.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerLimits {
    /// Largest headers, in bytes.
    pub header_bytes: usize,
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Longest time until the headers of a request have arrived.
    pub header_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Limits of a table that names none: those of the callers' listener of an entry host.
    fn default() -> Self {
        Self {
            header_bytes: 32 << 10,
            body_bytes: 4 << 20,
            header_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(60),
        }
    }
}

/// A team that calls.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerTeam {
    /// Rank among teams, 0 first; goes before the route's.
    pub priority: Option<u8>,
}

/// The whole configuration of a gateway at one version.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteTable {
    /// Version, which only grows.
    pub version: TableVersion,
    /// Services by name.
    pub services: BTreeMap<ServiceId, BackendService>,
    /// Limits of callers.
    pub limits: CallerLimits,
    /// Teams by name; without any, requests need no key.
    pub teams: BTreeMap<TeamId, CallerTeam>,
    /// Team of each key.
    keys: BTreeMap<ApiKey, TeamId>,
    /// Routes by host name and path prefix.
    routes: BTreeMap<String, BTreeMap<String, Arc<Route>>>,
}

impl RouteTable {
    /// An empty table.
    #[must_use]
    pub fn new(version: TableVersion) -> Self {
        Self {
            version,
            ..Self::default()
        }
    }

    /// Adds a route; one with the same host name and prefix is replaced.
    pub fn add_route(&mut self, route: Route) {
        let of_host = self.routes.entry(route.host.clone()).or_default();
        of_host.insert(route.path_prefix.clone(), Arc::new(route));
    }

    /// Adds a team with its keys.
    pub fn add_team(&mut self, name: TeamId, team: CallerTeam, keys: Vec<ApiKey>) {
        for key in keys {
            self.keys.insert(key, name.clone());
        }
        self.teams.insert(name, team);
    }

    /// All routes.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.routes
            .values()
            .flat_map(BTreeMap::values)
            .map(Arc::as_ref)
    }

    /// The route with the longest prefix that begins the path. `host` may name a port.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.split_once(':').map_or(host, |(name, _)| name);
        let of_host = self.routes.get(name).or_else(|| self.routes.get(host))?;
        let mut ends = path.rmatch_indices('/').map(|(at, _)| at + 1);
        ends.find_map(|end| of_host.get(&path[..end]))
    }

    /// The team that holds a key.
    #[must_use]
    pub fn team_of(&self, key: &str) -> Option<&TeamId> {
        self.keys.get(key)
    }
}
