//! Multi-level feedback scheduling of running work.
//!
//! Work is demoted by the tokens it has generated, so short work overtakes long work
//! although lengths are not known in advance. The level is passed to the engine as a
//! priority; the engine pauses the lowest when it has more work than slots.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Policy;
use crate::types::{AttemptId, DEFAULT_PRIORITY, Now, Priority, Request};

/// Weight of a new sample in the smoothed time between tokens.
const INTERVAL_GAIN: f64 = 0.02;

/// Level of running work. The engine pauses later variants first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    /// It has generated less than a quarter of [`Policy::long_tokens`].
    Short,
    /// It has generated at least a quarter of [`Policy::long_tokens`].
    Medium,
    /// It is long and holds one of the [`Policy::long_limit`] slots for long work.
    Long,
    /// It is long, beyond [`Policy::long_limit`], and runs only in slots that no other work needs.
    Borrowed,
}

/// Work that has been passed to the engine.
#[derive(Clone, Debug)]
pub struct Running {
    /// Request as it arrived at the upstream.
    pub request: Request,
    /// Expected cost that was charged to its team, in tokens.
    pub charged: f64,
    /// Time at which it was passed to the engine.
    pub started: Now,
    /// Tokens generated so far by this attempt.
    pub produced: u32,
    level: Level,
    last_token: Option<Now>,
}

/// Running work of an upstream by attempt, with the measured generation speed.
#[derive(Clone, Debug, Default)]
pub struct Levels {
    running: BTreeMap<AttemptId, Running>,
    /// Smoothed time between two tokens of a request, in seconds; `None` before the first sample.
    token_interval_s: Option<f64>,
}

impl Levels {
    /// Number of attempts at the engine, including those on borrowed slots.
    #[must_use]
    pub fn len(&self) -> usize {
        self.running.len()
    }

