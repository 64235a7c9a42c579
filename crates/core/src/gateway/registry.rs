//! The upstreams that requests may go to, as the platform's registry lists them.
//!
//! An entry that disappears while the registry can be read names an upstream that has left.
//! During an outage of the registry's store, entries lapse although their upstreams live; they
//! come back soon after the store does, so upstreams whose entries lapsed then stay usable for
//! [`LAPSE_GRACE`] after the store's return.
//!
//! An upstream that crashed stays listed for some seconds. If another one has its address
//! meanwhile, the newer entry shows it, see [`Registry::is_replaced`].

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::platform::Version;
use crate::types::{DataCentreId, Now, ServiceId};

/// Id of one life of an upstream.
pub type UpstreamId = String;

/// Time after the store's return in which lapsed entries come back; the platform names about two
/// seconds, and an upstream that has left must get nothing new two seconds after the store knows.
pub const LAPSE_GRACE: Duration = Duration::from_millis(1_800);

/// An upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// Id of this life.
    pub id: UpstreamId,
    /// Service that it runs.
    pub service: ServiceId,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Data centre.
    pub data_centre: DataCentreId,
    /// Requests that it runs at once.
    pub slots: u32,
    /// It is leaving and takes nothing new.
    pub leaving: bool,
    /// How much longer it is slow after its start, as of the entry.
    pub warm_up: Duration,
    /// Revision of the entry.
    pub version: Version,
}

/// What a change did to the registry, for logs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A new upstream.
    Joined(UpstreamId),
    /// An upstream announced that it is leaving.
    Leaving(UpstreamId),
    /// The entry disappeared during an outage; the upstream stays usable for a while.
    Lapsed(UpstreamId),
    /// A lapsed entry came back.
    Returned(UpstreamId),
    /// An upstream is gone.
    Gone(UpstreamId),
}

#[derive(Clone, Debug)]
struct Listed {
    upstream: Upstream,
    lapsed: bool,
}

/// Upstreams by id.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    listed: BTreeMap<UpstreamId, Listed>,
    /// The newest upstream at each address that is not leaving.
    newest: BTreeMap<SocketAddr, (Version, UpstreamId)>,
    /// The store failed, and has been back for less than the grace.
    outage: Outage,
    /// Whether a whole list was read in this life.
    complete: bool,
    /// Revision of the last change that is known.
    revision: Version,
    /// When the store last answered.
    last_answer_at: Now,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Outage {
    #[default]
    None,
    Down,
    Until(Now),
}

impl Registry {
    /// Whether a whole list was taken.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// When the store last answered.
    #[must_use]
    pub fn last_answer_at(&self) -> Now {
        self.last_answer_at
    }

    /// Whether the store answered last, as far as is known.
    #[must_use]
    pub fn store_answers(&self) -> bool {
        self.outage != Outage::Down
    }

    /// Notes that the store failed; lapses are not believed until it has been back for a while.
    pub fn store_failed(&mut self) {
        self.outage = Outage::Down;
    }

    /// Notes that the store answered.
    pub fn store_answered(&mut self, now: Now) {
        self.last_answer_at = now;
        if self.outage == Outage::Down {
            self.outage = Outage::Until(now + LAPSE_GRACE);
        }
    }

    /// Revision of the last change that is known; 0 without a list.
    #[must_use]
    pub fn revision(&self) -> Version {
        self.revision
    }

    /// Takes a whole list whose last change has a revision. The revision of a list tells nothing
    /// of deletions before it, so it is that of its newest entry.
    pub fn replace(&mut self, now: Now, list: Vec<Upstream>, revision: Version) -> Vec<Change> {
        self.complete = true;
        self.revision = self.revision.max(revision);
        let mut changes = Vec::new();
        let new: BTreeMap<UpstreamId, Upstream> =
            list.into_iter().map(|u| (u.id.clone(), u)).collect();
        let missing: Vec<UpstreamId> = self
            .listed
            .keys()
            .filter(|id| !new.contains_key(*id))
            .cloned()
            .collect();
        for id in missing {
            changes.extend(self.remove(now, &id, revision));
        }
        for upstream in new.into_values() {
            changes.extend(self.set(upstream));
        }
        changes
    }

