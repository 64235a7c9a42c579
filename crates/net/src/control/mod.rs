//! Control links between daemons: tarpc over TCP, with mutual TLS if certificates are configured.
//!
//! All messages are one-way and may be lost: a link that fails is dropped together with the
//! messages queued on it. The state machines resend messages that must arrive.

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
    /// Message of the fleet protocol, which names its sender itself.
    Fleet(FleetMessage),
    /// Message between the state machines of two entry hosts.
    Peer {
        /// Name of the entry host that sent the message.
        from: HostId,
        /// Time stamp of the sender's hybrid logical clock.
        clock: Stamp,
        /// Content, for the state machine of the receiver.
        message: PeerMessage,
    },
}

#[tarpc::service]
trait Control {
    /// Hands a message to the receiving process.
    async fn deliver(message: Message);
}
