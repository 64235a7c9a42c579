//! State machine of the entry host: admits requests and dispatches them to upstreams.
//!
//! Each request has one current attempt, and a hedge at most. Chunks of ended attempts and
//! duplicate chunks are dropped and counted. The machine does no I/O: the driver passes it
//! inputs and carries out the outputs.
//!
//! ```
//! use std::sync::Arc;
//! use std::time::Duration;
//!
//! use eelgrasshold_core::config::{Config, Service, Team};
//! use eelgrasshold_core::entry::{AttemptEvent, Entry, Input, Output, UpstreamInfo};
//! use eelgrasshold_core::types::{Load, Request, WorkClass};
//!
//! let mut cfg = Config { revision: 1, ..Config::default() };
//! cfg.services.insert("drafts".into(), Service::default());
//! cfg.teams.insert("classers".into(), Team::default());
//!
//! let mut entry = Entry::new("entry-1".into(), 7);
//! let now = Duration::ZERO;
//! entry.handle(now, Input::Config(Arc::new(cfg)));
//! let upstream = UpstreamInfo::new("up-1", "drafts");
//! entry.handle(now, Input::Upstreams(vec![upstream]));
//!
//! let request = Request {
//!     id: "r-1".into(),
//!     service: "drafts".into(),
//!     team: "classers".into(),
//!     priority: 4,
//!     deadline: Duration::from_secs(30),
//!     class: WorkClass::Idempotent,
//!     idempotency_key: None,
//!     fingerprint: 1,
//!     prefix: None,
//!     prompt_tokens: 20,
//!     max_tokens: 100,
//!     resume_from: 0,
//! };
//! let out = entry.handle(now, Input::Request { handle: 1, request });
//! let attempt = out
//!     .iter()
//!     .find_map(|o| if let Output::Dispatch { attempt, .. } = o { Some(*attempt) } else { None })
//!     .unwrap();
//! let finished = Input::Attempt(attempt, AttemptEvent::Finished(Load::default()));
//! let out = entry.handle(now, finished);
//! assert!(out.iter().any(|o| matches!(o, Output::Finish { handle: 1 })));
//! ```

mod attempts;
mod choosing;
mod claiming;
mod ending;
mod hosts;
mod limiting;
mod machine;
mod message;
mod open_request;
mod quarantine;
mod retrying;

#[cfg(test)]
mod limiting_tests;
#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

pub use machine::Entry;
pub use message::PeerMessage;

use crate::config::Config;
use crate::event::Event;
use crate::platform::{Call, CallId, Reply};
use crate::types::{
    AttemptId, DataCentreId, HostId, Incarnation, Load, Now, Refusal, Request, RequestHandle, Run,
    ServiceId,
};
use crate::upstream::Bounce;

/// What an entry host knows about an upstream process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamInfo {
    /// Name of its host, unique in the fleet.
    pub host: HostId,
    /// Incarnation of the process that dispatches are addressed to; others bounce them as stale.
    pub incarnation: Incarnation,
    /// Data centre of the host; empty if unknown.
    pub data_centre: DataCentreId,
    /// The only service that its engine runs.
    pub service: ServiceId,
    /// Address of its data listener, `IP:PORT`.
    pub address: String,
    /// Whether it is draining and takes no new work.
    pub leaving: bool,
}

impl UpstreamInfo {
    /// Creates an upstream that runs `service` and is not leaving, with incarnation 0 and without
    /// address and data centre.
    #[must_use]
    pub fn new(host: &str, service: &str) -> Self {
        Self {
            host: host.into(),
            incarnation: 0,
            data_centre: DataCentreId::new(),
            service: service.into(),
            address: String::new(),
            leaving: false,
        }
    }
}

/// Input of the machine.
#[derive(Clone, Debug)]
pub enum Input {
    /// A configuration came into force.
    Config(Arc<Config>),
    /// Replaces the list of known upstreams.
    Upstreams(Vec<UpstreamInfo>),
    /// A caller sent a request.
    Request {
        /// Unique handle, assigned by the driver.
        handle: RequestHandle,
        /// Metadata of the request; the driver keeps the body.
        request: Request,
    },
    /// A caller closed its connection before its answer ended.
    CallerGone(RequestHandle),
    /// An attempt made progress or ended.
    Attempt(AttemptId, AttemptEvent),
    /// An upstream process answered a probe.
    Probed {
        /// Probed upstream.
        host: HostId,
        /// Whether its engine takes work.
        up: bool,
    },
    /// Replaces the list of live entry hosts, which includes this one.
    EntryHosts(Vec<HostId>),
    /// Replaces the data centres of the live entry hosts. Hosts without an entry count as in one
    /// data centre.
    Locations(BTreeMap<HostId, DataCentreId>),
    /// Another daemon sent a message.
    Peer {
        /// Sender.
        from: HostId,
        /// Content.
        message: PeerMessage,
    },
    /// The platform answered a call. Each call gets exactly one reply; it is [`Reply::Lost`] if
    /// the driver's timeout passes first.
    Platform {
        /// Identifier from [`Output::Platform`].
        id: CallId,
        /// Result of the call.
        reply: Reply,
    },
    /// A graceful shutdown begins: new requests are refused, admitted ones go on.
    Drain,
    /// A timer of [`Output::SetTimer`] has fired.
    Timer(Timer),
}

