//! Subscribes to the load of upstreams at their sidecars.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use eelgrasshold_core::gateway::load_reports::{Message, SUBSCRIBE_INTERVAL};
use tokio::net::UdpSocket;

use super::shared::Shared;
use crate::load_messages::{decode, encode};

/// Asks the sidecars of the upstreams that this host uses for reports; never returns.
pub(super) async fn subscribe(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let Some(port) = shared.options.sidecar_port else {
        return std::future::pending().await;
    };
    let message = encode(&Message::Subscribe);
    loop {
        tokio::time::sleep(SUBSCRIBE_INTERVAL).await;
        let sidecars: BTreeSet<SocketAddr> = {
            let core = shared.core();
            let upstreams = core.reported_upstreams();
            upstreams
                .map(|u| SocketAddr::new(u.address.ip(), port))
                .collect()
        };
        for sidecar in sidecars {
            // A subscription that is lost is renewed before it ends.
            drop(socket.try_send_to(&message, sidecar));
        }
    }
}

/// Processes a datagram; false if it is not about the load of an upstream.
pub(super) fn receive(shared: &Shared, datagram: &[u8], from: SocketAddr) -> bool {
    let Some(message) = decode(datagram) else {
        return false;
    };
    let Message::Report(report) = message else {
        return true;
    };
    // A sidecar reports on the engine of its own machine only.
    if report.engine.ip() != from.ip() || !shared.core().record_load(shared.now(), &report) {
        log::debug!("the load that {from} reports is not used");
    }
    true
}
