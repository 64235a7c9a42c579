//! State that all requests of a gateway share, and the steps of one request.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::budget::{RetryBound, RetryBudget};
use super::placing::{self, Loads, Work};
use super::registry::{Registry, Upstream, UpstreamId};
use super::returning;
use super::routes::{Route, RouteTable, TableVersion};
use super::trust::Trust;
use crate::platform::Version;
use crate::types::{
    DataCentreId, Now, Refusal, RefusalKind, RequestId, ServiceId, TeamId, WorkClass,
};

/// Time left below which a request is not sent any more: it would reach the upstream too late.
const LEAST_TIME: Duration = Duration::from_millis(5);
/// Connections that may fail for one request: the next one is likely to fail too, and each takes
/// up to the time limit of connecting.
const MAX_UNREACHED: u32 = 4;
/// Retry-After of a host that is not ready yet.
const NOT_READY_RETRY: Duration = Duration::from_millis(500);
/// Refusals in a row by a service at which nothing of this host runs, from which on its groups are
/// taken to be forming. A few may be chance where other hosts fill some of the upstreams.
const FORMING_REFUSALS: u32 = 3;
/// Deadline of a request that names none; the route's timeout is usually shorter.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

/// What a gateway is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// Data centre of the host.
    pub data_centre: DataCentreId,
    /// Bound on repeated sends.
    pub retry_bound: RetryBound,
    /// The fleet starts for the first time, so no process had an earlier life.
    pub first_start: bool,
}

/// What a gateway needs to know of a caller's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestHead<'a> {
    /// Id of this attempt of the caller.
    pub id: &'a str,
    /// Host name that it asks for; may name a port.
    pub host: &'a str,
    /// Path without the query.
    pub path: &'a str,
    /// Key, if it carries one.
    pub key: Option<&'a str>,
    /// Time that the caller waits.
    pub deadline: Option<Duration>,
    /// Tokens of the prompt; 0 if unknown.
    pub prompt_tokens: u32,
    /// Tokens that the answer is expected to have; 0 if unknown.
    pub answer_tokens: u32,
}

/// A request that is being served.
#[derive(Clone, Debug)]
pub struct Admitted {
    /// Id of this attempt of the caller.
    pub id: RequestId,
    /// Version of the route table that chose the route.
    pub table: TableVersion,
    /// Its route.
    pub route: Arc<Route>,
    /// Service that runs it.
    pub service: ServiceId,
    /// Team whose key it carries.
    pub team: Option<TeamId>,
    /// Rank among requests, 0 first.
    pub priority: u8,
    /// When it arrived.
    pub arrived: Now,
    /// When its caller or its route stops waiting.
    pub deadline: Now,
    /// What it takes, against a usual request.
    pub work: Work,
    /// Upstreams that it was sent to.
    pub tried: BTreeSet<UpstreamId>,
    /// Some upstream may have run it.
    pub may_have_run: bool,
    /// Connections for it that did not come about.
    pub unreached: u32,
    /// The last upstream waits for another one of its group, as all of the group do.
    pub stalled: bool,
    /// The last upstream had no room.
    pub refused: bool,
}

/// What to do next with a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Next {
    /// Send it to this upstream.
    Send(Upstream, Reasons),
    /// Give it up.
    Refuse(Refusal),
}

/// What a choice of an upstream was made from, for logs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reasons {
    /// Upstreams of the service that take new requests.
    pub usable: usize,
    /// Of these, passed over since the request was sent to them before.
    pub tried: usize,
    /// Of these, passed over since they failed lately or another one has their address.
    pub avoided: usize,
    /// Own requests in flight at the chosen one.
    pub in_flight: u32,
    /// Revision of the registry.
    pub registry: Version,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A whole successful answer was passed on.
    Answered,
    /// The upstream answered with a failure of its own.
    Failed,
    /// The upstream has no room and did not run the request.
    Full,
    /// The upstream waits for another one of its group and did not run the request.
    Stalled,
    /// Another upstream has the address and did not run the request.
    Misdirected,
    /// The request never left this host: no connection came about.
    Unreachable,
    /// It was sent, and the answer did not come, broke off or was not one to this request.
    Broken,
    /// The time of the request ran out while the upstream was at work.
    TimedOut,
    /// The caller left while the upstream was at work.
    GivenUp,
}

impl Admitted {
    /// Notes what the end of an attempt means for the request.
    pub fn record_outcome(&mut self, upstream: &str, outcome: Outcome) {
        self.refused = outcome == Outcome::Full;
        match outcome {
            Outcome::Full | Outcome::Misdirected => {}
            Outcome::Stalled => self.stalled = true,
            // It was not sent, so it uses up none of the route's attempts.
            Outcome::Unreachable => {
                self.tried.remove(upstream);
                self.unreached += 1;
            }
            _ => self.may_have_run = true,
        }
    }
}