    /// Takes a new or changed entry.
    pub fn set(&mut self, upstream: Upstream) -> Option<Change> {
        let id = upstream.id.clone();
        self.revision = self.revision.max(upstream.version);
        if self
            .listed
            .get(&id)
            .is_some_and(|l| l.upstream.version > upstream.version)
        {
            return None;
        }
        let leaving = upstream.leaving;
        let address = upstream.address;
        let lapsed = false;
        let before = self.listed.insert(id.clone(), Listed { upstream, lapsed });
        self.find_newest(address);
        if let Some(before) = before.as_ref().filter(|b| b.upstream.address != address) {
            self.find_newest(before.upstream.address);
        }
        match before {
            None if leaving => Some(Change::Leaving(id)),
            None => Some(Change::Joined(id)),
            Some(before) if leaving && !before.upstream.leaving => Some(Change::Leaving(id)),
            Some(before) if before.lapsed => Some(Change::Returned(id)),
            Some(_) => None,
        }
    }

    /// Takes the disappearance of an entry by a revision.
    pub fn remove(&mut self, now: Now, id: &str, revision: Version) -> Option<Change> {
        self.revision = self.revision.max(revision);
        let listed = self.listed.get_mut(id)?;
        let in_doubt = match self.outage {
            Outage::None => false,
            Outage::Down => true,
            Outage::Until(at) => now < at,
        };
        if in_doubt && !listed.upstream.leaving {
            if listed.lapsed {
                return None;
            }
            listed.lapsed = true;
            return Some(Change::Lapsed(id.to_owned()));
        }
        let address = listed.upstream.address;
        self.listed.remove(id);
        self.find_newest(address);
        Some(Change::Gone(id.to_owned()))
    }

    fn find_newest(&mut self, address: SocketAddr) {
        let there = self.listed.values().map(|l| &l.upstream);
        let newest = there
            .filter(|u| u.address == address && !u.leaving)
            .max_by_key(|u| u.version);
        match newest {
            Some(u) => self.newest.insert(address, (u.version, u.id.clone())),
            None => self.newest.remove(&address),
        };
    }

    /// Whether a newer upstream has the address of this one, which has crashed then, though its
    /// entry is still there.
    #[must_use]
    pub fn is_replaced(&self, upstream: &Upstream) -> bool {
        let newest = self.newest.get(&upstream.address);
        newest.is_some_and(|(version, id)| *version > upstream.version && *id != upstream.id)
    }

    /// Drops the lapsed entries that did not come back in time.
    pub fn expire(&mut self, now: Now) -> Vec<Change> {
        let Outage::Until(at) = self.outage else {
            return Vec::new();
        };
        if now < at {
            return Vec::new();
        }
        self.outage = Outage::None;
        let lapsed = self.listed.values().filter(|l| l.lapsed);
        let gone: Vec<Upstream> = lapsed.map(|l| l.upstream.clone()).collect();
        self.listed.retain(|_, l| !l.lapsed);
        for upstream in &gone {
            self.find_newest(upstream.address);
        }
        gone.into_iter().map(|u| Change::Gone(u.id)).collect()
    }

    /// An upstream that may be used or is leaving.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Upstream> {
        self.listed.get(id).map(|l| &l.upstream)
    }

    /// All upstreams, the leaving ones included.
    pub fn all(&self) -> impl Iterator<Item = &Upstream> {
        self.listed.values().map(|l| &l.upstream)
    }

    /// Upstreams of a service that take new requests.
    pub fn usable<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Upstream> {
        self.all()
            .filter(move |u| !u.leaving && u.service == service)
    }
}
