//! Streams at upstreams that stand still.
//!
//! A frozen machine says nothing, and a request to cancel does not reach it. The callers of its
//! streams would give up without an answer, with time left in which another upstream could serve
//! them, and the work that they had asked for would go on when the machine does.
//!
//! Silence alone is no evidence: the upstream may be slow, its group may wait for a rank, or this host
//! may have been paused. A stream is lost if nothing at all has come from its upstream for most of
//! the time that a caller waits, and meanwhile either other upstreams of the service went on, or one
//! of them reported that its group waits for a rank.
//!
//! New requests avoid an upstream sooner, since that costs nothing: as soon as it is silent while
//! others go on. One that stood still gets a single request at a time until it is heard of again.
//!
//! Silence has more weight the less time a caller has left: what can still be served elsewhere is
//! moved while it can. Only streams that run at an upstream make its silence evidence so soon; requests
//! that wait in its queue are silent in any case.

use std::collections::BTreeMap;
use std::time::Duration;

use super::departure::Departure;
use super::registry::UpstreamId;
use crate::types::{Now, ServiceId};

/// Share of a caller's patience after which a stream that has begun is lost, and with it all others at
/// its upstream. Another upstream needs the rest to send its next event.
const BEGUN_SHARE_OF_PATIENCE: f64 = 0.5;
/// The same for a stream without an event, from the time at which it was sent.
const NEW_SHARE_OF_PATIENCE: f64 = 0.5;
/// The same at an upstream that has not been heard of since it stood still.
const TRIAL_SHARE_OF_PATIENCE: f64 = 0.25;
/// Share of a caller's patience that another upstream needs to begin its stream.
const MOVE_SHARE_OF_PATIENCE: f64 = 0.4;
/// Time without a sign after which an upstream gets no new requests.
const SUSPECT_TIME: Duration = Duration::from_millis(300);
/// Multiple of an upstream's usual time between signs after which it is silent, if that is longer.
const SUSPECT_INTERVALS: u32 = 2;
/// Share of the usual time between signs that is left after each sign, unless the time before that sign
/// was longer: signs come in bursts, and each pass ends with a long pause.
const INTERVAL_DECAY: f64 = 0.95;
/// Signs of other upstreams count once in this time, so that bytes which waited for this host while
/// it was paused are no evidence of an upstream's silence.
const BEAT: Duration = Duration::from_millis(100);
/// Number of beats of other upstreams that show that they go on.
const MIN_BEATS: u64 = 3;
/// Time for which the report of a stall counts: ranks that wait report again with each request.
const REPORT_VALIDITY: Duration = Duration::from_secs(1);
/// Time after which an undecided attempt is looked at again.
const RECHECK_INTERVAL: Duration = Duration::from_millis(100);

/// An attempt to have a stream served.
#[derive(Clone, Copy, Debug)]
pub struct StreamAttempt<'a> {
    /// Service of the request.
    pub service: &'a str,
    /// Upstream that it was sent to.
    pub upstream: &'a str,
    /// When it was sent.
    pub sent_at: Now,
    /// Whether an event has arrived.
    pub has_begun: bool,
    /// Time without an event after which the caller gives up.
    pub patience: Duration,
    /// When the caller leaves.
    pub departure: Departure,
}

/// Whether an attempt can be expected to go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Prospect {
    /// It can; decide again at this time unless something arrives.
    GoesOn(Now),
    /// Its upstream stands still.
    Lost,
    /// Requests like it are refused by now.
    Withdrawn,
    /// Its caller is about to leave.
    Expired,
}

#[derive(Clone, Copy, Debug, Default)]
struct Service {
    beats: u64,
    last_beat_at: Option<Now>,
    stall_reported_at: Option<Now>,
}

#[derive(Clone, Copy, Debug)]
struct Sign {
    at: Now,
    /// Beats of the service at that time.
    beats: u64,
    /// Usual time between signs.
    interval: Duration,
    /// When all streams there were lost, if they were since.
    lost_at: Option<Now>,
    /// It stood still, and nothing has arrived from it since.
    is_doubtful: bool,
}

/// Moments at which the silence of an upstream has lasted for long enough to give something up.
#[derive(Clone, Copy, Debug)]
struct Silence {
    /// The attempt that is looked at.
    attempt: Now,
    /// All attempts at the upstream.
    upstream: Now,
    /// Streams that have begun there.
    begun: Now,
}

/// What new requests may expect of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Liveness {
    /// Nothing speaks against it.
    Likely,
    /// It is silent while others go on, or stands still.
    Suspect,
    /// It stood still, and no request of this host waits there: one may find out whether it does.
    Unknown,
}

/// Signs of life of the upstreams that this host has sent requests to.
#[derive(Clone, Debug, Default)]
pub struct Signs {
    services: BTreeMap<ServiceId, Service>,
    last: BTreeMap<UpstreamId, Sign>,
    /// Number of this host's streams that have begun, by upstream.
    running: BTreeMap<UpstreamId, u32>,
}

impl Signs {
    /// Records that a request is sent to an upstream. `is_idle` tells that this host has no other
    /// one there, so that it could not have heard of the upstream.
    pub fn record_send(&mut self, now: Now, service: &str, upstream: &str, is_idle: bool) {
        let beats = self.services.get(service).map_or(0, |s| s.beats);
        let sign = Sign {
            at: now,
            beats,
            interval: Duration::ZERO,
            lost_at: None,
            is_doubtful: self.last.get(upstream).is_some_and(|s| s.is_doubtful),
        };
        if is_idle || !self.last.contains_key(upstream) {
            self.last.insert(upstream.to_owned(), sign);
        }
    }

