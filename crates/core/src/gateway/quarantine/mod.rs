//! Refuses requests under which upstreams end one after the other.
//!
//! Now and then a request ends each upstream that begins to answer it. It may be repeated by its
//! caller, or it may be one of many that differ but have a part of their prompts in common, and such
//! requests come at any host. What a request has in common with others is a [`FeatureId`]: one for
//! each shared part of its prompt, and two for the request as a whole, at its service and at any. Hosts
//! report to one another the features of requests under which an upstream ended, so that all count the
//! same ends.
//!
//! Most features of such a request are innocent, and so are most requests that an ending upstream had
//! just begun to answer. Some rules keep them in use:
//!
//! - A feature is sound if a request with it was answered whole shortly before the end or at any time after. For
//!   a request as a whole, the upstream must also outlive the answer. That an upstream went on with it for a
//!   while shows nothing.
//! - Most requests at an upstream that ends have been there for a while. Such ends count less than those of
//!   upstreams that had just begun an answer.
//! - If several parts are the only ones that explain the same ends, requests are refused that have
//!   all of them. Any further end under other features, or an answer, tells them apart.
//! - A request that explains the ends itself is refused alone, and its parts are not.
//! - An end that a refused feature explains counts for no other.
//!
//! Features that are refused also go to the platform's store, since all hosts may be restarted at the
//! same time, and hosts that can't hear each other may still reach the store. Such hosts write there what
//! they know of ends and answers as well.

mod recent;
mod report;
mod stored;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::registry::UpstreamId;
use crate::platform::Era;
use crate::rendezvous;
use crate::types::Now;

use recent::Recent;
pub use report::Report;
use stored::Stored;

/// Hash of something that requests have in common.
pub type FeatureId = u64;
/// Features that only requests which have all of them are refused for.
pub type FeatureSet = BTreeSet<FeatureId>;

/// Distance between two ends that are no single incident, such as the loss of a rack.
const INCIDENT_GAP: Duration = Duration::from_secs(1);
/// Incidents after which a feature is refused, of upstreams that had just begun an answer.
const MIN_INCIDENTS: usize = 2;
/// Ends after which a part is refused in any case.
const MIN_ENDS: usize = 4;
/// Ends after which a request as a whole is refused in any case: it is rarely at an ending upstream by
/// chance, and an upstream of a plain service ends before the head of its answer.
const MIN_ENDS_OF_REQUEST: usize = 3;
/// Bit of a feature that tells a request as a whole from a part.
const REQUEST_BIT: FeatureId = 1 << 63;
/// Largest set of features that is refused together; a larger one is left for further evidence.
const MAX_SET: usize = 8;
/// Time before an end in which an answer shows that a feature is sound. A new version of an engine may
/// end where an older one did not.
const SOUND_BEFORE_END: Duration = Duration::from_secs(10);
/// Age from which an end counts: by then other hosts have reported what else was running, and which
/// features are sound.
const SETTLE_TIME: Duration = Duration::from_millis(1_200);
/// The same for an end that leaves fewer features than are refused together so far: a lost report of one
/// of them would look the same.
const NARROWING_SETTLE_TIME: Duration = Duration::from_millis(2_200);
/// Time for which an end counts.
const END_RETENTION: Duration = Duration::from_secs(300);
/// Time for which a feature is refused.
const QUARANTINE_TIME: Duration = Duration::from_secs(600);
/// Features whose ends are kept; the oldest are dropped.
const MAX_SUSPECTS: usize = 2_048;
/// Features whose last answers are kept.
const MAX_SOUND: usize = 4_096;
/// Ends that refused features explain.
const MAX_EXPLAINED: usize = 64;
/// Times that a report is sent to all other hosts.
const SENDS_OF_NEWS: u32 = 2;
/// Time between two of them.
const RESEND_INTERVAL: Duration = Duration::from_millis(200);
/// Time for which what is new is repeated to other hosts.
const NEWS_TIME: Duration = Duration::from_secs(15);
/// Longest time after which a host saves a decision about ends that it saw itself.
const OWN_SAVE_DELAY: Duration = Duration::from_millis(500);
/// Shortest time after which another host saves the decision, unless one of those has.
const MIN_SAVE_DELAY: Duration = Duration::from_secs(2);
/// Longest time until then.
const MAX_SAVE_DELAY: Duration = Duration::from_secs(4);
/// Start of a body that tells requests apart, besides its length.
const MAX_HASHED_BYTES: usize = 64 << 10;
/// Time after which a failed save is repeated.
const SAVE_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Feature of requests to a service whose prompts have a part.
#[must_use]
pub fn part_feature(service: &str, part: &str) -> FeatureId {
    rendezvous::weight(rendezvous::hash(service), rendezvous::hash(part)) & !REQUEST_BIT
}

