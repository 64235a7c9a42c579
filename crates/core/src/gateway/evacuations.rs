//! Data centres that operators have evacuated: their upstreams get no requests.
//!
//! Each evacuation is an object in the store whose name is the data centre. Its value does not matter, so
//! an object whose value can't be decoded counts, too. While the store does not answer, the last known set
//! stays in force.
//!
//! A store that is restored from a copy may have lost evacuations that nobody ended. They stay in force
//! for [`RESTORE_GRACE`], in which operators can write them again, unless a deletion is reported.

use std::collections::BTreeMap;
use std::time::Duration;

use super::follow::FollowUpdate;
use super::registry::PRESUMED_TIME;
use crate::platform::{Change, StoredObject, Version, era};
use crate::types::{DataCentreId, Now};

/// Time for which the end of an evacuation is remembered.
pub const ENDED_RETENTION: Duration = Duration::from_secs(30);
/// Time after a restore of the store for which evacuations that it no longer lists stay in force.
pub const RESTORE_GRACE: Duration = PRESUMED_TIME;

/// Effect of an update, for logs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EvacuationChange {
    /// An evacuation began, with the version of its object.
    Begun(DataCentreId, Version),
    /// An evacuation ended, with the version up to which all changes are known.
    Ended(DataCentreId, Version),
}

/// An evacuation that is in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Evacuation {
    /// Version of its object.
    pub version: Version,
    /// When this host learned of it.
    pub since: Now,
    /// When it ends, if the store lost it in a restore.
    lost_until: Option<Now>,
}

/// The set of evacuated data centres. By default it is not followed and empty.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    in_force: BTreeMap<DataCentreId, Evacuation>,
    ended: BTreeMap<DataCentreId, Now>,
    /// Version up to which all changes are included; `None` before the first list.
    as_of: Option<Version>,
    confirmed_at: Now,
    /// Until when the host waits for the first list before it is ready.
    awaits_list_until: Option<Now>,
}

impl Evacuations {
    /// A set that is followed from `now` on. The host is not ready before the first list, but no longer
    /// than for `settle_time`, since the store may be unavailable for long.
    #[must_use]
    pub fn followed(now: Now, settle_time: Duration) -> Self {
        Self {
            awaits_list_until: Some(now + settle_time),
            confirmed_at: now,
            ..Self::default()
        }
    }

    /// Applies an update of the follower. An update older than what is known changes nothing.
    pub fn apply(&mut self, now: Now, update: &FollowUpdate) -> Vec<EvacuationChange> {
        let (FollowUpdate::All(_, as_of) | FollowUpdate::Changes(_, as_of)) = update else {
            return Vec::new();
        };
        if self.as_of.is_some_and(|known| *as_of < known) {
            return Vec::new();
        }
        self.confirmed_at = now;
        let changes = match update {
            FollowUpdate::All(objects, _) => self.replace(now, objects, *as_of),
            FollowUpdate::Changes(changes, _) => {
                let apply = |change: &Change| match change {
                    Change::Set(object) => self.set(now, object),
                    Change::Deleted(name) => self.end(now, name, *as_of),
                };
                changes.iter().filter_map(apply).collect()
            }
            FollowUpdate::Failed { .. } | FollowUpdate::HistoryGone => Vec::new(),
        };
        self.as_of = Some(*as_of);
        self.awaits_list_until = None;
        changes
    }

    fn replace(
        &mut self,
        now: Now,
        objects: &[StoredObject],
        as_of: Version,
    ) -> Vec<EvacuationChange> {
        let is_listed = |name: &str| objects.iter().any(|o| o.name == name);
        let mut missing = Vec::new();
        for (name, evacuation) in &mut self.in_force {
            if is_listed(name) {
                continue;
            }
            if era(evacuation.version) < era(as_of) {
                evacuation.lost_until.get_or_insert(now + RESTORE_GRACE);
            } else {
                missing.push(name.clone());
            }
        }
        let ended = missing.iter().filter_map(|name| self.end(now, name, as_of));
        let mut changes: Vec<EvacuationChange> = ended.collect();
        changes.extend(objects.iter().filter_map(|o| self.set(now, o)));
        changes
    }

    fn set(&mut self, now: Now, object: &StoredObject) -> Option<EvacuationChange> {
        let version = object.version;
        if let Some(known) = self.in_force.get_mut(&object.name) {
            if version >= known.version {
                known.version = version;
                known.lost_until = None;
            }
            return None;
        }
        let evacuation = Evacuation {
            version,
            since: now,
            lost_until: None,
        };
        self.in_force.insert(object.name.clone(), evacuation);
        self.ended.remove(&object.name);
        Some(EvacuationChange::Begun(object.name.clone(), version))
    }

    fn end(&mut self, now: Now, name: &str, as_of: Version) -> Option<EvacuationChange> {
        self.in_force.remove(name)?;
        self.ended.insert(name.to_owned(), now);
        Some(EvacuationChange::Ended(name.to_owned(), as_of))
    }

    /// Ends evacuations that a restored store has lost, forgets ends after [`ENDED_RETENTION`], and ends
    /// the wait for the first list.
    pub fn expire(&mut self, now: Now) -> Vec<EvacuationChange> {
        self.ended.retain(|_, at| now < *at + ENDED_RETENTION);
        self.awaits_list_until = self.awaits_list_until.filter(|until| now < *until);
        let is_over = |e: &Evacuation| e.lost_until.is_some_and(|until| now >= until);
        let over = self.in_force.iter().filter(|(_, e)| is_over(e));
        let over: Vec<DataCentreId> = over.map(|(name, _)| name.clone()).collect();
        let as_of = self.as_of.unwrap_or_default();
        let ended = over.iter().filter_map(|name| self.end(now, name, as_of));
        ended.collect()
    }

    /// Whether a data centre is evacuated.
    #[must_use]
    pub fn is_evacuated(&self, data_centre: &str) -> bool {
        self.in_force.contains_key(data_centre)
    }

    /// When this host learned that the last evacuation of a data centre had ended; `None` if it is
    /// evacuated, or [`ENDED_RETENTION`] later.
    #[must_use]
    pub fn ended_at(&self, data_centre: &str) -> Option<Now> {
        self.ended.get(data_centre).copied()
    }

    /// Whether the host may be ready: the set was read, is not followed, or was waited for in vain.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        self.awaits_list_until.is_none()
    }

    /// Evacuations that are in force, by data centre.
    #[must_use]
    pub fn in_force(&self) -> &BTreeMap<DataCentreId, Evacuation> {
        &self.in_force
    }

    /// When the store, or a host for it, last confirmed the set; the start of the host before that.
    #[must_use]
    pub fn confirmed_at(&self) -> Now {
        self.confirmed_at
    }
}
