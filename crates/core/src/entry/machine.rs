//! State of one entry host: requests, upstreams and peers.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::claiming::Claiming;
use super::held::{Attempt, Held};
use super::hosts::Hosts;
use super::limiting::Limiting;
use super::{Input, Output, Timer, UpstreamInfo};
use crate::config::Config;
use crate::event::{Event, EventKind};
use crate::serving::health::Health;
use crate::serving::retry::{Budgets, HedgeDelay};
use crate::serving::routing::LoadView;
use crate::serving::suspects::{Sharing, Suspects};
use crate::types::{
    AttemptId, DataCentreId, Fingerprint, HostId, Incarnation, Now, Refusal, RefusalKind, Request,
    RequestHandle, RequestId, ServiceId, TeamId, WorkClass,
};

/// Time between two ticks.
const TICK: Duration = Duration::from_millis(500);
/// Gap between two inputs that shows a pause, since several ticks are missing in it.
const PAUSE: Duration = Duration::from_secs(2);
/// Time after an attempt's end in which a report of a crash before it may come.
const REPORT_TIME: Duration = Duration::from_secs(5);
/// Time after a pause in which messages that have waited in sockets are read first.
const GRACE: Duration = Duration::from_millis(100);

/// State machine of the entry host.
#[derive(Clone, Debug)]
pub struct Entry {
    pub(super) host: HostId,
    pub(super) rng: SmallRng,
    pub(super) cfg: Option<Arc<Config>>,
    pub(super) upstreams: BTreeMap<HostId, UpstreamInfo>,
    /// Upstreams of each service that this host uses: its subset, without those that are leaving.
    pub(super) peers: BTreeMap<ServiceId, Vec<HostId>>,
    /// Lives of upstream processes that said themselves that they are leaving.
    pub(super) left: BTreeSet<(HostId, Incarnation)>,
    pub(super) loads: BTreeMap<HostId, LoadView>,
    pub(super) requests: BTreeMap<RequestHandle, Held>,
    pub(super) by_id: BTreeMap<(TeamId, RequestId), RequestHandle>,
    pub(super) attempts: BTreeMap<AttemptId, Attempt>,
    /// Attempts that were cancelled lately, by request's fingerprint, since a crash may have
    /// come first and its report be on the way.
    pub(super) cancelled: BTreeMap<AttemptId, (Fingerprint, Now)>,
    pub(super) hosts: Hosts,
    /// Data centres of the live entry hosts.
    pub(super) locations: BTreeMap<HostId, DataCentreId>,
    pub(super) claiming: Claiming,
    pub(super) budgets: Budgets,
    pub(super) hedge_delays: BTreeMap<ServiceId, HedgeDelay>,
    pub(super) health: Health,
    pub(super) suspects: Suspects,
    pub(super) sharing: Sharing,
    pub(super) limiting: Limiting,
    draining: bool,
    pub(super) dropped_chunks: u64,
    last_input: Option<Now>,
    /// No dispatch happens before.
    pub(super) hold_until: Now,
    /// Requests that wait for it.
    pub(super) on_hold: BTreeSet<RequestHandle>,
}

impl Entry {
    /// A machine without configuration; it refuses all requests until it has one.
    /// `seed` differs between two lives of a process, since ids of attempts come from it.
    #[must_use]
    pub fn new(host: HostId, seed: u64) -> Self {
        Self {
            host,
            rng: SmallRng::seed_from_u64(seed),
            cfg: None,
            upstreams: BTreeMap::new(),
            peers: BTreeMap::new(),
            left: BTreeSet::new(),
            loads: BTreeMap::new(),
            requests: BTreeMap::new(),
            by_id: BTreeMap::new(),
            attempts: BTreeMap::new(),
            cancelled: BTreeMap::new(),
            hosts: Hosts::default(),
            locations: BTreeMap::new(),
            claiming: Claiming::default(),
            budgets: Budgets::default(),
            hedge_delays: BTreeMap::new(),
            health: Health::default(),
            suspects: Suspects::default(),
            sharing: Sharing::default(),
            limiting: Limiting::default(),
            draining: false,
            dropped_chunks: 0,
            last_input: None,
            hold_until: Now::ZERO,
            on_hold: BTreeSet::new(),
        }
    }

