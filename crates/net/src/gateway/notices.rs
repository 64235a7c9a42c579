//! Records what upstreams say of themselves, and tells other hosts of those that leave.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::SystemTime;

use eelgrasshold_core::event::{Event, EventKind};
use eelgrasshold_core::gateway::notices::{LeavingReport, Notice};
use eelgrasshold_core::gateway::upstream_limits::Message;
use eelgrasshold_core::types::HostId;
use eelgrasshold_platform::notices as wire;
use http::response;

use super::answer::Answer;
use super::in_flight::InFlight;
use super::shared::Shared;

/// Reports in one datagram.
const MAX_REPORTS: usize = 16;
/// Hosts that each gossip round repeats new reports to.
const REPORT_FANOUT: usize = 3;

/// Records what the head of an answer says.
pub(super) fn record(answer: &Answer) {
    let in_flight = &answer.in_flight;
    let (shared, upstream) = (&in_flight.shared, &in_flight.upstream);
    let now = shared.now();
    let notice = answer.notice;
    let changes = shared
        .core()
        .record_notice(now, upstream, in_flight.sent_at, notice);
    if changes.pause {
        let event = Event::new(EventKind::UpstreamPaused, "")
            .about_request(in_flight.request.as_str())
            .with("upstream", upstream.id.as_str())
            .with("pause_ms", notice.pause.unwrap_or_default());
        shared.timeline.record(event);
    }
    if changes.leaving {
        let event = Event::new(EventKind::UpstreamLeaving, "it said so in an answer")
            .about_request(in_flight.request.as_str())
            .with("upstream", upstream.id.as_str());
        shared.timeline.record(event);
        send_news(shared);
    }
}

/// What the head of an answer says; a value that can't be read counts as missing.
pub(super) fn read(in_flight: &InFlight, parts: &response::Parts) -> Notice {
    let unreadable = |value: String| {
        let event = Event::new(EventKind::NoticeUnreadable, value)
            .about_request(in_flight.request.as_str())
            .with("upstream", in_flight.upstream.id.as_str());
        in_flight.shared.timeline.record(event);
    };
    let leaving = wire::leaving(&parts.headers);
    let pause = wire::pause(parts.status, &parts.headers, SystemTime::now());
    Notice {
        leaving: leaving.map_err(unreadable).unwrap_or_default(),
        pause: pause.map_err(unreadable).unwrap_or_default(),
    }
}

/// Tells other hosts of upstreams that have recently said that they leave: the hosts that count for their
/// limits, which tell all others, and a few at random.
fn send_news(shared: &Shared) {
    let reports = repeat_news(shared);
    let is_own = |r: &LeavingReport| shared.core().limits.is_accountant(&r.upstream);
    let own: Vec<LeavingReport> = reports.into_iter().filter(is_own).collect();
    send_to_all(shared, &own);
}

/// Repeats what [`send_news`] tells, but not to all hosts, in case that a datagram was lost. Returns the
/// reports.
pub(super) fn repeat_news(shared: &Shared) -> Vec<LeavingReport> {
    let reports = shared.core().notices.reports(shared.now(), false);
    if reports.is_empty() {
        return reports;
    }
    let accountants: BTreeSet<HostId> = {
        let limits = &shared.core().limits;
        let accountants = reports.iter().map(|r| limits.accountant(&r.upstream));
        accountants.flatten().cloned().collect()
    };
    let to: BTreeSet<SocketAddr> = {
        let mut peers = shared.peers();
        let random = peers.random_peers(REPORT_FANOUT);
        let accountants = accountants.iter().filter_map(|h| peers.address_of(h));
        accountants.chain(random).collect()
    };
    for address in to {
        send(shared, address, &reports);
    }
    reports
}

/// Tells a host that has just started of all upstreams that leave.
pub(super) fn send_known(shared: &Shared, to: SocketAddr) {
    let reports = shared.core().notices.reports(shared.now(), true);
    send(shared, to, &reports);
}

fn send_to_all(shared: &Shared, reports: &[LeavingReport]) {
    if reports.is_empty() {
        return;
    }
    let to: Vec<SocketAddr> = {
        let peers = shared.peers();
        let own = peers.local_record().peers;
        let live = peers.live_hosts();
        live.iter().map(|p| p.peers).filter(|a| *a != own).collect()
    };
    for address in to {
        send(shared, address, reports);
    }
}

fn send(shared: &Shared, to: SocketAddr, reports: &[LeavingReport]) {
    for chunk in reports.chunks(MAX_REPORTS) {
        shared.permits.send(to, &Message::Leaving(chunk.to_vec()));
    }
}

/// Processes reports of another host, and passes news on to all if this host counts for the limit of the
/// upstream.
pub(super) fn receive(shared: &Shared, reports: Vec<LeavingReport>) {
    let now = shared.now();
    let mut news = Vec::new();
    for report in reports {
        if !shared.core().receive_leaving(now, &report) {
            continue;
        }
        let event = Event::new(EventKind::UpstreamLeaving, "another host got its answer")
            .with("upstream", report.upstream.as_str());
        shared.timeline.record(event);
        if shared.core().limits.is_accountant(&report.upstream) {
            news.push(report);
        }
    }
    send_to_all(shared, &news);
}
