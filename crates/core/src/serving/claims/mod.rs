//! At-most-once execution: claims of idempotency keys, kept in the platform.
//!
//! A key belongs to one of [`SHARDS`] objects. Whoever writes a shard collects
//! claims for [`BATCH_INTERVAL`] and adds them in one conditional update, so safety
//! rests on the platform's condition alone. The owner of a shard is advice
//! that keeps writers from competing.

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

/// Objects that hold claims. With one write per [`BATCH_INTERVAL`] each they take at most 320 writes a
/// second of the several hundred that the platform allows.
pub const SHARDS: u8 = 16;
/// Time for which a writer collects claims.
pub const BATCH_INTERVAL: Duration = Duration::from_millis(50);
/// A request is dispatched only this soon after it asked for its claim, so that a paused
/// process can't dispatch once the claim may have expired.
pub const CLAIM_VALIDITY: Duration = Duration::from_secs(5);
/// Time after the claim at which a dispatch may still reach an upstream process: [`CLAIM_VALIDITY`]
/// and the 60 s after which that process refuses it.
const DISPATCH_LIMIT_S: u64 = 65;

/// Random number of the one request that made a claim.
pub type Nonce = u64;

/// A claim of an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Claim {
    /// Hash of service, team and key.
    pub key: u64,
    /// Claimant.
    pub nonce: Nonce,
    /// How long the key must be remembered, in seconds.
    pub lifetime_s: u32,
}

/// How a claim was settled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimResult {
    /// This request holds the key.
    Granted,
    /// Another request holds or held it.
    Taken,
    /// It could not be written; nothing was dispatched.
    Unavailable,
}

/// Hash of a request's service, team and key; the request's id stands for a missing key.
#[must_use]
pub fn key_hash(request: &Request) -> u64 {
    let key = request.idempotency_key.as_ref().unwrap_or(&request.id);
    hash(&[&request.service, &request.team, key])
}

/// Shard that holds a key.
#[must_use]
pub fn shard_of(key: u64) -> u8 {
    (key % u64::from(SHARDS)) as u8
}

/// Time for which a key must be remembered, in seconds: its lifetime, or longer while an
/// upstream process may still start the work that the claim covers.
#[must_use]
pub fn lifetime_s(key_lifetime_s: u64, deadline: Duration) -> u32 {
    let may_start_s = DISPATCH_LIMIT_S + deadline.as_secs() + 1;
    u32::try_from(key_lifetime_s.max(may_start_s)).unwrap_or(u32::MAX)
}

/// Owner of a shard by rendezvous hashing; none if no entry host is known.
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
