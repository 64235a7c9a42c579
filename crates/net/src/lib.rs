//! Sockets and timers around the core.

pub mod entry;
pub mod http;
pub mod platform;
pub mod runtime;
pub mod upstream;
pub mod wire;
