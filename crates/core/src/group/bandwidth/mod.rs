//! Share of the rate-limited weight store, without a coordinator.
//!
//! Each of the store's members owns an equal part of its rate. A member that
//! has something to load borrows parts from others for a bounded time; a lender
//! leaves the lent part unused for a quarter longer than the borrower may use
//! it, counted from a later moment. The sum of all parts in use therefore never
//! exceeds the rate, whatever messages are lost or late. A member that starts
//! may have lent its part in its earlier life, so it waits a whole loan first;
//! after a mass restart nobody lends and each uses its own part.
//!
//! Urgent loads go first, but every fourth grant goes to the load that has
//! waited longest. A lender with waiting loads keeps at least half of its part.

mod machine;

#[cfg(test)]
mod tests;

use std::time::Duration;

use serde::{Deserialize, Serialize};

pub use machine::LoadShare;

use crate::types::Now;

/// Position of a member among those that share the store, from 0.
pub type MemberId = u32;

/// Settings of a member.
#[derive(Clone, Debug)]
pub struct ShareSettings {
    /// Own position.
    pub member: MemberId,
    /// Members that share the store; the same number on each of them.
    pub members: u32,
    /// Rate of the store, in bytes a second.
    pub bytes_per_s: f64,
    /// Time for which a part is borrowed.
    pub loan: Duration,
    /// Members that are asked for their part in one round.
    pub ask: u32,
    /// Seed of the choice whom to ask, another one in each life of the process.
    pub seed: u64,
}

/// Messages between members.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ShareMessage {
    /// Please lend your part.
    Borrow {
        /// Round of the borrower.
        round: u64,
        /// Whether an urgent load waits.
        urgent: bool,
    },
    /// The part is lent for the settings' time, counted from the request.
    Lend {
        /// Round of the borrower.
        round: u64,
        /// Lent rate.
        bytes_per_s: f64,
    },
}

/// What a member is told. `K` names a load.
#[derive(Clone, Debug)]
pub enum Input<K> {
    /// The process started.
    Start,
    /// A load is wanted: weights of a group's expert, of a model or of an adapter.
    Want {
        /// Load.
        load: K,
        /// Its size.
        bytes: u64,
        /// Work waits for it.
        urgent: bool,
    },
    /// Loads that were not granted are no longer wanted.
    DropAll,
    /// A message of another member.
    Message {
        /// Sender.
        from: MemberId,
        /// Message.
        message: ShareMessage,
    },
    /// A timer that was set has fired.
    Timer,
}

/// What the driver shall do.
#[derive(Clone, Debug, PartialEq)]
pub enum Output<K> {
    /// The next part of a load may be read from the store now.
    Grant {
        /// Load.
        load: K,
        /// Bytes of this part.
        bytes: u64,
        /// Whether it is the last part.
        last: bool,
    },
    /// Send to another member.
    Send {
        /// Receiver.
        to: MemberId,
        /// Message.
        message: ShareMessage,
    },
    /// Call back at a time.
    SetTimer(Now),
}
