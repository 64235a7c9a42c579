//! An entry host that passes requests straight to upstreams.
//!
//! Listeners, connections and timers around [`eelgrasshold_core::gateway`]: callers ask it which
//! addresses to use, connect and send requests; it follows the platform's store for the
//! configuration and the registry of upstreams, and exchanges datagrams with other entry hosts.

mod callers;
mod directory;
mod exchange;
mod follow;
mod gossip;
mod host;
mod intake;
mod metrics;
mod options;
mod pool;
mod pulls;
mod relay;
mod shared;
mod sse;

pub use host::GatewayHost;
pub(crate) use host::{platform_client, serve_metrics};
pub use options::{GatewayOptions, GatewayOptionsBuilder};
