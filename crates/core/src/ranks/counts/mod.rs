//! Selection counters of experts, as they travel from the ranks to the leader.
//!
//! Engines count since their start. A sidecar reports what was selected since its last report, and
//! a sidecar that passes a call on adds up the reports of its branch, so that the size of a report
//! does not depend on the number of ranks behind it. A lost report loses its selections, which the
//! leader does not need: it derives shares, not totals.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::GroupEpoch;
use crate::types::Now;

/// Longest time that a report may cover. Selections of a longer time would describe a popularity
/// that may have passed.
const MAX_REPORT_SPAN: Duration = Duration::from_secs(2);

/// Percentage of counts that are short after rounding.
const SHORT_COUNTS_PERCENT: usize = 80;
/// Bits of a short count: those of a byte in variable-length encodings.
const SHORT_COUNT_BITS: u32 = 7;

/// Selections of each expert, by set, within some time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Selections {
    /// Number of selections, indexed by set and expert.
    pub sets: Vec<Vec<u32>>,
}

impl Selections {
    /// Adds the selections of other ranks in the same time.
    pub fn add(&mut self, other: &Self) {
        if self.sets.len() < other.sets.len() {
            self.sets.resize_with(other.sets.len(), Vec::new);
        }
        for (set, other) in self.sets.iter_mut().zip(&other.sets) {
            if set.len() < other.len() {
                set.resize(other.len(), 0);
            }
            for (count, other) in set.iter_mut().zip(other) {
                *count = count.saturating_add(*other);
            }
        }
    }

    /// Rounds the counts to multiples of a power of two, so that most of them take a byte in
    /// variable-length encodings. Returns the exponent and the multiples.
    #[must_use]
    pub fn rounded(&self) -> (u32, Self) {
        let mut counts: Vec<u32> = self.sets.iter().flatten().copied().collect();
        let mut exponent = 0;
        if !counts.is_empty() {
            let at = (counts.len() - 1) * SHORT_COUNTS_PERCENT / 100;
            let (_, count, _) = counts.select_nth_unstable(at);
            let bits = u32::BITS - count.leading_zeros();
            exponent = bits.saturating_sub(SHORT_COUNT_BITS);
        }
        let half = (1_u64 << exponent) / 2;
        let multiple = |count: &u32| ((u64::from(*count) + half) >> exponent) as u32;
        let sets = self.sets.iter();
        let sets = sets.map(|set| set.iter().map(multiple).collect()).collect();
        (exponent, Self { sets })
    }

    /// Reverses [`Self::rounded`], but for the precision.
    #[must_use]
    pub fn scaled(mut self, exponent: u32) -> Self {
        for count in self.sets.iter_mut().flatten() {
            *count =
                u32::try_from(u64::from(*count) << exponent.min(u32::BITS - 1)).unwrap_or(u32::MAX);
        }
        self
    }

    /// Whether nothing was reported.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.sets.is_empty()
    }
}

/// Counters of the local engine at the last report.
#[derive(Clone, Debug, Default)]
pub struct Reporter {
    last: Option<(Now, GroupEpoch, Vec<Vec<u64>>)>,
}

impl Reporter {
    /// Selections since the last report, given the engine's counters at `now`. Empty for the first
    /// report, after a restart of the engine, and after a time too long to be of use.
    pub fn report(&mut self, now: Now, epoch: GroupEpoch, counts: Vec<Vec<u64>>) -> Selections {
        let last = self.last.replace((now, epoch, counts));
        let (Some((at, last_epoch, before)), Some((_, _, counts))) = (last, &self.last) else {
            return Selections::default();
        };
        if last_epoch != epoch || now.saturating_sub(at) > MAX_REPORT_SPAN {
            return Selections::default();
        }
        let mut sets = Vec::with_capacity(counts.len());
        for (before, counts) in before.iter().zip(counts) {
            let mut set = Vec::with_capacity(counts.len());
            for (before, count) in before.iter().zip(counts) {
                // Counters only fall when the engine has restarted.
                let Some(selected) = count.checked_sub(*before) else {
                    return Selections::default();
                };
                set.push(u32::try_from(selected).unwrap_or(u32::MAX));
            }
            sets.push(set);
        }
        Selections { sets }
    }
}
