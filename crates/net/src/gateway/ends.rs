//! Finds out whether an upstream has ended under a request.
//!
//! An answer that breaks off does not tell: an upstream that lives may have cut it. One that has ended
//! refuses connections until it is started again, which takes seconds.

use std::io;
use std::sync::Arc;

use eelgrasshold_core::event::{Event, EventKind};
use eelgrasshold_core::gateway::registry::Upstream;

use super::pool::Pool;
use super::shared::Shared;

/// Checks that run at the same time; further ones are left out.
const MAX_CHECKS: usize = 32;

/// Checks whether an upstream has ended, after its answer to a request broke off before or soon after
/// its first event.
pub(super) fn check(shared: &Arc<Shared>, upstream: &Upstream, request: &str, has_head: bool) {
    if shared.end_checks.len() >= MAX_CHECKS {
        return;
    }
    let (shared, upstream) = (Arc::clone(shared), upstream.clone());
    let request = request.to_owned();
    let tracker = shared.end_checks.clone();
    tracker.spawn(async move {
        if has_ended(&shared, &upstream).await {
            let event = Event::new(EventKind::SuspectNoted, "")
                .about_request(request)
                .with("upstream", upstream.id.as_str())
                .with("head", u32::from(has_head));
            shared.timeline.record(event);
        }
    });
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
