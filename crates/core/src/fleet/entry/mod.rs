//! The fleet state machine of an entry host.

mod config;
mod members;
mod probe;
mod receive;
mod views;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::answers::{self, EntryHosts};
use super::budget::Budget;
use super::membership::gossip::Gossip;
use super::membership::reachability::Reachability;
use super::membership::table::Table;
use super::membership::{Record, Role, State};
use super::message::{Body, FleetMessage, Sender, Update};
use super::replication::{ConfigReplica, Watch};
use super::settings::FleetSettings;
use super::{Input, Output, Timer};
use crate::config::Config;
use crate::entry::UpstreamInfo;
use crate::event::{Event, EventKind, Stamp};
use crate::types::{HostId, Now, Revision};
use probe::Probing;

/// Interval of the tick timer.
pub const TICK_INTERVAL: Duration = Duration::from_millis(200);
/// Gap between ticks that counts as a pause of the process, which others may have declared gone.
pub const PAUSE_THRESHOLD: Duration = Duration::from_secs(2);
/// Time that a starting host waits for its seeds before it applies a configuration.
const APPLY_DELAY: Duration = Duration::from_secs(2);
/// Time for which a gone member is kept, so that delayed messages don't bring it back.
const GONE_RETENTION: Duration = Duration::from_secs(600);

/// State of a graceful shutdown.
#[derive(Clone, Copy, Debug)]
struct Leave {
    at: Now,
    answers_expired: bool,
}

/// Views as last passed to the driver.
#[derive(Clone, Debug, Default)]
struct PublishedViews {
    hosts: EntryHosts,
    upstreams: Option<Vec<UpstreamInfo>>,
    generation: (u64, usize, bool),
    outdated: bool,
    next_at: Now,
}

/// The fleet state machine of an entry host.
#[derive(Clone, Debug)]
pub struct FleetEntry {
    settings: FleetSettings,
    me: Record,
    rng: SmallRng,
    table: Table,
    gossip: Gossip,
    reachability: Reachability,
    probing: Probing,
    replication: ConfigReplica,
    watch: Watch,
    out: Vec<Output>,
    started_at: Now,
    last_tick: Option<Now>,
    unanswered_seeds: BTreeSet<String>,
    joined: bool,
    next_join_at: Now,
    join_after: HostId,
    next_sync_at: Now,
    next_record_request_at: Now,
    next_seed_check_at: Now,
    next_monitor_at: Now,
    monitored_generation: u64,
    monitored: BTreeSet<HostId>,
    config_rounds: u32,
    budget: Budget,
    isolated: bool,
    unreachable_centres: BTreeSet<String>,
    leave: Option<Leave>,
    published: PublishedViews,
}

impl FleetEntry {
    /// A machine that knows only itself and its seeds. `seed` determines its random choices.
    #[must_use]
    pub fn new(settings: FleetSettings, seed: u64) -> Self {
        let me = Record {
            host: settings.host.clone(),
            role: Role::Entry,
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
        let own = &settings.control_address;
        let seeds = settings.seeds.iter().filter(|s| *s != own).cloned();
        Self {
            unanswered_seeds: seeds.collect(),
            settings,
            me,
            rng: SmallRng::seed_from_u64(seed),
            table: Table::default(),
            gossip: Gossip::default(),
            reachability: Reachability::default(),
            probing: Probing::default(),
            replication: ConfigReplica::default(),
            watch: Watch::new(seed ^ 0x5eed),
            out: Vec::new(),
            started_at: Now::ZERO,
            last_tick: None,
            joined: false,
            next_join_at: Now::ZERO,
            join_after: HostId::new(),
            next_sync_at: Now::ZERO,
            next_record_request_at: Now::ZERO,
            next_seed_check_at: Now::ZERO,
            next_monitor_at: Now::ZERO,
            monitored_generation: 0,
            monitored: BTreeSet::new(),
            config_rounds: 0,
            budget: Budget::default(),
            isolated: false,
            unreachable_centres: BTreeSet::new(),
            leave: None,
            published: PublishedViews::default(),
        }
    }

    /// Processes an input and returns the outputs to carry out.
    pub fn handle(&mut self, now: Now, input: Input) -> Vec<Output> {
        self.budget.fill(now);
        match input {
            Input::Start => self.start(now),
            Input::Message(message) => self.receive(now, message),
            Input::Reply { id, reply } => {
                let actions = self.watch.reply(now, id, reply);
                self.run_watch_actions(now, actions);
            }
            Input::Load(load) => self.record_load(load),
            Input::Leave => self.leave(now),
            Input::Timer(Timer::Tick) => self.tick(now),
        }
        std::mem::take(&mut self.out)
    }

    /// The configuration in force; `None` until the first one is applied.
    #[must_use]
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.replication.config()
    }