    /// Name of the host.
    #[must_use]
    pub fn host(&self) -> &str {
        &self.host
    }

    /// Number of admitted requests that have not ended.
    #[must_use]
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Chunks that came from an attempt that was not the current one, or that the caller had.
    #[must_use]
    pub fn dropped_chunks(&self) -> u64 {
        self.dropped_chunks
    }

    /// Takes an input at the time `now` and returns what the driver shall do.
    pub fn handle(&mut self, now: Now, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        self.notice_pause(now, &mut out);
        match input {
            Input::Config(cfg) => {
                self.budgets.retain_configured(&cfg);
                self.cfg = Some(cfg);
            }
            Input::Upstreams(list) => self.set_upstreams(list),
            Input::Request { handle, request } => self.admit(now, handle, request, &mut out),
            Input::CallerGone(handle) => self.caller_gone(now, handle, &mut out),
            Input::Attempt(attempt, event) => self.attempt(now, attempt, event, &mut out),
            Input::EntryHosts(list) => self.set_entry_hosts(now, list, &mut out),
            Input::Probed { host, up } => self.probed(&host, up),
            Input::Locations(locations) => {
                self.locations = locations;
                self.list_peers();
            }
            Input::Peer { from, message } => self.peer(now, from, message, &mut out),
            Input::Platform { id, reply } => self.platform(now, id, reply, &mut out),
            Input::Drain => self.draining = true,
            Input::Timer(timer) => self.timer(now, timer, &mut out),
        }
        if self.draining && self.requests.is_empty() {
            out.push(Output::Drained);
        }
        out
    }

    fn timer(&mut self, now: Now, timer: Timer, out: &mut Vec<Output>) {
        match timer {
            Timer::Deadline(handle) => self.deadline(now, handle, out),
            Timer::Claim(handle) => self.claim_late(now, handle, out),
            Timer::Dispatch(handle) => {
                if self.on_hold.remove(&handle) {
                    self.dispatch(now, handle, out);
                }
            }
            Timer::Shard(shard) => self.flush_shard(now, shard, out),
            Timer::Hedge(handle) => self.hedge(now, handle, out),
            Timer::Suspects => self.tell_suspects(now, out),
            Timer::Tick => self.tick(now, out),
        }
    }

    /// Notices a pause before anything is decided on knowledge from before it: claims are
    /// judged by their age, expired requests end, and dispatches wait for unread messages.
    fn notice_pause(&mut self, now: Now, out: &mut Vec<Output>) {
        let Some(last) = self.last_input.replace(now) else {
            self.tick(now, out);
            return;
        };
        let gap = now.saturating_sub(last);
        if gap <= PAUSE {
            return;
        }
        self.hold_until = self.hold_until.max(now + GRACE);
        let detail = format!("no input for {} ms", gap.as_millis());
        out.push(Output::Event(Event::new(EventKind::PauseNoticed, detail)));
        let handles: Vec<_> = self.requests.keys().copied().collect();
        for handle in handles {
            self.deadline(now, handle, out);
        }
    }

    fn tick(&mut self, now: Now, out: &mut Vec<Output>) {
        self.health.tick(now);
        self.suspects.forget(now);
        self.claiming.forget(now);
        self.cancelled.retain(|_, (_, at)| now < *at + REPORT_TIME);
        self.tick_limits(now, out);
        self.probe(now, out);
        out.push(Output::SetTimer {
            at: now + TICK,
            timer: Timer::Tick,
        });
    }

