//! Sidecar process of an engine that is a rank of a group.
//!
//! A sidecar reads its local engine, which costs the platform nothing, and forwards orders of the
//! leading sidecar to it. It leads the group itself while no sidecar of a lower rank does. It reads
//! the platform's registry only to find the other ranks.

mod engine;
mod group;
mod host;
mod links;

pub use host::{RankHost, RankOptions};
