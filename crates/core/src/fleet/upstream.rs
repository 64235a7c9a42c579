//! The fleet machine of a process next to an upstream.

use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::membership::{Record, Role, State};
use super::message::{Body, FleetMessage, Heartbeat, HeartbeatReply, Peer, Sender};
use super::settings::FleetSettings;
use super::spread::{Source, Spread, Step};
use super::{Input, Output, Timer};
use crate::config::Config;
use crate::event::{Event, EventKind, Stamp};
use crate::rendezvous;
use crate::types::{Now, Revision};

/// Regular step.
const TICK: Duration = Duration::from_millis(200);
/// Time between heartbeats. Their answers are the largest part of what an entry host sends: with
/// one a second to each of three, entry hosts exceeded their byte budget on a bad network.
const PERIOD: Duration = Duration::from_millis(1_500);
/// Heartbeats sent in quick succession when leaving, in case some are lost.
const LEAVE_ROUNDS: u32 = 4;
/// Entry hosts that get heartbeats.
const TARGETS: usize = 3;
/// Time without an answer after which other entry hosts are tried as well.
const SILENCE: Duration = Duration::from_secs(3);
/// Gap between own timers that counts as a pause.
const PAUSE: Duration = Duration::from_secs(2);
/// Time within which a starting process listens before it applies a configuration.
const LISTEN: Duration = Duration::from_secs(2);

/// Hash of a list of peers; 0 if it is empty.
#[must_use]
pub(super) fn peers_hash(peers: &[Peer]) -> u64 {
    peers.iter().fold(0, |h, p| {
        rendezvous::mix(h ^ rendezvous::hash(&p.host) ^ rendezvous::hash(&p.address).rotate_left(1))
    })
}

/// The fleet machine of a process next to an upstream.
#[derive(Clone, Debug)]
pub struct FleetUpstream {
    settings: FleetSettings,
    me: Record,
    rng: SmallRng,
    peers: Vec<Peer>,
    /// The record that entry hosts hold is this life and version.
    known: bool,
    spread: Spread,
    out: Vec<Output>,
    started_at: Now,
    last_tick: Now,
    next_at: Now,
    answered_at: Now,
    quick_rounds: u32,
}

impl FleetUpstream {
    /// A machine that knows only its seeds. `seed` determines its random choices.
    #[must_use]
    pub fn new(settings: FleetSettings, seed: u64) -> Self {
        let me = Record {
            host: settings.host.clone(),
            role: Role::Upstream,
            region: settings.region.clone(),
            data_centre: settings.data_centre.clone(),
            service: settings.service.clone(),
            data_address: settings.data_address.clone(),
            control_address: settings.control_address.clone(),
            admin_address: settings.admin_address.clone(),
            incarnation: settings.incarnation,
            version: 0,
            state: State::Live,
            leaving: false,
            revision: 0,
            load: 0,
        };
        Self {
            settings,
            me,
            rng: SmallRng::seed_from_u64(seed),
            peers: Vec::new(),
            known: false,
            spread: Spread::default(),
            out: Vec::new(),
            started_at: Now::ZERO,
            last_tick: Now::ZERO,
            next_at: Now::ZERO,
            answered_at: Now::ZERO,
            quick_rounds: 0,
        }
    }

    /// Takes an input and returns what to do.
    pub fn handle(&mut self, now: Now, input: Input) -> Vec<Output> {
        match input {
            Input::Start => self.start(now),
            Input::Message(message) => self.receive(now, message),
            Input::Load(load) => self.me.load = load.min(100),
            Input::Leave => self.leave(now),
            Input::Timer(Timer::Tick) => self.tick(now),
            Input::Reply { .. } => {}
        }
        std::mem::take(&mut self.out)
    }

