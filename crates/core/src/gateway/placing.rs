//! Choice of an upstream from own sends, which are known at once.
//!
//! The engines of a group run each pass together, so a pass is as slow as its fullest rank. The
//! choice therefore evens out the work in flight: the upstream whose own share of work would be
//! smallest takes the request, and ties are broken at random, since other hosts decide at the
//! same time from their own sends.

use std::collections::BTreeMap;

use rand::Rng;
use rand::rngs::SmallRng;

use super::registry::{Upstream, UpstreamId};
use super::trust::Trust;
use crate::types::DataCentreId;

/// Work of a request that is added to an upstream of another data centre, in parts of a slot, so
/// that equals are told apart by distance.
const DISTANCE_COST: f64 = 0.05;

/// What one request takes, in parts of a usual one.
pub type Work = f64;

/// Own work in flight by upstream.
#[derive(Clone, Debug, Default)]
pub struct Loads {
    in_flight: BTreeMap<UpstreamId, (u32, Work)>,
}

impl Loads {
    /// Counts a request that is sent.
    pub fn add(&mut self, id: &str, work: Work) {
        let load = self.in_flight.entry(id.to_owned()).or_default();
        load.0 += 1;
        load.1 += work;
    }

    /// Takes a request off that ended.
    pub fn sub(&mut self, id: &str, work: Work) {
        if let Some(load) = self.in_flight.get_mut(id) {
            load.0 = load.0.saturating_sub(1);
            load.1 = (load.1 - work).max(0.0);
            if load.0 == 0 {
                self.in_flight.remove(id);
            }
        }
    }

    /// Own requests in flight at an upstream.
    #[must_use]
    pub fn requests(&self, id: &str) -> u32 {
        self.in_flight.get(id).map_or(0, |l| l.0)
    }

    /// Own work in flight at an upstream.
    #[must_use]
    pub fn work(&self, id: &str) -> Work {
        self.in_flight.get(id).map_or(0.0, |l| l.1)
    }
}

/// Chooses among candidates; none only if there are none.
pub fn choose<'a>(
    rng: &mut SmallRng,
    here: &DataCentreId,
    candidates: &[&'a Upstream],
    loads: &Loads,
    trust: &Trust,
) -> Option<&'a Upstream> {
    let cost = |u: &Upstream, rng: &mut SmallRng| {
        let slots = f64::from(u.slots.max(1));
        let distance = if u.data_centre == *here {
            0.0
        } else {
            DISTANCE_COST
        };
        let filled = (loads.work(&u.id) + 1.0 + distance) / slots;
        filled * trust.slowness(&u.id) + rng.random_range(0.0..0.01)
    };
    let mut best: Option<(f64, &'a Upstream)> = None;
    for &upstream in candidates {
        let cost = cost(upstream, rng);
        if best.is_none_or(|(least, _)| cost < least) {
            best = Some((cost, upstream));
        }
    }
    best.map(|b| b.1)
}
