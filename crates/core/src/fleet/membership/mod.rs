//! Membership of the fleet.
//!
//! Entry hosts gossip among themselves. Upstream processes send heartbeats to
//! three of them, which disseminate their changes by gossip.

pub(super) mod gossip;
pub(super) mod reachability;
mod record;
pub(super) mod sync;
pub(super) mod table;

pub use record::{Record, Role, State};
pub use table::MemberView;
