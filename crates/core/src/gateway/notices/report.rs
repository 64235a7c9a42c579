//! What hosts tell each other of upstreams that leave.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::gateway::registry::{Born, UpstreamId};

/// An upstream said in an answer that it leaves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingReport {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Its start, as listed in the registry of the host that got the answer.
    pub born: Option<Born>,
    /// Time since the answer.
    pub age: Duration,
}
