//! Event timeline: numbered events with hybrid logical timestamps.
//!
//! Each process keeps its latest events in a [`Ring`]; [`merge`] combines those of several
//! processes into one timeline.

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

/// Value of a fact, which is a machine-readable attribute of an event: an input of a decision, its
/// age or version, or the outcome.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Fact {
    /// A count, a version, or a time in the unit that the fact's name gives.
    Number(u64),
    /// Any other value; control characters are escaped on display.
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
    /// Converts to whole milliseconds.
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
            // The text may come from outside. Escaping keeps it on one line.
            Self::Text(text) => write!(f, "{}", text.escape_debug()),
        }
    }
}

/// An event before it gets a timestamp and is stored in a [`Ring`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Kind, with its number and name in the catalogue.
    pub kind: EventKind,
    /// Id of the request that the event concerns, if any.
    pub request: Option<RequestId>,
    /// Id of the model group that the event concerns, if any.
    pub group: Option<GroupId>,
    /// Short description for operators; empty if the kind says enough.
    pub detail: String,
    /// Machine-readable facts by name.
    pub facts: Vec<(&'static str, Fact)>,
}

impl Event {
    /// Creates an event that concerns neither a request nor a group.
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

    /// Adds a fact, by which tools can filter and compare events.
    #[must_use]
    pub fn with(mut self, name: &'static str, fact: impl Into<Fact>) -> Self {
        self.facts.push((name, fact.into()));
        self
    }

    /// Sets the request that the event concerns.
    #[must_use]
    pub fn about_request(self, request: impl Into<RequestId>) -> Self {
        Self {
            request: Some(request.into()),
            ..self
        }
    }

    /// Sets the group that the event concerns.
    #[must_use]
    pub fn about_group(self, group: impl Into<GroupId>) -> Self {
        Self {
            group: Some(group.into()),
            ..self
        }
    }
}
