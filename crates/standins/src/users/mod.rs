//! Small stand-ins of the users' platform on loopback: its store, its replicas, its groups of
//! ranks. They speak the wire format that the crate `platform` reads and writes.

mod group;
mod replica;
mod store;

pub use group::RankGroup;
pub use replica::{Arrival, Replica, Reply};
pub use store::{AccessMode, ObjectStore};
