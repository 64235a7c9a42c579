//! Simulation of entry hosts, upstream processes and engines in virtual time.

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

/// The only service of the simulated fleet.
pub const SERVICE: &str = "drafts";

/// How entry hosts choose an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Routing {
    /// State machine of the core crate.
    Core,
    /// Round-robin per entry host.
    RoundRobin,
    /// The upstream with the fewest open requests of the same entry host.
    LeastOutstanding,
    /// Like [`Self::LeastOutstanding`], with a retry after each failed attempt up to a limit.
    RetryAlways,
}

/// How upstream processes order work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Queueing {
    /// State machine of the core crate.
    Core,
    /// In order of arrival, without admission control.
    Fifo,
}

/// Combination of policies under comparison, with its name in the results.
pub type Variant = (&'static str, Routing, Queueing);

/// All policies of the core.
pub const CORE: Variant = ("eelgrasshold", Routing::Core, Queueing::Core);
/// Routing of the core with FIFO queues at the upstreams.
pub const FIFO: Variant = ("fifo", Routing::Core, Queueing::Fifo);
/// Round-robin routing with FIFO queues.
pub const ROUND_ROBIN: Variant = ("round_robin", Routing::RoundRobin, Queueing::Fifo);
/// Least-outstanding routing with FIFO queues.
pub const LEAST_OUTSTANDING: Variant = (
    "least_outstanding",
    Routing::LeastOutstanding,
    Queueing::Fifo,
);

/// Baseline for failures: retries without a budget.
pub const RETRY_ALWAYS: Variant = ("retry_always", Routing::RetryAlways, Queueing::Fifo);

/// Composition of the simulated fleet.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// Number of entry hosts.
    pub entries: usize,
    /// Number of upstreams, each with one engine.
    pub upstreams: usize,
    /// Capacity and speed of each engine.
    pub spec: Spec,
    /// Queueing policy of the upstream processes with [`Queueing::Core`].
    pub policy: Policy,
    /// Teams in the configuration.
    pub teams: BTreeMap<TeamId, Team>,
    /// Time and upstream of each engine fault.
    pub faults: Vec<(Now, usize, Fault)>,
}

/// A fault of an engine.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// The engine loses all its work and accepts new work after this time.
    Crash(Duration),
}

impl Fleet {
    /// Reference deployment of 7 entry hosts and 12 upstreams.
    pub fn reference(teams: &[TeamId]) -> Self {
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

/// A request of a caller, with the length of the answer to it.
#[derive(Clone, Debug)]
pub struct Call {
    /// Arrival time at the entry host.
    pub at: Now,
    /// Index of the entry host that receives it.
    pub entry: usize,
    pub request: Request,
    /// Prompt tokens in the shared prefix; the engine can take these from its prefix cache.
    pub prefix_tokens: u32,
    /// Length of the answer.
    pub output_tokens: u32,
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The complete answer was forwarded to the caller.
    Finished,
    /// The call was refused, or its answer was cut off.
    Refused(RefusalKind, Run),
}

/// Result of a call.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    /// Time at which the first token was forwarded to the caller.
    pub first_token_at: Option<Now>,
    /// Time and way in which the call ended; none if it was open at the end of the run.
    pub end: Option<(Now, End)>,
    /// Number of dispatched attempts.
    pub attempts: u32,
}

impl Outcome {
    /// Time at which the complete answer had been forwarded; none if it never was.
    pub fn finished(&self) -> Option<Now> {
        match self.end {
            Some((at, End::Finished)) => Some(at),
            _ => None,
        }
    }
}

/// Results of a run.
#[derive(Clone, Debug, Default)]
pub struct Results {
    /// Outcome of each call, in the order of the calls.
    pub outcomes: Vec<Outcome>,
    /// Number of output tokens that each engine produced.
    pub tokens_by_engine: Vec<u64>,
    /// Number of jobs with a prefix, and of those that found it in the cache.
    pub prefix_counts: (u64, u64),
}
