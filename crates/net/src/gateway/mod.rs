//! An entry host that proxies requests directly to upstreams.
//!
//! Listeners, connections and timers around [`eelgrasshold_core::gateway`]. Callers resolve the
//! addresses of entry hosts, connect and send requests. The host watches the platform's store for
//! the configuration and the registry of upstreams, and gossips with other entry hosts over UDP.

mod answer;
mod buffer;
mod callers;
mod copies;
mod delivery;
mod directory;
mod ends;
mod exchange;
mod follow;
mod gossip;
mod host;
mod in_flight;
mod intake;
mod load_reports;
mod metrics;
mod notices;
mod options;
mod permits;
mod pool;
mod pulls;
mod quarantine;
mod relay;
mod shared;
mod sse;
mod turns;

pub use host::GatewayHost;
pub(crate) use host::{platform_client, serve_metrics};
pub use options::{GatewayOptions, GatewayOptionsBuilder};
