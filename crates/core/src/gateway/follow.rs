//! Following a kind of objects in the platform's store: one list, then watches from its revision.
//!
//! Changes often come in series, and each one ends the waiting watch of every host. The next
//! watch therefore waits a little, the longer the sooner the last one ended; it tells all changes
//! since.
//!
//! A watch that finds its history gone starts again with a list. Failures are retried after a
//! jittered pause that grows to [`LONGEST_PAUSE`], which is short because the configuration has
//! to be in force everywhere two seconds after the store took it.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::platform::{Change, KindCall, KindReply, StoredObject, Version};
use crate::types::Now;

/// Longest time that the store holds a watch without a change; the store's own limit.
pub const WATCH_WAIT: Duration = Duration::from_secs(30);
/// First pause after a failure.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// Longest pause after failures.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);

/// What a reply means for the follower's owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FollowUpdate {
    /// All objects of the kind.
    All(Vec<StoredObject>),
    /// Changes in their order, up to a revision.
    Changes(Vec<Change>, Version),
    /// The store did not answer as it should.
    Failed {
        /// What went wrong.
        reason: String,
    },
    /// The store has forgotten the changes since the last revision; a list follows.
    HistoryGone,
}

/// First pause after changes, and longest one in a series of them. The configuration has to be in
/// force two seconds after a change.
const FIRST_LULL: Duration = Duration::from_millis(30);
const LONGEST_LULL: Duration = Duration::from_millis(600);
/// Time without changes that ends a series.
const SERIES_END: Duration = Duration::from_secs(2);

#[derive(Clone, Debug)]
enum Phase {
    /// Reading the list; pages so far.
    List {
        pages: BTreeMap<String, StoredObject>,
        after: Option<String>,
    },
    Watch(Version),
}

/// Follows one kind.
#[derive(Clone, Debug)]
pub struct Follower {
    kind: String,
    phase: Phase,
    failures: u32,
    not_before: Now,
    lull: Duration,
    changed_at: Option<Now>,
    rng: SmallRng,
}

impl Follower {
    /// A follower that begins with a list.
    #[must_use]
    pub fn new(kind: &str, seed: u64) -> Self {
        Self {
            kind: kind.to_owned(),
            phase: Self::first_page(),
            failures: 0,
            not_before: Now::ZERO,
            lull: FIRST_LULL,
            changed_at: None,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    fn first_page() -> Phase {
        Phase::List {
            pages: BTreeMap::new(),
            after: None,
        }
    }

    /// The next call, and when to make it.
    #[must_use]
    pub fn next(&self) -> (Now, KindCall) {
        let kind = self.kind.clone();
        let call = match &self.phase {
            Phase::List { after, .. } => KindCall::List {
                kind,
                after: after.clone(),
                stale: false,
            },
            Phase::Watch(after) => KindCall::Watch {
                kind,
                after: *after,
                wait: WATCH_WAIT,
            },
        };
        (self.not_before, call)
    }

    /// Takes the reply to the last call.
    pub fn handle_reply(&mut self, now: Now, reply: KindReply) -> Option<FollowUpdate> {
        match (&mut self.phase, reply) {
            (
                Phase::List { pages, after },
                KindReply::Items {
                    items,
                    more,
                    revision,
                },
            ) => {
                self.failures = 0;
                *after = items.last().map(|o| o.name.clone());
                pages.extend(items.into_iter().map(|o| (o.name.clone(), o)));
                if more && after.is_some() {
                    return None;
                }
                let all = std::mem::take(pages).into_values().collect();
                self.phase = Phase::Watch(revision);
                Some(FollowUpdate::All(all))
            }
            (Phase::Watch(at), KindReply::Changes { changes, revision }) => {
                self.failures = 0;
                *at = revision.max(*at);
                let revision = *at;
                if !changes.is_empty() {
                    self.pause_in_series(now);
                }
                Some(FollowUpdate::Changes(changes, revision))
            }
            (_, KindReply::HistoryGone) => {
                self.phase = Self::first_page();
                Some(FollowUpdate::HistoryGone)
            }
            (_, KindReply::Failed { reason }) => Some(self.failed(now, reason)),
            _ => Some(self.failed(now, "the reply does not fit the call".to_owned())),
        }
    }

    fn pause_in_series(&mut self, now: Now) {
        let last = self.changed_at.replace(now);
        let goes_on = last.is_some_and(|at| now.saturating_sub(at) < SERIES_END);
        self.lull = if goes_on {
            (self.lull * 2).min(LONGEST_LULL)
        } else {
            FIRST_LULL
        };
        self.not_before = now + self.lull;
    }

    fn failed(&mut self, now: Now, reason: String) -> FollowUpdate {
        // A store that dropped its history may leave a watch from before it waiting for the next
        // change, so what happened meanwhile is read.
        self.phase = Self::first_page();
        self.failures = self.failures.saturating_add(1);
        let doublings = (self.failures - 1).min(16);
        let pause = (FIRST_PAUSE * (1 << doublings)).min(LONGEST_PAUSE);
        self.not_before = now + pause.mul_f64(self.rng.random_range(0.5..=1.0));
        FollowUpdate::Failed { reason }
    }
}