    /// Highest revision that this host has seen in force anywhere.
    #[must_use]
    pub fn highest_revision(&self) -> Revision {
        self.replication.highest_seen()
    }

    /// Whether no other entry host answers, so that this host can't judge the state of others.
    #[must_use]
    pub fn is_isolated(&self) -> bool {
        self.isolated
    }

    fn start(&mut self, now: Now) {
        self.started_at = now;
        self.last_tick = Some(now);
        let me = self.me.clone();
        self.table.merge_record(now, &me);
        self.gossip.push(me.host, me.state, true);
        let jitter = Duration::from_millis(self.rng.random_range(0..1_000));
        self.probing.next_at = now + jitter;
        self.next_sync_at = now + Duration::from_secs(5) + jitter;
        self.next_seed_check_at = now + Duration::from_secs(10) + jitter;
        self.join(now);
        self.publish_views();
        let phase = Duration::from_millis(self.rng.random_range(1..200));
        self.set_timer(now + phase);
    }

    fn tick(&mut self, now: Now) {
        let last = self.last_tick.replace(now).unwrap_or(now);
        let gap = now.saturating_sub(last);
        if gap >= PAUSE_THRESHOLD {
            self.resume(now, gap);
        }
        self.join(now);
        self.probe(now);
        self.expire_suspects(now);
        self.check_heartbeats(now);
        self.send_rumours();
        self.sync(now);
        self.tick_config(now);
        self.table.expire_gone(now.saturating_sub(GONE_RETENTION));
        self.check_leave(now);
        self.publish_views_periodically(now);
        self.set_timer(now + TICK_INTERVAL);
    }

    /// Resumes after a pause, which makes earlier contacts, failures and suspicions meaningless.
    fn resume(&mut self, now: Now, gap: Duration) {
        let detail = format!("no timer fired for {} ms", gap.as_millis());
        self.event(EventKind::ProcessPaused, detail);
        self.probing.resume(now);
        self.reachability.clear_failures();
        self.table.reset_timers(now);
        self.me.incarnation += 1;
        self.me.version = 0;
        self.out.push(Output::Incarnation(self.me.incarnation));
        self.announce(now, true);
    }

    /// Puts the own record into the table and queues it for gossip, as a complete record if `full`.
    fn announce(&mut self, now: Now, full: bool) {
        let me = self.me.clone();
        self.table.merge_record(now, &me);
        self.gossip.push(me.host, me.state, full);
    }

    fn leave(&mut self, now: Now) {
        if self.leave.is_some() {
            return;
        }
        self.leave = Some(Leave {
            at: now,
            answers_expired: false,
        });
        self.me.state = State::Leaving;
        self.me.leaving = true;
        self.announce(now, false);
        let detail = format!("{} is leaving", self.me.host);
        self.event(EventKind::MemberLeaving, detail);
        self.send_rumours();
        self.publish_views();
    }

    fn check_leave(&mut self, now: Now) {
        let Some(leave) = &mut self.leave else {
            return;
        };
        let expired = now >= leave.at + answers::LEAVE_PROPAGATION + answers::VALIDITY;
        if expired && !leave.answers_expired {
            leave.answers_expired = true;
            self.out.push(Output::AnswersExpired);
        }
    }

    fn record_load(&mut self, load: u8) {
        self.me.load = load.min(100);
        let load = self.me.load;
        if let Some(member) = self.table.get_mut(&self.settings.host) {
            member.record.load = load;
        }
        self.published.outdated = true;
    }

    fn send(&mut self, to_address: &str, body: Body) {
        if to_address.is_empty() || to_address == self.settings.control_address {
            return;
        }
        let (revision, digest) = self.replication.identity();
        let from = Sender {
            host: self.me.host.clone(),
            address: self.me.control_address.clone(),
            role: Role::Entry,
            data_centre: self.me.data_centre.clone(),
            incarnation: self.me.incarnation,
            version: self.me.version,
            revision,
            digest,
            load: self.me.load,
        };
        let message = FleetMessage {
            from,
            clock: Stamp::default(),
            body,
        };
        if self.budget.spend(&message.body, message.size_bytes()) {
            self.out.push(Output::Send {
                to_address: to_address.to_owned(),
                message,
            });
        }
    }

    fn event(&mut self, kind: EventKind, detail: impl Into<String>) {
        self.out.push(Output::Event(Event::new(kind, detail)));
    }

    fn set_timer(&mut self, at: Now) {
        let timer = Timer::Tick;
        self.out.push(Output::SetTimer { at, timer });
    }

    fn brief(&self, host: &str) -> Option<Update> {
        self.table
            .get(host)
            .map(|m| Update::Brief(m.record.summary()))
    }
}
