//! The planner's lease in the platform's object API.
//!
//! The object holds the writer's identity and a fencing number. A holder counts
//! its time from *before* it sent the write and stops a fifth early; a candidate
//! counts the whole time from *after* it first saw the object's version. Both
//! use their own monotonic clocks, so the holder stops first unless the clocks'
//! speeds differ by a fifth. A write whose answer was lost is settled by
//! reading back the writer's identity.

mod machine;

#[cfg(test)]
mod tests;

use std::time::Duration;

use serde::{Deserialize, Serialize};

pub use machine::Lease;

use super::map::FenceNumber;
use crate::types::{HostId, Incarnation};

/// The part of the time that the holder leaves unused.
pub(super) const EARLY_END_PARTS: u32 = 5;

/// Settings of a lease.
#[derive(Clone, Debug)]
pub struct LeaseSettings {
    /// Key of the object.
    pub key: String,
    /// Name of this process.
    pub holder: HostId,
    /// Life of this process.
    pub incarnation: Incarnation,
    /// Time without a renewal after which others may take the lease.
    pub duration: Duration,
    /// Time between two looks at a lease that another process holds.
    pub poll_every: Duration,
}

/// Value of the lease object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseRecord {
    /// Name of the writer.
    pub holder: HostId,
    /// Life of the writer.
    pub incarnation: Incarnation,
    /// Fencing number.
    pub number: FenceNumber,
    /// Count of the writer's writes, which tells one lost write from another.
    pub write: u64,
    /// Time without a renewal after which others may take the lease, in milliseconds.
    pub duration_ms: u64,
}

/// Key of a group's lease.
#[must_use]
pub fn lease_key(group: &str) -> String {
    format!("group/{group}/planner")
}

/// Fencing number in a lease object; none if the value is malformed.
#[must_use]
pub fn number_of(value: &[u8]) -> Option<FenceNumber> {
    serde_json::from_slice::<LeaseRecord>(value)
        .ok()
        .map(|r| r.number)
}
