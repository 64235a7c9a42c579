//! Views of the fleet for the other components of the entry host.

use std::time::Duration;

use super::FleetEntry;
use crate::entry::UpstreamInfo;
use crate::fleet::membership::table::Member;
use crate::fleet::membership::{MemberView, Record, Role, State};
use crate::fleet::{Output, answers};
use crate::types::Now;

/// Time between periodic updates of the views.
const VIEW_PERIOD: Duration = Duration::from_secs(1);

impl FleetEntry {
    /// All members that are not gone, including the host itself.
    #[must_use]
    pub fn members(&self) -> Vec<MemberView> {
        let present = self.table.iter().filter(|m| m.record.state != State::Gone);
        present.map(|m| self.view(m)).collect()
    }

    /// Record of a member; also available for some time after the member is gone.
    #[must_use]
    pub fn record(&self, host: &str) -> Option<&Record> {
        self.table.get(host).map(|m| &m.record)
    }

    fn view(&self, member: &Member) -> MemberView {
        let record = member.record.clone();
        let own = record.host == self.me.host;
        let unreachable = self.isolated || self.unreachable_centres.contains(&record.data_centre);
        MemberView {
            reachable: own || !unreachable,
            record,
        }
    }

    /// Publishes changed views at most once a second, since building them dominates the cost of a
    /// tick in a large fleet. Leaving members are published at once elsewhere.
    pub(super) fn publish_views_periodically(&mut self, now: Now) {
        if now >= self.published.next_at {
            self.published.next_at = now + VIEW_PERIOD;
            self.publish_views();
        }
    }

    /// Publishes the views that changed.
    pub(super) fn publish_views(&mut self) {
        let state = (
            self.table.generation,
            self.unreachable_centres.len(),
            self.isolated,
        );
        if !self.published.outdated && state == self.published.generation {
            return;
        }
        self.published.outdated = false;
        self.published.generation = state;
        let members = self.members();
        let hosts = answers::answer(&self.me, &members);
        if hosts != self.published.hosts {
            self.published.hosts = hosts.clone();
            self.out.push(Output::EntryHosts(hosts));
        }
        let upstreams: Vec<UpstreamInfo> =
            members.iter().filter_map(|m| self.upstream(m)).collect();
        if self.published.upstreams.as_ref() != Some(&upstreams) {
            let first_and_empty = self.published.upstreams.is_none() && upstreams.is_empty();
            if first_and_empty {
                return;
            }
            self.published.upstreams = Some(upstreams.clone());
            self.out.push(Output::Upstreams(upstreams));
        }
    }

    /// An isolated host can't determine which members are alive, so it keeps its known upstreams.
    fn upstream(&self, member: &MemberView) -> Option<UpstreamInfo> {
        let record = &member.record;
        if record.role != Role::Upstream || !(member.reachable || self.isolated) {
            return None;
        }
        Some(UpstreamInfo {
            host: record.host.clone(),
            incarnation: record.incarnation,
            data_centre: record.data_centre.clone(),
            service: record.service.clone(),
            address: record.data_address.clone(),
            leaving: record.leaving,
        })
    }
}
