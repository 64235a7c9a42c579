//! Which upstreams this host uses, and which of them a request goes to.

use std::collections::BTreeMap;
use std::time::Duration;

use super::UpstreamInfo;
use super::machine::Entry;
use crate::serving::routing::{self, Candidate};
use crate::serving::subset;
use crate::types::{
    DataCentreId, HostId, Now, Refusal, RefusalKind, Request, RequestHandle, ServiceId,
};

impl Entry {
    /// Lists the upstreams that this host uses anew, after either side changed.
    pub(super) fn list_peers(&mut self) {
        let mut services: BTreeMap<ServiceId, BTreeMap<HostId, DataCentreId>> = BTreeMap::new();
        for upstream in self.upstreams.values().filter(|u| !u.leaving) {
            let sites = services.entry(upstream.service.clone()).or_default();
            sites.insert(upstream.host.clone(), upstream.data_centre.clone());
        }
        let entries = self.entry_sites();
        self.peers = services
            .into_iter()
            .map(|(service, sites)| (service, subset::subset(&self.host, &entries, &sites)))
            .collect();
    }

    /// The live entry hosts with their data centres, as far as these are known.
    fn entry_sites(&self) -> BTreeMap<HostId, DataCentreId> {
        let site = |host: &HostId| {
            let data_centre = self.locations.get(host).cloned().unwrap_or_default();
            (host.clone(), data_centre)
        };
        self.hosts.live().iter().map(site).collect()
    }

    /// An upstream that was not tried, or one that was if the work may be run again; none if
    /// all are known to take no work.
    pub(super) fn choose(&mut self, now: Now, handle: RequestHandle) -> Option<UpstreamInfo> {
        let held = self.requests.get(&handle)?;
        let peers = self.peers.get(&held.request.service)?;
        let candidate = |host| Candidate {
            host,
            load: self.loads.get(host).copied().unwrap_or_default(),
        };
        let untried = peers.iter().filter(|h| !held.tried.contains(*h));
        let mut candidates: Vec<_> = untried.map(candidate).collect();
        if candidates.is_empty() && held.idempotent() {
            candidates = peers.iter().map(candidate).collect();
        }
        candidates.retain(|c| !c.load.is_avoided(now));
        let host = routing::choose(&mut self.rng, now, &held.request, &candidates)?;
        self.upstreams.get(host).cloned()
    }

    /// Refuses a request if no upstream can begin it before its deadline.
    pub(super) fn out_of_reach(&self, now: Now, request: &Request) -> Option<Refusal> {
        let peers = self.peers.get(&request.service)?;
        let wait = |h: &HostId| {
            let load = self.loads.get(h);
            load.map_or(Duration::ZERO, |l| l.fresh_wait(now))
        };
        let shortest = peers.iter().map(wait).min()?;
        if shortest < request.deadline {
            return None;
        }
        let detail = "all upstreams are busy for longer than the request's deadline";
        let refusal = Refusal::not_run(RefusalKind::Overloaded, detail);
        Some(refusal.with_retry_after(shortest))
    }
}
