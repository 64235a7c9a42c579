//! What hosts that do not hear each other tell each other through the platform's store.

use std::collections::BTreeMap;
use std::time::Duration;

use super::report::MAX_STORED_AGE;
use super::{End, FeatureId, MAX_SUSPECTS, Quarantine, Report};
use crate::gateway::registry::UpstreamId;
use crate::types::Now;

/// Shortest time between two writes of a host.
const WRITE_INTERVAL: Duration = Duration::from_millis(500);
/// Distance between ends of an upstream below which they are the same. Clocks of hosts differ, and an
/// upstream takes seconds to start again.
const SAME_END_GAP: Duration = Duration::from_secs(3);
/// Features whose ends are written, those with the latest ones.
const MAX_WRITTEN: usize = 64;
/// Time after an answer within which further ones to the same request are not written.
const SOUND_STEP: Duration = Duration::from_secs(4);

/// Ends and answers without their ages, to tell whether there are new ones.
type Content = (Vec<(FeatureId, UpstreamId, Now)>, Vec<(FeatureId, u128)>);

/// State of the exchange through the store.
#[derive(Clone, Debug, Default)]
pub(super) struct Stored {
    /// Features with ends that were read or written, by the time of the last one.
    doubted: BTreeMap<FeatureId, Now>,
    written: Content,
    next_write: Now,
}

impl Stored {
    /// Drops what is too old.
    pub(super) fn expire(&mut self, now: Now) {
        self.doubted.retain(|_, at| now < *at + MAX_STORED_AGE);
    }
}

impl Quarantine {
    /// All that hosts have to know which this one does not hear, if there is anything new in it and the
    /// last write is not too recent.
    pub fn unwritten(&mut self, now: Now) -> Option<Vec<Report>> {
        if now < self.stored.next_write {
            return None;
        }
        let mut latest: Vec<(Now, FeatureId)> = Vec::new();
        for (feature, ends) in &self.suspects {
            latest.extend(ends.iter().map(|e| e.at).max().map(|at| (at, *feature)));
        }
        latest.sort_unstable_by(|a, b| b.cmp(a));
        latest.truncate(MAX_WRITTEN);
        let mut reports = Vec::new();
        let mut content = Content::default();
        for (at, feature) in latest {
            self.stored.doubted.insert(feature, at);
            for end in self.suspects.get(&feature).into_iter().flatten() {
                content.0.push((feature, end.upstream.clone(), end.at));
                reports.push(Report::End {
                    upstream: end.upstream.clone(),
                    age: now.saturating_sub(end.at),
                    at_begin: end.at_begin,
                    features: vec![feature],
                });
            }
        }
        for feature in self.stored.doubted.keys() {
            if let Some(at) = self.sound_at.get(feature) {
                let step = at.as_millis() / SOUND_STEP.as_millis();
                content.1.push((*feature, step));
                reports.push(Report::Sound {
                    features: vec![*feature],
                    age: now.saturating_sub(*at),
                });
            }
        }
        if content == self.stored.written {
            return None;
        }
        self.stored.written = content;
        self.stored.next_write = now + WRITE_INTERVAL;
        Some(reports)
    }

    /// Records that the store may lack what [`Self::unwritten`] returned.
    pub fn write_failed(&mut self) {
        self.stored.written = Content::default();
    }

    /// Processes reports that another host wrote to the store.
    pub fn receive_stored(&mut self, now: Now, reports: Vec<Report>) {
        for report in reports {
            match report {
                Report::End {
                    upstream,
                    age,
                    at_begin,
                    features,
                } if age < MAX_STORED_AGE => {
                    let at = now.saturating_sub(age);
                    let end = End {
                        upstream,
                        at,
                        at_begin,
                    };
                    let new = features.iter().copied().filter(|f| !self.knows(*f, &end));
                    let new: Vec<FeatureId> = new.collect();
                    if self.stored.doubted.len() + features.len() <= MAX_SUSPECTS {
                        let doubted = features.iter().map(|f| (*f, at));
                        self.stored.doubted.extend(doubted);
                    }
                    if !new.is_empty() {
                        self.count_end(&end, &new);
                    }
                }
                Report::Sound { .. } => drop(self.receive(now, vec![report])),
                Report::End { .. } | Report::Refused { .. } => {}
            }
        }
    }

    /// Whether an end that another host wrote is known of a feature.
    fn knows(&self, feature: FeatureId, end: &End) -> bool {
        let mut known = self.suspects.get(&feature).into_iter().flatten();
        let is_close = |at: Now| at.abs_diff(end.at) < SAME_END_GAP;
        known.any(|e| e.upstream == end.upstream && is_close(e.at))
    }
}
