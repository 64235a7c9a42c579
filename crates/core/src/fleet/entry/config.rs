//! Configuration on an entry host: watching the platform, pulling from peers, announcing revisions.

use super::FleetEntry;
use crate::event::EventKind;
use crate::fleet::Output;
use crate::fleet::membership::State;
use crate::fleet::message::Body;
use crate::fleet::replication::{Action, Source, WatchAction};
use crate::rendezvous;
use crate::types::Now;

/// Watchers in each data centre, so that one remains while the failure of the other is undetected.
const WATCHERS_PER_CENTRE: usize = 2;
/// Rounds in which a new revision is announced to a few hosts at once.
const REVISION_ROUNDS: u32 = 3;

impl FleetEntry {
    pub(super) fn tick_config(&mut self, now: Now) {
        if self.may_apply(now) {
            let actions = self.replication.allow_apply(now);
            self.run_config_actions(now, actions);
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
        let actions = self.replication.tick(now);
        self.run_config_actions(now, actions);
        let actions = self.watch.tick(now);
        self.run_watch_actions(now, actions);
    }

    /// Whether this host is one of the watchers of its data centre, chosen by rendezvous hashing.
    fn is_watcher(&self) -> bool {
        let key = rendezvous::hash(&self.settings.data_centre);
        let own = rendezvous::weight(key, self.me.key());
        let before = self.table.entry_hosts().filter(|m| {
            m.record.data_centre == self.settings.data_centre
                && m.record.state != State::Suspect
                && rendezvous::weight(key, m.key) > own
        });
        before.count() < WATCHERS_PER_CENTRE
    }

    pub(super) fn run_watch_actions(&mut self, now: Now, actions: Vec<WatchAction>) {
        for action in actions {
            match action {
                WatchAction::Call(id, call) => self.out.push(Output::Platform { id, call }),
                WatchAction::Head(bytes) => {
                    let actions = self.replication.receive_head(now, &bytes, Source::Platform);
                    self.run_config_actions(now, actions);
                }
                WatchAction::Shard(content) => {
                    let actions = self.replication.receive_shards(now, vec![content]);
                    self.run_config_actions(now, actions);
                }
                WatchAction::Unavailable => self.event(EventKind::PlatformUnavailable, ""),
                WatchAction::Recovered => self.event(EventKind::PlatformRecovered, ""),
            }
        }
    }

    pub(super) fn run_config_actions(&mut self, now: Now, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Request(peer, body) => self.send(&peer.address, body),
                Action::ReadShards(hashes) => {
                    self.watch.queue_shards(hashes);
                    let actions = self.watch.tick(now);
                    self.run_watch_actions(now, actions);
                }
                Action::ReadHead => self.watch.read_again(),
                Action::Event(event) => self.out.push(Output::Event(event)),
                Action::Apply(config) => {
                    let detail = format!("revision {}", config.revision);
                    self.event(EventKind::ConfigApplied, detail);
                    self.out.push(Output::ConfigInForce(config));
                    self.config_rounds = REVISION_ROUNDS;
                    self.notify_upstreams();
                }
            }
        }
    }

    /// Announces the new revision to the upstream processes that this host monitors.
    fn notify_upstreams(&mut self) {
        let upstreams = self.monitored.iter().filter_map(|h| self.table.get(h));
        let addresses: Vec<String> = upstreams
            .map(|m| m.record.control_address.clone())
            .collect();
        for address in addresses {
            let updates = Vec::new();
            self.send(&address, Body::Rumour { updates });
        }
    }
}
