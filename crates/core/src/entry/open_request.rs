//! State of each open request and of each attempt in flight.

use std::collections::BTreeSet;

use crate::serving::claims::Claim;
use crate::serving::suspects::BroadcastId;
use crate::types::{AttemptId, HostId, Incarnation, Now, Request, RequestHandle, Run, WorkClass};

/// The claim of a request's idempotency key.
#[derive(Clone, Copy, Debug)]
pub(super) struct RequestClaim {
    pub(super) claim: Claim,
    /// When the claim was requested. Its validity counts from here, since the write comes later.
    pub(super) requested: Now,
    pub(super) granted: bool,
    /// Whether this host writes it, as the shard's owner or because the owner did not answer.
    pub(super) local: bool,
}

/// A request that has not ended.
#[derive(Clone, Debug)]
pub(super) struct OpenRequest {
    pub(super) request: Request,
    pub(super) deadline: Now,
    /// The one attempt whose answer is accepted.
    pub(super) attempt: Option<AttemptId>,
    /// A second attempt, which replaces the first one if it answers sooner.
    pub(super) hedge: Option<AttemptId>,
    pub(super) attempts: u32,
    /// Upstreams not to choose, since they were tried or are to be avoided.
    pub(super) excluded: BTreeSet<HostId>,
    pub(super) next_token: u32,
    pub(super) claim: Option<RequestClaim>,
    /// Whether an ended attempt may have started to run.
    pub(super) may_have_run: bool,
    /// Identifier of the crash that counts against the fingerprint while the request runs as a
    /// trial.
    pub(super) trial: Option<u64>,
    /// Broadcast of suspects that other entry hosts must acknowledge before the request goes on.
    pub(super) broadcast: Option<BroadcastId>,
}

impl OpenRequest {
    pub(super) fn new(request: Request, deadline: Now) -> Self {
        Self {
            deadline,
            attempt: None,
            hedge: None,
            attempts: 0,
            excluded: BTreeSet::new(),
            next_token: request.resume_from,
            claim: None,
            may_have_run: false,
            trial: None,
            broadcast: None,
            request,
        }
    }

    pub(super) fn idempotent(&self) -> bool {
        self.request.class == WorkClass::Idempotent
    }

    /// Whether the request may have run, attempts in flight included.
    pub(super) fn run(&self) -> Run {
        if self.may_have_run || self.attempt.is_some() {
            Run::Unknown
        } else {
            Run::NotRun
        }
    }
}

/// An attempt in flight.
#[derive(Clone, Debug)]
pub(super) struct Attempt {
    pub(super) handle: RequestHandle,
    pub(super) host: HostId,
    /// Incarnation of the upstream process that it was sent to.
    pub(super) incarnation: Incarnation,
    pub(super) sent: Now,
    pub(super) answered: bool,
    /// Whether its request is a suspect, which the upstream runs alone.
    pub(super) alone: bool,
}
