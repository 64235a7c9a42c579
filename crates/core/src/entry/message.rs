//! Messages between entry hosts.

use serde::{Deserialize, Serialize};

use crate::serving::claims::{Claim, ClaimResult, Nonce};
use crate::serving::limits::{Demand, Share};
use crate::serving::suspects::Suspect;

/// What one entry host tells another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
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
    /// Asks for all suspects, at the start of a process.
    SuspectsWanted,
    /// All suspects that a host knows, for one that asked.
    AllSuspects(Vec<Suspect>),
    /// Acknowledges suspects, with what the sender knows of the same fingerprints.
    SuspectsSeen(Vec<Suspect>),
    /// Demands of the sender, to the accountant of these teams' limits.
    Demands(Vec<Demand>),
    /// Shares of teams' limits, in answer to demands.
    Shares(Vec<Share>),
}
