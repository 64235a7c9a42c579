//! Which data centres answer, and whether it is the process itself that is cut off.
//!
//! Members of a silent data centre are not accused one by one: they are left
//! out as a whole and come back as a whole, so an hour's partition changes no
//! records and its end causes no storm.

use std::collections::{BTreeMap, BTreeSet};

use crate::types::{DataCentreId, Now};

/// Probes in a row to a data centre, without any message of it, after which it counts as silent.
const FAILED_PROBES: u32 = 2;

#[derive(Clone, Copy, Debug, Default)]
struct Contact {
    heard: Option<Now>,
    failed: u32,
}

/// Contacts to each data centre.
#[derive(Clone, Debug, Default)]
pub struct Reach {
    centres: BTreeMap<DataCentreId, Contact>,
    heard_any: Option<Now>,
}

impl Reach {
    /// A message of a process there arrived; returns whether that ended a silence.
    pub fn heard(&mut self, now: Now, centre: &str) -> bool {
        self.heard_any = Some(now);
        let contact = self.centres.entry(centre.to_owned()).or_default();
        let was_silent = contact.failed >= FAILED_PROBES;
        *contact = Contact {
            heard: Some(now),
            failed: 0,
        };
        was_silent
    }

    /// A probe sent at `sent_at` failed; returns whether the data centre counts as silent by it.
    pub fn failed(&mut self, sent_at: Now, centre: &str) -> bool {
        let contact = self.centres.entry(centre.to_owned()).or_default();
        if contact.heard.is_some_and(|at| at > sent_at) {
            return false;
        }
        contact.failed += 1;
        contact.failed == FAILED_PROBES
    }

    /// Whether nothing is heard from a data centre.
    #[must_use]
    pub fn is_silent(&self, centre: &str) -> bool {
        self.centres
            .get(centre)
            .is_some_and(|c| c.failed >= FAILED_PROBES)
    }

    /// Whether the data centre was heard after a point in time.
    #[must_use]
    pub fn heard_since(&self, centre: &str, since: Now) -> bool {
        let contact = self.centres.get(centre);
        contact.and_then(|c| c.heard).is_some_and(|at| at > since)
    }

    /// Whether anybody was heard after a point in time.
    #[must_use]
    pub fn heard_any_since(&self, since: Now) -> bool {
        self.heard_any.is_some_and(|at| at > since)
    }

    /// Whether all of these data centres are silent; none at all is no isolation.
    #[must_use]
    pub fn all_silent(&self, centres: &BTreeSet<&str>) -> bool {
        !centres.is_empty() && centres.iter().all(|c| self.is_silent(c))
    }

    /// Forgets failures, after a pause of the process.
    pub fn restart(&mut self) {
        for contact in self.centres.values_mut() {
            contact.failed = 0;
        }
    }
}
