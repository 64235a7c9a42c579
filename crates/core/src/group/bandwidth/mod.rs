//! Rate limiting of reads from the weight store, without a coordinator.
//!
//! Each member owns an equal share of the store's rate. A member with pending loads borrows other
//! members' shares for a limited time. A lender doesn't use a lent share for a quarter longer than
//! the borrower may, and counts that time from a later moment. The sum of all rates in use
//! therefore never exceeds the store's rate, even if messages are lost or delayed. A member that
//! starts waits for one such period before it uses its own share, since an earlier incarnation may
//! have lent it. After a restart of all members, none lends until then, and each uses its own
//! share.
//!
//! Urgent loads go first, but every fourth grant goes to the load that has waited longest. A lender
//! with pending loads keeps at least half of its share.

mod machine;

#[cfg(test)]
mod tests;

use std::time::Duration;

use serde::{Deserialize, Serialize};

pub use machine::StoreLimiter;

use crate::types::Now;

/// Index of a member among those that share the store, from 0.
pub type MemberId = u32;

/// Settings of a member's limiter.
#[derive(Clone, Debug)]
pub struct LimiterSettings {
    /// Index of this member.
    pub member: MemberId,
    /// Number of members that share the store; all members must be given the same number.
    pub members: u32,
    /// Total rate of the store, in bytes per second.
    pub bytes_per_s: f64,
    /// Time for which a borrower may use a loan, counted from its request.
    pub loan_duration: Duration,
    /// Number of members that are sent a `Borrow` in one round.
    pub lenders_per_round: u32,
    /// Seed for the choice of lenders and for the first round number. Each incarnation of the
    /// process needs a different one.
    pub seed: u64,
}

/// Messages between members.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LoanMessage {
    /// Requests a loan of the receiver's share.
    Borrow {
        /// Round of the borrower, which `Lend` repeats.
        round: u64,
        /// Whether any of the borrower's pending loads is urgent.
        urgent: bool,
    },
    /// Grants a loan for the configured time, counted from the `Borrow`.
    Lend {
        /// Round of the `Borrow` that this answers. Answers to an earlier round are ignored.
        round: u64,
        /// Rate of the loan, in bytes per second.
        bytes_per_s: f64,
    },
}

/// Inputs of the limiter. `K` identifies a load.
#[derive(Clone, Debug)]
pub enum Input<K> {
    /// The process started. Nothing is granted before this input.
    Start,
    /// Queues a load: weights of an expert, of a model or of an adapter.
    Request {
        /// Identifier, which is returned in `Grant`.
        load: K,
        /// Size of the load in bytes; 0 counts as 1.
        bytes: u64,
        /// Whether work waits for this load.
        urgent: bool,
    },
    /// Drops all pending loads, including those granted in part.
    CancelAll,
    /// A message from another member arrived.
    Message {
        /// Index of the sender.
        from: MemberId,
        /// Content of the message.
        message: LoanMessage,
    },
    /// A timer requested by [`Output::SetTimer`] fired.
    Timer,
}

/// Actions for the driver.
#[derive(Clone, Debug, PartialEq)]
pub enum Output<K> {
    /// The next bytes of a load may be read from the store now.
    Grant {
        /// Load that was passed in `Request`.
        load: K,
        /// Number of bytes that may be read.
        bytes: u64,
        /// Whether this grant completes the load.
        last: bool,
    },
    /// Send a message to another member.
    Send {
        /// Index of the receiver.
        to: MemberId,
        /// Content of the message.
        message: LoanMessage,
    },
    /// Pass [`Input::Timer`] at this time.
    SetTimer(Now),
}
