//! Upstreams that requests may be sent to, as listed by the platform's registry.
//!
//! An entry that disappears while the registry can be read belongs to an upstream that has left.
//! During an outage of the registry's store, entries lapse although their upstreams are alive, and
//! they reappear soon after the store does. Upstreams whose entries lapsed then stay usable for
//! [`LAPSE_GRACE`] after the store's recovery, but not beyond the time after a fault in which a host
//! has to be up to date again, see [`lapse_limit`]: the host may learn of the recovery late, and the
//! fault may have been one of its own path to the store.
//!
//! Hosts copy the registry from one another. The revision of the last change does not tell which of two
//! registries is newer: a list from the store shows no deletions, and the revision of its newest entry
//! may be far behind. Each registry therefore has the revision up to which it holds all changes, see
//! [`Registry::as_of`].
//!
//! A store that is restored from a copy lists some upstreams again that have left, and misses others
//! until they have registered again. The former are taken for leaving for [`PRESUMED_TIME`], and the
//! latter lapse as in an outage.
//!
//! A crashed upstream stays listed for some seconds. If another one uses its address meanwhile, the
//! newer entry reveals the crash, see [`Registry::is_replaced`].

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::platform::{Version, era};
use crate::types::{DataCentreId, Now, ServiceId};

/// Id of one incarnation of an upstream.
pub type UpstreamId = String;

/// Start of an incarnation, in milliseconds of Unix time.
pub type Born = u64;

/// Time after the store's recovery in which lapsed entries reappear. The platform specifies about
/// two seconds, and an upstream that has left must get no new requests two seconds after the store
/// knows.
pub const LAPSE_GRACE: Duration = Duration::from_millis(1_800);

/// Interval of the calls of [`Registry::expire`].
pub const EXPIRY_INTERVAL: Duration = Duration::from_millis(250);

/// Time after a restore of the store in which entries of upstreams that had left before are written
/// again, or expire.
pub const PRESUMED_TIME: Duration = Duration::from_secs(10);

/// Upstreams that have left whose ids are kept; those of the oldest entries are dropped.
const MAX_DEPARTED: usize = 4_096;

/// When the grace period ends at the latest, if the fault of the store or of the path to it may have
/// ended as early as `fault_ended_after`. No lapsed entry is usable `settle_time` after its end.
#[must_use]
pub fn lapse_limit(fault_ended_after: Now, settle_time: Duration) -> Now {
    (fault_ended_after + settle_time).saturating_sub(EXPIRY_INTERVAL)
}

/// Registry entry of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// Id of this incarnation.
    pub id: UpstreamId,
    /// Service whose requests it runs.
    pub service: ServiceId,
    /// Address that accepts requests.
    pub address: SocketAddr,
    /// Data centre that it runs in.
    pub data_centre: DataCentreId,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is leaving and accepts no new requests.
    pub leaving: bool,
    /// When it started, if it says so; tells incarnations with the same id apart.
    pub born: Option<Born>,
    /// Remaining time as of the entry for which it is cold; `None` if the entry does not report it.
    #[serde(with = "warm_up")]
    pub warm_up: Option<Duration>,
    /// Store revision of the entry.
    pub version: Version,
}

/// Format of [`Upstream::warm_up`] between hosts. It is a plain duration, as earlier versions expect, with
/// the longest one for a time that is not reported.
mod warm_up {
    use std::time::Duration;

    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    #[allow(clippy::ref_option, reason = "the signature is serde's")]
    pub(super) fn serialize<S: Serializer>(
        time: &Option<Duration>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        time.unwrap_or(Duration::MAX).serialize(serializer)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Option<Duration>, D::Error> {
        let time = Duration::deserialize(deserializer)?;
        Ok((time != Duration::MAX).then_some(time))
    }
}

/// Effect of a registry change, for logs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A new upstream was listed.
    Joined(UpstreamId),
    /// An upstream announced that it is leaving.
    Leaving(UpstreamId),
    /// The entry disappeared during an outage; the upstream stays usable until the grace period
    /// ends.
    Lapsed(UpstreamId),
    /// A lapsed entry reappeared.
    Returned(UpstreamId),
    /// An upstream was removed.
    Gone(UpstreamId),
}

