//! State of one entry host, dispatch of its inputs, and admission of requests.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::claiming::Claiming;
use super::hosts::Hosts;
use super::limiting::Limiting;
use super::open_request::{Attempt, OpenRequest};
use super::{Input, Output, Timer, UpstreamInfo};
use crate::config::Config;
use crate::event::{Event, EventKind};
use crate::serving::health::Health;
use crate::serving::retry::{Budgets, HedgeDelay};
use crate::serving::routing::LoadView;
use crate::serving::suspects::{SuspectBroadcasts, Suspects};
use crate::types::{
    AttemptId, DataCentreId, Fingerprint, HostId, Incarnation, Now, Refusal, RefusalKind, Request,
    RequestHandle, RequestId, ServiceId, TeamId, WorkClass,
};

const TICK_INTERVAL: Duration = Duration::from_millis(500);
/// Gap between two inputs from which on the process counts as paused: several ticks are missing.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(2);
/// Time after a cancellation within which the report of an earlier crash may still arrive.
const CRASH_REPORT_WINDOW: Duration = Duration::from_secs(5);
/// Delay of dispatches after a pause, so that messages queued in sockets are read first.
const HOLD_AFTER_PAUSE: Duration = Duration::from_millis(100);

/// State machine of the entry host.
#[derive(Clone, Debug)]
pub struct Entry {
    pub(super) host: HostId,
    pub(super) rng: SmallRng,
    pub(super) cfg: Option<Arc<Config>>,
    pub(super) upstreams: BTreeMap<HostId, UpstreamInfo>,
    /// Upstreams of each service that this host uses, without those that are leaving.
    pub(super) subsets: BTreeMap<ServiceId, Vec<HostId>>,
    /// Upstream processes that announced in a bounce that they are leaving.
    pub(super) announced_leaving: BTreeSet<(HostId, Incarnation)>,
    pub(super) loads: BTreeMap<HostId, LoadView>,
    pub(super) requests: BTreeMap<RequestHandle, OpenRequest>,
    pub(super) by_id: BTreeMap<(TeamId, RequestId), RequestHandle>,
    pub(super) attempts: BTreeMap<AttemptId, Attempt>,
    /// Recently cancelled attempts with their request's fingerprint and the time: a crash may
    /// have come before the cancellation, with its report still on the way.
    pub(super) cancelled: BTreeMap<AttemptId, (Fingerprint, Now)>,
    pub(super) hosts: Hosts,
    /// Data centres of the live entry hosts.
    pub(super) locations: BTreeMap<HostId, DataCentreId>,
    pub(super) claiming: Claiming,
    pub(super) budgets: Budgets,
    pub(super) hedge_delays: BTreeMap<ServiceId, HedgeDelay>,
    pub(super) health: Health,
    pub(super) suspects: Suspects,
    pub(super) broadcasts: SuspectBroadcasts,
    pub(super) limiting: Limiting,
    draining: bool,
    pub(super) dropped_chunks: u64,
    last_input: Option<Now>,
    /// Earliest time of the next dispatch.
    pub(super) hold_until: Now,
    /// Requests that wait for `hold_until`.
    pub(super) on_hold: BTreeSet<RequestHandle>,
}

impl Entry {
    /// Creates a machine without configuration, which refuses all requests until it has one.
    /// Each incarnation of a process needs another `seed`, since it determines attempt ids.
    #[must_use]
    pub fn new(host: HostId, seed: u64) -> Self {
        Self {
            host,
            rng: SmallRng::seed_from_u64(seed),
            cfg: None,
            upstreams: BTreeMap::new(),
            subsets: BTreeMap::new(),
            announced_leaving: BTreeSet::new(),
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
            broadcasts: SuspectBroadcasts::default(),
            limiting: Limiting::default(),
            draining: false,
            dropped_chunks: 0,
            last_input: None,
            hold_until: Now::ZERO,
            on_hold: BTreeSet::new(),
        }
    }

    /// Name of this host, as in the lists of entry hosts.
    #[must_use]
    pub fn host(&self) -> &str {
        &self.host
    }

    /// Number of admitted requests that have not ended.
    #[must_use]
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Number of chunks dropped since their attempt had ended or the caller already had them.
    #[must_use]
    pub fn dropped_chunks(&self) -> u64 {
        self.dropped_chunks
    }

