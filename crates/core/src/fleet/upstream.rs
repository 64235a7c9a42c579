//! The fleet state machine of a process next to an upstream.

use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::membership::{Record, Role, State};
use super::message::{Body, FleetMessage, Heartbeat, HeartbeatReply, Peer, Sender};
use super::replication::{Action, ConfigReplica, Source};
use super::settings::FleetSettings;
use super::{Input, Output, Timer};
use crate::config::Config;
use crate::event::{Event, EventKind, Stamp};
use crate::rendezvous;
use crate::types::{Now, Revision};

/// Interval of the tick timer.
const TICK_INTERVAL: Duration = Duration::from_millis(200);
/// Time between heartbeats. Their answers are the largest part of the traffic of an entry host,
/// which exceeds its byte budget on a lossy network with one heartbeat a second to each of three.
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(1_500);
/// Heartbeats sent on consecutive ticks when leaving, in case some are lost.
const LEAVE_HEARTBEATS: u32 = 4;
/// Entry hosts that heartbeats are sent to.
const HEARTBEAT_TARGETS: usize = 3;
/// Time without an answer after which heartbeats also go to spare entry hosts and seeds.
const REPLY_TIMEOUT: Duration = Duration::from_secs(3);
/// Gap between ticks that counts as a pause of the process.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(2);
/// Time that a starting process waits for peers before it applies a configuration.
const APPLY_DELAY: Duration = Duration::from_secs(2);

/// Hash of a list of peers; 0 if it is empty.
#[must_use]
pub(super) fn peers_hash(peers: &[Peer]) -> u64 {
    peers.iter().fold(0, |h, p| {
        rendezvous::mix(h ^ rendezvous::hash(&p.host) ^ rendezvous::hash(&p.address).rotate_left(1))
    })
}

