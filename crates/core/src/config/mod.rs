//! The configuration that operators publish.
//!
//! Operators write fragments beside each service's code. Publishing merges
//! them into one [`Config`], validates the whole and gives it a revision.

mod model;
mod validate;

#[cfg(test)]
mod tests;

pub use model::{Config, Fragment, Group, IdempotentCall, Service, ServiceKind, Team};
pub use validate::{Problem, validate};
