//! Learned lengths of answers per team and service.
//!
//! Lengths are heavy-tailed, so a mean says little: the histogram gives the
//! tokens that are still to come, given those that were produced.

use std::collections::BTreeMap;

use crate::types::{ServiceId, TeamId};

/// Buckets by powers of two; the last holds all longer answers.
const BUCKETS: usize = 16;
/// Answers after which older ones count half, so that a team's change shows within as many.
const HALF_LIFE_ANSWERS: f32 = 128.0;
/// Answers of a team below which the lengths of the whole service are used.
const ENOUGH_ANSWERS: f32 = 8.0;
/// Tokens over which an answer's end is judged, at least.
const END_WINDOW_TOKENS: f64 = 32.0;
/// Expected length before any answer was seen.
const UNKNOWN_TOKENS: f64 = 256.0;

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

    /// Mean of the tokens to come after `produced`, or none if no answer was that long.
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
    /// Answers longer than `tokens`, with those of a bucket spread evenly over it.
    fn longer_than(&self, tokens: f64) -> f64 {
        let above = |(bucket, count): (usize, &f32)| {
            let low = (1_u64 << bucket) as f64;
            f64::from(*count) * ((2.0 * low - tokens) / low).clamp(0.0, 1.0)
        };
        self.counts.iter().enumerate().map(above).sum()
    }
}

/// Learned lengths of answers per team and service.
#[derive(Clone, Debug, Default)]
pub struct LengthEstimates {
    teams: BTreeMap<ServiceId, BTreeMap<TeamId, Histogram>>,
    services: BTreeMap<ServiceId, Histogram>,
}

impl LengthEstimates {
    /// Learns from a finished answer.
    pub fn observe(&mut self, service: &ServiceId, team: &TeamId, tokens: u32) {
        let teams = self.teams.entry(service.clone()).or_default();
        teams.entry(team.clone()).or_default().add(tokens);
        self.services
            .entry(service.clone())
            .or_default()
            .add(tokens);
    }

    /// Expected tokens to come after `produced`, at most `max_tokens` in all and at least 1.
    #[must_use]
    pub fn remaining(
        &self,
        service: &ServiceId,
        team: &TeamId,
        produced: u32,
        max_tokens: u32,
    ) -> f64 {
        let produced = f64::from(produced);
        let most = f64::from(max_tokens);
        let known = self.known(service, team);
        // Answers longer than all known ones are as likely to double as not.
        let unknown = UNKNOWN_TOKENS.max(produced);
        let expected = known
            .and_then(|h| h.remaining(produced, most))
            .unwrap_or(unknown);
        expected.min(most - produced).max(1.0)
    }

    /// Probability that an answer ends with its next token, after `produced`. Heavy tails make
    /// this much larger for young answers than the mean of the tokens to come suggests.
    #[must_use]
    pub fn end_rate(
        &self,
        service: &ServiceId,
        team: &TeamId,
        produced: u32,
        max_tokens: u32,
    ) -> f64 {
        let latest = 1.0 / f64::from(max_tokens.saturating_sub(produced).max(1));
        let produced = f64::from(produced);
        let window = (produced / 2.0).max(END_WINDOW_TOKENS);
        let rate = self.known(service, team).and_then(|h| {
            let now = h.longer_than(produced);
            let then = h.longer_than(produced + window);
            (now > 0.0).then(|| (1.0 - then / now) / window)
        });
        let unknown = 1.0 / UNKNOWN_TOKENS.max(produced);
        rate.unwrap_or(unknown).max(latest).min(1.0)
    }

    fn known(&self, service: &ServiceId, team: &TeamId) -> Option<&Histogram> {
        let own = self.teams.get(service).and_then(|t| t.get(team));
        own.filter(|h| h.total >= ENOUGH_ANSWERS)
            .or_else(|| self.services.get(service))
    }
}
