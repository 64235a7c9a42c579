//! Selection of the upstreams that this host uses, and of one for each attempt.

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
    /// Recomputes the upstreams that this host uses, after upstreams or entry hosts changed.
    pub(super) fn update_subsets(&mut self) {
        let mut services: BTreeMap<ServiceId, BTreeMap<HostId, DataCentreId>> = BTreeMap::new();
        for upstream in self.upstreams.values().filter(|u| !u.leaving) {
            let data_centres = services.entry(upstream.service.clone()).or_default();
            data_centres.insert(upstream.host.clone(), upstream.data_centre.clone());
        }
        let entry_hosts = self.entry_host_data_centres();
        self.subsets = services
            .into_iter()
            .map(|(service, hosts)| (service, subset::subset(&self.host, &entry_hosts, &hosts)))
            .collect();
    }

    /// Live entry hosts with their data centres, which are empty if unknown.
    fn entry_host_data_centres(&self) -> BTreeMap<HostId, DataCentreId> {
        let located = |host: &HostId| {
            let data_centre = self.locations.get(host).cloned().unwrap_or_default();
            (host.clone(), data_centre)
        };
        self.hosts.live().iter().map(located).collect()
    }

    /// Chooses an upstream that is not excluded, or any if all are excluded and the work is
    /// idempotent. Returns `None` if all of them are known to take no work.
    pub(super) fn choose(&mut self, now: Now, handle: RequestHandle) -> Option<UpstreamInfo> {
        let open = self.requests.get(&handle)?;
        let subset = self.subsets.get(&open.request.service)?;
        let candidate = |host| Candidate {
            host,
            load: self.loads.get(host).copied().unwrap_or_default(),
        };
        let untried = subset.iter().filter(|h| !open.excluded.contains(*h));
        let mut candidates: Vec<_> = untried.map(candidate).collect();
        if candidates.is_empty() && open.idempotent() {
            candidates = subset.iter().map(candidate).collect();
        }
        candidates.retain(|c| !c.load.is_avoided(now));
        let host = routing::choose(&mut self.rng, now, &open.request, &candidates)?;
        self.upstreams.get(host).cloned()
    }

    /// Returns a refusal if no upstream can start the request before its deadline.
    pub(super) fn check_wait(&self, now: Now, request: &Request) -> Option<Refusal> {
        let subset = self.subsets.get(&request.service)?;
        let wait = |h: &HostId| {
            let load = self.loads.get(h);
            load.map_or(Duration::ZERO, |l| l.fresh_wait(now))
        };
        let shortest = subset.iter().map(wait).min()?;
        if shortest < request.deadline {
            return None;
        }
        let detail = "all upstreams are busy for longer than the request's deadline";
        let refusal = Refusal::not_run(RefusalKind::Overloaded, detail);
        Some(refusal.with_retry_after(shortest))
    }
}
