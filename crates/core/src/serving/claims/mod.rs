//! At-most-once execution: claims of idempotency keys, stored in the platform.
//!
//! Each key belongs to one of [`SHARDS`] objects. A writer of a shard collects claims
//! for [`BATCH_INTERVAL`] and adds them in one conditional update, so safety depends
//! only on the platform's compare-and-swap. Any host may write any shard; the owner of
//! a shard is only a hint that avoids conflicting writes.

mod shard;
mod table;

#[cfg(test)]
mod tests;

use std::time::Duration;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::types::{HostId, Request};

pub use shard::{Effect, ShardWriter};
pub use table::{MAX_RECORDS, Table};

/// Number of objects that store claims. With one write per [`BATCH_INTERVAL`] to each, they take at
/// most 320 of the several hundred writes per second that the platform allows.
pub const SHARDS: u8 = 16;
/// Time for which a writer collects claims before it writes them.
pub const BATCH_INTERVAL: Duration = Duration::from_millis(50);
/// Time after the request for a claim in which the request may be dispatched. A process that was
/// paused for longer must not dispatch, since the claim may have expired.
pub const CLAIM_VALIDITY: Duration = Duration::from_secs(5);
/// Maximum time from the claim to the acceptance of the dispatch by an upstream process:
/// [`CLAIM_VALIDITY`] plus the 60 s after which that process refuses a dispatch.
const DISPATCH_LIMIT_S: u64 = 65;

/// Random number that identifies the request that made a claim.
pub type Nonce = u64;

/// A claim of an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Claim {
    /// Hash of service, team and key.
    pub key: u64,
    /// Identifies the claimant: only the request with this nonce may run.
    pub nonce: Nonce,
    /// Time for which the key must be remembered, in seconds, from the write of the claim.
    pub lifetime_s: u32,
}

/// Result of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimResult {
    /// The claim is stored: the request holds the key and may be dispatched.
    Granted,
    /// Another request holds the key; it may have ended already.
    Taken,
    /// The claim could not be stored, so the request must not be dispatched.
    Unavailable,
}

/// Hash of a request's service, team and idempotency key; without a key, the request id is used.
#[must_use]
pub fn key_hash(request: &Request) -> u64 {
    let key = request.idempotency_key.as_ref().unwrap_or(&request.id);
    hash(&[&request.service, &request.team, key])
}

/// Number of the shard that stores a key, in 0..[`SHARDS`].
#[must_use]
pub fn shard_of(key: u64) -> u8 {
    (key % u64::from(SHARDS)) as u8
}

/// Time for which a key must be remembered, in seconds: its configured lifetime, or the time in
/// which an upstream process may still start the claimed work, whichever is longer.
#[must_use]
pub fn lifetime_s(key_lifetime_s: u64, deadline: Duration) -> u32 {
    let may_start_s = DISPATCH_LIMIT_S + deadline.as_secs() + 1;
    u32::try_from(key_lifetime_s.max(may_start_s)).unwrap_or(u32::MAX)
}

/// Preferred writer of a shard by rendezvous hashing; `None` if `hosts` is empty.
#[must_use]
pub fn owner(shard: u8, hosts: &[HostId]) -> Option<&HostId> {
    hosts
        .iter()
        .max_by_key(|host| hash(&[host, &shard.to_string()]))
}

fn hash(parts: &[&str]) -> u64 {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update(part.len().to_be_bytes());
        hasher.update(part);
    }
    let mut first = [0; 8];
    first.copy_from_slice(&hasher.finalize()[..8]);
    u64::from_be_bytes(first)
}
