//! Configuration of services, teams and model groups, as published by operators.
//!
//! Operators keep fragments next to the code of each service. Publishing merges
//! them into one [`Config`], validates it as a whole and assigns a revision.

mod diff;
mod model;
mod publish;
mod shard;
mod validate;

#[cfg(test)]
mod publish_tests;
#[cfg(test)]
mod shard_tests;
#[cfg(test)]
mod tests;

pub use diff::{Difference, diff};
pub use model::{Config, Fragment, Group, IdempotentCall, Service, ServiceKind, Team};
pub use publish::{Publication, PublishInput, PublishOutcome, PublishOutput};
pub use shard::{
    HEAD_KEY, Head, MAX_SHARD_BYTES, ShardError, ShardHash, Split, join, shard_hash, shard_key,
    split,
};
pub use validate::{Problem, validate};
