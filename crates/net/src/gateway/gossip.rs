//! Gossip between entry hosts, over UDP.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use bincode::Options;
use eelgrasshold_core::event::{Event, EventKind};
use eelgrasshold_core::gateway::peers::{
    Gossip, PeerChange, PeerState, ROUND_INTERVAL, StoreVersions,
};
use eelgrasshold_core::types::HostId;
use tokio::net::UdpSocket;
use tokio::time::MissedTickBehavior;

use super::shared::Shared;
use super::{load_reports, notices, permits, pulls, quarantine};

/// Largest datagram that is read, in bytes.
const MAX_DATAGRAM_BYTES: usize = 16 << 10;

/// Hosts that each round repeats reports of requests that end upstreams to.
const REPORT_FANOUT: usize = 3;

/// Runs gossip rounds, announces state changes and replies to other hosts; never returns.
pub(super) async fn run(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let mut rounds = tokio::time::interval(ROUND_INTERVAL);
    rounds.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let pull_at = shared.peers().next_pull_at();
        let pull_at = pull_at.map(|at| shared.clock.instant(at));
        let pull_due = async {
            match pull_at {
                Some(at) => tokio::time::sleep_until(at).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            _ = rounds.tick() => round(&shared, &socket),
            () = pull_due => pull(&shared),
            () = shared.versions_changed.notified() => spread(&shared, &socket),
            () = shared.state_changed.notified() => announce(&shared, &socket),
            () = shared.quarantine_news.notified() => quarantine::send_news(&shared, &socket),
            received = socket.recv_from(&mut buf) => match received {
                Ok((length, from)) => receive(&shared, &socket, &buf[..length], from),
                Err(error) => log::debug!("can't receive a datagram: {error}"),
            },
        }
    }
}

fn update_state(shared: &Shared) {
    let ready = shared.core().is_ready();
    let state = match (shared.draining.load(Ordering::Relaxed), ready) {
        (true, _) => PeerState::Leaving,
        (false, true) => PeerState::Ready,
        (false, false) => PeerState::Starting,
    };
    shared.peers().set_state(state);
}

fn round(shared: &Arc<Shared>, socket: &UdpSocket) {
    update_state(shared);
    let store_versions = shared.store_versions();
    let mut peers = shared.peers();
    let (sends, changes) = peers.round(shared.now(), store_versions);
    let hosts = peers.count();
    let live: BTreeSet<HostId> = peers.live_hosts().iter().map(|p| p.host.clone()).collect();
    let absent = peers.absent();
    drop(peers);
    pull(shared);
    {
        let mut core = shared.core();
        core.limits.set_hosts(&live, absent);
        core.set_hosts(hosts, live);
    }
    record_changes(shared, changes);
    for (to, gossip) in sends {
        send(socket, to, &gossip);
    }
    let reports = shared.core().quarantine.reports(shared.now(), false);
    if !reports.is_empty() {
        let to = shared.peers().random_peers(REPORT_FANOUT);
        quarantine::send(socket, &to, &reports);
    }
    drop(notices::repeat_news(shared));
}

/// Pulls from a host that has been ahead for a while.
fn pull(shared: &Arc<Shared>) {
    let store_versions = shared.store_versions();
    let registry = shared.core().registry.as_of();
    let known = StoreVersions {
        registry,
        ..store_versions
    };
    let pull = shared.peers().pull(shared.now(), known);
    if let Some(pull) = pull {
        shared.copies.mark_behind();
        tokio::spawn(pulls::pull(Arc::clone(shared), pull));
    }
}

fn spread(shared: &Shared, socket: &UdpSocket) {
    let store_versions = shared.store_versions();
    let sends = shared.peers().spread(shared.now(), store_versions);
    for (to, gossip) in sends {
        send(socket, to, &gossip);
    }
}

fn announce(shared: &Shared, socket: &UdpSocket) {
    update_state(shared);
    let store_versions = shared.store_versions();
    let sends = shared.peers().announce(shared.now(), store_versions);
    for (to, gossip) in sends {
        send(socket, to, &gossip);
    }
}

fn receive(shared: &Shared, socket: &UdpSocket, bytes: &[u8], from: SocketAddr) {
    if let Some(reports) = quarantine::decode(bytes) {
        quarantine::receive(shared, socket, reports, from);
        return;
    }
    if load_reports::receive(shared, bytes, from) {
        return;
    }
    if let Some(message) = permits::decode(bytes) {
        match message {
            Ok(message) => permits::receive(shared, message, from),
            Err(error) => log::debug!("can't decode a message about limits from {from}: {error}"),
        }
        return;
    }
    let gossip: Gossip = match format().deserialize(bytes) {
        Ok(gossip) => gossip,
        Err(error) => {
            log::debug!("can't decode a datagram from {from}: {error}");
            return;
        }
    };
    let store_versions = shared.store_versions();
    let (reply, changes) = shared
        .peers()
        .receive(shared.now(), &gossip, store_versions);
    let is_new = |c: &PeerChange| matches!(c, PeerChange::Discovered(h) if *h == gossip.from.host);
    if changes.iter().any(is_new) {
        let reports = shared.core().quarantine.reports(shared.now(), true);
        quarantine::send(socket, &[gossip.from.peers], &reports);
        permits::send_accounted(shared, gossip.from.peers);
        notices::send_known(shared, gossip.from.peers);
    }
    record_changes(shared, changes);
    if let Some((to, gossip)) = reply {
        send(socket, to, &gossip);
    }
}

/// Encodes integers with variable length, since the payload of a datagram is limited to 1,400
/// bytes.
fn format() -> impl Options {
    bincode::DefaultOptions::new().with_limit(MAX_DATAGRAM_BYTES as u64)
}

fn send(socket: &UdpSocket, to: SocketAddr, gossip: &Gossip) {
    match format().serialize(gossip) {
        // A datagram is dropped if the send buffer is full; gossip tolerates the loss.
        Ok(bytes) => drop(socket.try_send_to(&bytes, to)),
        Err(error) => log::warn!("can't encode a datagram: {error}"),
    }
}

fn record_changes(shared: &Shared, changes: Vec<PeerChange>) {
    for change in changes {
        let (kind, host) = match change {
            PeerChange::Discovered(host) => (EventKind::MemberJoined, host),
            PeerChange::Leaving(host) => (EventKind::MemberLeaving, host),
            PeerChange::Unresponsive(host) => (EventKind::MemberSuspected, host),
            PeerChange::Recovered(host) => (EventKind::MemberConfirmed, host),
        };
        shared
            .timeline
            .record(Event::new(kind, "").with("peer", host));
    }
}
