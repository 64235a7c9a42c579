//! Requests that are being served, and the outcomes of their attempts.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use crate::gateway::concurrency::Ticket;
use crate::gateway::departure::Departure;
use crate::gateway::placing::Work;
use crate::gateway::quarantine::{self, FeatureId};
use crate::gateway::registry::{Upstream, UpstreamId};
use crate::gateway::routes::{Route, TableVersion};
use crate::platform::Version;
use crate::types::{HostId, Now, Refusal, RequestId, ServiceId, TeamId, WorkClass};

/// Parts of a caller's request that decide how it is handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestHead<'a> {
    /// Id of this attempt of the caller.
    pub id: &'a str,
    /// Requested host name; may include a port.
    pub host: &'a str,
    /// Path without the query string.
    pub path: &'a str,
    /// API key, if the request carries one.
    pub key: Option<&'a str>,
    /// Time that the caller will wait.
    pub deadline: Option<Duration>,
    /// Ids of the parts of the prompt that other requests may share.
    pub parts: &'a [&'a str],
    /// Length of the prompt in tokens; 0 if unknown.
    pub prompt_tokens: u32,
    /// Expected length of the answer in tokens; 0 if unknown.
    pub answer_tokens: u32,
    /// Longest possible answer in tokens; 0 if unknown.
    pub max_answer_tokens: u32,
}

/// State of a request that is being served.
#[derive(Clone, Debug)]
pub struct Admitted {
    /// Id of this attempt of the caller.
    pub id: RequestId,
    /// Version of the route table that it was matched with.
    pub table: TableVersion,
    /// Route that it matched.
    pub route: Arc<Route>,
    /// Service that was chosen to run it.
    pub service: ServiceId,
    /// Team that owns its key.
    pub team: Option<TeamId>,
    /// Priority of the request; 0 is the highest.
    pub priority: u8,
    /// Time of arrival.
    pub arrived: Now,
    /// Time at which its caller or its route stops waiting.
    pub waits_until: Now,
    /// Time by which it has to be answered: the same, or earlier if this host ends before.
    pub deadline: Now,
    /// When its caller leaves for lack of an event.
    pub departure: Departure,
    /// Work of the request, relative to a usual one.
    pub work: Work,
    /// Largest number of events in its answer; `None` if unknown.
    pub max_events: Option<u32>,
    /// What it has in common with other requests.
    pub features: Vec<FeatureId>,
    /// Hash of all that it consists of; `None` before its body has arrived.
    pub(super) content: Option<u64>,
    /// Its place among the streams in flight or the requests that wait for one.
    pub(super) ticket: Option<Ticket>,
    /// Upstreams that it was sent to, without those that could not be reached.
    pub tried: BTreeSet<UpstreamId>,
    /// Whether some upstream may have run it.
    pub may_have_run: bool,
    /// Number of failed connections for it.
    pub failed_connections: u32,
    /// Whether its group waits for one of its ranks, or seems to be forming.
    pub stalled: bool,
    /// How the last attempt ended.
    pub last_outcome: Option<Outcome>,
    /// Largest number of events of an attempt that broke off; `None` if none did.
    pub broken_after: Option<u32>,
    /// Upstream with a limit that it may be sent to.
    pub(super) permit: Option<UpstreamId>,
    /// When the budget of repeated sends was charged for the next send, if it was.
    pub(super) charged_at: Option<Now>,
    /// The same for the last send.
    pub(super) last_charge: Option<Now>,
}

/// Next step of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Next {
    /// Send it to this upstream.
    Send(Upstream, Reasons),
    /// Ask this host whether it may be sent to this upstream, which names a limit, and pass the answer
    /// to [`Gateway::permit_answered`].
    Ask(UpstreamId, HostId),
    /// Wait for this time, as an upstream that pauses or is cold is expected to take requests then, and ask
    /// again. A request that waits for its turn ([`Gateway::is_waiting`]) asks sooner if its ticket is woken.
    Wait(Duration),
    /// Answer with this refusal.
    Refuse(Refusal),
}

/// Figures behind the choice of an upstream, for logs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reasons {
    /// Upstreams of the service that accept new requests.
    pub usable: usize,
    /// Of these, skipped because the request was sent to them before.
    pub tried: usize,
    /// Of these, skipped because they have reached the limits that they name, or are cold and this host has
    /// no permit for them.
    pub limited: usize,
    /// Of these, left out because they leave, or want no requests from this host for now.
    pub unwilling: usize,
    /// Of these, left out because their data centres are evacuated.
    pub evacuated: usize,
    /// Of these, avoided because they are ejected, silent, or another upstream has their address.
    pub avoided: usize,
    /// This host's requests in flight at the chosen upstream.
    pub in_flight: u32,
    /// Revision of the registry at the choice.
    pub registry: Version,
    /// Time since the store last confirmed the registry.
    pub registry_age: Duration,
    /// Whether the entry of the chosen upstream disappeared while the store did not answer.
    pub lapsed: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A complete successful answer was forwarded.
    Answered,
    /// The upstream answered with an error of its own.
    Failed,
    /// The upstream is full and did not run the request.
    Full,
    /// The upstream wants no requests from this host for a while and did not run the request.
    Declined,
    /// The request was not sent: the chosen upstream leaves, wants no requests, or is evacuated, by now.
    Moved,
    /// The upstream waits for another rank of its group and did not run the request.
    Stalled,
    /// Another upstream has the address; it did not run the request.
    Misdirected,
    /// No connection was established, so the request was not sent.
    Unreachable,
    /// The request was sent, but its answer did not arrive, broke off or belonged to another
    /// request.
    Broken,
    /// The upstream stands still: nothing arrived from it while other upstreams went on.
    Silent,
    /// The request was withdrawn since upstreams ended under requests like it.
    Withdrawn,
    /// The deadline passed while the upstream was working.
    TimedOut,
    /// The upstream supplied no event before the caller was about to leave.
    Expired,
    /// The caller disconnected while the upstream was working.
    GivenUp,
}

