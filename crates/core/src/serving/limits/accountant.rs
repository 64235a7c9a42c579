//! Division of a team's limit among the entry hosts that report demand.

use std::collections::BTreeMap;

use super::{Demand, SHARE_VALIDITY, Share};
use crate::types::{HostId, Now, TeamId};

/// Last report of one host on one team, with the share granted for it.
#[derive(Clone, Copy, Debug)]
struct Holder {
    demand_per_s: f64,
    /// Upper bound of the share in use: the larger of the reported share and the granted one,
    /// because the reply that carries the grant may be lost.
    share_per_s: f64,
    reported_at: Now,
}

/// Shares of the teams for which this host is the accountant. Not persisted.
#[derive(Clone, Debug, Default)]
pub struct Accountant {
    teams: BTreeMap<TeamId, BTreeMap<HostId, Holder>>,
    /// Until this time, shares granted by a previous accountant may still be valid.
    handover_until: Now,
}

impl Accountant {
    /// Drops the holders that are not in `hosts`, and limits grants for [`SHARE_VALIDITY`], because
    /// a changed host list may have moved teams to this accountant.
    pub fn hosts_changed(&mut self, now: Now, hosts: &[HostId]) {
        self.handover_until = now + SHARE_VALIDITY;
        for holders in self.teams.values_mut() {
            holders.retain(|host, _| hosts.contains(host));
        }
    }

    /// Processes the report of `from`, one of `hosts` entry hosts, and returns its new share.
    pub fn report(
        &mut self,
        now: Now,
        from: &HostId,
        demand: &Demand,
        limit_per_s: f64,
        hosts: usize,
    ) -> Share {
        let holders = self.teams.entry(demand.team.clone()).or_default();
        holders.retain(|_, h| now < h.reported_at + SHARE_VALIDITY);
        let mut holder = Holder {
            demand_per_s: demand.requests_per_s,
            share_per_s: demand.share_per_s,
            reported_at: now,
        };
        holders.insert(from.clone(), holder);
        let target = target_share(holders, &holder, limit_per_s);
        let others = holders.iter().filter(|(host, _)| *host != from);
        let granted_to_others: f64 = others.map(|(_, h)| h.share_per_s).sum();
        let mut granted = target.min((limit_per_s - granted_to_others).max(0.0));
        if now < self.handover_until {
            // Hosts that have not reported yet may hold shares of the previous accountant.
            let equal_share = limit_per_s / hosts.max(1) as f64;
            granted = granted.min(demand.share_per_s.max(equal_share));
        }
        holder.share_per_s = granted.max(demand.share_per_s);
        holders.insert(from.clone(), holder);
        Share {
            team: demand.team.clone(),
            requests_per_s: granted,
        }
    }

    /// Drops hosts that have not reported within [`SHARE_VALIDITY`], and teams without hosts.
    pub fn expire(&mut self, now: Now) {
        self.teams.retain(|_, holders| {
            holders.retain(|_, h| now < h.reported_at + SHARE_VALIDITY);
            !holders.is_empty()
        });
    }
}

/// Target share of a host: its demand plus an equal share of the unused rest, or, if the total
/// demand exceeds the limit, a share in proportion to its demand.
fn target_share(holders: &BTreeMap<HostId, Holder>, holder: &Holder, limit_per_s: f64) -> f64 {
    let total_demand: f64 = holders.values().map(|h| h.demand_per_s).sum();
    if total_demand <= limit_per_s {
        return holder.demand_per_s + (limit_per_s - total_demand) / holders.len().max(1) as f64;
    }
    limit_per_s * holder.demand_per_s / total_demand
}
