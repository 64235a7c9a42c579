//! Messages to other entry hosts by name.

use std::sync::{Arc, PoisonError};

use eelgrasshold_core::entry::PeerMessage;
use eelgrasshold_core::types::HostId;

use super::Shared;
use crate::control::{Links, Message};
use crate::runtime::Timeline;

/// Sends messages to other entry hosts by name.
pub(super) struct PeerSender {
    pub(super) host: HostId,
    pub(super) shared: Arc<Shared>,
    pub(super) links: Arc<Links>,
    pub(super) timeline: Arc<Timeline>,
}

impl PeerSender {
    pub(super) fn send(&self, to: &HostId, message: PeerMessage) {
        let addresses = self
            .shared
            .control_addresses
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        let Some(address) = addresses.get(to) else {
            log::debug!("entry host {to} has no known address; a message was dropped");
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
