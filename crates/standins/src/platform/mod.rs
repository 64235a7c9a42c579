//! Stand-in for the platform: object store and host list over HTTP.
//!
//! [`Store`] holds the objects and does no I/O; [`Platform`] serves a store
//! with rate limits, counters and faults.

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

/// Lifecycle state of a host in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// The host runs and is meant to stay.
    Live,
    /// The host still runs but the platform is about to remove it.
    Leaving,
}

/// A host in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Host {
    /// Name, unique in the list.
    pub host: String,
    /// IP address, without a port.
    pub address: String,
    /// Name of the data centre that the host is in.
    pub data_centre: String,
    /// Whether the host stays or is about to be removed.
    pub state: HostState,
}

/// Answer of `GET /v1/hosts`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostList {
    /// Hosts that run; removed ones are no longer listed.
    pub hosts: Vec<Host>,
}

/// An object in a listing, without its value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListedObject {
    /// Full key, including the prefix of the listing.
    pub key: String,
    /// Version of the latest write of this object.
    pub version: u64,
    /// Size of the value, in bytes.
    pub size_bytes: u64,
}

/// Answer of `GET /v1/objects?prefix=`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listing {
    /// Objects in the order of their keys.
    pub objects: Vec<ListedObject>,
}
