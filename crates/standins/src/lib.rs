//! Stand-ins for outside systems: small servers on loopback with faults that tests control.

pub mod client;
mod http_util;
pub mod platform;
pub mod server;
