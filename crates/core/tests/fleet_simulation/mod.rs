//! Simulation of many fleet state machines in virtual time, with an in-memory platform and a
//! network that delays, drops, duplicates and reorders messages. Nodes can be partitioned, paused
//! and killed.
//!
//! Used by the fuzz test and the experiments.
#![allow(dead_code, missing_docs)]

pub mod checks;
pub mod platform;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use bincode::Options;
use eelgrasshold_core::config::Config;
use eelgrasshold_core::entry::UpstreamInfo;
use eelgrasshold_core::fleet::{
    EntryHosts, FleetEntry, FleetMessage, FleetSettings, FleetUpstream, Input, Output, Timer,
};
use eelgrasshold_core::platform::{CallId, Reply};
use eelgrasshold_core::types::{Now, Revision};
use platform::{Platform, PlatformState};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Bytes of a message besides its content: frame length 4, tarpc envelope about 40, TCP/IP
/// headers 52.
pub const WIRE_BYTES: u64 = 96;
/// Interval at which pending watches of the platform are checked.
const WATCH_CHECK_PERIOD: Duration = Duration::from_millis(20);

/// The fleet state machine of a node.
pub enum Machine {
    Entry(Box<FleetEntry>),
    Upstream(Box<FleetUpstream>),
}

impl Machine {
    pub fn handle(&mut self, now: Now, input: Input) -> Vec<Output> {
        match self {
            Self::Entry(m) => m.handle(now, input),
            Self::Upstream(m) => m.handle(now, input),
        }
    }

    pub fn highest_revision(&self) -> Revision {
        match self {
            Self::Entry(m) => m.highest_revision(),
            Self::Upstream(m) => m.highest_revision(),
        }
    }
}

/// A process that may be running, paused or dead.
pub struct Node {
    pub settings: FleetSettings,
    pub is_entry: bool,
    pub machine: Option<Machine>,
    /// Number of starts, by which timers and replies of earlier incarnations are dropped.
    pub starts: u64,
    pub leaving: bool,
    pub paused_until: Now,
    pub started_at: Now,
    /// Revision that the previous incarnation had in force.
    pub previous_revision: Revision,
    pub in_force: Option<Arc<Config>>,
    /// Highest revision announced by the messages that this incarnation received.
    pub highest_received_revision: Revision,
    pub hosts: EntryHosts,
    pub upstreams: Vec<UpstreamInfo>,
    pub applied_at: BTreeMap<Revision, Now>,
    pub sent_bytes: u64,
    pub received_bytes: u64,
    pub window_bytes: u64,
    pub peak_window_bytes: u64,
    pub events: BTreeMap<u16, u64>,
}

/// A scheduled input of a node.
enum Scheduled {
    /// Receiving node, message and its bytes on the wire.
    Deliver(usize, Box<FleetMessage>, u64),
    /// Node, number of its start, and timer.
    Timer(usize, u64, Timer),
    /// Node, number of its start and call; and the reply.
    Reply((usize, u64, CallId), Reply),
}

/// State of the network, with its faults.
#[derive(Clone, Debug, Default)]
pub struct Network {
    pub delay_ms: (u64, u64),
    pub loss_percent: u64,
    pub duplicate_percent: u64,
    pub regions_cut: bool,
    pub cut_centres: BTreeSet<String>,
    pub cut_nodes: BTreeSet<usize>,
    /// Pairs of nodes: messages from the first to the second are dropped.
    pub one_way: BTreeSet<(usize, usize)>,
}

/// A simulated fleet.
pub struct Simulation {
    pub now: Now,
    pub rng: SmallRng,
    pub nodes: Vec<Node>,
    pub net: Network,
    pub platform: Platform,
    /// Published configurations by revision. Concurrent publications may share a revision.
    pub published: BTreeMap<Revision, Vec<Config>>,
    addresses: BTreeMap<String, usize>,
    queue: BTreeMap<(Now, u64), Scheduled>,
    last_seq: u64,
    next_watch_check_at: Now,
    /// Time since which there is no loss, partition, long delay or pause.
    pub fault_free_since: Option<Now>,
    window_started_at: Now,
    pub window: Duration,
    /// Number and bytes of messages sent, by kind.
    pub traffic: BTreeMap<&'static str, (u64, u64)>,
    /// Whether each message is encoded and decoded, to check that the wire format preserves it.
    pub decode: bool,
}

impl Simulation {
    pub fn new(seed: u64) -> Self {
        Self {
            now: Duration::from_secs(1_000),
            rng: SmallRng::seed_from_u64(seed),
            nodes: Vec::new(),
            net: Network {
                delay_ms: (1, 4),
                ..Network::default()
            },
            platform: Platform::new(),
            published: BTreeMap::new(),
            addresses: BTreeMap::new(),
            queue: BTreeMap::new(),
            last_seq: 0,
            next_watch_check_at: Duration::ZERO,
            fault_free_since: None,
            window_started_at: Duration::ZERO,
            window: Duration::from_secs(60),
            traffic: BTreeMap::new(),
            decode: true,
        }
    }

