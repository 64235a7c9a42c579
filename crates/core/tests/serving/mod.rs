//! A small world around the real machines: callers, transport, engines and platform.

pub mod caller;
mod callers;
mod connection;
mod drive;
mod engines;
mod entries;
pub mod oracle;
pub mod platform;
mod upstreams;
pub mod world;
