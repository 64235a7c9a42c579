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

/// Learned lengths of answers per team and service.
#[derive(Clone, Debug, Default)]
pub struct Lengths {
    teams: BTreeMap<ServiceId, BTreeMap<TeamId, Histogram>>,
    services: BTreeMap<ServiceId, Histogram>,
}

impl Lengths {
    /// Learns from a finished answer.
    pub fn learn(&mut self, service: &ServiceId, team: &TeamId, tokens: u32) {
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
        let own = self.teams.get(service).and_then(|t| t.get(team));
        let known = own
            .filter(|h| h.total >= ENOUGH_ANSWERS)
            .or_else(|| self.services.get(service));
        // Answers longer than all known ones are as likely to double as not.
        let unknown = UNKNOWN_TOKENS.max(produced);
        let expected = known
            .and_then(|h| h.remaining(produced, most))
            .unwrap_or(unknown);
        expected.min(most - produced).max(1.0)
    }
}
