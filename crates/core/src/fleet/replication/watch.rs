//! Watch of the configuration head in the platform, by two entry hosts of each data centre.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::config::{HEAD_KEY, ShardHash, shard_key};
use crate::fleet::platform_policy::{PlatformLimits, PlatformPolicy};
use crate::platform::{Call, CallId, Reply, Version};
use crate::types::Now;

/// Time after which a call without a reply is abandoned. It exceeds the duration of a watch.
const CALL_TIMEOUT: Duration = Duration::from_secs(90);
/// Concurrent calls up to which further shards are read.
const MAX_CONCURRENT_CALLS: usize = 8;

#[derive(Clone, Debug)]
enum PendingCall {
    Head(Now),
    Shard(ShardHash, Now),
}

/// Action or result of the watch.
#[derive(Clone, Debug)]
pub enum WatchAction {
    /// Call the platform.
    Call(CallId, Call),
    /// The current head was read.
    Head(Vec<u8>),
    /// A shard was read.
    Shard(Vec<u8>),
    /// The circuit breaker opened.
    Unavailable,
    /// The circuit breaker closed again.
    Recovered,
}

/// Watch of the head, with reads of its shards.
#[derive(Clone, Debug)]
pub struct Watch {
    policy: PlatformPolicy,
    /// Version of the head after which changes are watched; `None` if the head must be read first.
    version: Option<Version>,
    active: bool,
    pending: BTreeMap<CallId, PendingCall>,
    wanted: VecDeque<ShardHash>,
    next_id: CallId,
    next_head_at: Now,
}

impl Watch {
    /// A watch that is not active.
    pub fn new(seed: u64) -> Self {
        Self {
            policy: PlatformPolicy::new(PlatformLimits::default(), seed),
            version: None,
            active: false,
            pending: BTreeMap::new(),
            wanted: VecDeque::new(),
            next_id: 1,
            next_head_at: Now::ZERO,
        }
    }

    /// Starts or stops watching. Returns whether that is a change.
    pub fn set_active(&mut self, active: bool) -> bool {
        if self.active == active {
            return false;
        }
        self.active = active;
        if active {
            self.version = None;
        }
        true
    }

    /// Reads the head again at the next tick instead of waiting for a change.
    pub fn read_again(&mut self) {
        self.version = None;
    }

    /// Queues shards to read, unless they are queued or being read already.
    pub fn queue_shards(&mut self, hashes: Vec<ShardHash>) {
        for hash in hashes {
            let reading = |o: &PendingCall| matches!(o, PendingCall::Shard(h, _) if *h == hash);
            if !self.wanted.contains(&hash) && !self.pending.values().any(reading) {
                self.wanted.push_back(hash);
            }
        }
    }

    /// Starts the calls that are due and permitted by the rate limit.
    pub fn tick(&mut self, now: Now) -> Vec<WatchAction> {
        self.pending.retain(|_, o| {
            let (PendingCall::Head(at) | PendingCall::Shard(_, at)) = o;
            now.saturating_sub(*at) < CALL_TIMEOUT
        });
        let mut actions = Vec::new();
        self.read_shards(now, &mut actions);
        let watching = self
            .pending
            .values()
            .any(|o| matches!(o, PendingCall::Head(_)));
        if !self.active
            || watching
            || now < self.next_head_at
            || self.policy.try_acquire(now).is_err()
        {
            return actions;
        }
        let key = HEAD_KEY.to_owned();
        let call = match self.version {
            None => Call::Get { key },
            Some(after) => Call::Watch { key, after },
        };
        let id = self.register(PendingCall::Head(now));
        actions.push(WatchAction::Call(id, call));
        actions
    }

    fn read_shards(&mut self, now: Now, actions: &mut Vec<WatchAction>) {
        while self.pending.len() < MAX_CONCURRENT_CALLS && !self.wanted.is_empty() {
            if self.policy.try_acquire(now).is_err() {
                return;
            }
            let Some(hash) = self.wanted.pop_front() else {
                return;
            };
            let key = shard_key(&hash);
            let id = self.register(PendingCall::Shard(hash, now));
            actions.push(WatchAction::Call(id, Call::Get { key }));
        }
    }

    fn register(&mut self, call: PendingCall) -> CallId {
        let id = self.next_id;
        self.next_id += 1;
        self.pending.insert(id, call);
        id
    }

    /// Processes the reply to a call.
    pub fn reply(&mut self, now: Now, id: CallId, reply: Reply) -> Vec<WatchAction> {
        let Some(call) = self.pending.remove(&id) else {
            return Vec::new();
        };
        let answered = !matches!(reply, Reply::Unavailable | Reply::Lost);
        let mut actions = Vec::new();
        if self.policy.report(now, answered) {
            actions.push(if answered {
                WatchAction::Recovered
            } else {
                WatchAction::Unavailable
            });
        }
        match (call, reply) {
            (PendingCall::Head(_), Reply::Object { version, value }) => {
                self.version = Some(version);
                actions.push(WatchAction::Head(value));
            }
            (PendingCall::Head(_), Reply::Missing) => self.version = Some(0),
            (PendingCall::Shard(..), Reply::Object { value, .. }) => {
                actions.push(WatchAction::Shard(value));
            }
            _ => {}
        }
        // Watches that are answered at once must not become a busy loop.
        self.next_head_at = now + Duration::from_millis(100);
        actions.extend(self.tick(now));
        actions
    }
}