    /// Records that a part of an answer arrived from an upstream.
    pub fn record(&mut self, now: Now, service: &str, upstream: &str) {
        if !self.services.contains_key(service) {
            self.services.insert(service.to_owned(), Service::default());
        }
        let Some(state) = self.services.get_mut(service) else {
            return;
        };
        if state.last_beat_at.is_none_or(|at| now >= at + BEAT) {
            state.beats += 1;
            state.last_beat_at = Some(now);
        }
        let beats = state.beats;
        if let Some(sign) = self.last.get_mut(upstream) {
            let pause = now.saturating_sub(sign.at);
            *sign = Sign {
                at: now,
                beats,
                interval: pause.max(sign.interval.mul_f64(INTERVAL_DECAY)),
                lost_at: None,
                is_doubtful: false,
            };
        }
    }

    /// What a new request may expect of an upstream. `is_idle` tells that this host has no request
    /// there.
    #[must_use]
    pub fn liveness(&self, now: Now, service: &str, upstream: &str, is_idle: bool) -> Liveness {
        let Some(sign) = self.last.get(upstream) else {
            return Liveness::Likely;
        };
        if is_idle {
            return if sign.is_doubtful {
                Liveness::Unknown
            } else {
                Liveness::Likely
            };
        }
        let beats = self.services.get(service).map_or(0, |s| s.beats);
        let is_silent = now >= sign.at + SUSPECT_TIME && beats - sign.beats >= MIN_BEATS;
        if is_silent || sign.lost_at.is_some() || sign.is_doubtful {
            Liveness::Suspect
        } else {
            Liveness::Likely
        }
    }

    /// Records that an upstream of a service waits for another one of its group.
    pub fn record_stall(&mut self, now: Now, service: &str) {
        let state = self.services.entry(service.to_owned()).or_default();
        state.stall_reported_at = Some(now);
    }

    /// Records that a stream has begun at an upstream.
    pub fn record_begin(&mut self, upstream: &str) {
        *self.running.entry(upstream.to_owned()).or_default() += 1;
    }

    /// Records that a stream that had begun at an upstream has ended there.
    pub fn record_end(&mut self, upstream: &str) {
        if let Some(count) = self.running.get_mut(upstream) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.running.remove(upstream);
            }
        }
    }

    /// Prospect of an attempt.
    #[must_use]
    pub fn prospect(&mut self, now: Now, attempt: StreamAttempt<'_>) -> Prospect {
        let answer_by = attempt.departure.answer_by();
        if answer_by.is_some_and(|by| now >= by) {
            return Prospect::Expired;
        }
        let sign = self.last.get(attempt.upstream).copied();
        let lost_at = sign.and_then(|s| s.lost_at);
        if lost_at.is_some_and(|at| attempt.sent_at < at) {
            return Prospect::Lost;
        }
        let recheck_at = |at: Now| Prospect::GoesOn(answer_by.map_or(at, |by| by.min(at)));
        let silence = self.silence(attempt, sign);
        if now < silence.attempt {
            // Streams that have begun may be lost sooner, and this one with them.
            let begun = silence.begun + RECHECK_INTERVAL;
            let next = if now < begun {
                begun
            } else {
                now + RECHECK_INTERVAL
            };
            return recheck_at(next.min(silence.attempt));
        }
        let beats = self.services.get(attempt.service).map_or(0, |s| s.beats);
        let beats_since = beats - sign.map_or(beats, |s| s.beats);
        if beats_since < MIN_BEATS && !self.stall_reported(now, attempt.service) {
            return recheck_at(now + RECHECK_INTERVAL);
        }
        if now >= silence.upstream
            && let Some(sign) = self.last.get_mut(attempt.upstream)
        {
            sign.lost_at = Some(now);
            sign.is_doubtful = true;
        }
        Prospect::Lost
    }

    /// When the silence of an attempt's upstream is long enough.
    fn silence(&self, attempt: StreamAttempt<'_>, sign: Option<Sign>) -> Silence {
        let after = |since: Now, share| since + attempt.patience.mul_f64(share);
        let heard_at = sign.map_or(attempt.sent_at, |s| s.at);
        let since = heard_at.max(attempt.sent_at);
        let is_running = self.running.contains_key(attempt.upstream);
        let upstream = if attempt.has_begun {
            after(since, BEGUN_SHARE_OF_PATIENCE)
        } else if sign.is_some_and(|s| s.is_doubtful) {
            after(attempt.sent_at, TRIAL_SHARE_OF_PATIENCE)
        } else {
            after(since, NEW_SHARE_OF_PATIENCE)
        };
        let usual = sign.map_or(Duration::ZERO, |s| s.interval * SUSPECT_INTERVALS);
        let move_time = attempt.patience.mul_f64(MOVE_SHARE_OF_PATIENCE);
        let move_by = attempt
            .departure
            .at()
            .map(|at| at.saturating_sub(move_time));
        Silence {
            attempt: match move_by {
                Some(by) if is_running => upstream.min(by.max(since + SUSPECT_TIME.max(usual))),
                _ => upstream,
            },
            upstream,
            begun: after(heard_at, BEGUN_SHARE_OF_PATIENCE),
        }
    }

    /// Whether an upstream of a service reported a moment ago that it waits for another one.
    #[must_use]
    pub fn stall_reported(&self, now: Now, service: &str) -> bool {
        let reported_at = self.services.get(service).and_then(|s| s.stall_reported_at);
        reported_at.is_some_and(|at| now < at + REPORT_VALIDITY)
    }

    /// Drops what is recorded of upstreams that are no longer known.
    pub fn retain(&mut self, known: impl Fn(&UpstreamId) -> bool) {
        self.last.retain(|id, _| known(id));
    }
}
