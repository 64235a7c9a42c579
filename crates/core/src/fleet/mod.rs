//! The fleet: membership, the spread of configuration, answers to callers, use of the platform.
//!
//! [`FleetEntry`] runs on entry hosts and [`FleetUpstream`] next to upstreams.
//! Both take the same [`Input`] and give the same [`Output`]. The driver:
//!
//! - gives [`Input::Start`] once and [`Input::Timer`] for each timer that was set;
//! - sends each [`Output::Send`] to its address without waiting for an answer,
//!   after filling in [`FleetMessage::clock`]; a failed send needs no report;
//! - may return an output to the sender of a message as the answer of the same call;
//! - runs each [`Output::Platform`] and gives its reply with the same id.
//!
//! A message that arrives late, twice or never does no harm.
//!
//! ```
//! use std::time::Duration;
//!
//! use eelgrasshold_core::fleet::{FleetEntry, FleetSettings, FleetUpstream, Input, Output};
//!
//! let entry = FleetSettings::new("entry-1", "north", "north-1", "10.0.0.1:7000")
//!     .data_address("10.0.0.1:443")
//!     .incarnation(1);
//! let upstream = FleetSettings::new("up-1", "north", "north-1", "10.0.0.9:7000")
//!     .data_address("10.0.0.9:8000")
//!     .service("drafts")
//!     .seeds(vec!["10.0.0.1:7000".into()])
//!     .incarnation(1);
//! let mut entry = FleetEntry::new(entry, 7);
//! let mut upstream = FleetUpstream::new(upstream, 8);
//!
//! let now = Duration::ZERO;
//! entry.handle(now, Input::Start);
//! // The upstream process sends its first heartbeat to the seeds.
//! let out = upstream.handle(now, Input::Start);
//! let message = out
//!     .into_iter()
//!     .find_map(|o| match o {
//!         Output::Send { to_address, message } if to_address == "10.0.0.1:7000" => Some(message),
//!         _ => None,
//!     })
//!     .unwrap();
//! // The entry host learns the upstream from it.
//! let out = entry.handle(now, Input::Message(message));
//! assert!(out.iter().any(|o| matches!(o, Output::Upstreams(u) if u[0].host == "up-1")));
//! ```

pub mod answers;
mod budget;
mod entry;
mod membership;
mod message;
pub mod platform_policy;
mod replication;
mod settings;
mod upstream;

#[cfg(test)]
mod tests;

use std::sync::Arc;

use serde::{Deserialize, Serialize};

pub use answers::{EntryHost, EntryHosts};
pub use entry::FleetEntry;
pub use membership::{MemberView, Record, Role, State};
pub use message::{
    Body, FleetMessage, Heartbeat, HeartbeatReply, MAX_CONFIG_MESSAGE_BYTES, MAX_PAGE_BYTES, Peer,
    Sender, Summary, Update,
};
pub use settings::FleetSettings;
pub use upstream::FleetUpstream;

use crate::config::Config;
use crate::entry::UpstreamInfo;
use crate::event::Event;
use crate::platform::{Call, CallId, Reply};
use crate::types::{Incarnation, Now};

/// What a machine is told.
#[derive(Clone, Debug)]
pub enum Input {
    /// The process started; given once and first.
    Start,
    /// A message arrived.
    Message(FleetMessage),
    /// The reply to a platform call.
    Reply {
        /// Id of the call.
        id: CallId,
        /// The reply.
        reply: Reply,
    },
    /// The process's own load, 0 (idle) to 100 (full), for the weights of answers.
    Load(u8),
    /// A graceful shutdown begins: the process announces that it is leaving.
    Leave,
    /// A timer that was set has fired.
    Timer(Timer),
}

/// What the driver shall do.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message to the control address of another process.
    Send {
        /// `IP:PORT`.
        to_address: String,
        /// The message.
        message: FleetMessage,
    },
    /// Call the platform.
    Platform {
        /// Id for the reply.
        id: CallId,
        /// The call.
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
    /// This configuration is in force from now on.
    ConfigInForce(Arc<Config>),
    /// The answer to `GET /v1/entry-hosts` from now on (entry hosts only).
    EntryHosts(EntryHosts),
    /// All upstreams that may be used or are leaving (entry hosts only).
    Upstreams(Vec<UpstreamInfo>),
    /// The process goes on under a higher incarnation, since others may have given it up.
    Incarnation(Incarnation),
    /// After `Leave`: every answer that named this host has expired (entry hosts only).
    AnswersExpired,
}

/// Timers of the machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Timer {
    /// The regular step; each one sets the next.
    Tick,
}
