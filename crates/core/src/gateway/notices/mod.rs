//! What upstreams say of themselves in their answers: that they leave, and for how long they want no
//! requests from this host.
//!
//! An upstream that leaves gets no request until another incarnation of it is listed. Hosts tell each
//! other of such upstreams. A report of another host counts for [`REPORT_VALIDITY`] only, and ends with an
//! answer to a later request that does not confirm it, so that a wrong one does not take an upstream away
//! for good.
//!
//! A pause is between one upstream and one host. After it, the upstream gets a few requests; all others go
//! elsewhere until it has answered one of them.

mod report;

use std::collections::BTreeMap;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::registry::{Born, Registry, Upstream, UpstreamId};
use crate::types::Now;

pub use report::LeavingReport;

/// Time for which a report of another host counts.
pub const REPORT_VALIDITY: Duration = Duration::from_secs(30);
/// Time after an answer for which other hosts are told of it.
const REPORT_TIME: Duration = Duration::from_secs(5);
/// Time for which an upstream that leaves is remembered after its entry was removed: the entry may come
/// back after an outage of the store.
const UNLISTED_RETENTION: Duration = Duration::from_secs(60);
/// Requests that an upstream gets after a pause until it has answered one.
const TRIAL_REQUESTS: u32 = 2;
/// Longest random time that is added to a pause, as a share of it.
const PAUSE_SPREAD: f64 = 0.1;
/// Bounds of that time.
const MIN_PAUSE_SPREAD: Duration = Duration::from_millis(100);
const MAX_PAUSE_SPREAD: Duration = Duration::from_secs(1);
/// Time for which the requests after a pause are expected to take.
const TRIAL_TIME: Duration = Duration::from_millis(200);

/// What the head of an answer says of its upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Notice {
    /// It leaves.
    pub leaving: bool,
    /// It wants no requests from this host for this time.
    pub pause: Option<Duration>,
}

/// What an answer or a report has changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// The upstream leaves, which was not known before.
    pub leaving: bool,
    /// A pause begins, or has another end than before.
    pub pause: bool,
}

