//! Retry budgets: retries and hedges are limited to a fraction of the requests.
//!
//! Each request earns a tenth of an additional attempt for its service and team.
//! When most upstreams fail, retries therefore add at most a tenth to the load,
//! instead of multiplying it while capacity is short.

mod hedge;

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use crate::config::Config;
use crate::types::{Request, ServiceId, TeamId};

pub use hedge::HedgeDelay;

/// Additional attempts that a request earns.
const EARNED_PER_REQUEST: f64 = 0.1;
/// Maximum balance in attempts, so that a burst of failures after a quiet period doesn't double
/// the load.
const MAX_BALANCE: f64 = 10.0;
/// Initial balance in attempts, so that the first request of a team can be retried.
const INITIAL_BALANCE: f64 = 1.0;
/// Balance in attempts that hedges leave to retries.
const RETRY_RESERVE: f64 = 5.0;

/// Budgets of additional attempts by service and team.
#[derive(Clone, Debug, Default)]
pub struct Budgets {
    balances: BTreeMap<(ServiceId, TeamId), f64>,
}

impl Budgets {
    /// Credits the budget of the request's service and team for one admitted request.
    pub fn earn(&mut self, request: &Request) {
        let balance = self.balance(request);
        *balance = (*balance + EARNED_PER_REQUEST).min(MAX_BALANCE);
    }

    /// Charges a retry to the budget; returns false if less than one attempt is left.
    #[must_use]
    pub fn retry(&mut self, request: &Request) -> bool {
        try_charge(self.balance(request), 0.0)
    }

    /// Charges a hedge to the budget; returns false if only the reserve for retries is left.
    #[must_use]
    pub fn hedge(&mut self, request: &Request) -> bool {
        try_charge(self.balance(request), RETRY_RESERVE)
    }

    /// Drops the budgets of services and teams that are no longer configured.
    pub fn retain_configured(&mut self, cfg: &Config) {
        self.balances.retain(|(service, team), _| {
            cfg.services.contains_key(service) && cfg.teams.contains_key(team)
        });
    }

    fn balance(&mut self, request: &Request) -> &mut f64 {
        let key = (request.service.clone(), request.team.clone());
        self.balances.entry(key).or_insert(INITIAL_BALANCE)
    }
}

fn try_charge(balance: &mut f64, reserve: f64) -> bool {
    // Ten tenths may add up to slightly less than 1.
    let enough = *balance - reserve > 1.0 - 1e-9;
    if enough {
        *balance -= 1.0;
    }
    enough
}
