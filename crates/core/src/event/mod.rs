//! The time line: numbered events stamped with a hybrid logical clock.

mod catalogue;
mod clock;
mod log_limiter;
mod merge;
mod ring;

#[cfg(test)]
mod tests;

pub use catalogue::{EventKind, Importance};
pub use clock::{HybridClock, Stamp};
pub use log_limiter::{LineVerdict, LogLimiter};
pub use merge::{Filter, merge};
pub use ring::{Record, Ring};

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::types::{GroupId, RequestId};

/// A fact that an event names: an input of a decision, its age or version, or the outcome.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Fact {
    /// A count, a version or a time in the unit that the name says.
    Number(u64),
    /// Anything else.
    Text(String),
}

impl From<u64> for Fact {
    fn from(number: u64) -> Self {
        Self::Number(number)
    }
}

impl From<u32> for Fact {
    fn from(number: u32) -> Self {
        Self::Number(u64::from(number))
    }
}

impl From<usize> for Fact {
    fn from(number: usize) -> Self {
        Self::Number(number as u64)
    }
}

impl From<Duration> for Fact {
    /// Whole milliseconds.
    fn from(time: Duration) -> Self {
        Self::Number(u64::try_from(time.as_millis()).unwrap_or(u64::MAX))
    }
}

impl From<&str> for Fact {
    fn from(text: &str) -> Self {
        Self::Text(text.to_owned())
    }
}

impl From<String> for Fact {
    fn from(text: String) -> Self {
        Self::Text(text)
    }
}

impl fmt::Display for Fact {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Number(number) => write!(f, "{number}"),
            // It may come from outside; it must not break a line.
            Self::Text(text) => write!(f, "{}", text.escape_debug()),
        }
    }
}

/// Something that happened, before it is stamped and kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Kind, which has a number in the catalogue.
    pub kind: EventKind,
    /// Request that it is about.
    pub request: Option<RequestId>,
    /// Group that it is about.
    pub group: Option<GroupId>,
    /// Particulars in a few words.
    pub detail: String,
    /// What it names, for machines.
    pub facts: Vec<(&'static str, Fact)>,
}

impl Event {
    /// An event that is about the process itself.
    #[must_use]
    pub fn new(kind: EventKind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            request: None,
            group: None,
            detail: detail.into(),
            facts: Vec::new(),
        }
    }

    /// Adds a fact.
    #[must_use]
    pub fn with(mut self, name: &'static str, fact: impl Into<Fact>) -> Self {
        self.facts.push((name, fact.into()));
        self
    }

    /// Names the request that the event is about.
    #[must_use]
    pub fn about_request(self, request: impl Into<RequestId>) -> Self {
        Self {
            request: Some(request.into()),
            ..self
        }
    }

    /// Names the group that the event is about.
    #[must_use]
    pub fn about_group(self, group: impl Into<GroupId>) -> Self {
        Self {
            group: Some(group.into()),
            ..self
        }
    }
}
