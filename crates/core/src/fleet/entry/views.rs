//! What the rest of the entry host is told about the fleet.

use super::FleetEntry;
use crate::entry::UpstreamInfo;
use crate::fleet::membership::table::Member;
use crate::fleet::membership::{MemberView, Record, Role, State};
use crate::fleet::{Output, answers};

impl FleetEntry {
    /// All members that are not gone, with the host itself.
    #[must_use]
    pub fn members(&self) -> Vec<MemberView> {
        let present = self.table.iter().filter(|m| m.record.state != State::Gone);
        present.map(|m| self.view(m)).collect()
    }

    /// A member's record, also for some time after it is gone.
    #[must_use]
    pub fn record(&self, host: &str) -> Option<&Record> {
        self.table.get(host).map(|m| &m.record)
    }

    fn view(&self, member: &Member) -> MemberView {
        let record = member.record.clone();
        let own = record.host == self.me.host;
        let silent = self.isolated || self.silent.contains(&record.data_centre);
        MemberView {
            reachable: own || !silent,
            record,
        }
    }

    /// Gives the views that have changed.
    pub(super) fn show(&mut self) {
        let state = (self.table.generation, self.silent.len(), self.isolated);
        if !self.shown.due && state == self.shown.generation {
            return;
        }
        self.shown.due = false;
        self.shown.generation = state;
        let members = self.members();
        let hosts = answers::answer(&self.me, &members);
        if hosts != self.shown.hosts {
            self.shown.hosts = hosts.clone();
            self.out.push(Output::EntryHosts(hosts));
        }
        let upstreams: Vec<UpstreamInfo> =
            members.iter().filter_map(|m| self.upstream(m)).collect();
        if self.shown.upstreams.as_ref() != Some(&upstreams) {
            let first_and_empty = self.shown.upstreams.is_none() && upstreams.is_empty();
            if first_and_empty {
                return;
            }
            self.shown.upstreams = Some(upstreams.clone());
            self.out.push(Output::Upstreams(upstreams));
        }
    }

    /// An isolated host can't tell who is there, so it keeps the upstreams that it knows.
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
