//! Finds out whether an upstream has ended under a request.
//!
//! An answer that breaks off does not tell: an upstream that lives may have cut it. One that has ended
//! refuses connections until it is started again, which takes seconds.

use std::io;
use std::sync::Arc;

use eelgrasshold_core::event::{Event, EventKind};
use eelgrasshold_core::gateway::quarantine::FeatureId;
use eelgrasshold_core::gateway::registry::Upstream;
use eelgrasshold_core::types::Now;

use super::pool::Pool;
use super::quarantine;
use super::shared::Shared;

/// Checks that run at the same time; further ones are left out.
const MAX_CHECKS: usize = 32;

/// A request whose answer broke off before or soon after its first event.
pub(super) struct Ended {
    pub(super) upstream: Upstream,
    pub(super) request: String,
    /// When the answer broke off.
    pub(super) at: Now,
    /// Whether the head of the answer had arrived.
    pub(super) has_head: bool,
    pub(super) features: Vec<FeatureId>,
}

impl Ended {
    /// Checks whether the upstream has ended, and records that if so.
    pub(super) fn check(self, shared: &Arc<Shared>) {
        if shared.end_checks.len() >= MAX_CHECKS {
            return;
        }
        let shared = Arc::clone(shared);
        let tracker = shared.end_checks.clone();
        tracker.spawn(async move {
            if has_ended(&shared, &self.upstream).await {
                self.record(&shared);
            }
        });
    }

    fn record(&self, shared: &Shared) {
        let event = Event::new(EventKind::SuspectNoted, "")
            .about_request(self.request.as_str())
            .with("upstream", self.upstream.id.as_str())
            .with("head", u32::from(self.has_head))
            .with("features", quarantine::feature_list(&self.features));
        shared.timeline.record(event);
        let (now, upstream) = (shared.now(), &self.upstream.id);
        shared
            .core()
            .quarantine
            .record_end(now, self.at, upstream, self.has_head, &self.features);
        quarantine::record_changes(shared);
    }
}

async fn has_ended(shared: &Shared, upstream: &Upstream) -> bool {
    match Pool::open(upstream.address).await {
        Ok(sender) => {
            shared.keep_connection(&upstream.id, sender, None);
            false
        }
        // Without an answer, the upstream may just be cut off.
        Err(error) => matches!(
            error.kind(),
            io::ErrorKind::ConnectionRefused | io::ErrorKind::ConnectionReset
        ),
    }
}
