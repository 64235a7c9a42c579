//! The simulation: all processes, the events scheduled between them, and the oracle.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::sync::Arc;

use eelgrasshold_core::config::{Config, Service, ServiceKind, Team};
use eelgrasshold_core::entry::Input;
use eelgrasshold_core::platform::{Call, CallId};
use eelgrasshold_core::types::{AttemptId, Now, Request, RequestHandle};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::connection::Connection;
use super::entries::EntryProcess;
use super::oracle::{KEY_LIFETIME, Oracle};
use super::platform::Platform;
use super::upstreams::{UpstreamInput, UpstreamProcess};

thread_local! {
    static TRACE: Cell<bool> = const { Cell::new(false) };
}

/// Makes simulations that this thread creates from now on print their events.
pub fn trace_simulations() {
    TRACE.set(true);
}

const ENTRY_HOSTS: usize = 3;
/// Service of each upstream.
const SERVICES: [&str; 6] = ["drafts", "drafts", "drafts", "drafts", "cards", "cards"];

/// A scheduled event.
pub enum Event {
    Entry {
        slot: usize,
        incarnation: u64,
        input: Input,
    },
    Arrive {
        handle: RequestHandle,
    },
    Lists {
        slot: usize,
    },
    ResumeEntry {
        slot: usize,
        incarnation: u64,
    },
    Upstream {
        slot: usize,
        incarnation: u64,
        input: UpstreamInput,
    },
    ResumeUpstream {
        slot: usize,
        incarnation: u64,
    },
    EngineUp {
        slot: usize,
        incarnation: u64,
    },
    Produce {
        slot: usize,
        incarnation: u64,
        attempt: AttemptId,
    },
    Poison {
        slot: usize,
        incarnation: u64,
        attempt: AttemptId,
    },
    Call {
        entry: (usize, u64),
        id: CallId,
        call: Call,
        reply_at: Option<Now>,
    },
    Stop {
        slot: usize,
        incarnation: u64,
    },
    Resend {
        request: Request,
        entry: usize,
    },
}

pub struct Simulation {
    pub now: Now,
    pub sequence: u64,
    pub queue: BTreeMap<(Now, u64), Event>,
    pub rng: SmallRng,
    pub config: Arc<Config>,
    pub entries: Vec<EntryProcess>,
    pub upstreams: Vec<UpstreamProcess>,
    pub connections: BTreeMap<AttemptId, Connection>,
    pub platform: Platform,
    /// Whether half of the messages between daemons are lost, instead of one in twenty.
    pub lossy: bool,
    pub oracle: Oracle,
    pub last_handle: RequestHandle,
    pub trace_on: bool,
}

impl Simulation {
    pub fn new(seed: u64) -> Self {
        let mut simulation = Self {
            now: Now::ZERO,
            sequence: 0,
            queue: BTreeMap::new(),
            rng: SmallRng::seed_from_u64(seed),
            config: Arc::new(config()),
            entries: (0..ENTRY_HOSTS).map(|_| EntryProcess::new()).collect(),
            upstreams: SERVICES.into_iter().map(UpstreamProcess::new).collect(),
            connections: BTreeMap::new(),
            platform: Platform::new(),
            lossy: false,
            oracle: Oracle::default(),
            last_handle: 0,
            trace_on: TRACE.get(),
        };
        for slot in 0..SERVICES.len() {
            simulation.restart_upstream(slot);
        }
        for slot in 0..ENTRY_HOSTS {
            simulation.restart_entry(slot);
        }
        for slot in 0..ENTRY_HOSTS {
            simulation.send_lists(slot);
        }
        simulation
    }

    pub fn trace(&self, text: impl Fn() -> String) {
        if self.trace_on {
            eprintln!("{:?} {}", self.now, text());
        }
    }
}

fn config() -> Config {
    let mut config = Config {
        revision: 1,
        ..Config::default()
    };
    let drafts = Service::default();
    let cards = Service {
        kind: ServiceKind::Plain,
        key_lifetime_s: KEY_LIFETIME.as_secs(),
        ..Service::default()
    };
    config.services.insert("drafts".into(), drafts);
    config.services.insert("cards".into(), cards);
    config.teams.insert("classers".into(), Team::default());
    config
}
