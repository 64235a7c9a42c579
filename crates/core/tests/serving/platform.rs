//! The platform's objects, with outages, slowness and lost answers.

use std::collections::BTreeMap;
use std::time::Duration;

use eelgrasshold_core::platform::{Call, Condition, MAX_VALUE_BYTES, Reply, Version};
use rand::Rng;
use rand::rngs::SmallRng;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    Up,
    Down,
    Slow,
    Lossy,
}

/// What happens to a call.
pub enum Fate {
    /// It takes effect after the first time and is answered after the second.
    Answered(Duration, Duration),
    /// It takes effect after the first time, if at all, and is reported lost after the second.
    Lost(Option<Duration>, Duration),
    /// It is refused.
    Refused(Duration),
}

/// Time after which a driver reports a call as lost.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

pub struct Platform {
    pub mode: Mode,
    objects: BTreeMap<String, (Version, Vec<u8>)>,
    last_version: Version,
}

impl Platform {
    pub fn new() -> Self {
        Self {
            mode: Mode::Up,
            objects: BTreeMap::new(),
            last_version: 0,
        }
    }

    pub fn fate(&self, rng: &mut SmallRng) -> Fate {
        let mut ms = |range| Duration::from_millis(rng.random_range(range));
        let (there, back) = (ms(1..10), ms(1..10));
        match self.mode {
            Mode::Up => Fate::Answered(there, there + back),
            Mode::Down => Fate::Refused(ms(1..100)),
            Mode::Slow => {
                let (there, back) = (ms(100..4_000), ms(100..4_000));
                if there + back < CALL_TIMEOUT {
                    Fate::Answered(there, there + back)
                } else {
                    Fate::Lost(Some(there), CALL_TIMEOUT)
                }
            }
            Mode::Lossy => {
                let late = ms(500..4_000);
                match rng.random_range(0..10) {
                    0..3 => Fate::Lost(Some(there), there + back),
                    3..5 => Fate::Lost(None, there + back),
                    5 => Fate::Lost(Some(late), there + back),
                    _ => Fate::Answered(there, there + back),
                }
            }
        }
    }

    /// Carries out a call.
    pub fn apply(&mut self, call: Call) -> Reply {
        match call {
            Call::Get { key } => match self.objects.get(&key) {
                Some((version, value)) => Reply::Object {
                    version: *version,
                    value: value.clone(),
                },
                None => Reply::Missing,
            },
            Call::Put {
                key,
                value,
                condition,
            } => {
                assert!(
                    value.len() <= MAX_VALUE_BYTES,
                    "an object of {} bytes",
                    value.len()
                );
                let version = self.objects.get(&key).map_or(0, |o| o.0);
                let holds = match condition {
                    Condition::Absent => version == 0,
                    Condition::Version(expected) => version == expected,
                };
                if !holds {
                    return Reply::Conflict { version };
                }
                self.last_version += 1;
                self.objects.insert(key, (self.last_version, value));
                Reply::Written {
                    version: self.last_version,
                }
            }
            other => panic!("serving makes no such call: {other:?}"),
        }
    }
}
