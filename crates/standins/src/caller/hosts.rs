//! Entry hosts that a caller knows, without input or output.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::Rng;
use serde::{Deserialize, Serialize};

/// An entry host in an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryHost {
    /// Address, `http://IP:PORT`.
    pub address: String,
    /// Share of the requests that it should get, relative to the others.
    pub weight: u32,
    /// Data centre.
    #[serde(default)]
    pub data_centre: String,
}

/// Answer of `GET /v1/entry-hosts`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryHosts {
    /// Entry hosts, the nearest first.
    pub entry_hosts: Vec<EntryHost>,
    /// How long the answer may be used, in milliseconds.
    pub valid_for_ms: u64,
}

/// The last answer and the addresses known from the start.
#[derive(Clone, Debug)]
pub(super) struct HostTable {
    first: Vec<String>,
    known: Vec<EntryHost>,
    valid_until: Option<Duration>,
}

impl HostTable {
    pub(super) fn new(first: Vec<String>) -> Self {
        Self {
            first,
            known: Vec::new(),
            valid_until: None,
        }
    }

    pub(super) fn known(&self) -> &[EntryHost] {
        &self.known
    }

    pub(super) fn is_valid(&self, now: Duration) -> bool {
        self.valid_until.is_some_and(|until| now < until)
    }

    /// Takes an answer. One without hosts is useless and changes nothing.
    pub(super) fn set(&mut self, now: Duration, answer: EntryHosts) {
        if answer.entry_hosts.is_empty() {
            return;
        }
        self.known = answer.entry_hosts;
        self.valid_until = Some(now + Duration::from_millis(answer.valid_for_ms));
    }

    /// Addresses to ask for the entry hosts, in order.
    pub(super) fn candidates(&self) -> Vec<String> {
        let known = self.known.iter().map(|host| host.address.clone());
        known.chain(self.first.iter().cloned()).collect()
    }

    /// Chooses by weight among the hosts that were not tried, or among the
    /// first addresses if the answer names no other.
    pub(super) fn choose(&self, rng: &mut impl Rng, tried: &BTreeSet<String>) -> Option<String> {
        let left: Vec<&EntryHost> = self
            .known
            .iter()
            .filter(|host| !tried.contains(&host.address))
            .collect();
        let total: u64 = left.iter().map(|host| u64::from(host.weight.max(1))).sum();
        if total > 0 {
            let mut at = rng.random_range(0..total);
            for host in left {
                let weight = u64::from(host.weight.max(1));
                if at < weight {
                    return Some(host.address.clone());
                }
                at -= weight;
            }
        }
        self.first.iter().find(|a| !tried.contains(*a)).cloned()
    }
}