    /// Processes an input at the time `now` and returns the actions for the driver, in order.
    pub fn handle(&mut self, now: Now, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        self.detect_pause(now, &mut out);
        match input {
            Input::Config(cfg) => {
                self.budgets.retain_configured(&cfg);
                self.cfg = Some(cfg);
            }
            Input::Upstreams(list) => self.set_upstreams(list),
            Input::Request { handle, request } => self.admit(now, handle, request, &mut out),
            Input::CallerGone(handle) => self.caller_gone(now, handle, &mut out),
            Input::Attempt(attempt, event) => self.attempt_event(now, attempt, event, &mut out),
            Input::EntryHosts(list) => self.set_entry_hosts(now, list, &mut out),
            Input::Probed { host, up } => self.probe_result(&host, up),
            Input::Locations(locations) => {
                self.locations = locations;
                self.update_subsets();
            }
            Input::Peer { from, message } => self.peer_message(now, from, message, &mut out),
            Input::Platform { id, reply } => self.platform_reply(now, id, reply, &mut out),
            Input::Drain => self.draining = true,
            Input::Timer(timer) => self.timer_fired(now, timer, &mut out),
        }
        if self.draining && self.requests.is_empty() {
            out.push(Output::Drained);
        }
        out
    }

    fn timer_fired(&mut self, now: Now, timer: Timer, out: &mut Vec<Output>) {
        match timer {
            Timer::Deadline(handle) => self.end_if_expired(now, handle, out),
            Timer::Claim(handle) => self.claim_timed_out(now, handle, out),
            Timer::Dispatch(handle) => {
                if self.on_hold.remove(&handle) {
                    self.dispatch(now, handle, out);
                }
            }
            Timer::Shard(shard) => self.flush_shard(now, shard, out),
            Timer::Hedge(handle) => self.send_hedge(now, handle, out),
            Timer::Suspects => self.resend_suspects(now, out),
            Timer::Tick => self.tick(now, out),
        }
    }

    /// Detects a pause of the process before the input is processed, since the state may be out
    /// of date: expired requests end, and dispatches wait until queued messages have been read.
    fn detect_pause(&mut self, now: Now, out: &mut Vec<Output>) {
        let Some(last) = self.last_input.replace(now) else {
            self.tick(now, out);
            return;
        };
        let gap = now.saturating_sub(last);
        if gap <= PAUSE_THRESHOLD {
            return;
        }
        self.hold_until = self.hold_until.max(now + HOLD_AFTER_PAUSE);
        let detail = format!("no input for {} ms", gap.as_millis());
        out.push(Output::Event(Event::new(EventKind::PauseNoticed, detail)));
        let handles: Vec<_> = self.requests.keys().copied().collect();
        for handle in handles {
            self.end_if_expired(now, handle, out);
        }
    }

    fn tick(&mut self, now: Now, out: &mut Vec<Output>) {
        self.health.tick(now);
        self.suspects.expire(now);
        self.claiming.expire_keys(now);
        self.cancelled
            .retain(|_, (_, at)| now < *at + CRASH_REPORT_WINDOW);
        self.tick_limits(now, out);
        self.send_probes(now, out);
        out.push(Output::SetTimer {
            at: now + TICK_INTERVAL,
            timer: Timer::Tick,
        });
    }

    /// Probes upstreams that take no work, so that no request is spent on finding them up again.
    fn send_probes(&mut self, now: Now, out: &mut Vec<Output>) {
        for (host, view) in &mut self.loads {
            if let Some(upstream) = self.upstreams.get(host)
                && view.take_probe(now)
            {
                out.push(Output::Probe(upstream.clone()));
            }
        }
    }

    fn probe_result(&mut self, host: &HostId, up: bool) {
        if let Some(view) = self.loads.get_mut(host).filter(|_| up) {
            view.record_answer();
        }
    }

    fn set_upstreams(&mut self, list: Vec<UpstreamInfo>) {
        self.upstreams = list.into_iter().map(|u| (u.host.clone(), u)).collect();
        let known = &mut self.upstreams;
        self.announced_leaving.retain(|(host, incarnation)| {
            known
                .get(host)
                .is_some_and(|u| u.incarnation == *incarnation)
        });
        for (host, _) in &self.announced_leaving {
            if let Some(upstream) = known.get_mut(host) {
                upstream.leaving = true;
            }
        }
        self.loads.retain(|host, _| known.contains_key(host));
        self.health.retain(|host| known.contains_key(host));
        self.update_subsets();
    }

    /// Stops using an upstream process that announced that it is leaving, before the next list
    /// marks it.
    pub(super) fn mark_upstream_leaving(&mut self, host: &HostId, incarnation: Incarnation) {
        let upstream = self.upstreams.get_mut(host);
        if let Some(upstream) = upstream.filter(|u| u.incarnation == incarnation) {
            upstream.leaving = true;
            self.announced_leaving.insert((host.clone(), incarnation));
            self.update_subsets();
        }
    }

    fn admit(&mut self, now: Now, handle: RequestHandle, request: Request, out: &mut Vec<Output>) {
        let refusal = self
            .check_request(&request)
            .or_else(|| self.check_wait(now, &request))
            .or_else(|| self.check_team_limit(now, &request, out));
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
        self.requests
            .insert(handle, OpenRequest::new(request, deadline));
        if non_idempotent {
            self.begin_claim(now, handle, out);
        } else {
            self.dispatch(now, handle, out);
        }
    }

    fn check_request(&self, request: &Request) -> Option<Refusal> {
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
