//! Membership, replication of the configuration, entry-host lists for callers, platform access.
//!
//! [`FleetEntry`] runs on entry hosts and [`FleetUpstream`] next to upstreams.
//! Both take the same [`Input`] and return the same [`Output`]. The driver:
//!
//! - passes [`Input::Start`] once, and [`Input::Timer`] for each timer that was set;
//! - sends each [`Output::Send`] to its address without waiting for an answer,
//!   after setting [`FleetMessage::clock`]; a failed send needs no report;
//! - may return an output for the sender of a message as the response of the same call;
//! - makes the call of each [`Output::Platform`] and returns its reply, with the same id, as
//!   [`Input::Reply`].
//!
//! Messages may be delayed, duplicated, reordered or lost.
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
//! // The heartbeat introduces the upstream to the entry host.
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

/// Input of a fleet state machine.
#[derive(Clone, Debug)]
pub enum Input {
    /// The process started. It is the first input and passed only once.
    Start,
    /// A message from another process arrived.
    Message(FleetMessage),
    /// The platform call of an [`Output::Platform`] ended.
    Reply {
        /// Id of the [`Output::Platform`].
        id: CallId,
        /// Outcome of the call.
        reply: Reply,
    },
    /// The process's own load, 0 (idle) to 100 (full), which determines its weight in
    /// [`EntryHosts`]. Larger values count as 100.
    Load(u8),
    /// A graceful shutdown begins: the process announces that it is leaving.
    Leave,
    /// A timer of an [`Output::SetTimer`] fired.
    Timer(Timer),
}

/// Output of a fleet state machine, to be carried out by the driver.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message to the control address of another process.
    Send {
        /// `IP:PORT`.
        to_address: String,
        /// Its [`FleetMessage::clock`] is set by the driver.
        message: FleetMessage,
    },
    /// Make a call to the platform.
    Platform {
        /// Id to pass with the reply.
        id: CallId,
        /// Call to make.
        call: Call,
    },
    /// Pass an [`Input::Timer`] at a point in time.
    SetTimer {
        /// Time at which the timer fires.
        at: Now,
        /// Timer to pass.
        timer: Timer,
    },
    /// Record an event in the event timeline.
    Event(Event),
    /// This configuration is in force from now on.
    ConfigInForce(Arc<Config>),
    /// The answer to `GET /v1/entry-hosts` from now on (entry hosts only).
    EntryHosts(EntryHosts),
    /// All upstreams that may be used or are leaving (entry hosts only).
    Upstreams(Vec<UpstreamInfo>),
    /// The process continues under this higher incarnation, since others may have declared it gone.
    Incarnation(Incarnation),
    /// After [`Input::Leave`]: every list that names this host has expired (entry hosts only).
    AnswersExpired,
}

/// Timers of the fleet state machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Timer {
    /// Periodic tick; each tick sets the timer for the next one.
    Tick,
}
