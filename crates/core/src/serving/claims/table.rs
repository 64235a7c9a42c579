//! The claims of one shard, as they are kept in the platform.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Claim, Nonce};
use crate::platform::MAX_VALUE_BYTES;

const FORMAT: u8 = 1;
const HEADER_BYTES: usize = 9;
const RECORD_BYTES: usize = 20;

/// Claims that fit into one object.
pub const MAX_RECORDS: usize = (MAX_VALUE_BYTES - HEADER_BYTES) / RECORD_BYTES;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Record {
    nonce: Nonce,
    expires_s: u32,
}

/// Claims by key, with a clock of the shard's own.
///
/// Each writer moves the clock on by the time that it knows to have passed on
/// its monotonic clock since the previous write. The clock never runs ahead of
/// real time, so no claim expires early, whatever the hosts' wall clocks say.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Table {
    clock_ms: u64,
    records: BTreeMap<u64, Record>,
}

impl Table {
    /// Reads an object's value; none if it isn't one that [`Self::encode`] wrote.
    #[must_use]
    pub fn decode(value: &[u8]) -> Option<Self> {
        let (header, body) = value.split_at_checked(HEADER_BYTES)?;
        if header[0] != FORMAT || body.len() % RECORD_BYTES != 0 {
            return None;
        }
        let records = body.chunks_exact(RECORD_BYTES).map(|r| {
            let record = Record {
                nonce: number(&r[8..16]),
                expires_s: number(&r[16..]) as u32,
            };
            (number(&r[..8]), record)
        });
        Some(Self {
            clock_ms: number(&header[1..]),
            records: records.collect(),
        })
    }

    /// Value of the object.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let mut value = Vec::with_capacity(HEADER_BYTES + self.records.len() * RECORD_BYTES);
        value.push(FORMAT);
        value.extend(self.clock_ms.to_be_bytes());
        for (key, record) in &self.records {
            value.extend(key.to_be_bytes());
            value.extend(record.nonce.to_be_bytes());
            value.extend(record.expires_s.to_be_bytes());
        }
        value
    }

    /// Moves the clock on and drops the claims that have expired.
    pub fn advance(&mut self, passed: Duration) {
        self.clock_ms += u64::try_from(passed.as_millis()).unwrap_or(0);
        let clock_ms = self.clock_ms;
        self.records
            .retain(|_, r| u64::from(r.expires_s) * 1_000 > clock_ms);
    }

    /// Claimant that holds a key.
    #[must_use]
    pub fn holder(&self, key: u64) -> Option<Nonce> {
        self.records.get(&key).map(|r| r.nonce)
    }

    /// Adds a claim of a free key; false if the object is full.
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

    /// Removes the claim of a key if this claimant holds it.
    pub fn remove(&mut self, key: u64, nonce: Nonce) -> bool {
        let held = self.holder(key) == Some(nonce);
        if held {
            self.records.remove(&key);
        }
        held
    }
}

fn number(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0, |n, b| n << 8 | u64::from(*b))
}
