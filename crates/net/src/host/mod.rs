//! Complete processes: an entry host, and the process next to an upstream.
//!
//! Both bind their listeners first, so that they announce the actual port if port 0 is configured,
//! and then run until they are closed or aborted.

mod base;
mod entry;
mod fleet;
mod options;
mod upstream;

use std::time::{Duration, SystemTime};

use eelgrasshold_core::types::Incarnation;
use snafu::Snafu;

pub use entry::EntryHost;
pub use options::{EngineOptions, HostOptions, HostOptionsBuilder};
pub use upstream::UpstreamHost;

use crate::metrics::MetricsError;

/// Why a process did not start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StartError {
    /// The address is in use, not of this host or not permitted.
    #[snafu(display("can't listen on {address}: {source}; choose a free address of this host"))]
    Listen {
        /// Address from the options.
        address: std::net::SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// An address to announce is unspecified, such as `0.0.0.0`, so that others can't reach it.
    #[snafu(display("other hosts can't reach {address}; configure an IP address of this host"))]
    Unspecified {
        /// Bound address, with the actual port.
        address: std::net::SocketAddr,
    },
    /// The metrics exporter can't be set up.
    #[snafu(display("{source}"), context(false))]
    Metrics {
        /// What the exporter's set-up returned.
        source: MetricsError,
    },
}

/// How a graceful shutdown ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Drained {
    /// All requests ended before the limit.
    Whole,
    /// The drain limit passed, or the wait was ended early, with this many requests open.
    Cut(u64),
}

/// Returns an incarnation that is higher than all earlier ones of the same process: milliseconds
/// since the epoch, followed by 20 random bits.
pub(crate) fn new_incarnation() -> Incarnation {
    let since_epoch = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or(Duration::ZERO);
    let ms = u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX >> 20);
    (ms << 20) | (rand::random::<u64>() & 0xf_ffff)
}