/// The registry of a host, for another one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RegistryCopy {
    /// Entries that the host knows to exist.
    pub upstreams: Vec<Upstream>,
    /// Revision of the last known change.
    pub revision: Version,
    /// Revision up to which all changes are included.
    pub as_of: Version,
    /// Whether the store answers the host, so that no entry is missing because of an outage.
    pub is_certain: bool,
}

#[derive(Clone, Debug)]
struct Entry {
    upstream: Upstream,
    lapsed: bool,
    /// It is taken for leaving, though its entry does not say so.
    presumed: bool,
}

/// Known upstreams by id, with the state of the registry's store.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    entries: BTreeMap<UpstreamId, Entry>,
    /// The newest upstream at each address, without leaving ones.
    newest: BTreeMap<SocketAddr, (Version, UpstreamId)>,
    /// Whether the store is unavailable, or recovered less than the grace period ago.
    outage: Outage,
    /// Whether a complete list was read in this incarnation of the process.
    complete: bool,
    /// Revision of the last known change.
    revision: Version,
    /// Revision up to which all changes are included.
    as_of: Version,
    /// When the store last answered.
    last_answer_at: Now,
    /// Upstreams that leave or have left, with their starts and the versions of their last entries.
    departed: BTreeMap<UpstreamId, (Option<Born>, Version)>,
    /// Until when an entry may be one of an upstream that left before the store was restored.
    presumed_until: Now,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Outage {
    #[default]
    None,
    /// The last call failed; the grace period ends at this time at the latest.
    Down(Option<Now>),
    /// The grace period ends at this time.
    Recovering(Now),
}

impl Registry {
    /// Whether a complete list has been read.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// When the store last answered.
    #[must_use]
    pub fn last_answer_at(&self) -> Now {
        self.last_answer_at
    }

    /// Whether the most recent call to the store succeeded; true before the first call.
    #[must_use]
    pub fn store_answers(&self) -> bool {
        !matches!(self.outage, Outage::Down(_))
    }

    /// Records a failed call to the store. Disappearing entries count as lapsed until the grace
    /// period after its recovery, which ends at `limit` at the latest, see [`lapse_limit`]. There is no
    /// limit if other hosts failed to answer for the store.
    pub fn store_failed(&mut self, limit: Option<Now>) {
        self.outage = Outage::Down(limit);
    }

    /// Records a successful call to the store.
    pub fn store_answered(&mut self, now: Now) {
        self.last_answer_at = now;
        if let Outage::Down(limit) = self.outage {
            let end = now + LAPSE_GRACE;
            self.outage = Outage::Recovering(limit.map_or(end, |limit| end.min(limit)));
        }
    }

    /// Records that another host answered for the store. It may have recovered well after the last
    /// failed call, so no limit from that call counts.
    pub fn host_answered(&mut self, now: Now) {
        if let Outage::Down(limit) = &mut self.outage {
            *limit = None;
        }
        self.store_answered(now);
    }

    /// Revision of the last known change; 0 before the first list.
    #[must_use]
    pub fn revision(&self) -> Version {
        self.revision
    }

    /// Revision up to which all changes are included; 0 before the first list.
    #[must_use]
    pub fn as_of(&self) -> Version {
        self.as_of
    }

    /// Records that all changes up to a revision are included. Returns whether it is the first one
    /// since the store was restored from a copy.
    pub fn set_as_of(&mut self, now: Now, revision: Version) -> bool {
        let is_restored = self.complete && era(revision) > era(self.as_of);
        if is_restored {
            self.presumed_until = now + PRESUMED_TIME;
            self.outage = Outage::Recovering(now + LAPSE_GRACE);
        }
        self.as_of = self.as_of.max(revision);
        is_restored
    }

