//! Choice of an upstream by the requests that this host has in flight.
//!
//! The engines of a group run every pass together, so a pass is as slow as its fullest rank. The
//! choice therefore balances the work in flight: it takes the upstream with the lowest resulting
//! utilization by this host's own work, which is known without delay. Ties are broken at random,
//! since other hosts decide at the same time from their own requests.

use std::collections::BTreeMap;

use rand::Rng;
use rand::rngs::SmallRng;

use super::health::UpstreamHealth;
use super::registry::{Upstream, UpstreamId};
use crate::types::DataCentreId;

/// Work that is added for an upstream in another data centre, as a fraction of a usual request, so
/// that nearer upstreams win ties.
const REMOTE_COST: f64 = 0.05;

/// Work of a request, relative to a usual one.
pub type Work = f64;

/// Requests and work that this host has in flight, by upstream.
#[derive(Clone, Debug, Default)]
pub struct Loads {
    in_flight: BTreeMap<UpstreamId, (u32, Work)>,
}

impl Loads {
    /// Adds a request that is sent.
    pub fn add(&mut self, id: &str, work: Work) {
        let load = self.in_flight.entry(id.to_owned()).or_default();
        load.0 += 1;
        load.1 += work;
    }

    /// Removes a request that ended.
    pub fn sub(&mut self, id: &str, work: Work) {
        if let Some(load) = self.in_flight.get_mut(id) {
            load.0 = load.0.saturating_sub(1);
            load.1 = (load.1 - work).max(0.0);
            if load.0 == 0 {
                self.in_flight.remove(id);
            }
        }
    }

    /// Number of this host's requests in flight at an upstream.
    #[must_use]
    pub fn requests(&self, id: &str) -> u32 {
        self.in_flight.get(id).map_or(0, |l| l.0)
    }

    /// Work of this host's requests in flight at an upstream.
    #[must_use]
    pub fn work(&self, id: &str) -> Work {
        self.in_flight.get(id).map_or(0.0, |l| l.1)
    }
}

/// Chooses the candidate with the lowest utilization; `None` only if there is no candidate.
pub fn choose<'a>(
    rng: &mut SmallRng,
    local_data_centre: &DataCentreId,
    candidates: &[&'a Upstream],
    loads: &Loads,
    health: &UpstreamHealth,
) -> Option<&'a Upstream> {
    let cost = |u: &Upstream, rng: &mut SmallRng| {
        let slots = f64::from(u.slots.max(1));
        let distance = if u.data_centre == *local_data_centre {
            0.0
        } else {
            REMOTE_COST
        };
        let utilization = (loads.work(&u.id) + 1.0 + distance) / slots;
        utilization * health.load_factor(&u.id) + rng.random_range(0.0..0.01)
    };
    let mut best: Option<(f64, &'a Upstream)> = None;
    for &upstream in candidates {
        let cost = cost(upstream, rng);
        if best.is_none_or(|(lowest, _)| cost < lowest) {
            best = Some((cost, upstream));
        }
    }
    best.map(|b| b.1)
}
