//! Drivers of the core's state machines: they do the network I/O and run the timers.

pub mod admin;
mod connect;
pub mod control;
pub mod entry;
pub mod gateway;
pub mod host;
pub mod http;
mod load_messages;
pub mod metrics;
pub mod platform;
pub mod ranks;
mod rpc;
pub mod runtime;
pub mod tls;
pub mod upstream;
pub mod wire;
