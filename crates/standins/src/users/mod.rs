//! Stand-ins on loopback for the platform that users of eelgrasshold deploy on: its object store,
//! its replicas and its groups of ranks. They use the wire formats of the crate `platform`.

mod caller;
mod group;
mod replica;
mod store;

pub use caller::{Answer, config, read_answer, request};
pub use group::RankGroup;
pub use replica::{Arrival, BeforeEnd, Replica, Reply};
pub use store::{AccessMode, ObjectStore, StoreCopy};
