//! Budget for retries, shared by all entry hosts.
//!
//! In any window, each service may receive a share of its requests plus a fixed allowance as
//! additional arrivals. Hosts do not coordinate: each spends the share of its own requests and an
//! equal part of the allowance, so that the sum stays within the budget however the requests are
//! distributed. After a restart, a process's part of the allowance grows over the first window,
//! since its earlier incarnation may just have spent it.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::types::{Now, ServiceId};

/// Fraction of the budget that is used; the rest covers hosts that do not know of each other yet
/// and arrivals that the network delays into another window.
const USABLE_FRACTION: f64 = 0.7;

/// Bound on retries that the operators set.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBound {
    /// Length of the sliding window in which arrivals are counted.
    pub window: Duration,
    /// Additional arrivals per request.
    pub ratio: f64,
    /// Additional arrivals per window on top of those, over all hosts.
    pub allowance: f64,
}

#[derive(Clone, Debug, Default)]
struct Account {
    requests: VecDeque<Now>,
    retries: VecDeque<Now>,
}

impl Account {
    fn drop_before(&mut self, before: Now) {
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|t| *t < before) {
                times.pop_front();
            }
        }
    }
}

/// Retry budget of one host, by service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    bound: RetryBound,
    hosts: usize,
    /// Start of this process, if it may have had an earlier incarnation.
    restarted_at: Option<Now>,
    accounts: BTreeMap<ServiceId, Account>,
}

impl RetryBudget {
    /// Creates the budget of a host that knows of no other. `restarted_at` is the start of a
    /// process that may have had an earlier incarnation.
    #[must_use]
    pub fn new(bound: RetryBound, restarted_at: Option<Now>) -> Self {
        Self {
            bound,
            hosts: 1,
            restarted_at,
            accounts: BTreeMap::new(),
        }
    }

    /// Sets the number of hosts that share the allowance; at least 1 is assumed.
    pub fn set_hosts(&mut self, hosts: usize) {
        self.hosts = hosts.max(1);
    }

    /// Records a request for a service, which adds to its budget.
    pub fn record_request(&mut self, now: Now, service: &str) {
        let account = self.account(now, service);
        account.requests.push_back(now);
    }

    /// Gives back a retry that was spent at a time, as it was not sent.
    pub fn give_back(&mut self, now: Now, service: &str, spent_at: Now) {
        let retries = &mut self.account(now, service).retries;
        if let Some(index) = retries.iter().rposition(|t| *t == spent_at) {
            retries.remove(index);
        }
    }

    /// Spends one retry of the service's budget; false if the budget is exhausted.
    #[must_use]
    pub fn try_take(&mut self, now: Now, service: &str) -> bool {
        let (bound, hosts) = (self.bound, self.hosts as f64);
        let ramp = self.restarted_at.map_or(1.0, |start| {
            let age = now.saturating_sub(start).as_secs_f64();
            (age / bound.window.as_secs_f64()).min(1.0)
        });
        let account = self.account(now, service);
        let allowed = bound.ratio * account.requests.len() as f64 + bound.allowance * ramp / hosts;
        let within = ((account.retries.len() + 1) as f64) <= allowed * USABLE_FRACTION;
        if within {
            account.retries.push_back(now);
        }
        within
    }

    fn account(&mut self, now: Now, service: &str) -> &mut Account {
        let before = now.saturating_sub(self.bound.window);
        let account = self.accounts.entry(service.to_owned()).or_default();
        account.drop_before(before);
        account
    }
}
