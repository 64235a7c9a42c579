//! Replication of the configuration: a few hosts watch the platform, the others pull from peers.

mod replica;
mod watch;

pub(super) use replica::{Action, ConfigReplica, Source};
pub(super) use watch::{Watch, WatchAction};
