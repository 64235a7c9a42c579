//! Messages between entry hosts.

use serde::{Deserialize, Serialize};

use crate::serving::claims::{Claim, ClaimResult, Nonce};
use crate::serving::limits::{Demand, Share};
use crate::serving::suspects::Suspect;

/// A message from one entry host to another, in the control protocol. Messages may be lost,
/// repeated or reordered.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerMessage {
    /// Requests that the receiver writes these claims, as the owner of their shards.
    Claims(Vec<Claim>),
    /// Results of claims, by the nonces of the claims.
    ClaimResults(Vec<(Nonce, ClaimResult)>),
    /// Releases claims (key and nonce) whose requests certainly have not run and never will.
    Release(Vec<(u64, Nonce)>),
    /// Fingerprints suspected of crashing upstreams.
    Suspects(Vec<Suspect>),
    /// Requests all suspects, at the start of a process.
    SuspectsWanted,
    /// All suspects that the sender knows, in answer to [`Self::SuspectsWanted`].
    AllSuspects(Vec<Suspect>),
    /// Acknowledges suspects, and adds all crashes of the same fingerprints that the sender knows.
    SuspectsSeen(Vec<Suspect>),
    /// Request rates of teams at the sender, to the accountant of these teams.
    Demands(Vec<Demand>),
    /// The receiver's shares of teams' limits, in answer to [`Self::Demands`].
    Shares(Vec<Share>),
}
