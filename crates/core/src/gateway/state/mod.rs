//! State that all requests of a gateway share, and the steps of a request.

mod choosing;
mod holding;
mod outcomes;
mod request;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::admission::Admission;
use super::budget::{RetryBound, RetryBudget};
use super::cold::{Cold, ColdBound};
use super::concurrency::PauseControl;
use super::departure::Departure;
use super::evacuations::{EvacuationChange, Evacuations};
use super::follow::FollowUpdate;
use super::health::UpstreamHealth;
use super::load_reports::LoadReports;
use super::notices::Notices;
use super::placing::Loads;
use super::quarantine::{self, Quarantine};
use super::registry::{Change, Registry, UpstreamId};
use super::routes::{RouteTable, TableVersion};
use super::silence::Signs;
use super::upstream_limits::UpstreamLimits;
use crate::platform::Version;
use crate::types::{DataCentreId, HostId, Now, Refusal, RefusalKind, ServiceId};

pub use request::{Admitted, Next, Outcome, Reasons, RequestHead};

/// Retry-After of a host without a configuration.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Time limit of a request without a deadline; the route's timeout is usually shorter.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

/// Start-up settings of a [`Gateway`].
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// Name of the host.
    pub host: HostId,
    /// Data centre that the host runs in.
    pub data_centre: DataCentreId,
    /// Bound on retries.
    pub retry_bound: RetryBound,
    /// Whether the fleet starts for the first time, so that no process had an earlier incarnation.
    pub first_start: bool,
    /// Whether streams are held back so that pauses between events stay within their targets.
    pub pause_control: bool,
    /// Bound on the requests to cold upstreams; `None` if they are not limited.
    pub cold_bound: Option<ColdBound>,
    /// Time after a start in which the host may not know all others.
    pub settle_time: Duration,
}

/// State that all requests of a gateway share.
#[derive(Clone, Debug)]
pub struct Gateway {
    settings: GatewaySettings,
    table: Option<Arc<RouteTable>>,
    table_since: Now,
    /// Known upstreams, updated by the follower of the registry.
    pub registry: Registry,
    /// Evacuated data centres, updated by [`Self::apply_evacuations`].
    pub evacuations: Evacuations,
    loads: Loads,
    /// Load of upstreams as their sidecars report it.
    pub load_reports: LoadReports,
    health: UpstreamHealth,
    signs: Signs,
    /// Streams that wait for their first events.
    pub admission: Admission,
    /// Limits of the streams in flight, and the requests that wait for them.
    pub pauses: PauseControl,
    /// Requests that are refused because upstreams end under them.
    pub quarantine: Quarantine,
    /// Limits that upstreams have named.
    pub limits: UpstreamLimits,
    /// What upstreams have said of themselves.
    pub notices: Notices,
    /// Upstreams that have just started, and the limit on requests to them.
    pub cold: Cold,
    /// Entry hosts that share the upstreams.
    fleet: BTreeSet<HostId>,
    /// Upstreams of each service that this host uses first, with the registry's revision for which
    /// they were chosen.
    subsets: BTreeMap<ServiceId, (Version, BTreeSet<UpstreamId>)>,
    /// Consecutive refusals of each grouped service while this host has nothing running there.
    idle_refusals: BTreeMap<ServiceId, u32>,
    budget: RetryBudget,
    rng: SmallRng,
}

