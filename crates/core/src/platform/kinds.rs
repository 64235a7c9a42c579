//! Calls that concern all objects of a kind: lists and watches.
//!
//! Objects of a kind share one revision counter. A list tells the revision at which it was
//! read, and a watch from that revision tells each later change once.

use std::time::Duration;

use super::Version;

/// An object of a kind.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredObject {
    /// Name, unique in its kind.
    pub name: String,
    /// Revision of its last change.
    pub version: Version,
    /// What its writer put there.
    pub value: Vec<u8>,
}

/// A change of an object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A new or changed object.
    Set(StoredObject),
    /// A deleted object, by name.
    Deleted(String),
}

/// A call about a kind.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KindCall {
    /// Read a page of the objects.
    List {
        /// Kind.
        kind: String,
        /// Last name of the page before.
        after: Option<String>,
        /// The answer may be seconds old, which costs the platform less.
        stale: bool,
    },
    /// Wait for changes.
    Watch {
        /// Kind.
        kind: String,
        /// Revision up to which changes are known.
        after: Version,
        /// Longest wait.
        wait: Duration,
    },
}

/// The answer to a call about a kind.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KindReply {
    /// A page.
    Items {
        /// Objects in order of names.
        items: Vec<StoredObject>,
        /// Whether there are more.
        more: bool,
        /// The store's revision.
        revision: Version,
    },
    /// Changes in their order; none if the wait ended without any.
    Changes {
        /// The changes.
        changes: Vec<Change>,
        /// Revision to go on from.
        revision: Version,
    },
    /// The store has forgotten the changes since that revision.
    HistoryGone,
    /// No usable answer.
    Failed {
        /// What went wrong, for logs.
        reason: String,
    },
}
