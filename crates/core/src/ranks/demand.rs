//! Expert popularity, derived from counters that are read several times a second.
//!
//! Popularity is steady for seconds and then shifts: part of the popular experts is replaced at
//! once. Between shifts, readings are averaged, because the requests of a single reading vary by
//! chance. A reading that spans a shift mixes the distributions before and after it. The new
//! distribution is extrapolated from the mixture instead of waiting for the next reading.

use super::counts::Selections;

/// Selections in a set below which a reading is not evaluated: a few prompts do not predict the
/// next ones.
const MIN_COUNTS: u64 = 20_000;
/// Mean total variation distance between a reading and the average from which on the difference
/// counts as a shift. Random variation between readings stays below it.
const SHIFT_THRESHOLD: f64 = 0.2;
/// Weight of a new reading in the average between shifts.
const SMOOTHING_FACTOR: f64 = 0.35;
/// Share of a set's work from which on an expert counts as popular. Less popular experts vary too
/// much to locate a shift within a reading.
const MIN_POPULAR_SHARE: f64 = 0.04;
/// Smallest fraction of a reading that must lie after a shift for the new distribution to be
/// extrapolated.
const MIN_FRACTION_AFTER_SHIFT: f64 = 0.25;

/// Popularity of the experts of a group.
#[derive(Clone, Debug, Default)]
pub(super) struct Demand {
    /// Selections since the last finished reading, by set.
    window: Vec<Vec<u64>>,
    /// Each expert's share of the work, by set; empty before the first reading.
    shares: Vec<Vec<f64>>,
    /// The last reading spans a shift whose result is not known yet.
    shift_unresolved: bool,
}

impl Demand {
    /// Adds selections of some ranks.
    pub(super) fn record(&mut self, selections: &Selections) {
        if self.window.len() < selections.sets.len() {
            self.window.resize_with(selections.sets.len(), Vec::new);
        }
        for (window, set) in self.window.iter_mut().zip(&selections.sets) {
            if window.len() < set.len() {
                window.resize(set.len(), 0);
            }
            for (window, count) in window.iter_mut().zip(set) {
                *window += u64::from(*count);
            }
        }
    }

    /// Evaluates the selections counted so far. With too few of them, the reading continues.
    pub(super) fn finish_reading(&mut self) {
        let enough = |set: &Vec<u64>| set.iter().sum::<u64>() >= MIN_COUNTS;
        if self.window.is_empty() || !self.window.iter().all(enough) {
            return;
        }
        let window = std::mem::take(&mut self.window);
        let read: Vec<Vec<f64>> = window.iter().map(|set| normalize(set)).collect();
        if self.shares.len() != read.len() {
            self.shares = read;
            return;
        }
        let total_distance: f64 = self
            .shares
            .iter()
            .zip(&read)
            .map(|(a, b)| variation_distance(a, b))
            .sum();
        let shifted = total_distance / (read.len() as f64) > SHIFT_THRESHOLD;
        self.shift_unresolved = false;
        if !shifted {
            for (share, read) in self.shares.iter_mut().flatten().zip(read.iter().flatten()) {
                *share += SMOOTHING_FACTOR * (read - *share);
            }
            return;
        }
        let fraction = fraction_after_shift(&self.shares, &read);
        if fraction < MIN_FRACTION_AFTER_SHIFT {
            // The next reading lies entirely after the shift.
            self.shift_unresolved = true;
            return;
        }
        for (shares, read) in self.shares.iter_mut().zip(read) {
            *shares = extrapolate(shares, &read, fraction);
        }
    }

    /// Each expert's share of the work, by set. `None` before the first reading and while the
    /// result of a shift is unknown.
    pub(super) fn shares(&self) -> Option<&[Vec<f64>]> {
        (!self.shares.is_empty() && !self.shift_unresolved).then_some(&self.shares)
    }
}

fn normalize(counts: &[u64]) -> Vec<f64> {
    let total = counts.iter().sum::<u64>().max(1) as f64;
    counts.iter().map(|c| *c as f64 / total).collect()
}

/// Total variation distance of two distributions, from 0 to 1.
fn variation_distance(a: &[f64], b: &[f64]) -> f64 {
    a.iter().zip(b).map(|(a, b)| (a - b).abs()).sum::<f64>() / 2.0
}

/// Fraction of a reading that lies after a shift. An expert that lost all its popularity keeps only
/// the fraction of its share that lies before.
fn fraction_after_shift(before: &[Vec<f64>], read: &[Vec<f64>]) -> f64 {
    let pairs = before.iter().flatten().zip(read.iter().flatten());
    let popular = pairs.filter(|(before, _)| **before >= MIN_POPULAR_SHARE);
    let lost = popular.map(|(before, read)| (before - read) / before);
    lost.fold(0.0, f64::max).min(1.0)
}

/// Distribution that a reading would show if the shift had come before all of it.
fn extrapolate(before: &[f64], read: &[f64], fraction: f64) -> Vec<f64> {
    let extrapolated = before
        .iter()
        .zip(read)
        .map(|(b, r)| (b + (r - b) / fraction).max(0.0));
    let extrapolated: Vec<f64> = extrapolated.collect();
    let total: f64 = extrapolated.iter().sum();
    extrapolated
        .iter()
        .map(|p| p / total.max(f64::MIN_POSITIVE))
        .collect()
}
