//! The configuration that operators publish.
//!
//! Operators write fragments beside each service's code. Publishing merges
//! them into one [`Config`], validates the whole and gives it a revision.

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
