//! Which data centres answer, and whether it is the process itself that is cut off.
//!
//! Members of a silent data centre are not accused one by one: they are left
//! out as a whole and come back as a whole, so an hour's partition changes no
//! records and its end causes no storm.

use std::collections::{BTreeMap, BTreeSet};

use crate::types::{DataCentreId, Now};

/// Probes in a row to a data centre, without any message of it, after which it counts as silent.
const UNREACHABLE_AFTER_PROBES: u32 = 2;

#[derive(Clone, Copy, Debug, Default)]
struct Contact {
    last_at: Option<Now>,
    failed_probes: u32,
}

/// Contacts to each data centre.
#[derive(Clone, Debug, Default)]
pub struct Reachability {
    centres: BTreeMap<DataCentreId, Contact>,
    last_any: Option<Now>,
}

impl Reachability {
    /// A message of a process there arrived; returns whether that ended a silence.
    pub fn record_contact(&mut self, now: Now, centre: &str) -> bool {
        self.last_any = Some(now);
        let contact = self.centres.entry(centre.to_owned()).or_default();
        let was_unreachable = contact.failed_probes >= UNREACHABLE_AFTER_PROBES;
        *contact = Contact {
            last_at: Some(now),
            failed_probes: 0,
        };
        was_unreachable
    }

    /// A probe sent at `sent_at` failed; returns whether the data centre counts as silent by it.
    pub fn record_failed_probe(&mut self, sent_at: Now, centre: &str) -> bool {
        let contact = self.centres.entry(centre.to_owned()).or_default();
        if contact.last_at.is_some_and(|at| at > sent_at) {
            return false;
        }
        contact.failed_probes += 1;
        contact.failed_probes == UNREACHABLE_AFTER_PROBES
    }

    /// Whether nothing is heard from a data centre.
    #[must_use]
    pub fn is_unreachable(&self, centre: &str) -> bool {
        self.centres
            .get(centre)
            .is_some_and(|c| c.failed_probes >= UNREACHABLE_AFTER_PROBES)
    }

    /// Whether the data centre was heard after a point in time.
    #[must_use]
    pub fn contact_since(&self, centre: &str, since: Now) -> bool {
        let contact = self.centres.get(centre);
        contact.and_then(|c| c.last_at).is_some_and(|at| at > since)
    }

    /// Whether anybody was heard after a point in time.
    #[must_use]
    pub fn any_contact_since(&self, since: Now) -> bool {
        self.last_any.is_some_and(|at| at > since)
    }

    /// Whether all of these data centres are silent; none at all is no isolation.
    #[must_use]
    pub fn all_unreachable(&self, centres: &BTreeSet<&str>) -> bool {
        !centres.is_empty() && centres.iter().all(|c| self.is_unreachable(c))
    }

    /// Forgets failures, after a pause of the process.
    pub fn clear_failures(&mut self) {
        for contact in self.centres.values_mut() {
            contact.failed_probes = 0;
        }
    }
}
