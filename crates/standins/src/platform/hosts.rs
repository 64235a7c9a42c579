//! Host list whose changes become visible after a delay, as those of a real platform do.

use std::collections::VecDeque;
use std::time::Duration;

use super::{Host, HostList};

/// Host lists with the time at which each becomes visible, oldest first.
#[derive(Clone, Debug)]
pub(super) struct DelayedHostList {
    lag: Duration,
    lists: VecDeque<(Duration, Vec<Host>)>,
}

impl DelayedHostList {
    /// Creates a list that is visible from the start.
    pub(super) fn new(lag: Duration, hosts: Vec<Host>) -> Self {
        Self {
            lag,
            lists: VecDeque::from([(Duration::ZERO, hosts)]),
        }
    }

    /// Adds a list that becomes visible after the lag.
    pub(super) fn set(&mut self, now: Duration, hosts: Vec<Host>) {
        self.lists.push_back((now + self.lag, hosts));
    }

    /// Latest visible list; older ones are dropped.
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
