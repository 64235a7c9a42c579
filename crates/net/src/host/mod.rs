//! Whole processes: an entry host, and the process next to an upstream.
//!
//! Both bind their listeners first, so that a port of 0 becomes the address
//! that they announce, and then run until they are closed.

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
    /// A listener can't be bound.
    #[snafu(display("can't listen on {address}: {source}; choose a free address of this host"))]
    Listen {
        /// Address from the options.
        address: std::net::SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// An address that would be announced is not one that others can reach.
    #[snafu(display("{address} is no address that others can reach; name an IP of this host"))]
    Unspecified {
        /// Address from the options.
        address: std::net::SocketAddr,
    },
    /// Metrics can't be set up.
    #[snafu(display("{source}"), context(false))]
    Metrics {
        /// Cause.
        source: MetricsError,
    },
}

/// How a graceful shutdown ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Drained {
    /// All requests ended before the limit.
    Whole,
    /// The limit passed, or the caller stopped waiting, with this many requests open.
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
