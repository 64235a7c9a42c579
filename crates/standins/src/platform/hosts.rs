//! Host list that lags behind what was set.

use std::collections::VecDeque;
use std::time::Duration;

use super::{Host, HostList};

/// Lists that were set and when each becomes visible.
#[derive(Clone, Debug)]
pub(super) struct Hosts {
    lag: Duration,
    lists: VecDeque<(Duration, Vec<Host>)>,
}

impl Hosts {
    /// A list that is visible from the start.
    pub(super) fn new(lag: Duration, hosts: Vec<Host>) -> Self {
        Self {
            lag,
            lists: VecDeque::from([(Duration::ZERO, hosts)]),
        }
    }

    /// Sets the list that becomes visible after the lag.
    pub(super) fn set(&mut self, now: Duration, hosts: Vec<Host>) {
        self.lists.push_back((now + self.lag, hosts));
    }

    /// The latest list that is visible.
    pub(super) fn visible(&mut self, now: Duration) -> HostList {
        while self.lists.get(1).is_some_and(|(at, _)| *at <= now) {
            self.lists.pop_front();
        }
        let hosts = self.lists.front().map(|(_, hosts)| hosts.clone());
        HostList {
            hosts: hosts.unwrap_or_default(),
        }
    }
}
