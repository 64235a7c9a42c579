//! Retries and hedges, as a share of real traffic.
//!
//! Each request earns a tenth of a further attempt for its service and team.
//! When most upstreams fail, retries then add a tenth to the load at most,
//! instead of multiplying it while capacity is short.

mod hedge;

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use crate::config::Config;
use crate::types::{Request, ServiceId, TeamId};

pub use hedge::HedgeDelay;

/// Further attempts that a request earns.
const FRACTION: f64 = 0.1;
/// Further attempts that may be saved up, so that a burst of failures after a quiet time
/// doesn't double the load.
const MAX_BALANCE: f64 = 10.0;
/// Balance at the start, so that a team's first requests may be retried.
const START_BALANCE: f64 = 1.0;
/// Balance that hedges leave to retries.
const HEDGE_RESERVE: f64 = 5.0;

/// Budgets of further attempts by service and team.
#[derive(Clone, Debug, Default)]
pub struct Budgets {
    balances: BTreeMap<(ServiceId, TeamId), f64>,
}

impl Budgets {
    /// Counts a request.
    pub fn earn(&mut self, request: &Request) {
        let balance = self.balance(request);
        *balance = (*balance + FRACTION).min(MAX_BALANCE);
    }

    /// Takes a retry out of the budget; false if it is spent.
    #[must_use]
    pub fn retry(&mut self, request: &Request) -> bool {
        take(self.balance(request), 0.0)
    }

    /// Takes a hedge out of the budget; false if what is left belongs to retries.
    #[must_use]
    pub fn hedge(&mut self, request: &Request) -> bool {
        take(self.balance(request), HEDGE_RESERVE)
    }

    /// Drops the budgets of services and teams that are no longer configured.
    pub fn retain_configured(&mut self, cfg: &Config) {
        self.balances.retain(|(service, team), _| {
            cfg.services.contains_key(service) && cfg.teams.contains_key(team)
        });
    }

    fn balance(&mut self, request: &Request) -> &mut f64 {
        let owner = (request.service.clone(), request.team.clone());
        self.balances.entry(owner).or_insert(START_BALANCE)
    }
}

fn take(balance: &mut f64, reserve: f64) -> bool {
    // A balance of ten tenths may sum up to a little less than 1.
    let enough = *balance - reserve > 1.0 - 1e-9;
    if enough {
        *balance -= 1.0;
    }
    enough
}
