//! Spread of the configuration: a few watchers of the platform, then from peer to peer.

mod store;
mod watch;

pub(super) use store::{Source, Spread, Step};
pub(super) use watch::{Watch, WatchStep};
