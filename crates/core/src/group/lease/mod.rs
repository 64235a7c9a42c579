//! The planner's lease, stored in the platform's object API.
//!
//! The object holds the writer's identity and a fencing number. A holder counts the lease duration
//! from *before* it sent the write, and stops a fifth early. A candidate counts the full duration
//! from *after* it first saw the object's version. Both use their own monotonic clocks, so the
//! holder stops first unless the speeds of the clocks differ by a fifth. If the reply to a write
//! is lost, the holder reads the object back and compares the writer's identity.

mod machine;

#[cfg(test)]
mod tests;

use std::time::Duration;

use serde::{Deserialize, Serialize};

pub use machine::Lease;

use super::map::FenceNumber;
use crate::types::{HostId, Incarnation};

/// The holder stops using the lease this fraction (one fifth) of its duration early.
pub(super) const EARLY_EXPIRY_DIVISOR: u32 = 5;

/// Settings of a lease.
#[derive(Clone, Debug)]
pub struct LeaseSettings {
    /// Key of the lease object.
    pub key: String,
    /// Name of this process's host.
    pub holder: HostId,
    /// Incarnation of this process.
    pub incarnation: Incarnation,
    /// Time without a renewal after which others may take the lease.
    pub duration: Duration,
    /// Time between reads of a lease that another process holds.
    pub poll_every: Duration,
}

/// Content of the lease object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseRecord {
    /// Name of the writer's host.
    pub holder: HostId,
    /// Incarnation of the writer's process.
    pub incarnation: Incarnation,
    /// Fencing number; a new holder writes a higher one.
    pub number: FenceNumber,
    /// Sequence number of the write within the writer's incarnation, which identifies a write whose
    /// reply was lost.
    pub write: u64,
    /// Time without a renewal after which others may take the lease, in milliseconds.
    pub duration_ms: u64,
}

/// Key of a group's lease object.
#[must_use]
pub fn lease_key(group: &str) -> String {
    format!("group/{group}/planner")
}

/// Fencing number in the content of a lease object; none if the content is malformed.
#[must_use]
pub fn fence_number_in(value: &[u8]) -> Option<FenceNumber> {
    serde_json::from_slice::<LeaseRecord>(value)
        .ok()
        .map(|r| r.number)
}
