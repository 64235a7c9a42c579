//! How popular each expert is, from counts that are read several times a second.
//!
//! Popularity is steady for seconds and then jumps: a part of what was popular is replaced at
//! once. Between jumps, readings are averaged, since the requests of one reading differ by chance.
//! A reading in which a jump fell is a mixture of before and after, and what is popular after it
//! is computed from the mixture, so that no time is lost by waiting for the next reading.

use std::collections::BTreeMap;

use super::RankIndex;

/// Counts in a reading below which nothing is concluded: a few prompts say nothing about the next.
const LEAST_COUNTS: u64 = 20_000;
/// Part of the counts that must have moved for a jump. Readings differ by chance in less.
const JUMP: f64 = 0.2;
/// Weight of a new reading between jumps.
const GAIN: f64 = 0.35;
/// Part of a set's work from which on an expert counts as popular before a jump. The counts of
/// others vary too much to tell when the jump fell.
const POPULAR: f64 = 0.04;
/// Least part of a reading after a jump from which popularity is computed.
const LEAST_AFTER: f64 = 0.25;

/// Popularity of the experts of a group.
#[derive(Clone, Debug, Default)]
pub(super) struct Demand {
    counted: BTreeMap<RankIndex, Vec<Vec<u64>>>,
    /// Counts since the last reading, by set.
    window: Vec<Vec<u64>>,
    /// Each expert's part of the work, by set; empty before the first reading.
    shares: Vec<Vec<f64>>,
    /// The last reading had a jump in it whose outcome is not clear yet.
    unclear: bool,
}

impl Demand {
    /// Takes how often each expert was chosen since a rank started, by set.
    pub(super) fn count(&mut self, rank: RankIndex, counts: Vec<Vec<u64>>) {
        self.window.resize_with(counts.len(), Vec::new);
        // The first reading counts what lies too far back.
        let last = self.counted.get(&rank).filter(|l| l.len() == counts.len());
        let pairs = counts.iter().zip(last.into_iter().flatten());
        for (window, (counts, last)) in self.window.iter_mut().zip(pairs) {
            window.resize(counts.len(), 0);
            // A rank that started again counts from nothing.
            let restarted = last.iter().sum::<u64>() > counts.iter().sum();
            for ((window, count), last) in window.iter_mut().zip(counts).zip(last) {
                let before = if restarted { 0 } else { *last };
                *window += count.saturating_sub(before);
            }
        }
        self.counted.insert(rank, counts);
    }

    /// Ends a reading. One with too few counts goes on.
    pub(super) fn fold(&mut self) {
        let enough = |set: &Vec<u64>| set.iter().sum::<u64>() >= LEAST_COUNTS;
        if self.window.is_empty() || !self.window.iter().all(enough) {
            return;
        }
        let window = std::mem::take(&mut self.window);
        let read: Vec<Vec<f64>> = window.iter().map(|set| parts(set)).collect();
        if self.shares.len() != read.len() {
            self.shares = read;
            return;
        }
        let moved: f64 = self
            .shares
            .iter()
            .zip(&read)
            .map(|(a, b)| distance(a, b))
            .sum();
        let jumped = moved / (read.len() as f64) > JUMP;
        self.unclear = false;
        if !jumped {
            for (share, read) in self.shares.iter_mut().flatten().zip(read.iter().flatten()) {
                *share += GAIN * (read - *share);
            }
            return;
        }
        let after = part_after(&self.shares, &read);
        if after < LEAST_AFTER {
            // The next reading shows it whole.
            self.unclear = true;
            return;
        }
        for (shares, read) in self.shares.iter_mut().zip(read) {
            *shares = unmixed(shares, &read, after);
        }
    }

    /// Each expert's part of the work, by set; none before the first reading and while it is not
    /// clear what a jump brought.
    pub(super) fn shares(&self) -> Option<&[Vec<f64>]> {
        (!self.shares.is_empty() && !self.unclear).then_some(&self.shares)
    }
}

fn parts(counts: &[u64]) -> Vec<f64> {
    let total = counts.iter().sum::<u64>().max(1) as f64;
    counts.iter().map(|c| *c as f64 / total).collect()
}

/// Part of the whole that two distributions differ in, 0 to 1.
fn distance(a: &[f64], b: &[f64]) -> f64 {
    a.iter().zip(b).map(|(a, b)| (a - b).abs()).sum::<f64>() / 2.0
}

/// Part of a reading that lies after a jump. An expert that lost all its popularity has kept the
/// part of it that lies before.
fn part_after(before: &[Vec<f64>], read: &[Vec<f64>]) -> f64 {
    let pairs = before.iter().flatten().zip(read.iter().flatten());
    let popular = pairs.filter(|(before, _)| **before >= POPULAR);
    let lost = popular.map(|(before, read)| (before - read) / before);
    lost.fold(0.0, f64::max).min(1.0)
}

/// What a reading would have been if the jump had come before all of it.
fn unmixed(before: &[f64], read: &[f64], after: f64) -> Vec<f64> {
    let pure = before
        .iter()
        .zip(read)
        .map(|(b, r)| (b + (r - b) / after).max(0.0));
    let pure: Vec<f64> = pure.collect();
    let total: f64 = pure.iter().sum();
    pure.iter()
        .map(|p| p / total.max(f64::MIN_POSITIVE))
        .collect()
}
