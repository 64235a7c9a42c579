//! A small platform in memory, with outages, stale reads and lost answers.

use std::collections::BTreeMap;
use std::time::Duration;

use eelgrasshold_core::platform::{Call, CallId, Condition, Reply, Version};
use eelgrasshold_core::types::Now;

/// Longest wait of a watch.
const WATCH_TIMEOUT: Duration = Duration::from_secs(30);

/// How the platform behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlatformState {
    /// It answers in milliseconds.
    Healthy,
    /// It refuses calls.
    Down,
    /// It answers after seconds.
    Slow,
    /// Reads may give an older version.
    Stale,
    /// Every other answer is lost.
    Lossy,
}

/// A watch that waits.
#[derive(Clone, Debug)]
pub struct PendingWatch {
    /// Who waits: node, life and call.
    pub caller: (usize, u64, CallId),
    key: String,
    after: Version,
    until: Now,
}

/// The platform.
pub struct Platform {
    pub state: PlatformState,
    objects: BTreeMap<String, (Version, Vec<u8>)>,
    history: BTreeMap<String, Vec<(Version, Vec<u8>)>>,
    version: Version,
    waiting: Vec<PendingWatch>,
    /// Calls so far; a waiting watch counts as one.
    pub calls: u64,
}

impl Platform {
    pub fn new() -> Self {
        Self {
            state: PlatformState::Healthy,
            objects: BTreeMap::new(),
            history: BTreeMap::new(),
            version: 0,
            waiting: Vec::new(),
            calls: 0,
        }
    }

    /// Value of an object as it is.
    pub fn value(&self, key: &str) -> Option<&[u8]> {
        self.objects.get(key).map(|o| o.1.as_slice())
    }

    /// Deletes an object behind everybody's back.
    pub fn delete_directly(&mut self, key: &str) {
        self.version += 1;
        self.objects.remove(key);
    }

    /// Writes an object behind everybody's back.
    pub fn write_directly(&mut self, key: &str, value: Vec<u8>) {
        self.version += 1;
        let object = (self.version, value);
        let history = self.history.entry(key.to_owned()).or_default();
        history.push(object.clone());
        self.objects.insert(key.to_owned(), object);
    }

    /// Earlier value of an object; `pick` chooses which.
    pub fn earlier_value(&self, key: &str, pick: u64) -> Option<Vec<u8>> {
        let history = self.history.get(key)?;
        let (_, value) = history.get(pick as usize % history.len())?;
        Some(value.clone())
    }

    /// Answers a call, or keeps a watch waiting. `dice` is random.
    pub fn call(
        &mut self,
        now: Now,
        caller: (usize, u64, CallId),
        call: Call,
        random: u64,
    ) -> Option<Reply> {
        self.calls += 1;
        if self.state == PlatformState::Down {
            return Some(Reply::Unavailable);
        }
        let lost = self.state == PlatformState::Lossy && random.is_multiple_of(2);
        let reply = match call {
            Call::Get { key } if self.state == PlatformState::Stale && random % 2 == 1 => {
                self.stale(&key, random)
            }
            Call::Get { key } => self.get(&key),
            Call::Put {
                key,
                value,
                condition,
            } => self.put(&key, value, condition),
            Call::Delete { key, version } => self.delete(&key, version),
            Call::Watch { key, after } => {
                let present = self.objects.get(&key);
                if present.is_none_or(|o| o.0 <= after) {
                    self.waiting.push(PendingWatch {
                        caller,
                        key,
                        after,
                        until: now + WATCH_TIMEOUT,
                    });
                    return None;
                }
                self.get(&key)
            }
        };
        Some(if lost { Reply::Lost } else { reply })
    }

    /// Watches that end now.
    pub fn due(&mut self, now: Now) -> Vec<((usize, u64, CallId), Reply)> {
        let mut ended = Vec::new();
        let down = self.state == PlatformState::Down;
        let mut waiting = std::mem::take(&mut self.waiting);
        waiting.retain(|w| {
            let object = self.objects.get(&w.key).filter(|o| o.0 > w.after);
            let reply = match object {
                _ if down => Reply::Lost,
                Some((version, value)) => Reply::Object {
                    version: *version,
                    value: value.clone(),
                },
                None if now >= w.until => Reply::Unchanged,
                None => return true,
            };
            ended.push((w.caller, reply));
            false
        });
        self.waiting = waiting;
        ended
    }

    /// Watches that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    fn get(&self, key: &str) -> Reply {
        match self.objects.get(key) {
            Some((version, value)) => Reply::Object {
                version: *version,
                value: value.clone(),
            },
            None => Reply::Missing,
        }
    }

    fn stale(&self, key: &str, random: u64) -> Reply {
        let history = self.history.get(key).map(Vec::as_slice).unwrap_or_default();
        match history.get((random / 2) as usize % history.len().max(1)) {
            Some((version, value)) => Reply::Object {
                version: *version,
                value: value.clone(),
            },
            None => Reply::Missing,
        }
    }

    fn put(&mut self, key: &str, value: Vec<u8>, condition: Condition) -> Reply {
        let present = self.objects.get(key).map(|o| o.0);
        let holds = match condition {
            Condition::Absent => present.is_none(),
            Condition::Version(version) => present == Some(version),
        };
        if !holds {
            let version = present.unwrap_or(0);
            return Reply::Conflict { version };
        }
        self.write_directly(key, value);
        Reply::Written {
            version: self.version,
        }
    }

    fn delete(&mut self, key: &str, version: Version) -> Reply {
        let present = self.objects.get(key).map(|o| o.0);
        if present != Some(version) {
            let version = present.unwrap_or(0);
            return Reply::Conflict { version };
        }
        self.delete_directly(key);
        Reply::Written {
            version: self.version,
        }
    }
}
