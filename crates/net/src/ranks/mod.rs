//! The process beside an engine that is a rank of a group.
//!
//! It reads its own rank, which costs the platform nothing, carries out orders of the process
//! that leads the group, and leads itself when no lower rank's process does. What it needs to
//! know of the others it reads once from the platform's registry.

mod engine;
mod group;
mod host;
mod links;

pub use host::{RankHost, RankOptions};
