//! The host that divides a team's limit among the entry hosts.

use std::collections::BTreeMap;

use super::{Demand, SHARE_VALIDITY, Share};
use crate::types::{HostId, Now, TeamId};

/// What is known of one host's use of one team's limit.
#[derive(Clone, Copy, Debug)]
struct Holder {
    demand_per_s: f64,
    /// Most that the host may be using, since an answer to it may be lost.
    share_per_s: f64,
    reported_at: Now,
}

/// Soft state of the teams that one host accounts for.
#[derive(Clone, Debug, Default)]
pub struct Accountant {
    teams: BTreeMap<TeamId, BTreeMap<HostId, Holder>>,
    /// Until then, shares of a former accountant may be in force.
    learns_until: Now,
}

impl Accountant {
    /// Notes that the entry hosts changed, by which teams may have come to this accountant.
    pub fn hosts_changed(&mut self, now: Now, hosts: &[HostId]) {
        self.learns_until = now + SHARE_VALIDITY;
        for holders in self.teams.values_mut() {
            holders.retain(|host, _| hosts.contains(host));
        }
    }

    /// Takes a report of one of `hosts` entry hosts and returns its new share of the limit.
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
        let wanted = target(holders, &holder, limit_per_s);
        let others = holders.iter().filter(|(host, _)| *host != from);
        let taken: f64 = others.map(|(_, h)| h.share_per_s).sum();
        let mut granted = wanted.min((limit_per_s - taken).max(0.0));
        if now < self.learns_until {
            // Hosts that have not reported yet may hold the rest.
            let even = limit_per_s / hosts.max(1) as f64;
            granted = granted.min(demand.share_per_s.max(even));
        }
        holder.share_per_s = granted.max(demand.share_per_s);
        holders.insert(from.clone(), holder);
        Share {
            team: demand.team.clone(),
            requests_per_s: granted,
        }
    }

    /// Forgets hosts that no longer report, and teams without hosts.
    pub fn expire(&mut self, now: Now) {
        self.teams.retain(|_, holders| {
            holders.retain(|_, h| now < h.reported_at + SHARE_VALIDITY);
            !holders.is_empty()
        });
    }
}

/// A host's due: its demand and an even part of what is left, or a part of the limit in
/// proportion to its demand if all want more than there is.
fn target(holders: &BTreeMap<HostId, Holder>, holder: &Holder, limit_per_s: f64) -> f64 {
    let wanted: f64 = holders.values().map(|h| h.demand_per_s).sum();
    if wanted <= limit_per_s {
        return holder.demand_per_s + (limit_per_s - wanted) / holders.len().max(1) as f64;
    }
    limit_per_s * holder.demand_per_s / wanted
}
