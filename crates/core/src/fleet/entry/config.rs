//! Configuration on an entry host: watching in turn, pulling and passing on.

use super::FleetEntry;
use crate::event::EventKind;
use crate::fleet::Output;
use crate::fleet::membership::State;
use crate::fleet::message::Body;
use crate::fleet::spread::{Source, Step, WatchStep};
use crate::rendezvous;
use crate::types::Now;

/// Watchers in each data centre: two, so that one may fail unnoticed for a while.
const WATCHERS: usize = 2;
/// Rounds in which a new revision is told to a few hosts at once.
const CONFIG_ROUNDS: u32 = 3;

impl FleetEntry {
    pub(super) fn tick_config(&mut self, now: Now) {
        if self.may_apply(now) {
            let steps = self.spread.open(now);
            self.config_steps(now, steps);
        }
        let active = (self.joined || self.may_apply(now)) && self.is_watcher();
        if self.watch.set_active(active) {
            let kind = if active {
                EventKind::ConfigWatchStarted
            } else {
                EventKind::ConfigWatchEnded
            };
            self.event(kind, "");
        }
        let steps = self.spread.tick(now);
        self.config_steps(now, steps);
        let steps = self.watch.tick(now);
        self.watched(now, steps);
    }

    /// Whether this host is among the first of its data centre by rendezvous hashing.
    fn is_watcher(&self) -> bool {
        let key = rendezvous::hash(&self.settings.data_centre);
        let own = rendezvous::weight(key, self.me.key());
        let before = self.table.entry_hosts().filter(|m| {
            m.record.data_centre == self.settings.data_centre
                && m.record.state != State::Suspect
                && rendezvous::weight(key, m.key) > own
        });
        before.count() < WATCHERS
    }

    pub(super) fn watched(&mut self, now: Now, steps: Vec<WatchStep>) {
        for step in steps {
            match step {
                WatchStep::Call(id, call) => self.out.push(Output::Platform { id, call }),
                WatchStep::Head(bytes) => {
                    let steps = self.spread.take_head(now, &bytes, Source::Platform);
                    self.config_steps(now, steps);
                }
                WatchStep::Shard(content) => {
                    let steps = self.spread.take_shards(now, vec![content]);
                    self.config_steps(now, steps);
                }
                WatchStep::Unavailable => self.event(EventKind::PlatformUnavailable, ""),
                WatchStep::Recovered => self.event(EventKind::PlatformRecovered, ""),
            }
        }
    }

    pub(super) fn config_steps(&mut self, now: Now, steps: Vec<Step>) {
        for step in steps {
            match step {
                Step::Ask(peer, body) => self.send(&peer.address, body),
                Step::Read(hashes) => {
                    self.watch.want(hashes);
                    let steps = self.watch.tick(now);
                    self.watched(now, steps);
                }
                Step::ReadHead => self.watch.read_again(),
                Step::Event(event) => self.out.push(Output::Event(event)),
                Step::Apply(config) => {
                    let detail = format!("revision {}", config.revision);
                    self.event(EventKind::ConfigApplied, detail);
                    self.out.push(Output::ConfigInForce(config));
                    self.config_rounds = CONFIG_ROUNDS;
                    self.tell_upstreams();
                }
            }
        }
    }

    /// Tells the upstream processes that this host hears of the new revision.
    fn tell_upstreams(&mut self) {
        let on_duty = self.duty.iter().filter_map(|h| self.table.get(h));
        let addresses: Vec<String> = on_duty.map(|m| m.record.control_address.clone()).collect();
        for address in addresses {
            let updates = Vec::new();
            self.send(&address, Body::Rumour { updates });
        }
    }
}