/// The fleet state machine of a process next to an upstream.
#[derive(Clone, Debug)]
pub struct FleetUpstream {
    settings: FleetSettings,
    me: Record,
    rng: SmallRng,
    peers: Vec<Peer>,
    /// Whether entry hosts hold the record of the current incarnation and version.
    record_held: bool,
    replication: ConfigReplica,
    out: Vec<Output>,
    started_at: Now,
    last_tick: Now,
    next_heartbeat_at: Now,
    last_reply_at: Now,
    leave_heartbeats_left: u32,
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
            record_held: false,
            replication: ConfigReplica::default(),
            out: Vec::new(),
            started_at: Now::ZERO,
            last_tick: Now::ZERO,
            next_heartbeat_at: Now::ZERO,
            last_reply_at: Now::ZERO,
            leave_heartbeats_left: 0,
        }
    }

    /// Processes an input and returns the outputs to carry out.
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

    /// The configuration in force; `None` until the first one is applied.
    #[must_use]
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.replication.config()
    }

    /// Highest revision that this process has seen in force anywhere.
    #[must_use]
    pub fn highest_revision(&self) -> Revision {
        self.replication.highest_seen()
    }

    /// Entry hosts that this process knows, in the order in which it uses them.
    #[must_use]
    pub fn peers(&self) -> &[Peer] {
        &self.peers
    }

    fn start(&mut self, now: Now) {
        self.started_at = now;
        self.last_tick = now;
        self.last_reply_at = now;
        self.send_heartbeats(now);
        let jitter = Duration::from_millis(self.rng.random_range(0..1_000));
        self.next_heartbeat_at = now + jitter;
        let phase = Duration::from_millis(self.rng.random_range(1..200));
        self.set_timer(now + phase);
    }

    fn tick(&mut self, now: Now) {
        let gap = now.saturating_sub(self.last_tick);
        self.last_tick = now;
        if gap >= PAUSE_THRESHOLD {
            self.resume(now, gap);
        }
        if now >= self.next_heartbeat_at || self.leave_heartbeats_left > 0 {
            self.leave_heartbeats_left = self.leave_heartbeats_left.saturating_sub(1);
            self.next_heartbeat_at = self
                .next_heartbeat_at
                .max(now.saturating_sub(TICK_INTERVAL))
                + HEARTBEAT_PERIOD;
            self.send_heartbeats(now);
        }
        if now >= self.started_at + APPLY_DELAY {
            let actions = self.replication.allow_apply(now);
            self.run_config_actions(actions);
        }
        let actions = self.replication.tick(now);
        self.run_config_actions(actions);
        self.set_timer(now + TICK_INTERVAL);
    }

    fn resume(&mut self, now: Now, gap: Duration) {
        let detail = format!("no timer fired for {} ms", gap.as_millis());
        self.event(EventKind::ProcessPaused, detail);
        self.last_reply_at = now;
        self.raise_incarnation(self.me.incarnation + 1);
        self.next_heartbeat_at = now;
    }

    fn raise_incarnation(&mut self, incarnation: u64) {
        self.me.incarnation = incarnation;
        self.me.version = 0;
        self.record_held = false;
        self.out.push(Output::Incarnation(incarnation));
    }

    fn leave(&mut self, now: Now) {
        if self.me.leaving {
            return;
        }
        self.me.leaving = true;
        self.me.state = State::Leaving;
        self.leave_heartbeats_left = LEAVE_HEARTBEATS;
        self.event(
            EventKind::MemberLeaving,
            format!("{} is leaving", self.me.host),
        );
        self.send_heartbeats(now);
    }

    /// Sends heartbeats to the first peers, to all peers when leaving, and also to the seeds when no
    /// entry host answers.
    fn send_heartbeats(&mut self, now: Now) {
        let unanswered = now.saturating_sub(self.last_reply_at) >= REPLY_TIMEOUT;
        let all = unanswered || self.leave_heartbeats_left > 0;
        let count = if all {
            self.peers.len()
        } else {
            HEARTBEAT_TARGETS
        };
        let first = self.peers.iter().take(count);
        let mut addresses: Vec<String> = first.map(|p| p.address.clone()).collect();
        if unanswered || addresses.is_empty() {
            for seed in &self.settings.seeds {
                if !addresses.contains(seed) {
                    addresses.push(seed.clone());
                }
            }
        }
        for address in addresses {
            let heartbeat = Heartbeat {
                record: (!self.record_held).then(|| Box::new(self.me.clone())),
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
        let actions = self.replication.observe(now, &from);
        self.run_config_actions(actions);
        match body {
            Body::HeartbeatReply(reply) => self.receive_reply(now, reply),
            Body::AskHead | Body::AskShards { .. } => {
                if let Some(answer) = self.replication.serve(&body) {
                    self.send(&from.address, answer);
                }
            }
            Body::Head { head } => {
                let source = Source::Peer(Peer {
                    host: from.host,
                    address: from.address,
                });
                let actions = self.replication.receive_head(now, &head, source);
                self.run_config_actions(actions);
            }
            Body::Shards { shards } => {
                let actions = self.replication.receive_shards(now, shards);
                self.run_config_actions(actions);
            }
            _ => {}
        }
    }

    fn receive_reply(&mut self, now: Now, reply: HeartbeatReply) {
        self.last_reply_at = now;
        if !reply.peers.is_empty() {
            self.peers = reply.peers;
        }
        let Some(held) = reply.held else {
            self.resend_record(now);
            return;
        };
        let own = (self.me.incarnation, self.me.version);
        let theirs = (held.incarnation, held.version);
        if held.incarnation > self.me.incarnation {
            self.raise_incarnation(held.incarnation + 1);
            self.resend_record(now);
        } else if theirs < own {
            self.resend_record(now);
        } else if held.state >= State::Suspect {
            self.me.version = held.version + 1;
            self.resend_record(now);
        } else {
            self.record_held = theirs == own;
        }
    }

    /// Sends the complete record with the next tick.
    fn resend_record(&mut self, now: Now) {
        self.record_held = false;
        self.next_heartbeat_at = self.next_heartbeat_at.min(now);
    }

    fn run_config_actions(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Request(peer, body) => self.send(&peer.address, body),
                Action::Event(event) => self.out.push(Output::Event(event)),
                Action::Apply(config) => {
                    let detail = format!("revision {}", config.revision);
                    self.event(EventKind::ConfigApplied, detail);
                    self.out.push(Output::ConfigInForce(config));
                }
                // Only entry hosts read the platform's configuration.
                Action::ReadShards(_) | Action::ReadHead => {}
            }
        }
    }

    fn send(&mut self, to_address: &str, body: Body) {
        let (revision, digest) = self.replication.identity();
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
