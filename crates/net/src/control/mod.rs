//! Links between daemons: tarpc over TCP, with TLS when certificates are named.
//!
//! All messages are one-way. A link that fails is dropped together with what
//! waited on it; the state machines repeat what matters.

mod io;
mod links;
mod server;

#[cfg(test)]
mod tests;

use eelgrasshold_core::entry::PeerMessage;
use eelgrasshold_core::event::Stamp;
use eelgrasshold_core::fleet::FleetMessage;
use eelgrasshold_core::types::HostId;
use serde::{Deserialize, Serialize};

pub use io::Traffic;
pub use links::Links;
pub use server::ControlServer;

/// A message between two daemons.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// About the fleet.
    Fleet(FleetMessage),
    /// Between the state machines of two entry hosts.
    Peer {
        /// Sender.
        from: HostId,
        /// Sender's hybrid clock.
        clock: Stamp,
        /// What it says.
        message: PeerMessage,
    },
}

#[tarpc::service]
trait Control {
    /// Takes a message.
    async fn deliver(message: Message);
}