/// Feature of all repetitions of a request to a service. `content` is a hash of all that the request
/// consists of.
#[must_use]
pub fn request_feature(service: &str, content: u64) -> FeatureId {
    rendezvous::weight(content, rendezvous::hash(service)) | REQUEST_BIT
}

/// Features of all repetitions of a request: at its service, and at any service of the host name that it
/// names.
///
/// A route may be split between services, or move to another one. Ends count over all of them, but an
/// answer of one service does not show that a request is sound at another.
#[must_use]
pub fn request_features(host: &str, service: &str, content: u64) -> [FeatureId; 2] {
    let at_host = rendezvous::weight(rendezvous::hash(host), content) | REQUEST_BIT;
    [request_feature(service, content), at_host]
}

/// Whether a feature is that of a request as a whole.
fn is_request(feature: FeatureId) -> bool {
    feature & REQUEST_BIT != 0
}

/// Hash of what a request consists of: the lines of its head that matter, and its body.
#[must_use]
pub fn content_hash(head: &str, body: &[u8]) -> u64 {
    let head = rendezvous::hash(&format!("{head} {}", body.len()));
    let start = &body[..body.len().min(MAX_HASHED_BYTES)];
    rendezvous::weight(head, rendezvous::hash_bytes(start))
}

/// End of an upstream under a request.
#[derive(Clone, Debug, PartialEq, Eq)]
struct End {
    upstream: UpstreamId,
    at: Now,
    /// Whether the upstream had begun to answer just before.
    at_begin: bool,
}

impl End {
    /// Whether both are the same end, reported by different hosts or under different requests. An
    /// upstream may start again under the same id.
    fn is_same(&self, upstream: &str, at: Now) -> bool {
        self.upstream == upstream && self.at.abs_diff(at) < INCIDENT_GAP
    }
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    since: Now,
    /// Last end that the features explain.
    ended_at: Now,
    until: Now,
    /// Era in which the store had the entry; `None` if it may never have had it.
    saved_in: Option<Era>,
    /// When this host saves the entry, unless another one has.
    save_at: Now,
}

/// A report that all other hosts have to get, more than once since datagrams are lost.
#[derive(Clone, Debug)]
struct News {
    report: Report,
    made_at: Now,
    due_at: Now,
    sends_left: u32,
}

/// Features that the store does not have yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Unsaved {
    /// Features that only requests which have all of them are refused for.
    pub features: FeatureSet,
    /// Time since the last end that they explain.
    pub ended: Duration,
    /// Time for which they are still refused.
    pub left: Duration,
}

/// Change of what is refused, for logs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Requests with all of these features are refused from now on.
    Added(FeatureSet),
    /// They are not refused any more.
    Lifted(FeatureSet),
}

