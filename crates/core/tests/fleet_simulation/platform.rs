//! In-memory platform with outages, stale reads and lost replies.

use std::collections::BTreeMap;
use std::time::Duration;

use eelgrasshold_core::platform::{Call, CallId, Condition, Reply, Version};
use eelgrasshold_core::types::Now;

/// Time after which a watch ends without a change.
const WATCH_TIMEOUT: Duration = Duration::from_secs(30);

/// State of the platform, healthy or with a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlatformState {
    /// It answers in milliseconds.
    Healthy,
    /// It refuses all calls.
    Down,
    /// It answers after some seconds.
    Slow,
    /// Reads may return an older version.
    Stale,
    /// About half of the replies are lost.
    Lossy,
}

/// A watch that has not ended yet.
#[derive(Clone, Debug)]
pub struct PendingWatch {
    /// Index of the node, number of its start, and call.
    pub caller: (usize, u64, CallId),
    key: String,
    after: Version,
    until: Now,
}

/// The simulated platform.
pub struct Platform {
    pub state: PlatformState,
    objects: BTreeMap<String, (Version, Vec<u8>)>,
    history: BTreeMap<String, Vec<(Version, Vec<u8>)>>,
    version: Version,
    waiting: Vec<PendingWatch>,
    /// Number of calls so far, including watches.
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

    /// Current value of an object.
    pub fn value(&self, key: &str) -> Option<&[u8]> {
        self.objects.get(key).map(|o| o.1.as_slice())
    }

    /// Deletes an object without a call.
    pub fn delete_directly(&mut self, key: &str) {
        self.version += 1;
        self.objects.remove(key);
    }

    /// Writes an object without a call and without a condition.
    pub fn write_directly(&mut self, key: &str, value: Vec<u8>) {
        self.version += 1;
        let object = (self.version, value);
        let history = self.history.entry(key.to_owned()).or_default();
        history.push(object.clone());
        self.objects.insert(key.to_owned(), object);
    }

    /// A current or earlier value of an object, chosen by `pick`.
    pub fn earlier_value(&self, key: &str, pick: u64) -> Option<Vec<u8>> {
        let history = self.history.get(key)?;
        let (_, value) = history.get(pick as usize % history.len())?;
        Some(value.clone())
    }

    /// Answers a call, or returns `None` for a watch that has to wait. `random` decides on faults.
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

    /// Removes the watches that end now and returns their replies.
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

    /// Number of pending watches.
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
