//! Requests that have left their upstreams a short time ago.
//!
//! An upstream may end right after it has answered a request, or after the attempt was given up. An answer
//! therefore shows that a request as a whole is sound only if the upstream outlives it for a while; if it does
//! not, it ended under that request as well. An upstream may also go on with a request that was given up. Parts are in many requests, and those that are in flight at the end
//! tell more of them: an answer shows its parts to be sound at once.

use std::collections::VecDeque;
use std::time::Duration;

use super::{FeatureId, Quarantine, is_request};
use crate::gateway::registry::UpstreamId;
use crate::types::Now;

/// Time after an answer for which its upstream may still end under the request.
const SURVIVAL_TIME: Duration = Duration::from_millis(750);
/// The same after an attempt that was given up, which the upstream may go on with.
const ABANDONED_TIME: Duration = Duration::from_secs(5);
/// Requests that are kept; the oldest are judged early.
const MAX_RECENT: usize = 4_096;

/// A request that an upstream is done with.
#[derive(Clone, Debug)]
struct Run {
    upstream: UpstreamId,
    left_at: Now,
    /// Features of the request as a whole.
    features: Vec<FeatureId>,
    /// Whether the upstream answered it, so that it is sound if the upstream lives on.
    is_answered: bool,
}

/// Requests under which their upstreams may still end, the earliest first.
#[derive(Clone, Debug, Default)]
pub(super) struct Recent(VecDeque<Run>);

impl Quarantine {
    /// Records that an upstream is done with a request of this host, and whether it has shown that the
    /// request is sound unless it ends now.
    pub fn record_left(
        &mut self,
        now: Now,
        upstream: &str,
        features: &[FeatureId],
        is_answered: bool,
    ) {
        let (whole, parts): (Vec<FeatureId>, Vec<FeatureId>) =
            features.iter().partition(|f| is_request(**f));
        if is_answered {
            self.record_sound(now, &parts);
        }
        self.recent.0.push_back(Run {
            upstream: upstream.to_owned(),
            left_at: now,
            features: whole,
            is_answered,
        });
        while self.recent.0.len() > MAX_RECENT {
            if let Some(run) = self.recent.0.pop_front() {
                self.judge_run(&run);
            }
        }
    }

    /// Whether requests of this host have just left an upstream.
    #[must_use]
    pub fn has_left_recently(&self, now: Now, upstream: &str) -> bool {
        let mut runs = self.recent.0.iter();
        runs.any(|r| r.upstream == upstream && now < r.settles_at())
    }

    /// Records that an upstream ended at `at`: also under the requests that have just left it, at this host and
    /// at others, which are told.
    pub fn record_upstream_end(&mut self, now: Now, at: Now, upstream: &str) {
        self.record_end(now, at, upstream, false, &[]);
        self.count_recent(now, at, upstream);
    }

    /// Counts an end of an upstream for the requests that have just left it.
    pub(super) fn count_recent(&mut self, now: Now, at: Now, upstream: &str) {
        let is_under = |r: &Run| r.upstream == upstream && at < r.settles_at();
        let runs = std::mem::take(&mut self.recent.0).into_iter();
        let (under, others): (VecDeque<Run>, VecDeque<Run>) = runs.partition(is_under);
        self.recent.0 = others;
        for run in under {
            self.record_end(now, at, upstream, false, &run.features);
        }
    }

    /// Records which requests are sound, as their upstreams have outlived them.
    pub(super) fn judge_recent(&mut self, now: Now) {
        let runs = std::mem::take(&mut self.recent.0).into_iter();
        let (settled, others): (VecDeque<Run>, VecDeque<Run>) =
            runs.partition(|r| now >= r.settles_at());
        self.recent.0 = others;
        for run in settled {
            self.judge_run(&run);
        }
    }

    fn judge_run(&mut self, run: &Run) {
        if run.is_answered {
            self.record_sound(run.left_at, &run.features);
        }
    }
}

impl Run {
    /// When the upstream has outlived the request.
    fn settles_at(&self) -> Now {
        let time = if self.is_answered {
            SURVIVAL_TIME
        } else {
            ABANDONED_TIME
        };
        self.left_at + time
    }
}
