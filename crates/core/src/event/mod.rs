//! The time line: numbered events stamped with a hybrid logical clock.

mod catalogue;
mod clock;
mod merge;
mod ring;

#[cfg(test)]
mod tests;

pub use catalogue::EventKind;
pub use clock::{HybridClock, Stamp};
pub use merge::{Filter, merge};
pub use ring::{Record, Ring};

use crate::types::{GroupId, RequestId};

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
        }
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
