//! Spread of the configuration: a few watchers of the platform, then from peer to peer.

mod replica;
mod watch;

pub(super) use replica::{Action, ConfigReplica, Source};
pub(super) use watch::{Watch, WatchAction};
