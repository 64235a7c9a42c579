//! Entry hosts, upstream processes and engines, joined by an event loop in virtual time.

mod baseline;
mod node;
mod run;

use std::collections::BTreeMap;
use std::time::Duration;

use eelgrasshold_core::config::{Config, Service, Team};
use eelgrasshold_core::serving::queue::Policy;
use eelgrasshold_core::types::{Now, RefusalKind, Request, Run, TeamId};
use eelgrasshold_standins::model::Spec;

pub use run::run;

/// Name of the one service.
pub const SERVICE: &str = "drafts";

/// How entry hosts choose an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Routing {
    /// The entry machine of the core.
    Core,
    /// Each entry host takes the upstreams in turn.
    RoundRobin,
    /// Each entry host takes the upstream with the fewest own requests.
    LeastOutstanding,
    /// Like the least outstanding, and a failed attempt is always retried.
    RetryAlways,
}

/// How upstream processes order work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Queueing {
    /// The upstream machine of the core.
    Core,
    /// In order of arrival, without admission.
    Fifo,
}

/// What is compared: a name, a way to route and a way to queue.
pub type Compared = (&'static str, Routing, Queueing);

/// The core's policies.
pub const CORE: Compared = ("eelgrasshold", Routing::Core, Queueing::Core);
/// The core's routing in front of plain FIFO queues.
pub const FIFO: Compared = ("fifo", Routing::Core, Queueing::Fifo);
/// Baseline.
pub const ROUND_ROBIN: Compared = ("round_robin", Routing::RoundRobin, Queueing::Fifo);
/// Baseline.
pub const LEAST_OUTSTANDING: Compared = (
    "least_outstanding",
    Routing::LeastOutstanding,
    Queueing::Fifo,
);

/// Baseline for failures.
pub const RETRY_ALWAYS: Compared = ("retry_always", Routing::RetryAlways, Queueing::Fifo);

/// The fleet of a run.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// Entry hosts.
    pub entries: usize,
    /// Upstreams, each with an engine.
    pub upstreams: usize,
    /// Sizes and speeds of the engines.
    pub spec: Spec,
    /// Policy of the upstream processes.
    pub policy: Policy,
    /// Teams.
    pub teams: BTreeMap<TeamId, Team>,
    /// Faults of engines, in order of time.
    pub faults: Vec<(Now, usize, Fault)>,
}

/// A fault of an engine.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// It dies and takes work again after a time.
    Crash(Duration),
}

impl Fleet {
    /// The fleet of one user today: 7 entry hosts and 12 replicas.
    pub fn today(teams: &[TeamId]) -> Self {
        let spec = Spec::default();
        Self {
            entries: 7,
            upstreams: 12,
            policy: Policy::builder().concurrency(spec.slots).build(),
            spec,
            teams: teams.iter().map(|t| (t.clone(), Team::default())).collect(),
            faults: Vec::new(),
        }
    }

    fn config(&self) -> Config {
        Config {
            revision: 1,
            services: BTreeMap::from([(SERVICE.into(), Service::default())]),
            teams: self.teams.clone(),
            groups: BTreeMap::new(),
        }
    }
}

/// A request of a caller, with the answer that the model will give.
#[derive(Clone, Debug)]
pub struct Call {
    /// When it arrives.
    pub at: Now,
    /// Entry host that the caller uses.
    pub entry: usize,
    /// Metadata.
    pub request: Request,
    /// Tokens of the prompt that belong to the shared prefix.
    pub prefix_tokens: u32,
    /// Tokens of the answer.
    pub output_tokens: u32,
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The whole answer was passed on.
    Finished,
    /// It was refused or cut.
    Refused(RefusalKind, Run),
}

/// What happened to a call.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    /// When its first token was passed on.
    pub first_token: Option<Now>,
    /// When and how it ended.
    pub end: Option<(Now, End)>,
    /// Attempts that were dispatched.
    pub attempts: u32,
}

impl Outcome {
    /// When the whole answer was passed on.
    pub fn finished(&self) -> Option<Now> {
        match self.end {
            Some((at, End::Finished)) => Some(at),
            _ => None,
        }
    }
}

/// What a run gave.
#[derive(Clone, Debug, Default)]
pub struct Results {
    /// Outcome of each call.
    pub outcomes: Vec<Outcome>,
    /// Tokens that each engine produced.
    pub tokens: Vec<u64>,
    /// Jobs with a prefix, and those that found it cached.
    pub prefix_counts: (u64, u64),
}
