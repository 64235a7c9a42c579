//! Calls to the platform's object API, as the state machines make them.
//!
//! A machine emits a [`Call`] as an output and receives the [`Reply`] as an
//! input with the same [`CallId`]. A write whose reply was lost returns
//! [`Reply::Lost`]: it may have taken effect, which only a read can determine.

mod kinds;
mod pages;
mod version;

use serde::{Deserialize, Serialize};

pub use kinds::{Change, KindCall, KindReply, StoredObject};
pub use pages::{MAX_LIST_BYTES, Pages};
pub use version::{Era, Revision, Version, era, revision, version};

/// Id that matches a reply to its call, unique within one machine.
pub type CallId = u64;

/// Maximum size of an object's value, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// Precondition of a write. If it does not hold, the reply is [`Reply::Conflict`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Condition {
    /// The object must not exist.
    Absent,
    /// The object must have this version.
    Version(Version),
}

/// A call about one object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Call {
    /// Reads an object.
    Get {
        /// Key of the object.
        key: String,
    },
    /// Writes an object if the condition holds.
    Put {
        /// Key of the object.
        key: String,
        /// New content, at most [`MAX_VALUE_BYTES`].
        value: Vec<u8>,
        /// Precondition for the write.
        condition: Condition,
    },
    /// Deletes an object if it has this version.
    Delete {
        /// Key of the object.
        key: String,
        /// Version that the object must have.
        version: Version,
    },
    /// Long poll until an object has a version above `after`. The platform bounds the wait.
    Watch {
        /// Key of the object.
        key: String,
        /// Version that the caller knows; 0 if none.
        after: Version,
    },
}

/// The reply to a [`Call`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// The object as read.
    Object {
        /// Version of the object.
        version: Version,
        /// Content of the object in this version.
        value: Vec<u8>,
    },
    /// No object exists under this key.
    Missing,
    /// The write or deletion took effect.
    Written {
        /// Version that the write or deletion assigned.
        version: Version,
    },
    /// The condition did not hold; nothing was written.
    Conflict {
        /// Current version; 0 if there is no object.
        version: Version,
    },
    /// The watch reached its time limit without a change.
    Unchanged,
    /// The call was refused or never sent, so it had no effect.
    Unavailable,
    /// The reply was lost; a write may have taken effect.
    Lost,
}
