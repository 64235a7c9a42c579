//! Running work and its levels of multi-level feedback.
//!
//! Work sinks by the tokens it has produced, so short work passes long work
//! without anybody knowing lengths beforehand. The engine gets the level as a
//! priority and pauses the lowest when it has more work than slots.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Policy;
use crate::types::{AttemptId, DEFAULT_PRIORITY, Now, Priority, Request};

/// Share of a new measurement in the smoothed time between tokens.
const PACE_GAIN: f64 = 0.02;

/// Level of running work; a lower one gives way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    /// It has produced little.
    Short,
    /// It has produced a quarter of what counts as long.
    Medium,
    /// It is long and holds a slot of the long work's share.
    Long,
    /// It is long, beyond that share, and runs only in slots that nobody else needs.
    Lent,
}

/// Work that the engine has.
#[derive(Clone, Debug)]
pub struct Running {
    /// Its request.
    pub request: Request,
    /// Expected cost that its team was charged, in tokens.
    pub charged: f64,
    /// When it was passed to the engine.
    pub started: Now,
    /// Tokens that it has produced.
    pub produced: u32,
    level: Level,
    last_token: Option<Now>,
}

/// The running work of an upstream.
#[derive(Clone, Debug, Default)]
pub struct Levels {
    running: BTreeMap<AttemptId, Running>,
    /// Smoothed time between two tokens of a request, in seconds.
    pace_s: Option<f64>,
}

impl Levels {
    /// Requests that the engine has.
    #[must_use]
    pub fn len(&self) -> usize {
        self.running.len()
    }

    /// Whether the engine has nothing.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.running.is_empty()
    }

    /// Whether the engine has an attempt.
    #[must_use]
    pub fn contains(&self, attempt: AttemptId) -> bool {
        self.running.contains_key(&attempt)
    }

    /// All running work.
    pub fn iter(&self) -> impl Iterator<Item = &Running> {
        self.running.values()
    }

    /// Smoothed time between two tokens of a request; none before the first measurement.
    #[must_use]
    pub fn pace(&self) -> Option<Duration> {
        self.pace_s.map(Duration::from_secs_f64)
    }

    /// Requests that hold a slot, which work on lent slots doesn't.
    #[must_use]
    pub fn holding(&self) -> usize {
        self.running.len() - self.count(Level::Lent)
    }

    /// Whether short work may start.
    #[must_use]
    pub fn has_slot(&self, policy: &Policy) -> bool {
        self.holding() < policy.concurrency()
    }

    /// Whether long work may start, and on which level.
    #[must_use]
    pub fn slot_for_long(&self, policy: &Policy) -> Option<Level> {
        let total = self.running.len();
        if total >= policy.concurrency() {
            return None;
        }
        if self.count(Level::Long) < policy.long_limit() {
            return Some(Level::Long);
        }
        (total + policy.slots_kept_for_short() < policy.concurrency()).then_some(Level::Lent)
    }

    /// Adds work that is passed to the engine; returns its engine priority.
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

    /// Counts tokens of an attempt; returns whether its level may have to change.
    pub fn produce(&mut self, now: Now, policy: &Policy, attempt: AttemptId, tokens: u32) -> bool {
        let Some(running) = self.running.get_mut(&attempt) else {
            return false;
        };
        running.produced = running.produced.saturating_add(tokens);
        let gap = running.last_token.map(|at| now.saturating_sub(at));
        running.last_token = Some(now);
        let level = running.level;
        let sinks = level < level_of(policy, running.produced);
        // Work on lent slots is paused at times, which says nothing about the engine's speed.
        if let Some(gap) = gap
            && level != Level::Lent
        {
            self.measure(gap, tokens);
        }
        sinks
    }

    /// Removes an attempt that ended; a plain call measures the pace by its whole time.
    pub fn finish(&mut self, now: Now, attempt: AttemptId) -> Option<Running> {
        let running = self.running.remove(&attempt)?;
        if running.produced == 0 {
            self.measure(now.saturating_sub(running.started), 1);
        }
        Some(running)
    }

    /// Removes an attempt that was cancelled or failed.
    pub fn remove(&mut self, attempt: AttemptId) -> Option<Running> {
        self.running.remove(&attempt)
    }

    /// Removes everything.
    pub fn drain(&mut self) -> BTreeMap<AttemptId, Running> {
        std::mem::take(&mut self.running)
    }

    /// Whether long work takes turns on the slots of its share.
    #[must_use]
    pub fn needs_time_slicing(&self, policy: &Policy) -> bool {
        self.count(Level::Lent) > 0 && self.running.len() > policy.concurrency()
    }

    /// Assigns levels anew and returns the engine priorities that change. Of long work, that
    /// which was slowed down most holds the slots, so none is paused for long.
    pub fn assign(&mut self, now: Now, policy: &Policy) -> Vec<(AttemptId, Priority)> {
        let mut long: Vec<_> = self
            .running
            .iter()
            .filter(|(_, r)| r.level.max(level_of(policy, r.produced)) >= Level::Long)
            .map(|(attempt, r)| (r.slowdown(now), *attempt))
            .collect();
        long.sort_by(|a, b| b.0.total_cmp(&a.0));
        let lent: Vec<_> = long.iter().skip(policy.long_limit()).collect();
        let mut changes = Vec::new();
        for (attempt, running) in &mut self.running {
            let level = if lent.iter().any(|(_, a)| a == attempt) {
                Level::Lent
            } else {
                let held = running.level.min(Level::Long);
                held.max(level_of(policy, running.produced))
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

    fn measure(&mut self, time: Duration, tokens: u32) {
        let sample = time.as_secs_f64() / f64::from(tokens.max(1));
        let pace = self.pace_s.get_or_insert(sample);
        *pace += PACE_GAIN * (sample - *pace);
    }
}

impl Running {
    /// Whether it counts as long.
    #[must_use]
    pub fn is_long(&self) -> bool {
        self.level >= Level::Long
    }

    /// Time since the start for each token produced.
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

/// Two engine priorities for each level: work of the default priority or better goes first.
fn engine_priority(level: Level, requested: Priority) -> Priority {
    let level = match level {
        Level::Short => 0,
        Level::Medium => 2,
        Level::Long => 4,
        Level::Lent => 6,
    };
    level + Priority::from(requested > DEFAULT_PRIORITY)
}
