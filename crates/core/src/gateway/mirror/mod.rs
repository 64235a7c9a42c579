//! Copy of the store's objects that a host keeps for other hosts.
//!
//! A copy answers the calls of a follower as the store does: lists, and watches from a revision. It
//! holds the changes of the last [`MAX_BATCHES`] updates; a follower that is further behind lists
//! again. Revisions are the store's, so that a follower may go on at another copy or at the store.

mod reach;

pub use reach::Reach;

use std::collections::{BTreeMap, VecDeque};

use crate::gateway::follow::FollowUpdate;
use crate::platform::{Change, KindCall, KindReply, StoredObject, Version, era};

/// Updates whose changes are kept.
const MAX_BATCHES: usize = 64;

/// Copy of all objects of a kind.
#[derive(Clone, Debug, Default)]
struct KindCopy {
    objects: BTreeMap<String, StoredObject>,
    /// Changes of the last updates, each with the revision that it led to.
    batches: VecDeque<(Version, Vec<Change>)>,
    /// Revision before the oldest batch.
    since: Version,
    revision: Version,
}

/// Copy of the objects that a host follows, by kind.
#[derive(Clone, Debug, Default)]
pub struct Mirror {
    kinds: BTreeMap<String, KindCopy>,
}

impl Mirror {
    /// Applies an update of a kind.
    pub fn apply(&mut self, kind: &str, update: &FollowUpdate) {
        match update {
            FollowUpdate::All(objects, revision) => self.replace(kind, objects, *revision),
            FollowUpdate::Changes(changes, revision) => {
                if let Some(copy) = self.kinds.get_mut(kind) {
                    copy.apply(changes.clone(), *revision);
                }
            }
            FollowUpdate::Failed { .. } | FollowUpdate::HistoryGone => {}
        }
    }

    fn replace(&mut self, kind: &str, objects: &[StoredObject], revision: Version) {
        let known = self.kinds.get_mut(kind);
        // After a restore of the store there are no changes to tell from before.
        let known = known.filter(|copy| era(copy.revision) >= era(revision));
        let Some(copy) = known else {
            let by_name = objects.iter().map(|o| (o.name.clone(), o.clone()));
            let copy = KindCopy {
                objects: by_name.collect(),
                batches: VecDeque::new(),
                since: revision,
                revision,
            };
            self.kinds.insert(kind.to_owned(), copy);
            return;
        };
        let listed: BTreeMap<&str, &StoredObject> =
            objects.iter().map(|o| (o.name.as_str(), o)).collect();
        let gone = copy
            .objects
            .keys()
            .filter(|name| !listed.contains_key(name.as_str()));
        let mut changes: Vec<Change> = gone.map(|name| Change::Deleted(name.clone())).collect();
        let is_new = |o: &&&StoredObject| copy.objects.get(&o.name).is_none_or(|k| k != **o);
        let set = listed.values().filter(is_new);
        changes.extend(set.map(|o| Change::Set((*o).clone())));
        copy.apply(changes, revision);
    }

    /// Revision up to which the objects of a kind are known; `None` without a list.
    #[must_use]
    pub fn revision(&self, kind: &str) -> Option<Version> {
        self.kinds.get(kind).map(|c| c.revision)
    }

    /// Answers a call. `None` while there is nothing to answer a watch with, or no list.
    #[must_use]
    pub fn answer(&self, call: &KindCall) -> Option<KindReply> {
        match call {
            KindCall::List { kind, .. } => {
                let copy = self.kinds.get(kind)?;
                Some(KindReply::Items {
                    items: copy.objects.values().cloned().collect(),
                    more: false,
                    revision: copy.revision,
                })
            }
            KindCall::Watch { kind, after, .. } => {
                let copy = self.kinds.get(kind)?;
                if *after < copy.since {
                    return Some(KindReply::HistoryGone);
                }
                let newer = copy.batches.iter().filter(|(at, _)| at > after);
                let changes = latest(newer.flat_map(|(_, changes)| changes));
                (!changes.is_empty()).then_some(KindReply::Changes {
                    changes,
                    revision: copy.revision,
                })
            }
        }
    }
}

/// The last change of each object, in order.
fn latest<'a>(changes: impl Iterator<Item = &'a Change>) -> Vec<Change> {
    let mut latest: BTreeMap<&str, (usize, &Change)> = BTreeMap::new();
    for (n, change) in changes.enumerate() {
        let (Change::Set(StoredObject { name, .. }) | Change::Deleted(name)) = change;
        latest.insert(name, (n, change));
    }
    let mut latest: Vec<(usize, &Change)> = latest.into_values().collect();
    latest.sort_unstable_by_key(|(n, _)| *n);
    latest
        .into_iter()
        .map(|(_, change)| change.clone())
        .collect()
}

impl KindCopy {
    fn apply(&mut self, changes: Vec<Change>, revision: Version) {
        // A list that began before the last change has nothing to add to it.
        if revision < self.revision {
            return;
        }
        self.revision = revision;
        if changes.is_empty() {
            return;
        }
        for change in &changes {
            match change {
                Change::Set(object) => {
                    self.objects.insert(object.name.clone(), object.clone());
                }
                Change::Deleted(name) => {
                    self.objects.remove(name);
                }
            }
        }
        self.batches.push_back((revision, changes));
        while self.batches.len() > MAX_BATCHES {
            if let Some((at, _)) = self.batches.pop_front() {
                self.since = at;
            }
        }
    }
}
