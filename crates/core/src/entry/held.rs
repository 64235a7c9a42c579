//! What the machine keeps for each request and each attempt.

use std::collections::BTreeSet;

use crate::serving::claims::Claim;
use crate::serving::suspects::BroadcastId;
use crate::types::{AttemptId, HostId, Incarnation, Now, Request, RequestHandle, Run, WorkClass};

/// The claim of a request's idempotency key.
#[derive(Clone, Copy, Debug)]
pub(super) struct HeldClaim {
    pub(super) claim: Claim,
    /// When it was asked for, which is before it was written.
    pub(super) asked: Now,
    pub(super) granted: bool,
    /// This host writes it, as the shard's owner or because the owner did not answer.
    pub(super) local: bool,
}

/// A request that has not ended.
#[derive(Clone, Debug)]
pub(super) struct Held {
    pub(super) request: Request,
    pub(super) deadline: Now,
    /// The one attempt whose answer is accepted.
    pub(super) attempt: Option<AttemptId>,
    /// A second attempt that takes the first one's place if it answers sooner.
    pub(super) hedge: Option<AttemptId>,
    pub(super) attempts: u32,
    /// Upstreams that are not chosen, since they were tried or are avoided.
    pub(super) tried: BTreeSet<HostId>,
    pub(super) next_token: u32,
    pub(super) claim: Option<HeldClaim>,
    /// Some attempt may have begun to run.
    pub(super) may_have_run: bool,
    /// The crash that counts against the fingerprint while this request runs as a trial.
    pub(super) trial: Option<u64>,
    /// Suspects that other entry hosts must know before the request goes on.
    pub(super) sharing: Option<BroadcastId>,
}

impl Held {
    pub(super) fn new(request: Request, deadline: Now) -> Self {
        Self {
            deadline,
            attempt: None,
            hedge: None,
            attempts: 0,
            tried: BTreeSet::new(),
            next_token: request.resume_from,
            claim: None,
            may_have_run: false,
            trial: None,
            sharing: None,
            request,
        }
    }

    pub(super) fn idempotent(&self) -> bool {
        self.request.class == WorkClass::Idempotent
    }

    /// What is known of its execution, attempts in flight included.
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
    /// Life of the upstream process that it was meant for.
    pub(super) incarnation: Incarnation,
    pub(super) sent: Now,
    pub(super) answered: bool,
    /// It runs alone, as a suspect.
    pub(super) alone: bool,
}