/// Progress or end of an attempt, as the driver sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptEvent {
    /// The upstream began its answer; carries its load.
    Accepted(Load),
    /// Tokens `first .. first + count` arrived; answers of plain services count chunks instead.
    Chunk {
        /// Index of the first token.
        first: u32,
        /// Number of tokens in the chunk.
        count: u32,
    },
    /// The answer is complete.
    Finished(Load),
    /// The upstream returned the work before its engine started it.
    Bounced(Bounce, Load),
    /// The attempt failed; [`Run::NotRun`] only if it certainly did not start.
    Failed(Run),
    /// No connection to the upstream could be opened, so that the attempt was not sent.
    Unreachable,
    /// The upstream or its engine died while the attempt was in flight.
    Crashed,
}

impl AttemptEvent {
    /// Whether this event ends the attempt.
    #[must_use]
    pub fn is_last(&self) -> bool {
        matches!(
            self,
            Self::Finished(_)
                | Self::Bounced(..)
                | Self::Failed(_)
                | Self::Unreachable
                | Self::Crashed
        )
    }
}

/// Action for the driver to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send an attempt to an upstream, with the time of this decision as its time stamp.
    Dispatch {
        /// Request to send.
        handle: RequestHandle,
        /// Random identifier, unique in the fleet.
        attempt: AttemptId,
        /// Receiver of the dispatch.
        upstream: UpstreamInfo,
        /// Index of the first token that the caller has not received.
        resume_from: u32,
        /// Whether the upstream must run it alone, since its request is suspected of crashing
        /// engines.
        alone: bool,
    },
    /// Probe whether an upstream's engine takes work. [`Input::Probed`] follows unless the probe
    /// or its answer is lost.
    Probe(UpstreamInfo),
    /// Cancel an attempt by closing its stream.
    Cancel(AttemptId),
    /// Forward the chunk of the current input to the caller, without its first `skip` tokens.
    Forward {
        /// Request that the chunk belongs to.
        handle: RequestHandle,
        /// Number of tokens at the start of the chunk that the caller already has.
        skip: u32,
    },
    /// Complete the answer.
    Finish {
        /// Request whose last chunk has been forwarded.
        handle: RequestHandle,
    },
    /// Refuse the request, or abort its answer if that has begun.
    Refuse {
        /// Request that ends.
        handle: RequestHandle,
        /// Reason, and whether the request may have run.
        refusal: Refusal,
    },
    /// Answer with the stored answer of an earlier request that has the same idempotency key.
    Replay {
        /// Request that repeats the key.
        handle: RequestHandle,
        /// Request that finished on this host with that key.
        original: RequestHandle,
        /// Refusal to send if the driver no longer stores the answer.
        fallback: Refusal,
    },
    /// Send a message to another daemon. Delivery is not guaranteed.
    Send {
        /// Receiver.
        to: HostId,
        /// Content.
        message: PeerMessage,
    },
    /// Call the platform.
    Platform {
        /// Identifier to return with the reply.
        id: CallId,
        /// Operation to carry out.
        call: Call,
    },
    /// Set a timer, which the driver returns as [`Input::Timer`].
    SetTimer {
        /// Due time; the timer fires at once if it has passed.
        at: Now,
        /// Timer to return.
        timer: Timer,
    },
    /// Record an event in the event timeline.
    Event(Event),
    /// No request is open after [`Input::Drain`].
    Drained,
}

/// Timer of the machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// The deadline of a request.
    Deadline(RequestHandle),
    /// The claim of a request was not granted in time: bypass the shard's owner, or refuse
    /// the request.
    Claim(RequestHandle),
    /// Dispatch a request that was held after a start or a pause.
    Dispatch(RequestHandle),
    /// Write the batch of claims of a shard.
    Shard(u8),
    /// The first response to a request is late: send a hedge.
    Hedge(RequestHandle),
    /// Repeat messages on suspects that other entry hosts have not answered.
    Suspects,
    /// Periodic work. A long gap between inputs shows that the process was paused.
    Tick,
}
