//! Stand-in for the platform: object API and host list over HTTP.
//!
//! [`Store`] holds the objects without input or output; [`Platform`] serves a
//! store with rates, counters and faults.

mod faults;
mod handler;
mod hosts;
mod rate;
mod server;
mod state;
mod store;

#[cfg(test)]
mod tests;

use serde::{Deserialize, Serialize};

pub use faults::Outage;
pub use server::{Platform, PlatformBuilder};
pub use state::Counters;
pub use store::{Object, Store, WriteError};

/// State of a host in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// The host runs.
    Live,
    /// The host is about to be taken away.
    Leaving,
}

/// A host in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Host {
    /// Name.
    pub host: String,
    /// IP address, without a port.
    pub address: String,
    /// Data centre.
    pub data_centre: String,
    /// Whether it leaves.
    pub state: HostState,
}

/// Answer of `GET /v1/hosts`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostList {
    /// Hosts that are live or leaving.
    pub hosts: Vec<Host>,
}

/// An object in a listing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listed {
    /// Key.
    pub key: String,
    /// Version.
    pub version: u64,
    /// Size of the value, in bytes.
    pub size_bytes: u64,
}

/// Answer of `GET /v1/objects?prefix=`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listing {
    /// Objects in the order of their keys.
    pub objects: Vec<Listed>,
}
