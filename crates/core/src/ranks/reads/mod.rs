//! Reads of ranks that are in flight.
//!
//! A leader asks for a state that it lacks at each of its steps, and each answer of another rank is
//! a step. A rank that does not answer is read once at a time nevertheless; otherwise the calls
//! that wait for it would use up the memory of the leader's host.

use std::collections::BTreeSet;

use super::{RankIndex, ReadScope};

/// Reads in flight, by scope and rank.
#[derive(Clone, Debug, Default)]
pub struct ReadsInFlight {
    reads: BTreeSet<(ReadScope, RankIndex)>,
}

impl ReadsInFlight {
    /// Begins reads of ranks; returns those of which no read of the same scope is in flight.
    pub fn begin(&mut self, scope: ReadScope, ranks: Vec<RankIndex>) -> Vec<RankIndex> {
        let mut begun = ranks;
        begun.retain(|rank| self.reads.insert((scope, *rank)));
        begun
    }

    /// Ends reads, with or without an answer.
    pub fn end(&mut self, scope: ReadScope, ranks: &[RankIndex]) {
        for rank in ranks {
            self.reads.remove(&(scope, *rank));
        }
    }
}
