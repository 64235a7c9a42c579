//! Hybrid logical clock: timestamps that respect causality across hosts with skewed clocks.

use std::fmt;
use std::str::FromStr;
use std::time::{Duration, SystemTime};

use serde::{Deserialize, Serialize};

/// Timestamp of a [`HybridClock`], ordered by wall-clock time and then by counter.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stamp {
    /// Wall-clock time in milliseconds since the Unix epoch. It can be ahead of the host's clock,
    /// by the skew of a host from which a message came.
    pub wall_ms: u64,
    /// Distinguishes timestamps with the same `wall_ms`.
    pub counter: u32,
}

impl fmt::Display for Stamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.wall_ms, self.counter)
    }
}

impl FromStr for Stamp {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (wall, counter) = text.split_once('.').unwrap_or((text, "0"));
        Ok(Self {
            wall_ms: wall.parse()?,
            counter: counter.parse()?,
        })
    }
}

/// Hybrid logical clock of one process. Its timestamps strictly increase.
#[derive(Clone, Debug, Default)]
pub struct HybridClock {
    last: Stamp,
}

impl HybridClock {
    /// Returns the timestamp of a local event or a sent message at the wall-clock time `wall`.
    pub fn tick(&mut self, wall: SystemTime) -> Stamp {
        let wall_ms = wall
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or(Duration::ZERO);
        let wall_ms = u64::try_from(wall_ms.as_millis()).unwrap_or(u64::MAX);
        self.last = if wall_ms > self.last.wall_ms {
            Stamp {
                wall_ms,
                counter: 0,
            }
        } else {
            self.last.next()
        };
        self.last
    }

    /// Advances the clock past the timestamp `remote` of a received message, and returns the
    /// timestamp of its receipt.
    pub fn observe(&mut self, remote: Stamp, wall: SystemTime) -> Stamp {
        self.last = self.last.max(remote);
        self.tick(wall)
    }
}

impl Stamp {
    fn next(self) -> Self {
        match self.counter.checked_add(1) {
            Some(counter) => Self { counter, ..self },
            None => Self {
                wall_ms: self.wall_ms + 1,
                counter: 0,
            },
        }
    }
}
