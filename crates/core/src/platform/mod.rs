//! Calls to the platform's object API, as the state machines see them.
//!
//! A machine puts a [`Call`] into an output and gets the [`Reply`] back as an
//! input with the same [`CallId`]. A write whose answer was lost comes back as
//! [`Reply::Lost`]: it may have taken effect, and only reading back tells.

mod kinds;

use serde::{Deserialize, Serialize};

pub use kinds::{Change, KindCall, KindReply, StoredObject};

/// Number that ties a reply to its call inside one machine.
pub type CallId = u64;
/// Version of an object; each write gives a higher one, also after deletion.
pub type Version = u64;

/// Largest value of an object, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// Condition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Condition {
    /// The object must not exist.
    Absent,
    /// The object must have this version.
    Version(Version),
}

/// A call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Call {
    /// Read an object.
    Get {
        /// Key.
        key: String,
    },
    /// Write an object if the condition holds.
    Put {
        /// Key.
        key: String,
        /// Value, at most [`MAX_VALUE_BYTES`].
        value: Vec<u8>,
        /// Condition.
        condition: Condition,
    },
    /// Delete an object if it has this version.
    Delete {
        /// Key.
        key: String,
        /// Version.
        version: Version,
    },
    /// Wait until an object has a version above `after`, for a bounded time.
    Watch {
        /// Key.
        key: String,
        /// Version that the caller has; 0 if none.
        after: Version,
    },
}

/// The answer to a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// The object.
    Object {
        /// Its version.
        version: Version,
        /// Its value.
        value: Vec<u8>,
    },
    /// There is no such object.
    Missing,
    /// The write or deletion took effect.
    Written {
        /// New version.
        version: Version,
    },
    /// The condition did not hold; nothing was written.
    Conflict {
        /// Present version; 0 if there is no object.
        version: Version,
    },
    /// The watch ended without a change.
    Unchanged,
    /// Refused or never sent; it certainly had no effect.
    Unavailable,
    /// No answer; a write may have taken effect.
    Lost,
}
