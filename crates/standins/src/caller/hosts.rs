//! A caller's table of entry hosts, free of I/O.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::Rng;
use serde::{Deserialize, Serialize};

/// An entry host in the answer of `GET /v1/entry-hosts`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryHost {
    /// Base URL, `http://IP:PORT`.
    pub address: String,
    /// Share of the requests that the host should get, relative to the weights of the others; 0
    /// counts as 1.
    pub weight: u32,
    /// Name of the host's data centre; empty if the answer omits it.
    #[serde(default)]
    pub data_centre: String,
}

/// Answer of `GET /v1/entry-hosts`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryHosts {
    /// Entry hosts, nearest first.
    pub entry_hosts: Vec<EntryHost>,
    /// Time for which the answer may be used before it is fetched again, in milliseconds.
    pub valid_for_ms: u64,
}

/// The last list of entry hosts, with its validity, and the configured seed URLs.
#[derive(Clone, Debug)]
pub(super) struct HostTable {
    seed_urls: Vec<String>,
    known: Vec<EntryHost>,
    valid_until: Option<Duration>,
}

impl HostTable {
    pub(super) fn new(seed_urls: Vec<String>) -> Self {
        Self {
            seed_urls,
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

    /// Replaces the list. An answer without hosts is ignored, so that the previous ones stay in use.
    pub(super) fn set(&mut self, now: Duration, answer: EntryHosts) {
        if answer.entry_hosts.is_empty() {
            return;
        }
        self.known = answer.entry_hosts;
        self.valid_until = Some(now + Duration::from_millis(answer.valid_for_ms));
    }

    /// Base URLs from which to fetch the list, in the order in which to try them.
    pub(super) fn candidates(&self) -> Vec<String> {
        let known = self.known.iter().map(|host| host.address.clone());
        known.chain(self.seed_urls.iter().cloned()).collect()
    }

    /// Chooses by weight among the listed hosts that are not in `tried`. If there is none, returns
    /// the first untried seed URL.
    pub(super) fn choose(&self, rng: &mut impl Rng, tried: &BTreeSet<String>) -> Option<String> {
        let untried: Vec<&EntryHost> = self
            .known
            .iter()
            .filter(|host| !tried.contains(&host.address))
            .collect();
        let total_weight: u64 = untried
            .iter()
            .map(|host| u64::from(host.weight.max(1)))
            .sum();
        if total_weight > 0 {
            let mut offset = rng.random_range(0..total_weight);
            for host in untried {
                let weight = u64::from(host.weight.max(1));
                if offset < weight {
                    return Some(host.address.clone());
                }
                offset -= weight;
            }
        }
        self.seed_urls
            .iter()
            .find(|url| !tried.contains(*url))
            .cloned()
    }
}
