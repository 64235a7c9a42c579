//! Simulated object store of the platform, with outages, delays and lost replies.

use std::collections::BTreeMap;
use std::time::Duration;

use eelgrasshold_core::platform::{Call, Condition, MAX_VALUE_BYTES, Reply, Version};
use rand::Rng;
use rand::rngs::SmallRng;

/// State of the platform, which determines how calls end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    Up,
    Down,
    Slow,
    Lossy,
}

/// Planned course of a call, with times from the call on.
pub enum CallPlan {
    /// Takes effect after the first time and is answered after the second.
    Answered(Duration, Duration),
    /// Takes effect after the first time, if at all, and is reported lost after the second.
    Lost(Option<Duration>, Duration),
    /// Has no effect and is reported as unavailable after this time.
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

    pub fn plan_call(&self, rng: &mut SmallRng) -> CallPlan {
        let mut ms = |range| Duration::from_millis(rng.random_range(range));
        let (there, back) = (ms(1..10), ms(1..10));
        match self.mode {
            Mode::Up => CallPlan::Answered(there, there + back),
            Mode::Down => CallPlan::Refused(ms(1..100)),
            Mode::Slow => {
                let (there, back) = (ms(100..4_000), ms(100..4_000));
                if there + back < CALL_TIMEOUT {
                    CallPlan::Answered(there, there + back)
                } else {
                    CallPlan::Lost(Some(there), CALL_TIMEOUT)
                }
            }
            Mode::Lossy => {
                let late = ms(500..4_000);
                match rng.random_range(0..10) {
                    0..3 => CallPlan::Lost(Some(there), there + back),
                    3..5 => CallPlan::Lost(None, there + back),
                    5 => CallPlan::Lost(Some(late), there + back),
                    _ => CallPlan::Answered(there, there + back),
                }
            }
        }
    }

    /// Executes a call and returns its reply.
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