    /// The configuration in force.
    #[must_use]
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.spread.config()
    }

    /// Highest revision that this process has seen in force anywhere.
    #[must_use]
    pub fn highest_revision(&self) -> Revision {
        self.spread.seen()
    }

    /// Entry hosts that this process knows.
    #[must_use]
    pub fn peers(&self) -> &[Peer] {
        &self.peers
    }

    fn start(&mut self, now: Now) {
        self.started_at = now;
        self.last_tick = now;
        self.answered_at = now;
        self.beat(now);
        let jitter = Duration::from_millis(self.rng.random_range(0..1_000));
        self.next_at = now + jitter;
        let phase = Duration::from_millis(self.rng.random_range(1..200));
        self.set_timer(now + phase);
    }

    fn tick(&mut self, now: Now) {
        let gap = now.saturating_sub(self.last_tick);
        self.last_tick = now;
        if gap >= PAUSE {
            self.resume(now, gap);
        }
        if now >= self.next_at || self.quick_rounds > 0 {
            self.quick_rounds = self.quick_rounds.saturating_sub(1);
            self.next_at = self.next_at.max(now.saturating_sub(TICK)) + PERIOD;
            self.beat(now);
        }
        if now >= self.started_at + LISTEN {
            let steps = self.spread.open(now);
            self.config_steps(steps);
        }
        let steps = self.spread.tick(now);
        self.config_steps(steps);
        self.set_timer(now + TICK);
    }

    fn resume(&mut self, now: Now, gap: Duration) {
        let detail = format!("no timer fired for {} ms", gap.as_millis());
        self.event(EventKind::ProcessPaused, detail);
        self.answered_at = now;
        self.raise(self.me.incarnation + 1);
        self.next_at = now;
    }

    fn raise(&mut self, incarnation: u64) {
        self.me.incarnation = incarnation;
        self.me.version = 0;
        self.known = false;
        self.out.push(Output::Incarnation(incarnation));
    }

    fn leave(&mut self, now: Now) {
        if self.me.leaving {
            return;
        }
        self.me.leaving = true;
        self.me.state = State::Leaving;
        self.quick_rounds = LEAVE_ROUNDS;
        self.event(
            EventKind::MemberLeaving,
            format!("{} is leaving", self.me.host),
        );
        self.beat(now);
    }

    /// Sends heartbeats: to the first peers, to all when leaving, and to the seeds as well when
    /// nobody answers.
    fn beat(&mut self, now: Now) {
        let silent = now.saturating_sub(self.answered_at) >= SILENCE;
        let all = silent || self.quick_rounds > 0;
        let count = if all { self.peers.len() } else { TARGETS };
        let first = self.peers.iter().take(count);
        let mut addresses: Vec<String> = first.map(|p| p.address.clone()).collect();
        if silent || addresses.is_empty() {
            for seed in &self.settings.seeds {
                if !addresses.contains(seed) {
                    addresses.push(seed.clone());
                }
            }
        }
        for address in addresses {
            let heartbeat = Heartbeat {
                record: (!self.known).then(|| Box::new(self.me.clone())),
                leaving: self.me.leaving,
                peers: peers_hash(&self.peers),
            };
            self.send(&address, Body::Heartbeat(heartbeat));
        }
    }

    fn receive(&mut self, now: Now, message: FleetMessage) {
        let FleetMessage { from, body, .. } = message;
        if from.host == self.me.host {
            return;
        }
        let steps = self.spread.hear(now, &from);
        self.config_steps(steps);
        match body {
            Body::HeartbeatReply(reply) => self.answered(now, reply),
            Body::AskHead | Body::AskShards { .. } => {
                if let Some(answer) = self.spread.serve(&body) {
                    self.send(&from.address, answer);
                }
            }
            Body::Head { head } => {
                let source = Source::Peer(Peer {
                    host: from.host,
                    address: from.address,
                });
                let steps = self.spread.take_head(now, &head, source);
                self.config_steps(steps);
            }
            Body::Shards { shards } => {
                let steps = self.spread.take_shards(now, shards);
                self.config_steps(steps);
            }
            _ => {}
        }
    }

    fn answered(&mut self, now: Now, reply: HeartbeatReply) {
        self.answered_at = now;
        if !reply.peers.is_empty() {
            self.peers = reply.peers;
        }
        let Some(held) = reply.held else {
            self.introduce(now);
            return;
        };
        let own = (self.me.incarnation, self.me.version);
        let theirs = (held.incarnation, held.version);
        if held.incarnation > self.me.incarnation {
            self.raise(held.incarnation + 1);
            self.introduce(now);
        } else if theirs < own {
            self.introduce(now);
        } else if held.state >= State::Suspect {
            self.me.version = held.version + 1;
            self.introduce(now);
        } else {
            self.known = theirs == own;
        }
    }

    /// Sends the whole record with the next step.
    fn introduce(&mut self, now: Now) {
        self.known = false;
        self.next_at = self.next_at.min(now);
    }

    fn config_steps(&mut self, steps: Vec<Step>) {
        for step in steps {
            match step {
                Step::Ask(peer, body) => self.send(&peer.address, body),
                Step::Event(event) => self.out.push(Output::Event(event)),
                Step::Apply(config) => {
                    let detail = format!("revision {}", config.revision);
                    self.event(EventKind::ConfigApplied, detail);
                    self.out.push(Output::ConfigInForce(config));
                }
                // Only entry hosts read the platform's configuration.
                Step::Read(_) | Step::ReadHead => {}
            }
        }
    }

    fn send(&mut self, to_address: &str, body: Body) {
        let (revision, digest) = self.spread.identity();
        let from = Sender {
            host: self.me.host.clone(),
            address: self.me.control_address.clone(),
            role: Role::Upstream,
            data_centre: self.me.data_centre.clone(),
            incarnation: self.me.incarnation,
            version: self.me.version,
            revision,
            digest,
            load: self.me.load,
        };
        self.out.push(Output::Send {
            to_address: to_address.to_owned(),
            message: FleetMessage {
                from,
                clock: Stamp::default(),
                body,
            },
        });
    }

    fn event(&mut self, kind: EventKind, detail: impl Into<String>) {
        self.out.push(Output::Event(Event::new(kind, detail)));
    }

    fn set_timer(&mut self, at: Now) {
        let timer = Timer::Tick;
        self.out.push(Output::SetTimer { at, timer });
    }
}
