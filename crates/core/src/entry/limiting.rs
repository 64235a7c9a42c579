//! Team limits: enforcement of this host's shares, and division of the limits for which it is
//! the accountant.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;

use super::machine::Entry;
use super::{Output, PeerMessage};
use crate::event::{Event, EventKind};
use crate::serving::limits::{self, Accountant, Demand, Meter, Share};
use crate::types::{HostId, Now, Refusal, RefusalKind, Request, TeamId};

/// Time for which the largest number of entry hosts is remembered. Regions may be partitioned for
/// an hour, and a host that sees few others must not take their shares of the limits.
const HOST_COUNT_RETENTION: Duration = Duration::from_secs(2 * 3_600);

/// State of team limits on one entry host.
#[derive(Clone, Debug, Default)]
pub(super) struct Limiting {
    meters: BTreeMap<TeamId, Meter>,
    accountant: Accountant,
    /// Accountants of teams, cached until the entry hosts change.
    accountants: BTreeMap<TeamId, HostId>,
    /// Largest number of entry hosts within the retention time, and when it was last reached.
    hosts: (usize, Now),
}

impl Limiting {
    pub(super) fn set_hosts(&mut self, now: Now, hosts: &[HostId]) {
        self.accountant.hosts_changed(now, hosts);
        self.accountants.clear();
        if hosts.len() >= self.hosts.0 || now >= self.hosts.1 + HOST_COUNT_RETENTION {
            self.hosts = (hosts.len(), now);
        }
    }
}

impl Entry {
    /// Counts a request of its team; returns a refusal if that is above this host's share of the
    /// team's limit.
    pub(super) fn check_team_limit(
        &mut self,
        now: Now,
        request: &Request,
        out: &mut Vec<Output>,
    ) -> Option<Refusal> {
        let team = &request.team;
        let limit_per_s = self.limit_of(team)?;
        let chance = self.rng.random();
        let Limiting { meters, hosts, .. } = &mut self.limiting;
        let is_new = !meters.contains_key(team);
        let meter = meters
            .entry(team.clone())
            .or_insert_with(|| Meter::new(now, limit_per_s, hosts.0, chance));
        let admitted = meter.admit(now);
        let retry_after = meter.retry_after(now);
        if is_new {
            let demand = meter.report(now, team);
            self.send_demands(now, demand.into_iter().collect(), out);
        }
        if admitted {
            return None;
        }
        let detail = format!("team `{team}` is above its limit of {limit_per_s} requests a second");
        let refusal = Refusal::not_run(RefusalKind::TeamLimit, detail);
        Some(refusal.with_retry_after(retry_after))
    }

    /// Reports demands that are due, applies changed limits and removes idle teams.
    pub(super) fn tick_limits(&mut self, now: Now, out: &mut Vec<Output>) {
        self.limiting.accountant.expire(now);
        self.limiting.meters.retain(|_, meter| !meter.is_idle(now));
        let teams: Vec<_> = self.limiting.meters.keys().cloned().collect();
        for team in teams {
            let limit_per_s = self.limit_of(&team);
            let Limiting { meters, hosts, .. } = &mut self.limiting;
            match (limit_per_s, meters.get_mut(&team)) {
                (Some(limit), Some(meter)) => {
                    meter.set_limit(limit, hosts.0);
                    if meter.expire_share(now) {
                        let event = Event::new(EventKind::TeamShareExpired, team.as_str());
                        out.push(Output::Event(event));
                    }
                }
                _ => {
                    meters.remove(&team);
                }
            }
        }
        self.report_demands(now, out);
    }

    fn report_demands(&mut self, now: Now, out: &mut Vec<Output>) {
        let meters = self.limiting.meters.iter_mut();
        let demands = meters.filter_map(|(team, meter)| meter.report(now, team));
        let demands = demands.collect();
        self.send_demands(now, demands, out);
    }

    fn send_demands(&mut self, now: Now, demands: Vec<Demand>, out: &mut Vec<Output>) {
        let mut by_accountant: BTreeMap<HostId, Vec<Demand>> = BTreeMap::new();
        for demand in demands {
            if let Some(accountant) = self.accountant_of(&demand.team) {
                by_accountant.entry(accountant).or_default().push(demand);
            }
        }
        for (to, demands) in by_accountant {
            if to == self.host {
                let shares = self.divide_limits(now, &to, &demands);
                self.apply_shares(now, &shares);
            } else {
                let message = PeerMessage::Demands(demands);
                out.push(Output::Send { to, message });
            }
        }
    }

    /// Divides the limits of teams by demand, as their accountant.
    pub(super) fn divide_limits(
        &mut self,
        now: Now,
        from: &HostId,
        demands: &[Demand],
    ) -> Vec<Share> {
        let hosts = self.limiting.hosts.0;
        let mut shares = Vec::with_capacity(demands.len());
        for demand in demands {
            if let Some(limit) = self.limit_of(&demand.team) {
                let accountant = &mut self.limiting.accountant;
                shares.push(accountant.report(now, from, demand, limit, hosts));
            }
        }
        shares
    }

    pub(super) fn apply_shares(&mut self, now: Now, shares: &[Share]) {
        for share in shares {
            if let Some(meter) = self.limiting.meters.get_mut(&share.team) {
                meter.set_share(now, share);
            }
        }
    }

    fn accountant_of(&mut self, team: &TeamId) -> Option<HostId> {
        if let Some(known) = self.limiting.accountants.get(team) {
            return Some(known.clone());
        }
        let accountant = limits::accountant_of(team, self.hosts.live())?.clone();
        let known = &mut self.limiting.accountants;
        known.insert(team.clone(), accountant.clone());
        Some(accountant)
    }

    fn limit_of(&self, team: &TeamId) -> Option<f64> {
        self.cfg.as_ref()?.teams.get(team)?.requests_per_s
    }
}