impl Admitted {
    /// Adds what the request has in common with its own repetitions. `content` is a hash of all that
    /// it consists of.
    pub fn set_content(&mut self, content: u64) {
        let features = quarantine::request_features(&self.route.host, &self.service, content);
        self.features.extend(features);
        self.content = Some(content);
    }

    /// Longest time that its answer takes if it begins before its caller leaves and has no longer pauses than
    /// its route allows; `None` if unknown.
    pub(in crate::gateway) fn longest_answer(&self) -> Option<Duration> {
        let (events, pause) = (self.max_events?, self.route.target_pause?);
        Some(self.route.patience() + pause * events)
    }

    /// Whether the request may be sent to one more upstream.
    pub(super) fn is_repeatable(&self) -> bool {
        let attempts_left = (self.tried.len() as u32) < self.route.attempts;
        let may_run_again = !self.may_have_run || self.route.kind.class() == WorkClass::Idempotent;
        may_run_again && attempts_left
    }

    /// Whether an attempt may be given up for the silence of its upstream: if the request can be sent once
    /// more, or if its caller can do that with nothing lost.
    pub(super) fn may_be_given_up(&self) -> bool {
        let is_idempotent = self.route.kind.class() == WorkClass::Idempotent;
        is_idempotent && (self.is_repeatable() || !self.departure.has_event())
    }

    /// Priority of the present send. A request that has waited in vain has little of its time left.
    #[must_use]
    pub fn send_priority(&self) -> u8 {
        if self.may_have_run { 0 } else { self.priority }
    }

    /// Whether the request may be sent to two more upstreams although both may run it.
    pub(super) fn may_be_sent_twice(&self) -> bool {
        let attempts_left = self.route.attempts.saturating_sub(self.tried.len() as u32);
        attempts_left >= 2 && self.route.kind.class() == WorkClass::Idempotent
    }

    /// Records what the outcome of an attempt means for the request.
    pub fn record_outcome(&mut self, upstream: &str, outcome: Outcome) {
        self.last_outcome = Some(outcome);
        match outcome {
            Outcome::Full | Outcome::Declined | Outcome::Misdirected => {}
            Outcome::Moved => self.record_unsent(upstream),
            Outcome::Stalled => self.stalled = true,
            Outcome::Unreachable => {
                self.record_unsent(upstream);
                self.failed_connections += 1;
            }
            _ => self.may_have_run = true,
        }
    }

    /// Records that an attempt broke off after this number of events.
    pub fn record_break(&mut self, events: u32) {
        self.broken_after = self.broken_after.max(Some(events));
    }

    /// Whether an attempt with this number of events that was answered shows that the request is sound. If
    /// another upstream may have ended under it, the rest of its stream shows that only if it is longer than
    /// what that upstream had supplied.
    #[must_use]
    pub fn is_shown_sound(&self, events: u32) -> bool {
        !self.route.kind.is_stream() || self.broken_after.is_none_or(|broken| events > broken)
    }

    /// Records that a send did not reach the upstream: it uses none of the route's attempts, and what the
    /// budget was charged for it is given back for the next one.
    fn record_unsent(&mut self, upstream: &str) {
        self.tried.remove(upstream);
        self.charged_at = self.last_charge.take();
    }
}

impl Outcome {
    /// Whether the upstream may have run the request.
    #[must_use]
    pub fn may_have_run(self) -> bool {
        !matches!(
            self,
            Self::Full
                | Self::Declined
                | Self::Moved
                | Self::Stalled
                | Self::Misdirected
                | Self::Unreachable
        )
    }

    /// Name, for logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Failed => "failed",
            Self::Full => "full",
            Self::Declined => "declined",
            Self::Moved => "moved",
            Self::Stalled => "stalled",
            Self::Misdirected => "misdirected",
            Self::Unreachable => "unreachable",
            Self::Broken => "broken",
            Self::Silent => "silent",
            Self::Withdrawn => "withdrawn",
            Self::TimedOut => "timed_out",
            Self::Expired => "expired",
            Self::GivenUp => "given_up",
        }
    }
}
