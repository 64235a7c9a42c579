//! Task that ends the model's steps when they are due.

use std::sync::Arc;

use super::state::Shared;

/// Ends due steps until the task is aborted.
pub(super) async fn run(shared: Arc<Shared>) {
    loop {
        let changed = shared.changed.notified();
        tokio::pin!(changed);
        // Registers before reading the state, so that no notification is missed in between.
        changed.as_mut().enable();
        let next_at = next_at(&shared);
        let Some(at) = next_at else {
            changed.await;
            continue;
        };
        tokio::select! {
            () = tokio::time::sleep_until(shared.instant(at)) => step(&shared),
            () = changed => {}
        }
    }
}

fn next_at(shared: &Shared) -> Option<std::time::Duration> {
    let state = shared.lock();
    if !state.can_serve() {
        return None;
    }
    state.model.next_at()
}

fn step(shared: &Shared) {
    let mut state = shared.lock();
    let now = shared.now();
    if state.step(now) {
        let downtime = shared.settings.crash_downtime;
        state.reset_after_crash(now + downtime, &shared.settings);
        shared.control.crash(downtime);
    }
}
