//! State machine of the entry host.
//!
//! It holds each request with its one current attempt. Chunks are accepted
//! only from that attempt; whatever else arrives is dropped and counted.
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
mod held;
mod hosts;
mod limiting;
mod machine;
mod message;
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
    /// Name.
    pub host: HostId,
    /// Life of the process that dispatches are meant for.
    pub incarnation: Incarnation,
    /// Data centre.
    pub data_centre: DataCentreId,
    /// Service that it serves.
    pub service: ServiceId,
    /// Address of its data listener, `IP:PORT`.
    pub address: String,
    /// It is leaving and takes nothing new.
    pub leaving: bool,
}

impl UpstreamInfo {
    /// A live upstream of a service, without an address.
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

/// What the machine is told.
#[derive(Clone, Debug)]
pub enum Input {
    /// A configuration came into force.
    Config(Arc<Config>),
    /// The known upstreams, all of them, changed.
    Upstreams(Vec<UpstreamInfo>),
    /// A caller's request arrived.
    Request {
        /// Handle that the driver gave it.
        handle: RequestHandle,
        /// Its metadata.
        request: Request,
    },
    /// A caller went away.
    CallerGone(RequestHandle),
    /// An attempt made progress or ended.
    Attempt(AttemptId, AttemptEvent),
    /// A probe of an upstream process was answered.
    Probed {
        /// Upstream.
        host: HostId,
        /// Its engine takes work.
        up: bool,
    },
    /// The live entry hosts, this one included, changed.
    EntryHosts(Vec<HostId>),
    /// The data centres of the live entry hosts changed; without them, all count as one.
    Locations(BTreeMap<HostId, DataCentreId>),
    /// A message of another daemon arrived.
    Peer {
        /// Its sender.
        from: HostId,
        /// What it says.
        message: PeerMessage,
    },
    /// The platform answered a call. Each call gets one reply, [`Reply::Lost`] at the latest
    /// when the driver stops waiting.
    Platform {
        /// Call that it answers.
        id: CallId,
        /// Answer.
        reply: Reply,
    },
    /// A graceful shutdown begins: nothing new is taken.
    Drain,
    /// A timer that was set has fired.
    Timer(Timer),
}

/// What an attempt's driver saw.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptEvent {
    /// The upstream began to answer.
    Accepted(Load),
    /// Tokens `first .. first + count` arrived; plain answers count chunks.
    Chunk {
        /// Index of the first token.
        first: u32,
        /// Number of tokens.
        count: u32,
    },
    /// The answer ended as a whole.
    Finished(Load),
    /// The upstream returned the work unstarted.
    Bounced(Bounce, Load),
    /// The attempt failed; `NotRun` only if it certainly did not begin.
    Failed(Run),
    /// The upstream or its engine died while the attempt was in flight.
    Crashed,
}

impl AttemptEvent {
    /// Whether nothing follows it.
    #[must_use]
    pub fn is_last(&self) -> bool {
        matches!(
            self,
            Self::Finished(_) | Self::Bounced(..) | Self::Failed(_) | Self::Crashed
        )
    }
}

/// What the driver shall do.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send an attempt to an upstream, stamped with the clock at the time of this decision.
    Dispatch {
        /// Request.
        handle: RequestHandle,
        /// Attempt.
        attempt: AttemptId,
        /// Upstream.
        upstream: UpstreamInfo,
        /// First token that the caller lacks.
        resume_from: u32,
        /// The request is suspected of crashing upstreams and shall run alone.
        alone: bool,
    },
    /// Ask an upstream process whether its engine takes work; `Probed` follows unless it is lost.
    Probe(UpstreamInfo),
    /// Drop an attempt: close its stream.
    Cancel(AttemptId),
    /// Pass the chunk just reported on to the caller, without its first `skip` tokens.
    Forward {
        /// Request.
        handle: RequestHandle,
        /// Tokens at the start of the chunk that the caller already has.
        skip: u32,
    },
    /// End the answer as a whole.
    Finish {
        /// Request.
        handle: RequestHandle,
    },
    /// Refuse the request, or cut its answer if that has begun.
    Refuse {
        /// Request.
        handle: RequestHandle,
        /// Reason.
        refusal: Refusal,
    },
    /// Answer with the kept answer of an earlier request with the same idempotency key, or
    /// refuse if the driver no longer has it.
    Replay {
        /// Request.
        handle: RequestHandle,
        /// Earlier request, which finished on this host.
        original: RequestHandle,
        /// Refusal for an answer that was not kept.
        fallback: Refusal,
    },
    /// Send a message to another daemon; it may be lost.
    Send {
        /// Its receiver.
        to: HostId,
        /// What it says.
        message: PeerMessage,
    },
    /// Call the platform.
    Platform {
        /// Number that comes back with the reply.
        id: CallId,
        /// Call.
        call: Call,
    },
    /// Call back at a time.
    SetTimer {
        /// When.
        at: Now,
        /// With what.
        timer: Timer,
    },
    /// Keep an event.
    Event(Event),
    /// All requests have ended after `Drain`.
    Drained,
}

/// Timers of the machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// The deadline of a request.
    Deadline(RequestHandle),
    /// The claim of a request is late: claim without the shard's owner, or give up.
    Claim(RequestHandle),
    /// Dispatch a request that waited after a pause.
    Dispatch(RequestHandle),
    /// Write the claims that were collected for a shard.
    Shard(u8),
    /// The first answer of a request is late: start a hedge.
    Hedge(RequestHandle),
    /// Tell entry hosts again that have not acknowledged a suspect.
    Suspects,
    /// Regular call, by whose absence the process notices that it was paused.
    Tick,
}