    /// A copy for another host; `None` before the first list.
    #[must_use]
    pub fn copy(&self) -> Option<RegistryCopy> {
        let present = self.entries.values().filter(|l| !l.lapsed);
        self.complete.then(|| RegistryCopy {
            upstreams: present.map(|l| l.upstream.clone()).collect(),
            revision: self.revision,
            as_of: self.as_of,
            is_certain: self.outage == Outage::None,
        })
    }

    /// Replaces all entries by the copy of another host, unless the own ones are as new.
    pub fn apply_copy(&mut self, now: Now, copy: RegistryCopy) -> Vec<Change> {
        if copy.as_of <= self.as_of {
            return Vec::new();
        }
        let is_restored = self.set_as_of(now, copy.as_of);
        let own_outage = self.outage;
        if copy.is_certain && !is_restored {
            self.outage = Outage::None;
        }
        let changes = self.replace(now, copy.upstreams, copy.revision);
        self.outage = own_outage;
        changes
    }

    /// Replaces all entries by a complete list. The revision of a list says nothing about deletions
    /// before it, so `revision` is that of the newest entry.
    pub fn replace(&mut self, now: Now, list: Vec<Upstream>, revision: Version) -> Vec<Change> {
        self.complete = true;
        self.revision = self.revision.max(revision);
        let mut changes = Vec::new();
        let new: BTreeMap<UpstreamId, Upstream> =
            list.into_iter().map(|u| (u.id.clone(), u)).collect();
        let missing: Vec<UpstreamId> = self
            .entries
            .keys()
            .filter(|id| !new.contains_key(*id))
            .cloned()
            .collect();
        for id in missing {
            changes.extend(self.remove(now, &id, revision));
        }
        for upstream in new.into_values() {
            let presumed = now < self.presumed_until && self.had_departed(&upstream);
            changes.extend(self.insert(upstream, presumed));
        }
        changes
    }

    /// Whether the store lists an upstream that had left before the store was restored.
    fn had_departed(&self, upstream: &Upstream) -> bool {
        let departed = self.departed.get(&upstream.id);
        let is_older = |(born, version): &(Option<Born>, Version)| {
            *born == upstream.born && era(*version) < era(upstream.version)
        };
        !upstream.leaving && departed.is_some_and(is_older)
    }

    fn record_departure(&mut self, upstream: &Upstream) {
        let departure = (upstream.born, upstream.version);
        self.departed.insert(upstream.id.clone(), departure);
        if self.departed.len() > MAX_DEPARTED {
            let oldest = self
                .departed
                .iter()
                .min_by_key(|(_, (_, version))| *version);
            if let Some(id) = oldest.map(|(id, _)| id.clone()) {
                self.departed.remove(&id);
            }
        }
    }

    /// Adds or updates an entry. An entry older than the known one is ignored.
    pub fn set(&mut self, upstream: Upstream) -> Option<Change> {
        self.insert(upstream, false)
    }

    /// Adds or updates an entry; `presumed` takes its upstream for leaving.
    fn insert(&mut self, mut upstream: Upstream, presumed: bool) -> Option<Change> {
        let id = upstream.id.clone();
        self.revision = self.revision.max(upstream.version);
        if self
            .entries
            .get(&id)
            .is_some_and(|l| l.upstream.version > upstream.version)
        {
            return None;
        }
        if upstream.leaving {
            self.record_departure(&upstream);
        } else if !presumed {
            self.departed.remove(&id);
        }
        upstream.leaving |= presumed;
        let leaving = upstream.leaving;
        let address = upstream.address;
        let entry = Entry {
            upstream,
            lapsed: false,
            presumed,
        };
        let before = self.entries.insert(id.clone(), entry);
        self.update_newest(address);
        if let Some(before) = before.as_ref().filter(|b| b.upstream.address != address) {
            self.update_newest(before.upstream.address);
        }
        match before {
            None if leaving => Some(Change::Leaving(id)),
            None => Some(Change::Joined(id)),
            Some(before) if leaving && !before.upstream.leaving => Some(Change::Leaving(id)),
            Some(before) if before.lapsed => Some(Change::Returned(id)),
            Some(_) => None,
        }
    }

