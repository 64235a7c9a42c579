//! Messages between entry hosts.

use serde::{Deserialize, Serialize};

use crate::types::Fingerprint;

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

/// A crash of an upstream that is attributed to a fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Suspect {
    /// Fingerprint of a request that was in flight.
    pub fingerprint: Fingerprint,
    /// Random number of the crash, or of a trial that counts as one until it ends.
    pub crash: u64,
    /// The fingerprint did not cause it after all.
    pub cleared: bool,
}

/// What one entry host tells another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerMessage {
    /// Write these claims, as the owner of their shards.
    Claims(Vec<Claim>),
    /// How claims were settled, by the claimants' nonces.
    ClaimResults(Vec<(Nonce, ClaimResult)>),
    /// Forget claims (key and nonce) whose requests certainly did not run and never will.
    Release(Vec<(u64, Nonce)>),
    /// Fingerprints suspected of crashing upstreams.
    Suspects(Vec<Suspect>),
    /// Acknowledges suspects.
    SuspectsSeen(Vec<Suspect>),
}