impl Outcome {
    /// Name, for logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Failed => "failed",
            Self::Full => "full",
            Self::Stalled => "stalled",
            Self::Misdirected => "misdirected",
            Self::Unreachable => "unreachable",
            Self::Broken => "broken",
            Self::TimedOut => "timed_out",
            Self::GivenUp => "given_up",
        }
    }
}

/// What all requests of a gateway share.
#[derive(Clone, Debug)]
pub struct Gateway {
    settings: GatewaySettings,
    table: Option<Arc<RouteTable>>,
    table_since: Now,
    /// Upstreams, kept by the follower of the registry.
    pub registry: Registry,
    loads: Loads,
    trust: Trust,
    /// Refusals in a row of each group service while nothing of this host runs there.
    idle_refusals: BTreeMap<ServiceId, u32>,
    budget: RetryBudget,
    rng: SmallRng,
}

impl Gateway {
    /// A gateway that starts at `now`, without a route table and upstreams.
    #[must_use]
    pub fn new(now: Now, settings: GatewaySettings, seed: u64) -> Self {
        let restarted = (!settings.first_start).then_some(now);
        Self {
            budget: RetryBudget::new(settings.retry_bound, restarted),
            settings,
            table: None,
            table_since: now,
            registry: Registry::default(),
            loads: Loads::default(),
            trust: Trust::default(),
            idle_refusals: BTreeMap::new(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Puts a route table into force, unless a newer one is; returns whether it did.
    pub fn set_table(&mut self, now: Now, table: Arc<RouteTable>) -> bool {
        let newer = table.version > self.table_version();
        if newer {
            self.table_since = now;
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
        self.table.is_some() && self.registry.is_complete()
    }

    /// Sets the number of hosts that share the retry budget's allowance.
    pub fn set_hosts(&mut self, hosts: usize) {
        self.budget.set_hosts(hosts);
    }

    /// Admits a request.
    ///
    /// # Errors
    ///
    /// The refusal to answer with, if the configuration does not allow it.
    pub fn admit(&mut self, now: Now, head: RequestHead<'_>) -> Result<Admitted, Refusal> {
        let Some(table) = self.table.clone() else {
            let detail = "this host has no configuration yet; ask another one";
            let refusal = Refusal::not_run(RefusalKind::NotReady, detail);
            return Err(refusal.with_retry_after(NOT_READY_RETRY));
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
        let of_team = team
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
        let service = service.clone();
        self.budget.count(now, &service);
        Ok(Admitted {
            id: head.id.to_owned(),
            table: table.version,
            route: Arc::clone(route),
            service,
            team: team.cloned(),
            priority: of_team.unwrap_or(route.priority),
            arrived: now,
            deadline: now + wait,
            work,
            tried: BTreeSet::new(),
            may_have_run: false,
            unreached: 0,
            stalled: false,
            refused: false,
        })
    }

    /// Decides on the next send of a request; the chosen upstream counts as loaded with it until
    /// [`Self::attempt_ended`].
    pub fn next(&mut self, now: Now, request: &mut Admitted) -> Next {
        if now + LEAST_TIME >= request.deadline {
            return self.give_up(
                now,
                request,
                RefusalKind::DeadlineExceeded,
                "the time ran out",
            );
        }
        request.stalled |= request.refused && self.is_forming(&request.service);
        if request.stalled {
            let detail = "the group that serves the request waits for one of its ranks";
            return self.give_up(now, request, RefusalKind::NoUpstream, detail);
        }
        if request.unreached >= MAX_UNREACHED {
            let detail = "no upstream that was tried could be reached";
            return self.give_up(now, request, RefusalKind::NoUpstream, detail);
        }
        let repeated = !request.tried.is_empty();
        let attempts_left = (request.tried.len() as u32) < request.route.attempts;
        let repeatable =
            !request.may_have_run || request.route.kind.class() == WorkClass::Idempotent;
        if repeated && !(repeatable && attempts_left) {
            let detail = "the upstreams that were tried did not serve the request";
            return self.give_up(now, request, RefusalKind::Overloaded, detail);
        }
        let Some((chosen, reasons)) = self.choose(now, request) else {
            let detail = format!("no upstream of `{}` takes requests now", request.service);
            return self.give_up(now, request, RefusalKind::NoUpstream, &detail);
        };
        if repeated && !self.budget.take(now, &request.service) {
            let detail = "the budget of repeated sends is spent";
            return self.give_up(now, request, RefusalKind::Overloaded, detail);
        }
        request.tried.insert(chosen.id.clone());
        self.loads.add(&chosen.id, request.work);
        Next::Send(chosen, reasons)
    }

    fn choose(&mut self, now: Now, request: &Admitted) -> Option<(Upstream, Reasons)> {
        let usable: Vec<&Upstream> = self.registry.usable(&request.service).collect();
        let untried = usable.iter().filter(|u| !request.tried.contains(&u.id));
        let candidates: Vec<&Upstream> = untried.copied().collect();
        let here = &self.settings.data_centre;
        let (loads, trust, registry) = (&self.loads, &self.trust, &self.registry);
        let (avoided, trusted): (Vec<&Upstream>, Vec<&Upstream>) = candidates
            .iter()
            .partition(|u| trust.avoid(now, &u.id) || registry.is_replaced(u));
        let from = if trusted.is_empty() {
            &avoided
        } else {
            &trusted
        };
        let chosen = placing::choose(&mut self.rng, here, from, loads, trust)?;
        let reasons = Reasons {
            usable: usable.len(),
            tried: usable.len() - candidates.len(),
            avoided: avoided.len(),
            in_flight: loads.requests(&chosen.id),
            registry: self.registry.revision(),
        };
        Some((chosen.clone(), reasons))
    }

    /// The refusal of a request that is given up, with what is known of its execution and, if it
    /// has not run, the time after which its caller should come back.
    fn give_up(&mut self, now: Now, request: &Admitted, kind: RefusalKind, detail: &str) -> Next {
        if request.may_have_run {
            let kind = match kind {
                RefusalKind::DeadlineExceeded => kind,
                _ => RefusalKind::UpstreamFailed,
            };
            return Next::Refuse(Refusal::unknown(kind, detail));
        }
        let kind = match kind {
            RefusalKind::DeadlineExceeded => RefusalKind::NoUpstream,
            _ => kind,
        };
        let left = request.deadline.saturating_sub(now);
        let cause = if request.stalled || kind == RefusalKind::NoUpstream {
            returning::Cause::Stalled
        } else {
            returning::Cause::Full
        };
        let after = returning::after(&mut self.rng, cause, left);
        Next::Refuse(Refusal::not_run(kind, detail).with_retry_after(after))
    }

    /// Takes the end of an attempt that [`Self::next`] decided on; [`Admitted::record_outcome`] takes what
    /// it means for the request.
    /// Returns whether the upstream is left out from now on.
    pub fn attempt_ended(
        &mut self,
        now: Now,
        upstream: &str,
        work: Work,
        outcome: Outcome,
    ) -> bool {
        self.loads.sub(upstream, work);
        self.note_refusal(upstream, outcome);
        self.trust.observe(now, upstream, outcome)
    }

    /// Counts refusals that can't come from load, since nothing of this host runs at the service.
    fn note_refusal(&mut self, upstream: &str, outcome: Outcome) {
        let Some(service) = self.registry.get(upstream).map(|u| &u.service) else {
            return;
        };
        match outcome {
            Outcome::Answered | Outcome::Failed => {
                self.idle_refusals.remove(service);
            }
            Outcome::Full if self.is_grouped(service) => {
                let mut usable = self.registry.usable(service);
                if usable.all(|u| self.loads.requests(&u.id) == 0) {
                    *self.idle_refusals.entry(service.clone()).or_default() += 1;
                } else {
                    self.idle_refusals.remove(service);
                }
            }
            _ => {}
        }
    }

    /// Whether the upstreams of a service are ranks of groups, which serve together or not at all.
    fn is_grouped(&self, service: &str) -> bool {
        let profile = self.table.as_ref().and_then(|t| t.services.get(service));
        let engine = profile.and_then(|p| p.engine.as_ref());
        engine.is_some_and(|e| e.experts.is_some())
    }

    /// Whether the groups of a service seem not to have formed yet. Each of their ranks refuses
    /// requests then as a full one does.
    fn is_forming(&self, service: &str) -> bool {
        let refusals = self.idle_refusals.get(service);
        refusals.is_some_and(|n| *n >= FORMING_REFUSALS)
    }

    /// Drops lapsed upstreams whose time is over and forgets what is known of those that left.
    pub fn expire(&mut self, now: Now) -> Vec<super::registry::Change> {
        let changes = self.registry.expire(now);
        let registry = &self.registry;
        self.trust.retain(|id| registry.get(id).is_some());
        changes
    }
}