/// Ends of upstreams by the features of requests, and the features that are refused.
#[derive(Clone, Debug)]
pub struct Quarantine {
    suspects: BTreeMap<FeatureId, Vec<End>>,
    /// Features with ends that this host reported.
    own_suspects: FeatureSet,
    /// When a request with a feature was last answered.
    sound_at: BTreeMap<FeatureId, Now>,
    entries: BTreeMap<FeatureSet, Entry>,
    explained: Vec<(UpstreamId, Now)>,
    /// Reports that all other hosts have to get.
    news: Vec<News>,
    changes: Vec<Change>,
    /// Latest known era of the store.
    era: Era,
    rng: SmallRng,
    stored: Stored,
    recent: Recent,
}

impl Quarantine {
    /// Creates an empty quarantine.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            suspects: BTreeMap::new(),
            own_suspects: FeatureSet::new(),
            sound_at: BTreeMap::new(),
            entries: BTreeMap::new(),
            explained: Vec::new(),
            news: Vec::new(),
            changes: Vec::new(),
            era: 0,
            rng: SmallRng::seed_from_u64(seed),
            stored: Stored::default(),
            recent: Recent::default(),
        }
    }

    /// Time for which requests with these features are still refused; `None` if they are not.
    #[must_use]
    pub fn refused_for(&self, now: Now, features: &[FeatureId]) -> Option<Duration> {
        let until = self
            .applying(features)
            .filter_map(|set| self.entries.get(set));
        let until = until.map(|entry| entry.until).max()?;
        (now < until).then(|| until.saturating_sub(now))
    }

    /// Number of sets of features that are refused.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nothing is refused.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Records that an upstream ended under a request of this host. `at_begin` tells that it had begun to
    /// answer it just before.
    pub fn record_end(
        &mut self,
        now: Now,
        at: Now,
        upstream: &str,
        at_begin: bool,
        features: &[FeatureId],
    ) {
        let doubtful = features.iter().copied().filter(|f| !self.is_sound(*f, at));
        let features: Vec<FeatureId> = doubtful.collect();
        self.own_suspects.extend(&features);
        let end = End {
            upstream: upstream.to_owned(),
            at,
            at_begin,
        };
        self.count_end(&end, &features);
        self.announce(
            now,
            Report::End {
                upstream: end.upstream,
                age: now.saturating_sub(at),
                at_begin,
                features,
            },
        );
    }

    /// Records that an upstream answered a request of this host, and lives.
    pub fn record_sound(&mut self, now: Now, features: &[FeatureId]) {
        let doubted: Vec<FeatureId> = features
            .iter()
            .copied()
            .filter(|f| self.is_doubted(*f))
            .collect();
        self.count_sound(now, features);
        if !doubted.is_empty() {
            self.announce(
                now,
                Report::Sound {
                    features: doubted,
                    age: Duration::ZERO,
                },
            );
        }
    }

    /// Processes reports of another host and returns those for its own use.
    pub fn receive(&mut self, now: Now, reports: Vec<Report>) -> Vec<Report> {
        let mut replies = Vec::new();
        for report in reports {
            match report {
                Report::End {
                    upstream,
                    age,
                    at_begin,
                    features,
                } => {
                    let at = now.saturating_sub(age);
                    replies.extend(self.sound_report(now, at, &features));
                    let end = End {
                        upstream,
                        at,
                        at_begin,
                    };
                    self.count_end(&end, &features);
                    self.count_recent(now, at, &end.upstream);
                }
                Report::Sound { features, age } => {
                    let own = features.iter().filter(|f| self.own_suspects.contains(f));
                    let own: Vec<FeatureId> = own.copied().collect();
                    self.count_sound(now.saturating_sub(age), &features);
                    if !own.is_empty() {
                        self.own_suspects.retain(|f| !own.contains(f));
                        // The other host told this one only.
                        self.announce(now, Report::Sound { features: own, age });
                    }
                }
                Report::Refused {
                    features,
                    ended,
                    left,
                    saved_in,
                } => {
                    let until = now + left.min(QUARANTINE_TIME);
                    let at = now.saturating_sub(ended);
                    let known: Vec<FeatureId> = features.iter().copied().collect();
                    replies.extend(self.sound_report(now, at, &known));
                    self.add(now, features, at, until, saved_in);
                }
            }
        }
        replies
    }

    /// Decides which features are refused, from the ends that are old enough.
    pub fn decide(&mut self, now: Now) {
        self.judge_recent(now);
        self.judge_requests(now);
        let several =
            |(f, ends): &(&FeatureId, &Vec<End>)| !is_request(**f) && ends.len() >= MIN_INCIDENTS;
        let suspects = self.suspects.iter().filter(several);
        let suspects: Vec<FeatureId> = suspects.map(|(f, _)| *f).collect();
        for feature in suspects {
            self.judge(now, feature);
        }
    }

    /// Adds features that the store says are refused until the given time, since upstreams ended until
    /// `ended_at`.
    ///
    /// The store said so in the given era.
    pub fn restore(&mut self, now: Now, features: FeatureSet, ended_at: Now, until: Now, era: Era) {
        let known: Vec<FeatureId> = features.iter().copied().collect();
        if let Some(report) = self.sound_report(now, ended_at, &known) {
            self.announce(now, report);
        }
        self.add(now, features, ended_at, until, Some(era));
    }

    /// Whether there are reports that all other hosts have to get now.
    #[must_use]
    pub fn has_news(&self, now: Now) -> bool {
        self.news.iter().any(|n| n.due_at <= now)
    }

    /// Takes the reports that all other hosts have to get now.
    pub fn take_news(&mut self, now: Now) -> Vec<Report> {
        let mut reports = Vec::new();
        for news in self.news.iter_mut().filter(|n| n.due_at <= now) {
            let age = now.saturating_sub(news.made_at);
            reports.push(news.report.clone().aged(age));
            news.due_at = now + RESEND_INTERVAL;
            news.sends_left -= 1;
        }
        self.news.retain(|n| n.sends_left > 0);
        reports
    }

    /// Takes the changes since the last call, for logs.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// All that another host has to know: everything if it is new, else what is new itself.
    #[must_use]
    pub fn reports(&self, now: Now, everything: bool) -> Vec<Report> {
        let is_due = |since: Now| everything || now.saturating_sub(since) < NEWS_TIME;
        let ends = self.suspects.iter().flat_map(|(feature, ends)| {
            let due = ends.iter().filter(|e| is_due(e.at));
            due.map(|end| Report::End {
                upstream: end.upstream.clone(),
                age: now.saturating_sub(end.at),
                at_begin: end.at_begin,
                // Features of different requests would read as those of one.
                features: vec![*feature],
            })
        });
        let due = self.entries.iter().filter(|(_, e)| is_due(e.since));
        let entries = due.map(|(set, e)| Report::Refused {
            features: set.clone(),
            ended: now.saturating_sub(e.ended_at),
            left: e.until.saturating_sub(now),
            saved_in: e.saved_in,
        });
        ends.chain(entries).collect()
    }

    /// The next set that this host has to save.
    #[must_use]
    pub fn unsaved(&self, now: Now) -> Option<Unsaved> {
        let due = |e: &Entry| !e.is_saved(self.era) && now >= e.save_at && now < e.until;
        let (set, entry) = self.entries.iter().find(|(_, e)| due(e))?;
        Some(Unsaved {
            features: set.clone(),
            ended: now.saturating_sub(entry.ended_at),
            left: entry.until.saturating_sub(now),
        })
    }

    /// Records that the store is in an era. One that was restored from a copy may lack what was saved
    /// there before.
    pub fn observe_era(&mut self, now: Now, era: Era) {
        if era <= self.era {
            return;
        }
        self.era = era;
        self.write_failed();
        for (set, entry) in &mut self.entries {
            let is_own = set.iter().any(|f| self.own_suspects.contains(f));
            entry.save_at = now + save_delay(&mut self.rng, is_own);
        }
    }

    /// Latest known era of the store.
    #[must_use]
    pub fn era(&self) -> Era {
        self.era
    }

    /// Records whether a set was saved, in the era that the store was in when the save began.
    pub fn save_ended(&mut self, now: Now, set: &FeatureSet, saved_in: Option<Era>) {
        let Some(entry) = self.entries.get_mut(set) else {
            return;
        };
        entry.saved_in = entry.saved_in.max(saved_in);
        entry.save_at = now + SAVE_RETRY_DELAY;
        if saved_in.is_some() {
            let report = Report::Refused {
                features: set.clone(),
                ended: now.saturating_sub(entry.ended_at),
                left: entry.until.saturating_sub(now),
                saved_in,
            };
            self.announce(now, report);
        }
    }

    /// Drops what is too old.
    pub fn expire(&mut self, now: Now) {
        self.suspects.retain(|_, ends| {
            ends.retain(|e| now < e.at + END_RETENTION);
            !ends.is_empty()
        });
        let suspects = &self.suspects;
        self.own_suspects.retain(|f| suspects.contains_key(f));
        self.sound_at.retain(|_, at| now < *at + END_RETENTION);
        self.stored.expire(now);
        let changes = &mut self.changes;
        self.entries.retain(|set, entry| {
            let applies = now < entry.until;
            if !applies {
                changes.push(Change::Lifted(set.clone()));
            }
            applies
        });
    }

    fn announce(&mut self, now: Now, report: Report) {
        self.news.push(News {
            report,
            made_at: now,
            due_at: now,
            sends_left: SENDS_OF_NEWS,
        });
    }

    /// Whether an end or a refusal speaks against a feature.
    fn is_doubted(&self, feature: FeatureId) -> bool {
        let is_refused = self.entries.keys().any(|set| set.contains(&feature));
        is_refused || self.suspects.contains_key(&feature)
    }

    /// Whether a request with a feature was answered shortly before `at` or later.
    fn is_sound(&self, feature: FeatureId, at: Now) -> bool {
        let sound_at = self.sound_at.get(&feature);
        sound_at.is_some_and(|sound_at| *sound_at + SOUND_BEFORE_END >= at)
    }

    fn sound_report(&self, now: Now, at: Now, features: &[FeatureId]) -> Option<Report> {
        let sound = features.iter().copied().filter(|f| self.is_sound(*f, at));
        let features: Vec<FeatureId> = sound.collect();
        let last = features.iter().filter_map(|f| self.sound_at.get(f)).min()?;
        let age = now.saturating_sub(*last);
        Some(Report::Sound { features, age })
    }

    fn count_sound(&mut self, at: Now, features: &[FeatureId]) {
        for feature in features {
            let sound_at = self.sound_at.entry(*feature).or_insert(at);
            *sound_at = at.max(*sound_at);
            let sound_at = *sound_at;
            if let Some(ends) = self.suspects.get_mut(feature) {
                ends.retain(|e| sound_at + SOUND_BEFORE_END < e.at);
                if ends.is_empty() {
                    self.suspects.remove(feature);
                }
            }
            let changes = &mut self.changes;
            self.entries.retain(|set, entry| {
                let is_sound =
                    set.contains(feature) && sound_at + SOUND_BEFORE_END >= entry.ended_at;
                if is_sound {
                    changes.push(Change::Lifted(set.clone()));
                }
                !is_sound
            });
        }
        if self.sound_at.len() > MAX_SOUND {
            let mut times: Vec<Now> = self.sound_at.values().copied().collect();
            times.sort_unstable();
            let median = times[times.len() / 2];
            self.sound_at.retain(|_, at| *at > median);
        }
    }

    fn count_end(&mut self, end: &End, features: &[FeatureId]) {
        let cause = self.applying(features).next().cloned();
        if let Some(cause) = cause {
            self.explain(end, &cause);
            return;
        }
        let mut explained = self.explained.iter();
        if explained.any(|(upstream, at)| end.is_same(upstream, *at)) {
            return;
        }
        for feature in features {
            if self.is_sound(*feature, end.at) {
                continue;
            }
            let ends = self.suspects.entry(*feature).or_default();
            match ends.iter_mut().find(|e| e.is_same(&end.upstream, end.at)) {
                Some(known) => known.at_begin |= end.at_begin,
                None => ends.push(end.clone()),
            }
        }
        while self.suspects.len() > MAX_SUSPECTS {
            let last_end = |ends: &[End]| ends.iter().map(|e| e.at).max();
            let oldest = self.suspects.iter().min_by_key(|(_, e)| last_end(e));
            let Some(oldest) = oldest.map(|(f, _)| *f) else {
                break;
            };
            self.suspects.remove(&oldest);
        }
    }

    /// Refuses each request, as a whole, that enough ends speak against. Of several with the same ends
    /// any may be the cause, and no request is another one.
    fn judge_requests(&mut self, now: Now) {
        let requests = self.suspects.keys().copied().filter(|f| is_request(*f));
        let requests: Vec<FeatureId> = requests.collect();
        let counted = requests.into_iter().filter_map(|feature| {
            let (ends, _) = self.counted_ends(now, feature, MIN_ENDS_OF_REQUEST)?;
            Some((feature, ends))
        });
        let counted: Vec<(FeatureId, Vec<End>)> = counted.collect();
        let causes: FeatureSet = counted.iter().map(|(feature, _)| *feature).collect();
        for (feature, ends) in counted {
            let set = FeatureSet::from([feature]);
            if self.entries.contains_key(&set) {
                continue;
            }
            for end in &ends {
                self.explain(end, &causes);
            }
            let ended_at = ends.iter().map(|e| e.at).max().unwrap_or(now);
            self.add(now, set, ended_at, now + QUARANTINE_TIME, None);
        }
    }

    /// The settled ends that are enough to refuse a feature, and whether only those count whose
    /// upstream had just begun an answer; `None` if they are not enough.
    fn counted_ends(
        &self,
        now: Now,
        feature: FeatureId,
        min_ends: usize,
    ) -> Option<(Vec<End>, bool)> {
        let known = self.suspects.get(&feature).into_iter().flatten();
        let settled = known.filter(|e| now >= e.at + SETTLE_TIME);
        let known: Vec<End> = settled.cloned().collect();
        let begun: Vec<End> = known.iter().filter(|e| e.at_begin).cloned().collect();
        let needs_begin = incidents(&begun) >= MIN_INCIDENTS;
        match (needs_begin, known.len() >= min_ends) {
            (true, _) => Some((begun, true)),
            (false, true) => Some((known, false)),
            (false, false) => None,
        }
    }

    /// Refuses a part if enough ends speak against it, with all others that explain them as well.
    fn judge(&mut self, now: Now, feature: FeatureId) {
        let Some((ends, needs_begin)) = self.counted_ends(now, feature, MIN_ENDS) else {
            return;
        };
        let explains = |known: &[End]| {
            let has = |end: &End| {
                let mut same = known.iter().filter(|e| e.is_same(&end.upstream, end.at));
                same.any(|e| e.at_begin || !needs_begin)
            };
            ends.iter().all(has)
        };
        let equal = self.suspects.iter().filter(|(_, e)| explains(e));
        let set: FeatureSet = equal.map(|(f, _)| *f).collect();
        // The same request each time: it will be judged as a whole.
        if set.iter().any(|f| is_request(*f)) {
            return;
        }
        let ended_at = ends.iter().map(|e| e.at).max().unwrap_or(now);
        // A host that knows more ends than this one may have found a larger set to explain them.
        let is_covered = |(known, entry): (&FeatureSet, &Entry)| {
            let is_narrower = known.is_superset(&set);
            let is_new = ended_at > entry.ended_at && now >= ended_at + NARROWING_SETTLE_TIME;
            known.is_subset(&set) || (is_narrower && !is_new)
        };
        if set.len() > MAX_SET || self.entries.iter().any(is_covered) {
            return;
        }
        for end in &ends {
            self.explain(end, &set);
        }
        self.add(now, set, ended_at, now + QUARANTINE_TIME, None);
    }

    /// Records that an end counts for none but the features of a set, and those that may be the cause
    /// as well.
    fn explain(&mut self, end: &End, set: &FeatureSet) {
        let set = self.with_equal_parts(set);
        self.explained.push((end.upstream.clone(), end.at));
        if self.explained.len() > MAX_EXPLAINED {
            self.explained.remove(0);
        }
        self.suspects.retain(|feature, ends| {
            if !set.contains(feature) {
                ends.retain(|e| !e.is_same(&end.upstream, end.at));
            }
            !ends.is_empty()
        });
    }

    /// The features of a set, and the parts that have all ends of a request in it: a part that ends
    /// upstreams may have come in one request only so far.
    fn with_equal_parts(&self, set: &FeatureSet) -> FeatureSet {
        let mut all = set.clone();
        for request in set.iter().filter(|f| is_request(**f)) {
            let Some(ends) = self.suspects.get(request) else {
                continue;
            };
            let has_all = |known: &[End]| {
                let has = |end: &End| known.iter().any(|e| e.is_same(&end.upstream, end.at));
                ends.iter().all(has)
            };
            let parts = self.suspects.iter().filter(|(f, _)| !is_request(**f));
            all.extend(parts.filter(|(_, e)| has_all(e)).map(|(f, _)| *f));
        }
        all
    }

    /// The sets of which a request has all features.
    fn applying<'a>(&'a self, features: &'a [FeatureId]) -> impl Iterator<Item = &'a FeatureSet> {
        let applies = |set: &&FeatureSet| set.iter().all(|f| features.contains(f));
        self.entries.keys().filter(applies)
    }

    fn add(&mut self, now: Now, set: FeatureSet, ended_at: Now, until: Now, saved_in: Option<Era>) {
        let until = until.min(now + QUARANTINE_TIME);
        let is_sound = set.iter().any(|f| self.is_sound(*f, ended_at));
        if set.is_empty() || is_sound || now >= until {
            return;
        }
        if let Some(entry) = self.entries.get_mut(&set) {
            entry.saved_in = entry.saved_in.max(saved_in);
            return;
        }
        let is_own = set.iter().any(|f| self.own_suspects.contains(f));
        let entry = Entry {
            since: now,
            ended_at,
            until,
            saved_in,
            save_at: now + save_delay(&mut self.rng, is_own),
        };
        self.changes.push(Change::Added(set.clone()));
        self.entries.insert(set, entry);
    }
}

impl Entry {
    /// Whether the store has the entry, if it is in the given era.
    fn is_saved(&self, era: Era) -> bool {
        self.saved_in.is_some_and(|saved_in| saved_in >= era)
    }
}

/// Delay after which a host saves an entry, sooner if it has seen some of the ends itself.
fn save_delay(rng: &mut SmallRng, is_own: bool) -> Duration {
    if is_own {
        rng.random_range(Duration::ZERO..=OWN_SAVE_DELAY)
    } else {
        rng.random_range(MIN_SAVE_DELAY..=MAX_SAVE_DELAY)
    }
}

/// Number of incidents among ends.
fn incidents(ends: &[End]) -> usize {
    let mut times: Vec<Now> = ends.iter().map(|e| e.at).collect();
    times.sort_unstable();
    let mut count = 0;
    let mut last: Option<Now> = None;
    for at in times {
        if last.is_none_or(|last| at >= last + INCIDENT_GAP) {
            count += 1;
            last = Some(at);
        }
    }
    count
}
