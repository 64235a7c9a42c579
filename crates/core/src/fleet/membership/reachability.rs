//! Reachability of data centres, and detection that the process itself is isolated.
//!
//! Members of an unreachable data centre are not suspected one by one. They become unreachable
//! and reachable together, so a partition of an hour changes no records, and its end causes no
//! burst of messages.

use std::collections::{BTreeMap, BTreeSet};

use crate::types::{DataCentreId, Now};

/// Consecutive failed probes, without any message from the data centre, after which it counts as
/// unreachable.
const UNREACHABLE_AFTER_PROBES: u32 = 2;

#[derive(Clone, Copy, Debug, Default)]
struct Contact {
    last_at: Option<Now>,
    failed_probes: u32,
}

/// Last contact with each data centre, and failed probes since.
#[derive(Clone, Debug, Default)]
pub struct Reachability {
    centres: BTreeMap<DataCentreId, Contact>,
    last_any: Option<Now>,
}

impl Reachability {
    /// Records a message from a data centre. Returns whether it was unreachable before.
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

    /// Records a failed probe that was sent at `sent_at`. Returns whether the data centre became
    /// unreachable by it.
    pub fn record_failed_probe(&mut self, sent_at: Now, centre: &str) -> bool {
        let contact = self.centres.entry(centre.to_owned()).or_default();
        if contact.last_at.is_some_and(|at| at > sent_at) {
            return false;
        }
        contact.failed_probes += 1;
        contact.failed_probes == UNREACHABLE_AFTER_PROBES
    }

    /// Whether a data centre counts as unreachable.
    #[must_use]
    pub fn is_unreachable(&self, centre: &str) -> bool {
        self.centres
            .get(centre)
            .is_some_and(|c| c.failed_probes >= UNREACHABLE_AFTER_PROBES)
    }

    /// Whether a message from the data centre arrived after `since`.
    #[must_use]
    pub fn contact_since(&self, centre: &str, since: Now) -> bool {
        let contact = self.centres.get(centre);
        contact.and_then(|c| c.last_at).is_some_and(|at| at > since)
    }

    /// Whether a message from any data centre arrived after `since`.
    #[must_use]
    pub fn any_contact_since(&self, since: Now) -> bool {
        self.last_any.is_some_and(|at| at > since)
    }

    /// Whether all of these data centres are unreachable; false if there are none.
    #[must_use]
    pub fn all_unreachable(&self, centres: &BTreeSet<&str>) -> bool {
        !centres.is_empty() && centres.iter().all(|c| self.is_unreachable(c))
    }

    /// Discards failed probes after a pause of the process.
    pub fn clear_failures(&mut self) {
        for contact in self.centres.values_mut() {
            contact.failed_probes = 0;
        }
    }
}
