//! Sends messages to other entry hosts.

use std::sync::{Arc, PoisonError};

use eelgrasshold_core::entry::PeerMessage;
use eelgrasshold_core::types::HostId;

use super::Shared;
use crate::control::{Links, Message};
use crate::runtime::Timeline;

/// Resolves the name of an entry host to its control address and sends it messages.
pub(super) struct PeerSender {
    pub(super) host: HostId,
    pub(super) shared: Arc<Shared>,
    pub(super) links: Arc<Links>,
    pub(super) timeline: Arc<Timeline>,
}

impl PeerSender {
    /// Sends without confirmation; a message to a host that is not live is dropped.
    pub(super) fn send(&self, to: &HostId, message: PeerMessage) {
        let addresses = self
            .shared
            .control_addresses
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        let Some(address) = addresses.get(to) else {
            log::debug!("dropped a message to entry host {to}: its control address is not known");
            return;
        };
        let (from, clock) = (self.host.clone(), self.timeline.stamp());
        self.links.send(
            address,
            Message::Peer {
                from,
                clock,
                message,
            },
        );
    }
}
