//! The configuration in force and the one being fetched.
//!
//! A process never applies a configuration with a lower revision than the highest that it has seen
//! in force anywhere, nor different content with the same revision.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crate::config::{Config, Head, ShardHash, join, shard_hash};
use crate::event::{Event, EventKind};
use crate::fleet::message::{Body, MAX_CONFIG_MESSAGE_BYTES, Peer, Sender};
use crate::types::{Now, Revision};

/// Time after which a request that a peer did not answer goes to another peer.
const PEER_TIMEOUT: Duration = Duration::from_millis(800);
/// Time for the platform to return the shards of a head, after which the head is read again.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(5);
/// Limit for the peers remembered as sources of the highest revision.
const MAX_SOURCES: usize = 4;
/// Limit for the refused configurations remembered, so that each is reported once.
const MAX_REFUSED: usize = 64;

/// Source of a configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// A peer that has the configuration in force.
    Peer(Peer),
    /// The platform's object store.
    Platform,
}

/// Action that the machine has to carry out for the replica.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a request to a peer.
    Request(Peer, Body),
    /// Read shards from the platform.
    ReadShards(Vec<ShardHash>),
    /// Put the configuration into force.
    Apply(Arc<Config>),
    /// Read the platform's head again.
    ReadHead,
    /// Record an event.
    Event(Event),
}

#[derive(Clone, Debug)]
struct Pending {
    identity: (Revision, u64),
    head: Option<(Head, Vec<u8>)>,
    source: Source,
    requested_at: Now,
}

#[derive(Clone, Debug)]
struct InForce {
    identity: (Revision, u64),
    head: Vec<u8>,
    config: Arc<Config>,
}

/// Replica of the configuration in one process.
#[derive(Clone, Debug, Default)]
pub struct ConfigReplica {
    in_force: Option<InForce>,
    /// Highest revision seen in force anywhere, with its digest; zeros if none.
    highest_seen: (Revision, u64),
    shards: BTreeMap<ShardHash, Vec<u8>>,
    pending: Option<Pending>,
    sources: Vec<Peer>,
    refused: BTreeSet<(Revision, u64)>,
    may_apply: bool,
}

impl ConfigReplica {
    /// Revision and digest of the configuration in force; zeros if none.
    pub fn identity(&self) -> (Revision, u64) {
        self.in_force.as_ref().map_or((0, 0), |c| c.identity)
    }

    /// Highest revision seen in force anywhere.
    pub fn highest_seen(&self) -> Revision {
        self.highest_seen.0
    }