    /// Adds a process that isn't started yet.
    pub fn add(&mut self, is_entry: bool, region: &str, centre: &str, seeds: &[String]) -> usize {
        let index = self.nodes.len();
        let kind = if is_entry { "entry" } else { "up" };
        let host = format!("{kind}-{index:03}");
        let ip = format!("10.{}.{}", index / 250, index % 250);
        let control = format!("{ip}.1:7000");
        let service = if is_entry { "" } else { "drafts" };
        let settings = FleetSettings::new(&host, region, centre, &control)
            .data_address(&format!("{ip}.1:8000"))
            .admin_address(&format!("{ip}.1:9000"))
            .service(service)
            .seeds(seeds.to_vec());
        self.addresses.insert(control, index);
        self.nodes.push(Node {
            settings,
            is_entry,
            machine: None,
            starts: 0,
            leaving: false,
            paused_until: Duration::ZERO,
            started_at: Duration::ZERO,
            previous_revision: 0,
            in_force: None,
            highest_received_revision: 0,
            hosts: EntryHosts::default(),
            upstreams: Vec::new(),
            applied_at: BTreeMap::new(),
            sent_bytes: 0,
            received_bytes: 0,
            window_bytes: 0,
            peak_window_bytes: 0,
            events: BTreeMap::new(),
        });
        index
    }

    /// Starts or restarts a process without its previous state.
    pub fn start(&mut self, index: usize) {
        let seed = self.rng.random();
        let now = self.now;
        let low: u64 = self.rng.random_range(0..1 << 20);
        let node = &mut self.nodes[index];
        node.starts += 1;
        node.leaving = false;
        node.paused_until = Duration::ZERO;
        node.started_at = now;
        node.previous_revision = node
            .in_force
            .take()
            .map_or(node.previous_revision, |c| c.revision);
        node.highest_received_revision = 0;
        node.hosts = EntryHosts::default();
        node.upstreams.clear();
        node.applied_at.clear();
        node.settings.incarnation = ((now.as_millis() as u64) << 20) | low;
        let settings = node.settings.clone();
        node.machine = Some(if node.is_entry {
            Machine::Entry(Box::new(FleetEntry::new(settings, seed)))
        } else {
            Machine::Upstream(Box::new(FleetUpstream::new(settings, seed)))
        });
        self.input(index, Input::Start);
    }

    /// Kills a process without a graceful shutdown.
    pub fn kill(&mut self, index: usize) {
        self.nodes[index].machine = None;
    }

    /// Begins a graceful shutdown.
    pub fn leave(&mut self, index: usize) {
        if self.nodes[index].machine.is_some() {
            self.nodes[index].leaving = true;
            self.input(index, Input::Leave);
        }
    }

    /// Pauses a process for a time; its inputs are delivered afterwards.
    pub fn pause(&mut self, index: usize, time: Duration) {
        self.nodes[index].paused_until = self.now + time;
    }

    pub fn is_alive(&self, index: usize) -> bool {
        self.nodes[index].machine.is_some()
    }

    /// Advances virtual time and processes the inputs that are due.
    pub fn run(&mut self, time: Duration) {
        let until = self.now + time;
        loop {
            let next = self.queue.first_key_value().map(|(k, _)| k.0);
            let next = next.map_or(self.next_watch_check_at, |n| {
                n.min(self.next_watch_check_at)
            });
            if next > until {
                break;
            }
            self.now = self.now.max(next);
            if self.next_watch_check_at <= self.now {
                self.next_watch_check_at = self.now + WATCH_CHECK_PERIOD;
                self.deliver_due_watches();
                self.roll_window();
                self.track_fault_free();
                continue;
            }
            if let Some((_, scheduled)) = self.queue.pop_first() {
                self.dispatch(scheduled);
            }
        }
        self.now = until;
    }

    fn deliver_due_watches(&mut self) {
        for (caller, reply) in self.platform.due(self.now) {
            self.reply(caller, reply);
        }
    }

    fn roll_window(&mut self) {
        if self.now < self.window_started_at + self.window {
            return;
        }
        self.window_started_at = self.now;
        for node in &mut self.nodes {
            node.peak_window_bytes = node.peak_window_bytes.max(node.window_bytes);
            node.window_bytes = 0;
        }
    }

    fn track_fault_free(&mut self) {
        let net = &self.net;
        let cut = net.regions_cut || !net.cut_centres.is_empty() || !net.cut_nodes.is_empty();
        let flows = net.loss_percent == 0 && net.delay_ms.1 <= 300 && net.one_way.is_empty();
        let paused = self.nodes.iter().any(|n| n.paused_until > self.now);
        if cut || !flows || paused {
            self.fault_free_since = None;
        } else {
            self.fault_free_since.get_or_insert(self.now);
        }
    }

    fn schedule(&mut self, at: Now, scheduled: Scheduled) {
        self.last_seq += 1;
        self.queue
            .insert((at.max(self.now), self.last_seq), scheduled);
    }