impl Gateway {
    /// Creates a gateway that starts at `now`, without a route table and upstreams.
    #[must_use]
    pub fn new(now: Now, settings: GatewaySettings, seed: u64) -> Self {
        let restarted = (!settings.first_start).then_some(now);
        Self {
            budget: RetryBudget::new(settings.retry_bound, restarted),
            limits: UpstreamLimits::new(settings.host.clone(), seed),
            notices: Notices::new(seed),
            cold: Cold::new(now, settings.cold_bound, settings.settle_time, seed),
            settings,
            table: None,
            table_since: now,
            registry: Registry::default(),
            evacuations: Evacuations::default(),
            loads: Loads::default(),
            load_reports: LoadReports::default(),
            health: UpstreamHealth::default(),
            signs: Signs::default(),
            admission: Admission::default(),
            pauses: PauseControl::default(),
            quarantine: Quarantine::new(seed),
            fleet: BTreeSet::new(),
            subsets: BTreeMap::new(),
            idle_refusals: BTreeMap::new(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Installs a route table unless a version as new is installed; returns whether it did.
    pub fn set_table(&mut self, now: Now, table: Arc<RouteTable>) -> bool {
        let newer = table.version > self.table_version();
        if newer {
            self.table_since = now;
            self.update_targets(&table);
            self.cold.set_services(&table.services);
            self.table = Some(table);
        }
        newer
    }

    /// The route table in force.
    #[must_use]
    pub fn table(&self) -> Option<&Arc<RouteTable>> {
        self.table.as_ref()
    }

    /// Version of the route table in force; 0 if none is.
    #[must_use]
    pub fn table_version(&self) -> TableVersion {
        self.table.as_ref().map_or(0, |t| t.version)
    }

    /// When the route table came into force.
    #[must_use]
    pub fn table_since(&self) -> Now {
        self.table_since
    }

    /// Whether callers can be served.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.table.is_some() && self.registry.is_complete() && self.evacuations.is_settled()
    }

    /// Applies an update of the evacuated data centres.
    pub fn apply_evacuations(&mut self, now: Now, update: &FollowUpdate) -> Vec<EvacuationChange> {
        let changes = self.evacuations.apply(now, update);
        self.evacuations_changed(now, changes)
    }

    /// Ends evacuations and waits that have run out.
    pub fn expire_evacuations(&mut self, now: Now) -> Vec<EvacuationChange> {
        let changes = self.evacuations.expire(now);
        self.evacuations_changed(now, changes)
    }

    /// Upstreams that this host uses first must not be evacuated, or its requests would share the few
    /// that are left of them. Those of a data centre whose evacuation has ended may be cold.
    fn evacuations_changed(
        &mut self,
        now: Now,
        changes: Vec<EvacuationChange>,
    ) -> Vec<EvacuationChange> {
        for change in &changes {
            if let EvacuationChange::Ended(data_centre, _) = change {
                self.record_evacuation_end(now, data_centre);
            }
        }
        if !changes.is_empty() {
            self.subsets.clear();
        }
        changes
    }

    /// Whether a service has upstreams, and all of them are in evacuated data centres.
    #[must_use]
    pub fn is_evacuated(&self, service: &str) -> bool {
        let mut usable = self.registry.usable(service).peekable();
        usable.peek().is_some() && usable.all(|u| self.evacuations.is_evacuated(&u.data_centre))
    }

    /// Sets the number of hosts that share the retry budget's allowance and the rate of cold upstreams,
    /// and the live ones, which share the upstreams.
    pub fn set_hosts(&mut self, hosts: usize, live: BTreeSet<HostId>) {
        self.budget.set_hosts(hosts);
        self.cold.set_hosts(hosts);
        if self.fleet != live {
            self.fleet = live;
            self.subsets.clear();
        }
    }

    /// Admits a request and chooses its route and service.
    ///
    /// # Errors
    ///
    /// Returns the refusal to answer with if no route table is installed, no route or service
    /// matches, or the key is unknown.
    pub fn admit(&mut self, now: Now, head: RequestHead<'_>) -> Result<Admitted, Refusal> {
        let Some(table) = self.table.clone() else {
            let detail = "this host has no configuration yet; ask another one";
            let refusal = Refusal::not_run(RefusalKind::NotReady, detail);
            return Err(refusal.with_retry_after(NOT_READY_RETRY_AFTER));
        };
        let Some(route) = table.route(head.host, head.path) else {
            let detail = format!("no route of `{}` takes `{}`", head.host, head.path);
            return Err(Refusal::not_run(RefusalKind::UnknownRoute, detail));
        };
        let team = head.key.and_then(|key| table.team_of(key));
        if team.is_none() && !table.teams.is_empty() && !route.public {
            let detail = "the request carries no key that the configuration knows";
            return Err(Refusal::not_run(RefusalKind::UnknownKey, detail));
        }
        let Some(service) = route.choose_service(&mut self.rng) else {
            let detail = format!("route `{}` has no service", route.name);
            return Err(Refusal::not_run(RefusalKind::UnknownRoute, detail));
        };
        let wait = head.deadline.unwrap_or(DEFAULT_DEADLINE).min(route.timeout);
        let team_priority = team
            .and_then(|t| table.teams.get(t))
            .and_then(|t| t.priority);
        let profile = table.services.get(service).and_then(|s| s.engine.as_ref());
        let work = profile.map_or(1.0, |p| {
            let usual = f64::from(p.usual_prompt + p.usual_answer).max(1.0);
            let own = f64::from(head.prompt_tokens + head.answer_tokens);
            if own > 0.0 {
                (own / usual).clamp(0.1, 10.0)
            } else {
                1.0
            }
        });
        let tokens_per_event = profile.map_or(1, |p| p.steps_per_pass.max(1));
        let max_tokens = head.max_answer_tokens;
        let max_events = (max_tokens > 0).then(|| max_tokens.div_ceil(tokens_per_event));
        let service = service.clone();
        let patience = route.kind.is_stream().then(|| route.patience());
        let parts = head.parts.iter();
        let features = parts.map(|p| quarantine::part_feature(&service, p));
        let features = features.collect();
        self.budget.record_request(now, &service);
        Ok(Admitted {
            id: head.id.to_owned(),
            table: table.version,
            route: Arc::clone(route),
            service,
            team: team.cloned(),
            priority: team_priority.unwrap_or(route.priority),
            arrived: now,
            waits_until: now + wait,
            deadline: now + wait,
            departure: Departure::new(now, patience),
            work,
            max_events,
            features,
            content: None,
            ticket: None,
            tried: BTreeSet::new(),
            may_have_run: false,
            failed_connections: 0,
            stalled: false,
            last_outcome: None,
            broken_after: None,
            permit: None,
            charged_at: None,
            last_charge: None,
        })
    }

    /// Removes lapsed upstreams after the grace period and the health records of removed ones.
    pub fn expire(&mut self, now: Now) -> Vec<Change> {
        let changes = self.registry.expire(now);
        let registry = &self.registry;
        self.health.retain(|id| registry.get(id).is_some());
        self.loads.retain(|id| registry.get(id).is_some());
        self.load_reports.retain(|id| registry.get(id).is_some());
        let loads = &self.loads;
        self.signs
            .retain(|id| registry.get(id).is_some() || loads.requests(id) > 0);
        self.limits.expire(now, |id| registry.get(id).is_some());
        self.notices.expire(now, registry);
        self.quarantine.expire(now);
        self.quarantine.decide(now);
        changes
    }
}