    /// Probes upstreams whose engines are down, so that no request has to find out.
    fn probe(&mut self, now: Now, out: &mut Vec<Output>) {
        for (host, view) in &mut self.loads {
            if let Some(upstream) = self.upstreams.get(host)
                && view.take_probe(now)
            {
                out.push(Output::Probe(upstream.clone()));
            }
        }
    }

    fn probed(&mut self, host: &HostId, up: bool) {
        if let Some(view) = self.loads.get_mut(host).filter(|_| up) {
            view.answers();
        }
    }

    fn set_upstreams(&mut self, list: Vec<UpstreamInfo>) {
        self.upstreams = list.into_iter().map(|u| (u.host.clone(), u)).collect();
        let known = &mut self.upstreams;
        self.left
            .retain(|(host, life)| known.get(host).is_some_and(|u| u.incarnation == *life));
        for (host, _) in &self.left {
            if let Some(upstream) = known.get_mut(host) {
                upstream.leaving = true;
            }
        }
        self.loads.retain(|host, _| known.contains_key(host));
        self.health.retain(|host| known.contains_key(host));
        self.list_peers();
    }

    /// Takes an upstream process's own word that it is leaving, ahead of the next list.
    pub(super) fn upstream_leaves(&mut self, host: &HostId, life: Incarnation) {
        let upstream = self.upstreams.get_mut(host);
        if let Some(upstream) = upstream.filter(|u| u.incarnation == life) {
            upstream.leaving = true;
            self.left.insert((host.clone(), life));
            self.list_peers();
        }
    }

    fn admit(&mut self, now: Now, handle: RequestHandle, request: Request, out: &mut Vec<Output>) {
        let refusal = self
            .reason_to_refuse(&request)
            .or_else(|| self.out_of_reach(now, &request))
            .or_else(|| self.above_limit(now, &request, out));
        if let Some(refusal) = refusal {
            push_refusal(handle, &request, refusal, out);
            return;
        }
        let deadline = now + request.deadline;
        out.push(event(
            EventKind::RequestAdmitted,
            &request,
            &request.service,
        ));
        out.push(Output::SetTimer {
            at: deadline,
            timer: Timer::Deadline(handle),
        });
        self.budgets.earn(&request);
        let non_idempotent = request.class == WorkClass::NonIdempotent;
        if !non_idempotent {
            self.supersede(now, &request, out);
        }
        let id = (request.team.clone(), request.id.clone());
        self.by_id.insert(id, handle);
        self.requests.insert(handle, Held::new(request, deadline));
        if non_idempotent {
            self.begin_claim(now, handle, out);
        } else {
            self.dispatch(now, handle, out);
        }
    }

    fn reason_to_refuse(&self, request: &Request) -> Option<Refusal> {
        let refuse = |kind, detail: String| Some(Refusal::not_run(kind, detail));
        let Some(cfg) = &self.cfg else {
            return refuse(
                RefusalKind::NotReady,
                "this host has no configuration yet".into(),
            );
        };
        if self.draining {
            let detail = "this host is draining; ask for the entry hosts again".into();
            return refuse(RefusalKind::NotReady, detail);
        }
        if !cfg.services.contains_key(&request.service) {
            let detail = format!("service `{}` is not configured", request.service);
            return refuse(RefusalKind::UnknownService, detail);
        }
        if !cfg.teams.contains_key(&request.team) {
            let detail = format!("team `{}` is not configured", request.team);
            return refuse(RefusalKind::UnknownTeam, detail);
        }
        None
    }
}

pub(super) fn event(kind: EventKind, request: &Request, detail: &str) -> Output {
    Output::Event(Event::new(kind, detail).about_request(request.id.clone()))
}

pub(super) fn push_refusal(
    handle: RequestHandle,
    request: &Request,
    refusal: Refusal,
    out: &mut Vec<Output>,
) {
    let detail = format!("{}: {}", refusal.kind.slug(), refusal.detail);
    out.push(event(EventKind::RequestRefused, request, &detail));
    out.push(Output::Refuse { handle, refusal });
}