    /// Processes the disappearance of an entry at the given revision.
    pub fn remove(&mut self, now: Now, id: &str, revision: Version) -> Option<Change> {
        self.revision = self.revision.max(revision);
        let entry = self.entries.get_mut(id)?;
        let in_doubt = match self.outage {
            Outage::None => false,
            Outage::Down(_) => true,
            Outage::Recovering(at) => now < at,
        };
        if in_doubt && !entry.upstream.leaving {
            if entry.lapsed {
                return None;
            }
            entry.lapsed = true;
            return Some(Change::Lapsed(id.to_owned()));
        }
        let upstream = entry.upstream.clone();
        self.entries.remove(id);
        self.record_departure(&upstream);
        self.update_newest(upstream.address);
        Some(Change::Gone(id.to_owned()))
    }

    fn update_newest(&mut self, address: SocketAddr) {
        let upstreams = self.entries.values().map(|l| &l.upstream);
        let newest = upstreams
            .filter(|u| u.address == address && !u.leaving)
            .max_by_key(|u| u.version);
        match newest {
            Some(u) => self.newest.insert(address, (u.version, u.id.clone())),
            None => self.newest.remove(&address),
        };
    }

    /// The newest upstream at an address that is not leaving.
    #[must_use]
    pub fn newest_at(&self, address: SocketAddr) -> Option<&Upstream> {
        self.newest.get(&address).and_then(|(_, id)| self.get(id))
    }

    /// Whether a newer upstream has the same address, which means that this one has crashed
    /// although its entry is still listed.
    #[must_use]
    pub fn is_replaced(&self, upstream: &Upstream) -> bool {
        let newest = self.newest.get(&upstream.address);
        newest.is_some_and(|(version, id)| *version > upstream.version && *id != upstream.id)
    }

    /// Removes lapsed entries that did not reappear within the grace period, and takes no upstream for
    /// leaving any more that is still listed.
    pub fn expire(&mut self, now: Now) -> Vec<Change> {
        let mut changes = Vec::new();
        if now >= self.presumed_until {
            changes.extend(self.end_presumption());
        }
        changes.extend(self.expire_lapsed(now));
        changes
    }

    fn end_presumption(&mut self) -> Vec<Change> {
        let presumed = self.entries.values_mut().filter(|e| e.presumed);
        let mut upstreams = Vec::new();
        for entry in presumed {
            entry.presumed = false;
            entry.upstream.leaving = false;
            upstreams.push(entry.upstream.clone());
        }
        for upstream in &upstreams {
            self.departed.remove(&upstream.id);
            self.update_newest(upstream.address);
        }
        let ids = upstreams.into_iter().map(|u| u.id);
        ids.map(Change::Returned).collect()
    }

    fn expire_lapsed(&mut self, now: Now) -> Vec<Change> {
        let Outage::Recovering(at) = self.outage else {
            return Vec::new();
        };
        if now < at {
            return Vec::new();
        }
        self.outage = Outage::None;
        let lapsed = self.entries.values().filter(|l| l.lapsed);
        let gone: Vec<Upstream> = lapsed.map(|l| l.upstream.clone()).collect();
        self.entries.retain(|_, l| !l.lapsed);
        for upstream in &gone {
            self.record_departure(upstream);
            self.update_newest(upstream.address);
        }
        gone.into_iter().map(|u| Change::Gone(u.id)).collect()
    }

    /// Looks an upstream up; leaving and lapsed ones are included.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Upstream> {
        self.entries.get(id).map(|l| &l.upstream)
    }

    /// Whether the entry of an upstream disappeared during an outage, and it is still usable.
    #[must_use]
    pub fn is_lapsed(&self, id: &str) -> bool {
        self.entries.get(id).is_some_and(|l| l.lapsed)
    }

    /// All known upstreams, including leaving ones.
    pub fn all(&self) -> impl Iterator<Item = &Upstream> {
        self.entries.values().map(|l| &l.upstream)
    }

    /// Upstreams of a service that accept new requests.
    pub fn usable<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Upstream> {
        self.all()
            .filter(move |u| !u.leaving && u.service == service)
    }
}
