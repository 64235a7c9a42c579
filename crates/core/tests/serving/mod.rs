//! Simulation around the real entry and upstream machines: callers, network, engines and platform.

pub mod caller;
mod callers;
mod connection;
mod drive;
mod engines;
mod entries;
pub mod oracle;
pub mod platform;
pub mod simulation;
mod upstreams;