    fn dispatch(&mut self, scheduled: Scheduled) {
        let index = match &scheduled {
            Scheduled::Deliver(n, ..) | Scheduled::Timer(n, ..) | Scheduled::Reply((n, ..), _) => {
                *n
            }
        };
        let node = &mut self.nodes[index];
        if node.machine.is_none() {
            return;
        }
        if node.paused_until > self.now {
            let at = node.paused_until;
            self.schedule(at, scheduled);
            return;
        }
        match scheduled {
            Scheduled::Deliver(_, message, bytes) => {
                node.received_bytes += bytes;
                node.highest_received_revision =
                    node.highest_received_revision.max(message.from.revision);
                self.input(index, Input::Message(*message));
            }
            Scheduled::Timer(_, start, timer) if start == node.starts => {
                self.input(index, Input::Timer(timer));
            }
            Scheduled::Reply((_, start, id), reply) if start == node.starts => {
                self.input(index, Input::Reply { id, reply });
            }
            _ => {}
        }
    }

    pub fn input(&mut self, index: usize, input: Input) {
        let now = self.now;
        let Some(machine) = &mut self.nodes[index].machine else {
            return;
        };
        for output in machine.handle(now, input) {
            self.output(index, output);
        }
    }

    fn output(&mut self, index: usize, output: Output) {
        let start = self.nodes[index].starts;
        match output {
            Output::Send {
                to_address,
                message,
            } => self.send(index, &to_address, &message),
            Output::Platform { id, call } => {
                let random = self.rng.random();
                let caller = (index, start, id);
                if let Some(reply) = self.platform.call(self.now, caller, call, random) {
                    self.reply(caller, reply);
                }
            }
            Output::SetTimer { at, timer } => {
                self.schedule(at, Scheduled::Timer(index, start, timer));
            }
            Output::Event(event) => {
                *self.nodes[index]
                    .events
                    .entry(event.kind.number())
                    .or_default() += 1;
            }
            Output::ConfigInForce(config) => self.applied(index, config),
            Output::EntryHosts(hosts) => self.nodes[index].hosts = hosts,
            Output::Upstreams(upstreams) => self.nodes[index].upstreams = upstreams,
            Output::Incarnation(_) | Output::AnswersExpired => {}
        }
    }

    fn applied(&mut self, index: usize, config: Arc<Config>) {
        checks::applied(self, index, &config);
        let now = self.now;
        let node = &mut self.nodes[index];
        node.applied_at.insert(config.revision, now);
        node.in_force = Some(config);
    }

    fn reply(&mut self, caller: (usize, u64, CallId), reply: Reply) {
        let millis = match self.platform.state {
            PlatformState::Slow => self.rng.random_range(1_000..8_000),
            _ => self.rng.random_range(1..10),
        };
        let at = self.now + Duration::from_millis(millis);
        self.schedule(at, Scheduled::Reply(caller, reply));
    }

    fn send(&mut self, index: usize, to_address: &str, message: &FleetMessage) {
        let options = bincode::DefaultOptions::new();
        let message = if self.decode {
            let bytes = options
                .serialize(message)
                .expect("a message can be encoded");
            let decoded: FleetMessage = options
                .deserialize(&bytes)
                .expect("an encoded message can be decoded");
            assert_eq!(decoded, *message);
            checks::message_size(&decoded, bytes.len());
            Box::new(decoded)
        } else {
            Box::new(message.clone())
        };
        let size = options.serialized_size(&*message).unwrap_or(u64::MAX);
        let size = size + WIRE_BYTES;
        let traffic = self.traffic.entry(checks::kind(&message)).or_default();
        traffic.0 += 1;
        traffic.1 += size;
        let node = &mut self.nodes[index];
        node.sent_bytes += size;
        node.window_bytes += size;
        let Some(&to) = self.addresses.get(to_address) else {
            return;
        };
        if !self.connected(index, to) || self.rng.random_range(0..100) < self.net.loss_percent {
            return;
        }
        let copies = 1 + u64::from(self.rng.random_range(0..100) < self.net.duplicate_percent);
        for _ in 0..copies {
            let (low, high) = self.net.delay_ms;
            let at = self.now + Duration::from_millis(self.rng.random_range(low..=high));
            self.schedule(at, Scheduled::Deliver(to, message.clone(), size));
        }
    }

    pub fn connected(&self, a: usize, b: usize) -> bool {
        let (from, to) = (&self.nodes[a].settings, &self.nodes[b].settings);
        let regions = self.net.regions_cut && from.region != to.region;
        let cut = |c: &str| self.net.cut_centres.contains(c);
        let centres =
            from.data_centre != to.data_centre && (cut(&from.data_centre) || cut(&to.data_centre));
        let nodes = self.net.cut_nodes.contains(&a) || self.net.cut_nodes.contains(&b);
        !(regions || centres || nodes || self.net.one_way.contains(&(a, b)))
    }

    /// Ends all faults of the network and the platform, and all pauses.
    pub fn heal(&mut self) {
        self.net = Network {
            delay_ms: (1, 20),
            ..Network::default()
        };
        self.platform.state = PlatformState::Healthy;
        for node in &mut self.nodes {
            node.paused_until = node.paused_until.min(self.now);
        }
    }
}
