//! Claims of one shard in their binary form, as stored in the platform.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Claim, Nonce};
use crate::platform::MAX_VALUE_BYTES;

const FORMAT_VERSION: u8 = 1;
const HEADER_BYTES: usize = 9;
const RECORD_BYTES: usize = 20;

/// Maximum number of claims in one object.
pub const MAX_RECORDS: usize = (MAX_VALUE_BYTES - HEADER_BYTES) / RECORD_BYTES;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Record {
    nonce: Nonce,
    expires_s: u32,
}

/// Claims by key, with a logical clock of the shard.
///
/// Each writer advances the clock by the time that has certainly elapsed on its
/// monotonic clock since the previous write. The clock never runs faster than real
/// time, so no claim expires early, independently of the hosts' wall clocks.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Table {
    clock_ms: u64,
    records: BTreeMap<u64, Record>,
}

impl Table {
    /// Decodes an object's value; `None` if [`Self::encode`] can't have written it.
    #[must_use]
    pub fn decode(value: &[u8]) -> Option<Self> {
        let (header, body) = value.split_at_checked(HEADER_BYTES)?;
        if header[0] != FORMAT_VERSION || body.len() % RECORD_BYTES != 0 {
            return None;
        }
        let records = body.chunks_exact(RECORD_BYTES).map(|r| {
            let record = Record {
                nonce: from_be_bytes(&r[8..16]),
                expires_s: from_be_bytes(&r[16..]) as u32,
            };
            (from_be_bytes(&r[..8]), record)
        });
        Some(Self {
            clock_ms: from_be_bytes(&header[1..]),
            records: records.collect(),
        })
    }

    /// Encodes the clock and the claims as the value of an object, in big-endian order.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let mut value = Vec::with_capacity(HEADER_BYTES + self.records.len() * RECORD_BYTES);
        value.push(FORMAT_VERSION);
        value.extend(self.clock_ms.to_be_bytes());
        for (key, record) in &self.records {
            value.extend(key.to_be_bytes());
            value.extend(record.nonce.to_be_bytes());
            value.extend(record.expires_s.to_be_bytes());
        }
        value
    }

    /// Advances the clock and removes the claims that have expired.
    pub fn advance(&mut self, elapsed: Duration) {
        self.clock_ms += u64::try_from(elapsed.as_millis()).unwrap_or(0);
        let clock_ms = self.clock_ms;
        self.records
            .retain(|_, r| u64::from(r.expires_s) * 1_000 > clock_ms);
    }

    /// Nonce of the claimant that holds a key; `None` if the key is free.
    #[must_use]
    pub fn holder(&self, key: u64) -> Option<Nonce> {
        self.records.get(&key).map(|r| r.nonce)
    }

    /// Adds a claim of a free key; returns false if the object is full.
    #[must_use]
    pub fn insert(&mut self, claim: &Claim) -> bool {
        if self.records.len() >= MAX_RECORDS {
            return false;
        }
        let now_s = u32::try_from(self.clock_ms.div_ceil(1_000)).unwrap_or(u32::MAX);
        let record = Record {
            nonce: claim.nonce,
            expires_s: now_s.saturating_add(claim.lifetime_s),
        };
        self.records.insert(claim.key, record);
        true
    }

    /// Removes the claim of a key if the claimant with this nonce holds it; returns whether it did.
    pub fn remove(&mut self, key: u64, nonce: Nonce) -> bool {
        let held = self.holder(key) == Some(nonce);
        if held {
            self.records.remove(&key);
        }
        held
    }
}

fn from_be_bytes(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0, |n, b| n << 8 | u64::from(*b))
}
