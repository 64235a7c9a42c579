//! List and watch calls over all objects of a kind.
//!
//! Objects of a kind share one revision counter. A list returns the revision at which it was
//! read, and a watch from that revision returns each later change once.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Version;

/// An object as the platform stores it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoredObject {
    /// Name, unique in its kind.
    pub name: String,
    /// Revision of its last change.
    pub version: Version,
    /// Content as its writer stored it.
    pub value: Vec<u8>,
}

/// A change of an object, as returned by a watch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// The object was created or changed; this is its new state.
    Set(StoredObject),
    /// The object of this name was deleted.
    Deleted(String),
}

/// A call that concerns all objects of a kind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KindCall {
    /// Reads one page of the objects, in order of names.
    List {
        /// Kind of the objects.
        kind: String,
        /// Last name of the previous page; `None` for the first page.
        after: Option<String>,
        /// Accepts an answer that is some seconds old, which costs the platform less.
        stale: bool,
    },
    /// Long poll for changes after a revision.
    Watch {
        /// Kind of the objects.
        kind: String,
        /// Revision up to which the caller knows all changes.
        after: Version,
        /// Time after which the platform answers even without a change.
        wait: Duration,
    },
}

/// The reply to a [`KindCall`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KindReply {
    /// One page of a list.
    Items {
        /// Objects in order of names.
        items: Vec<StoredObject>,
        /// Whether further pages follow.
        more: bool,
        /// Revision at which the page was read; a watch starts from it.
        revision: Version,
    },
    /// The changes after the requested revision, oldest first.
    Changes {
        /// Empty if the wait ended without a change.
        changes: Vec<Change>,
        /// Revision for the next watch.
        revision: Version,
    },
    /// The platform no longer holds the changes since that revision; the caller has to list again.
    HistoryGone,
    /// The call failed, or its answer could not be parsed.
    Failed {
        /// Description of the failure, for logs.
        reason: String,
    },
}