/// Whether an upstream takes requests of this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Willingness {
    /// It does.
    Open,
    /// It leaves.
    Leaving,
    /// It wants none, or has to answer one first; probably for this time.
    Paused(Duration),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Leaving {
    born: Option<Born>,
    said_at: Now,
    /// Whether this host got the answer that said so.
    first_hand: bool,
    /// When the upstream was listed last.
    listed_at: Now,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Pause {
    until: Now,
    /// Requests that were sent after it and have not been answered.
    trials: u32,
}

/// What upstreams have said of themselves, as one host knows it.
#[derive(Clone, Debug)]
pub struct Notices {
    leaving: BTreeMap<UpstreamId, Leaving>,
    pauses: BTreeMap<UpstreamId, Pause>,
    rng: SmallRng,
}

impl Notices {
    /// Creates the state of a host that has got no answers.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            leaving: BTreeMap::new(),
            pauses: BTreeMap::new(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Number of upstreams that leave.
    #[must_use]
    pub fn leaving(&self) -> usize {
        self.leaving.len()
    }

    /// Number of upstreams that want no requests, or have not answered one since.
    #[must_use]
    pub fn paused(&self) -> usize {
        self.pauses.len()
    }

    /// Records what the head of an answer says; `upstream` is the one that the request was sent to at
    /// `sent_at`.
    pub fn record_answer(
        &mut self,
        now: Now,
        upstream: &Upstream,
        sent_at: Now,
        notice: Notice,
    ) -> Changes {
        let id = &upstream.id;
        let mut changes = Changes::default();
        match notice.pause {
            Some(pause) => {
                changes.pause = true;
                self.pauses.remove(id);
                if !pause.is_zero() {
                    let until = now.saturating_add(pause.saturating_add(self.spread(pause)));
                    self.pauses.insert(id.clone(), Pause { until, trials: 0 });
                }
            }
            None => {
                if self.pauses.get(id).is_some_and(|p| p.until <= sent_at) {
                    self.pauses.remove(id);
                }
            }
        }
        let known = self.leaving.get(id).copied();
        let known = known.filter(|k| k.born == upstream.born);
        if notice.leaving {
            changes.leaving = known.is_none();
            let leaving = Leaving {
                born: upstream.born,
                said_at: now,
                first_hand: true,
                listed_at: now,
            };
            self.leaving.insert(id.clone(), leaving);
        } else if known.is_some_and(|k| !k.first_hand && k.said_at < sent_at) {
            self.leaving.remove(id);
        }
        changes
    }

    /// Random time after a pause, so that hosts which were told the same do not return together.
    fn spread(&mut self, pause: Duration) -> Duration {
        let most = pause.mul_f64(PAUSE_SPREAD);
        let most = most.clamp(MIN_PAUSE_SPREAD, MAX_PAUSE_SPREAD);
        most.mul_f64(self.rng.random_range(0.0..1.0))
    }

    /// Records a report of another host. Returns whether it is news. A report on another incarnation than
    /// the listed one is ignored, and so is one that is too old.
    pub fn receive(&mut self, now: Now, report: &LeavingReport, listed: Option<&Upstream>) -> bool {
        let Some(listed) = listed else {
            return false;
        };
        let known = self.leaving.get(&report.upstream);
        let is_known = known.is_some_and(|k| k.born == report.born);
        if is_known || listed.born != report.born || report.age >= REPORT_VALIDITY {
            return false;
        }
        let leaving = Leaving {
            born: report.born,
            said_at: now.saturating_sub(report.age),
            first_hand: false,
            listed_at: now,
        };
        self.leaving.insert(report.upstream.clone(), leaving);
        true
    }

    /// What other hosts should know: answers that this host got itself, and for a new host also what others
    /// have reported.
    #[must_use]
    pub fn reports(&self, now: Now, for_new_host: bool) -> Vec<LeavingReport> {
        let age = |l: &Leaving| now.saturating_sub(l.said_at);
        let is_due = |l: &Leaving| for_new_host || (l.first_hand && age(l) < REPORT_TIME);
        let reports = self.leaving.iter().filter(|(_, l)| is_due(l));
        let reports = reports.map(|(id, l)| LeavingReport {
            upstream: id.clone(),
            born: l.born,
            age: age(l),
        });
        reports.collect()
    }

    /// Whether an upstream takes further requests of this host.
    #[must_use]
    pub fn willingness(&self, now: Now, upstream: &Upstream) -> Willingness {
        if self.leaving.is_empty() && self.pauses.is_empty() {
            return Willingness::Open;
        }
        if self.is_leaving(now, upstream) {
            return Willingness::Leaving;
        }
        match self.pauses.get(&upstream.id) {
            Some(pause) if now < pause.until => {
                Willingness::Paused(pause.until.saturating_sub(now))
            }
            Some(pause) if pause.trials >= TRIAL_REQUESTS => Willingness::Paused(TRIAL_TIME),
            _ => Willingness::Open,
        }
    }

    fn is_leaving(&self, now: Now, upstream: &Upstream) -> bool {
        let leaving = self.leaving.get(&upstream.id);
        leaving.is_some_and(|l| l.born == upstream.born && l.counts(now))
    }

    /// Whether what the upstream has said permits that a request is sent to it that was chosen for it.
    #[must_use]
    pub fn may_send(&self, now: Now, upstream: &Upstream) -> bool {
        let pause = self.pauses.get(&upstream.id);
        !self.is_leaving(now, upstream) && pause.is_none_or(|p| p.until <= now)
    }

    /// Records that a request is sent to an upstream.
    pub fn record_send(&mut self, now: Now, upstream: &str) {
        if let Some(pause) = self.pauses.get_mut(upstream)
            && pause.until <= now
        {
            pause.trials += 1;
        }
    }

    /// Records that an attempt has ended, with an answer or without. Of one with an answer,
    /// [`Self::record_answer`] was told before.
    pub fn record_end(&mut self, upstream: &str) {
        if let Some(pause) = self.pauses.get_mut(upstream) {
            pause.trials = pause.trials.saturating_sub(1);
        }
    }

    /// Drops what is known of earlier incarnations and of upstreams that are no longer listed, and reports
    /// that are too old.
    pub fn expire(&mut self, now: Now, registry: &Registry) {
        self.leaving.retain(|id, leaving| {
            let listed = registry.get(id);
            if listed.is_some() {
                leaving.listed_at = now;
            }
            let is_same = listed.is_none_or(|u| u.born == leaving.born);
            let is_missed = listed.is_none() && leaving.is_forgotten(now);
            is_same && !is_missed && leaving.counts(now)
        });
        self.pauses.retain(|id, _| registry.get(id).is_some());
    }
}

impl Leaving {
    fn counts(&self, now: Now) -> bool {
        self.first_hand || now.saturating_sub(self.said_at) < REPORT_VALIDITY
    }

    /// Whether the upstream, which is not listed, is no longer remembered. One of unknown start can't be
    /// told from a later incarnation.
    fn is_forgotten(&self, now: Now) -> bool {
        self.born.is_none() || now.saturating_sub(self.listed_at) >= UNLISTED_RETENTION
    }
}