    /// Whether no attempt is at the engine.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.running.is_empty()
    }

    /// Whether the given attempt is at the engine.
    #[must_use]
    pub fn contains(&self, attempt: AttemptId) -> bool {
        self.running.contains_key(&attempt)
    }

    /// Iterates over all running work in the order of attempt ids.
    pub fn iter(&self) -> impl Iterator<Item = &Running> {
        self.running.values()
    }

    /// Smoothed time between two tokens of a request; `None` before the first sample.
    #[must_use]
    pub fn token_interval(&self) -> Option<Duration> {
        self.token_interval_s.map(Duration::from_secs_f64)
    }

    /// Number of requests that hold a slot; work on borrowed slots is not counted.
    #[must_use]
    pub fn slots_held(&self) -> usize {
        self.running.len() - self.count(Level::Borrowed)
    }

    /// Whether a slot is available for short work.
    #[must_use]
    pub fn has_slot(&self, policy: &Policy) -> bool {
        self.slots_held() < policy.concurrency()
    }

    /// Level on which long work may start; `None` if it has to wait.
    #[must_use]
    pub fn slot_for_long(&self, policy: &Policy) -> Option<Level> {
        let total = self.running.len();
        if total >= policy.concurrency() {
            return None;
        }
        if self.count(Level::Long) < policy.long_limit() {
            return Some(Level::Long);
        }
        (total + policy.slots_kept_for_short() < policy.concurrency()).then_some(Level::Borrowed)
    }

    /// Adds work that is passed to the engine and returns its engine priority.
    pub fn start(
        &mut self,
        now: Now,
        attempt: AttemptId,
        level: Level,
        request: Request,
        charged: f64,
    ) -> Priority {
        let priority = engine_priority(level, request.priority);
        let running = Running {
            request,
            charged,
            started: now,
            produced: 0,
            level,
            last_token: None,
        };
        self.running.insert(attempt, running);
        priority
    }

    /// Counts generated tokens of an attempt; returns whether it has to be demoted by
    /// [`Self::assign`].
    pub fn produce(&mut self, now: Now, policy: &Policy, attempt: AttemptId, tokens: u32) -> bool {
        let Some(running) = self.running.get_mut(&attempt) else {
            return false;
        };
        running.produced = running.produced.saturating_add(tokens);
        let gap = running.last_token.map(|at| now.saturating_sub(at));
        running.last_token = Some(now);
        let level = running.level;
        let is_demoted = level < level_of(policy, running.produced);
        // Work on borrowed slots is paused at times, so its gaps don't measure the engine's speed.
        if let Some(gap) = gap
            && level != Level::Borrowed
        {
            self.observe_interval(gap, tokens);
        }
        is_demoted
    }

    /// Removes an attempt that finished. A plain call generates no tokens: its whole run time
    /// counts as one token interval.
    pub fn finish(&mut self, now: Now, attempt: AttemptId) -> Option<Running> {
        let running = self.running.remove(&attempt)?;
        if running.produced == 0 {
            self.observe_interval(now.saturating_sub(running.started), 1);
        }
        Some(running)
    }

    /// Removes an attempt that was cancelled or failed; it adds no sample.
    pub fn remove(&mut self, attempt: AttemptId) -> Option<Running> {
        self.running.remove(&attempt)
    }

    /// Removes all attempts and returns them; the measured token interval stays.
    pub fn drain(&mut self) -> BTreeMap<AttemptId, Running> {
        std::mem::take(&mut self.running)
    }

    /// Whether long work has to be time-sliced: some of it is on borrowed slots, and the engine has
    /// more work than slots.
    #[must_use]
    pub fn needs_time_slicing(&self, policy: &Policy) -> bool {
        self.count(Level::Borrowed) > 0 && self.running.len() > policy.concurrency()
    }

    /// Recomputes all levels and returns the engine priorities that change. The long work with the
    /// largest slowdown gets the slots for long work, so that none is paused for long.
    pub fn assign(&mut self, now: Now, policy: &Policy) -> Vec<(AttemptId, Priority)> {
        let mut long: Vec<_> = self
            .running
            .iter()
            .filter(|(_, r)| r.level.max(level_of(policy, r.produced)) >= Level::Long)
            .map(|(attempt, r)| (r.slowdown(now), *attempt))
            .collect();
        long.sort_by(|a, b| b.0.total_cmp(&a.0));
        let borrowed: Vec<_> = long.iter().skip(policy.long_limit()).collect();
        let mut changes = Vec::new();
        for (attempt, running) in &mut self.running {
            let level = if borrowed.iter().any(|(_, a)| a == attempt) {
                Level::Borrowed
            } else {
                let current = running.level.min(Level::Long);
                current.max(level_of(policy, running.produced))
            };
            if level != running.level {
                running.level = level;
                let priority = engine_priority(level, running.request.priority);
                changes.push((*attempt, priority));
            }
        }
        changes
    }

    fn count(&self, level: Level) -> usize {
        self.running.values().filter(|r| r.level == level).count()
    }

    fn observe_interval(&mut self, time: Duration, tokens: u32) {
        let sample = time.as_secs_f64() / f64::from(tokens.max(1));
        let token_interval = self.token_interval_s.get_or_insert(sample);
        *token_interval += INTERVAL_GAIN * (sample - *token_interval);
    }
}

impl Running {
    /// Whether it counts as long, with a slot or on a borrowed one.
    #[must_use]
    pub fn is_long(&self) -> bool {
        self.level >= Level::Long
    }

    /// Seconds since the start per generated token.
    fn slowdown(&self, now: Now) -> f64 {
        now.saturating_sub(self.started).as_secs_f64() / f64::from(self.produced.max(1))
    }
}

fn level_of(policy: &Policy, produced: u32) -> Level {
    if produced >= policy.long_tokens() {
        Level::Long
    } else if produced >= policy.long_tokens() / 4 {
        Level::Medium
    } else {
        Level::Short
    }
}

/// Engine priority of a level. Each level has two: work of the default priority or better precedes
/// the rest.
fn engine_priority(level: Level, requested: Priority) -> Priority {
    let level = match level {
        Level::Short => 0,
        Level::Medium => 2,
        Level::Long => 4,
        Level::Borrowed => 6,
    };
    level + Priority::from(requested > DEFAULT_PRIORITY)
}
