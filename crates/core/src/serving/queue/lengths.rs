//! Estimated answer lengths per team and service.
//!
//! Lengths are heavy-tailed, so a mean alone is a poor estimate. A histogram gives
//! the expected remaining tokens, given the tokens already generated.

use std::collections::BTreeMap;

use crate::types::{ServiceId, TeamId};

/// Number of buckets, by powers of two; the last one counts all longer answers.
const BUCKETS: usize = 16;
/// Answers after which older ones count half, so that the estimate adapts to a change within as
/// many.
const HALF_LIFE_ANSWERS: f32 = 128.0;
/// Minimum answers of a team; with fewer, the histogram of the whole service is used.
const MIN_TEAM_ANSWERS: f32 = 8.0;
/// Minimum window, in tokens, over which the end rate is computed.
const MIN_END_WINDOW_TOKENS: f64 = 32.0;
/// Expected length, in tokens, before any answer has been observed.
const DEFAULT_TOKENS: f64 = 256.0;

#[derive(Clone, Copy, Debug, Default)]
struct Histogram {
    counts: [f32; BUCKETS],
    total: f32,
}

impl Histogram {
    fn add(&mut self, tokens: u32) {
        if self.total >= 2.0 * HALF_LIFE_ANSWERS {
            for count in &mut self.counts {
                *count /= 2.0;
            }
            self.total /= 2.0;
        }
        let bucket = tokens.max(1).ilog2() as usize;
        self.counts[bucket.min(BUCKETS - 1)] += 1.0;
        self.total += 1.0;
    }

    /// Mean remaining tokens after `produced`; `None` if no answer was that long.
    fn remaining(&self, produced: f64, max_tokens: f64) -> Option<f64> {
        let mut weight = 0.0;
        let mut tokens = 0.0;
        for (bucket, count) in self.counts.iter().enumerate() {
            let low = (1_u64 << bucket) as f64;
            let high = 2.0 * low;
            if high <= produced || *count == 0.0 {
                continue;
            }
            let from = low.max(produced);
            let share = f64::from(*count) * (high - from) / (high - low);
            weight += share;
            tokens += share * (f64::midpoint(from, high).min(max_tokens) - produced).max(1.0);
        }
        (weight > 0.0).then(|| tokens / weight)
    }
}

impl Histogram {
    /// Number of answers longer than `tokens`, with a uniform distribution inside each bucket.
    fn longer_than(&self, tokens: f64) -> f64 {
        let above = |(bucket, count): (usize, &f32)| {
            let low = (1_u64 << bucket) as f64;
            f64::from(*count) * ((2.0 * low - tokens) / low).clamp(0.0, 1.0)
        };
        self.counts.iter().enumerate().map(above).sum()
    }
}

/// Histograms of answer lengths per team and service.
#[derive(Clone, Debug, Default)]
pub struct LengthEstimates {
    teams: BTreeMap<ServiceId, BTreeMap<TeamId, Histogram>>,
    services: BTreeMap<ServiceId, Histogram>,
}

impl LengthEstimates {
    /// Adds the length of a finished answer, in tokens.
    pub fn observe(&mut self, service: &ServiceId, team: &TeamId, tokens: u32) {
        let teams = self.teams.entry(service.clone()).or_default();
        teams.entry(team.clone()).or_default().add(tokens);
        self.services
            .entry(service.clone())
            .or_default()
            .add(tokens);
    }

    /// Expected remaining tokens after `produced`, at least 1. The whole answer is limited to
    /// `max_tokens`.
    #[must_use]
    pub fn remaining(
        &self,
        service: &ServiceId,
        team: &TeamId,
        produced: u32,
        max_tokens: u32,
    ) -> f64 {
        let produced = f64::from(produced);
        let max_tokens = f64::from(max_tokens);
        let histogram = self.histogram(service, team);
        // Half of the answers that exceed all observed lengths are assumed to double in length.
        let unknown = DEFAULT_TOKENS.max(produced);
        let expected = histogram
            .and_then(|h| h.remaining(produced, max_tokens))
            .unwrap_or(unknown);
        expected.min(max_tokens - produced).max(1.0)
    }

    /// Probability that an answer ends with its next token after `produced`. With heavy tails it is
    /// much larger for short answers than the mean of the remaining tokens suggests.
    #[must_use]
    pub fn end_rate(
        &self,
        service: &ServiceId,
        team: &TeamId,
        produced: u32,
        max_tokens: u32,
    ) -> f64 {
        let min_rate = 1.0 / f64::from(max_tokens.saturating_sub(produced).max(1));
        let produced = f64::from(produced);
        let window = (produced / 2.0).max(MIN_END_WINDOW_TOKENS);
        let rate = self.histogram(service, team).and_then(|h| {
            let at_start = h.longer_than(produced);
            let after_window = h.longer_than(produced + window);
            (at_start > 0.0).then(|| (1.0 - after_window / at_start) / window)
        });
        let unknown = 1.0 / DEFAULT_TOKENS.max(produced);
        rate.unwrap_or(unknown).max(min_rate).min(1.0)
    }

    fn histogram(&self, service: &ServiceId, team: &TeamId) -> Option<&Histogram> {
        let own = self.teams.get(service).and_then(|t| t.get(team));
        own.filter(|h| h.total >= MIN_TEAM_ANSWERS)
            .or_else(|| self.services.get(service))
    }
}