    /// The configuration in force.
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.in_force.as_ref().map(|c| &c.config)
    }

    /// Allows configurations to come into force. Until then a starting process only collects them,
    /// since a peer may have a higher revision than the first source that answers.
    pub fn allow_apply(&mut self, now: Now) -> Vec<Action> {
        if self.may_apply {
            return Vec::new();
        }
        self.may_apply = true;
        self.advance(now)
    }

    /// Processes the revision that a peer has in force, and requests it unless it is older than the
    /// highest seen or in force here.
    pub fn observe(&mut self, now: Now, sender: &Sender) -> Vec<Action> {
        let theirs = (sender.revision, sender.digest);
        if theirs.0 == 0 || theirs.0 < self.highest_seen.0 || theirs == self.identity() {
            return Vec::new();
        }
        if theirs.0 == self.highest_seen.0 && theirs.1 != self.highest_seen.1 {
            let from = format!("host {}", sender.host);
            return self.refuse_conflicting(theirs, &from);
        }
        let peer = Peer {
            host: sender.host.clone(),
            address: sender.address.clone(),
        };
        if theirs.0 > self.highest_seen.0 {
            self.highest_seen = theirs;
            self.sources.clear();
        }
        self.add_source(peer.clone());
        if self.pending.as_ref().is_some_and(|p| p.identity == theirs) {
            return Vec::new();
        }
        self.pending = Some(Pending {
            identity: theirs,
            head: None,
            source: Source::Peer(peer.clone()),
            requested_at: now,
        });
        vec![Action::Request(peer, Body::AskHead)]
    }

    fn add_source(&mut self, peer: Peer) {
        self.sources.retain(|p| *p != peer);
        self.sources.insert(0, peer);
        self.sources.truncate(MAX_SOURCES);
    }

    /// Processes a head from the platform or a peer.
    pub fn receive_head(&mut self, now: Now, bytes: &[u8], source: Source) -> Vec<Action> {
        let head = match Head::from_bytes(bytes) {
            Ok(head) => head,
            Err(error) => {
                let event = Event::new(EventKind::ConfigRefused, error.to_string());
                return vec![Action::Event(event)];
            }
        };
        let theirs = (head.revision, head.digest());
        if theirs == self.identity() || self.refused.contains(&theirs) {
            return Vec::new();
        }
        let older = theirs.0 < self.highest_seen.0;
        let other = theirs.0 == self.highest_seen.0 && theirs.1 != self.highest_seen.1;
        if older || other {
            // A peer may be behind, but the platform's head must never go back.
            return match source {
                Source::Platform => self.refuse_conflicting(theirs, "the platform"),
                Source::Peer(_) => Vec::new(),
            };
        }
        let pending = self.pending.as_ref();
        if pending.is_some_and(|p| p.head.is_some() && p.identity.0 >= theirs.0) {
            return Vec::new();
        }
        self.pending = Some(Pending {
            identity: theirs,
            head: Some((head, bytes.to_vec())),
            source,
            requested_at: now,
        });
        self.advance(now)
    }

    fn refuse_conflicting(&mut self, theirs: (Revision, u64), from: &str) -> Vec<Action> {
        if self.refused.len() >= MAX_REFUSED {
            self.refused.pop_first();
        }
        if !self.refused.insert(theirs) {
            return Vec::new();
        }
        let detail = format!(
            "{from} has revision {} with digest {:016x}, but revision {} with digest {:016x} was in force; publish again above it",
            theirs.0, theirs.1, self.highest_seen.0, self.highest_seen.1
        );
        vec![Action::Event(Event::new(
            EventKind::ConfigHeadWentBack,
            detail,
        ))]
    }

    /// Stores shards of the pending head from any source: a shard is identified by its hash.
    pub fn receive_shards(&mut self, now: Now, shards: Vec<Vec<u8>>) -> Vec<Action> {
        let Some(pending) = &mut self.pending else {
            return Vec::new();
        };
        let Some((head, _)) = &pending.head else {
            return Vec::new();
        };
        let mut added = false;
        for content in shards {
            let hash = shard_hash(&content);
            if head.shards.contains(&hash) {
                added |= self.shards.insert(hash, content).is_none();
            }
        }
        if !added {
            return Vec::new();
        }
        pending.requested_at = now;
        self.advance(now)
    }

    fn missing(&self) -> Vec<ShardHash> {
        let head = self.pending.as_ref().and_then(|p| p.head.as_ref());
        let hashes = head.map(|(h, _)| h.shards.as_slice()).unwrap_or_default();
        let lacks = |h: &&ShardHash| !self.shards.contains_key(*h);
        hashes.iter().filter(lacks).cloned().collect()
    }

    fn advance(&mut self, now: Now) -> Vec<Action> {
        let Some(pending) = &mut self.pending else {
            return Vec::new();
        };
        if pending.head.is_none() {
            return Vec::new();
        }
        pending.requested_at = now;
        let source = pending.source.clone();
        let missing = self.missing();
        if missing.is_empty() {
            return if self.may_apply {
                self.finish()
            } else {
                Vec::new()
            };
        }
        match source {
            Source::Peer(peer) => vec![Action::Request(peer, Body::AskShards { hashes: missing })],
            Source::Platform => vec![Action::ReadShards(missing)],
        }
    }

    fn finish(&mut self) -> Vec<Action> {
        let Some(pending) = self.pending.take() else {
            return Vec::new();
        };
        let Some((head, bytes)) = pending.head else {
            return Vec::new();
        };
        // A higher revision may have been seen while this one was being fetched.
        if pending.identity.0 < self.highest_seen.0 {
            return Vec::new();
        }
        if pending.identity.0 == self.highest_seen.0 && pending.identity.1 != self.highest_seen.1 {
            return self.refuse_conflicting(pending.identity, "a source");
        }
        match join(&head, &self.shards) {
            Ok(config) => vec![self.apply(pending.identity, &head, bytes, config)],
            Err(error) => {
                self.refused.insert(pending.identity);
                let detail = format!("revision {} was refused: {error}", head.revision);
                vec![Action::Event(Event::new(EventKind::ConfigRefused, detail))]
            }
        }
    }

    fn apply(
        &mut self,
        identity: (Revision, u64),
        head: &Head,
        bytes: Vec<u8>,
        config: Config,
    ) -> Action {
        let config = Arc::new(config);
        self.highest_seen = identity;
        self.shards.retain(|hash, _| head.shards.contains(hash));
        self.in_force = Some(InForce {
            identity,
            head: bytes,
            config: Arc::clone(&config),
        });
        Action::Apply(config)
    }

    /// Retries requests that timed out, at another source if there is one.
    pub fn tick(&mut self, now: Now) -> Vec<Action> {
        let Some(pending) = self.pending.clone() else {
            return self.request_highest_seen(now);
        };
        let waited = now.saturating_sub(pending.requested_at);
        match &pending.source {
            Source::Platform if waited >= PLATFORM_TIMEOUT => {
                self.pending = None;
                return vec![Action::ReadHead];
            }
            Source::Peer(_) if waited >= PEER_TIMEOUT => {}
            _ => return Vec::new(),
        }
        let shift = usize::from(self.sources.len() > 1);
        self.sources.rotate_left(shift);
        let Some(peer) = self.sources.first().cloned() else {
            self.pending = None;
            return Vec::new();
        };
        let has_head = pending.head.is_some();
        self.pending = Some(Pending {
            source: Source::Peer(peer.clone()),
            requested_at: now,
            ..pending
        });
        if has_head {
            return self.advance(now);
        }
        vec![Action::Request(peer, Body::AskHead)]
    }

    /// Requests the highest revision seen if it is not in force yet.
    fn request_highest_seen(&mut self, now: Now) -> Vec<Action> {
        if self.highest_seen == self.identity() || self.refused.contains(&self.highest_seen) {
            return Vec::new();
        }
        let Some(peer) = self.sources.first().cloned() else {
            return Vec::new();
        };
        self.pending = Some(Pending {
            identity: self.highest_seen,
            head: None,
            source: Source::Peer(peer.clone()),
            requested_at: now,
        });
        vec![Action::Request(peer, Body::AskHead)]
    }

    /// Answers a peer's request from the configuration in force.
    pub fn serve(&self, request: &Body) -> Option<Body> {
        let in_force = self.in_force.as_ref()?;
        match request {
            Body::AskHead => Some(Body::Head {
                head: in_force.head.clone(),
            }),
            Body::AskShards { hashes } => Some(Body::Shards {
                shards: self.shards_for_message(hashes),
            }),
            _ => None,
        }
    }

    fn shards_for_message(&self, hashes: &[ShardHash]) -> Vec<Vec<u8>> {
        let mut shards: Vec<Vec<u8>> = Vec::new();
        let mut bytes = 0;
        for content in hashes.iter().filter_map(|h| self.shards.get(h)) {
            if !shards.is_empty() && bytes + content.len() > MAX_CONFIG_MESSAGE_BYTES {
                break;
            }
            bytes += content.len();
            shards.push(content.clone());
        }
        shards
    }
}
