//! Watching the platform's head, on the two entry hosts of a data centre whose turn it is.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::config::{HEAD_KEY, ShardHash, shard_key};
use crate::fleet::platform_policy::{PlatformLimits, PlatformPolicy};
use crate::platform::{Call, CallId, Reply, Version};
use crate::types::Now;

/// Time after which a call without any reply is given up. Watches are shorter.
const CALL_LIMIT: Duration = Duration::from_secs(90);
/// Shards read at once.
const MAX_READS: usize = 8;

#[derive(Clone, Debug)]
enum Open {
    Head(Now),
    Shard(ShardHash, Now),
}

/// What a watcher wants done.
#[derive(Clone, Debug)]
pub enum WatchStep {
    /// Make a call.
    Call(CallId, Call),
    /// The head as the platform has it.
    Head(Vec<u8>),
    /// A shard.
    Shard(Vec<u8>),
    /// The breaker opened.
    Unavailable,
    /// The breaker closed again.
    Recovered,
}

/// Watch of the head, with reads of its shards.
#[derive(Clone, Debug)]
pub struct Watch {
    policy: PlatformPolicy,
    version: Option<Version>,
    active: bool,
    open: BTreeMap<CallId, Open>,
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
            open: BTreeMap::new(),
            wanted: VecDeque::new(),
            next_id: 1,
            next_head_at: Now::ZERO,
        }
    }

    /// Takes the turn or gives it up; returns whether that is a change.
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

    /// Reads the head again at the next step.
    pub fn read_again(&mut self) {
        self.version = None;
    }

    /// Reads shards.
    pub fn want(&mut self, hashes: Vec<ShardHash>) {
        for hash in hashes {
            let reading = |o: &Open| matches!(o, Open::Shard(h, _) if *h == hash);
            if !self.wanted.contains(&hash) && !self.open.values().any(reading) {
                self.wanted.push_back(hash);
            }
        }
    }

    /// Makes the calls that are due and permitted.
    pub fn tick(&mut self, now: Now) -> Vec<WatchStep> {
        self.open.retain(|_, o| {
            let (Open::Head(at) | Open::Shard(_, at)) = o;
            now.saturating_sub(*at) < CALL_LIMIT
        });
        let mut steps = Vec::new();
        self.read_shards(now, &mut steps);
        let watching = self.open.values().any(|o| matches!(o, Open::Head(_)));
        if !self.active
            || watching
            || now < self.next_head_at
            || self.policy.try_acquire(now).is_err()
        {
            return steps;
        }
        let key = HEAD_KEY.to_owned();
        let call = match self.version {
            None => Call::Get { key },
            Some(after) => Call::Watch { key, after },
        };
        let id = self.open(Open::Head(now));
        steps.push(WatchStep::Call(id, call));
        steps
    }

    fn read_shards(&mut self, now: Now, steps: &mut Vec<WatchStep>) {
        while self.open.len() < MAX_READS && !self.wanted.is_empty() {
            if self.policy.try_acquire(now).is_err() {
                return;
            }
            let Some(hash) = self.wanted.pop_front() else {
                return;
            };
            let key = shard_key(&hash);
            let id = self.open(Open::Shard(hash, now));
            steps.push(WatchStep::Call(id, Call::Get { key }));
        }
    }

    fn open(&mut self, call: Open) -> CallId {
        let id = self.next_id;
        self.next_id += 1;
        self.open.insert(id, call);
        id
    }

    /// Takes the reply to a call.
    pub fn reply(&mut self, now: Now, id: CallId, reply: Reply) -> Vec<WatchStep> {
        let Some(call) = self.open.remove(&id) else {
            return Vec::new();
        };
        let answered = !matches!(reply, Reply::Unavailable | Reply::Lost);
        let mut steps = Vec::new();
        if self.policy.report(now, answered) {
            steps.push(if answered {
                WatchStep::Recovered
            } else {
                WatchStep::Unavailable
            });
        }
        match (call, reply) {
            (Open::Head(_), Reply::Object { version, value }) => {
                self.version = Some(version);
                steps.push(WatchStep::Head(value));
            }
            (Open::Head(_), Reply::Missing) => self.version = Some(0),
            (Open::Shard(..), Reply::Object { value, .. }) => steps.push(WatchStep::Shard(value)),
            _ => {}
        }
        // An endless row of immediate answers must not become a busy loop.
        self.next_head_at = now + Duration::from_millis(100);
        steps.extend(self.tick(now));
        steps
    }
}
