//! Wakes requests that wait for the limit of their service.
//!
//! A place becomes free when a stream ends or the limit rises, which other tasks notice. They wake the request
//! that is next, so that no request has to ask at short intervals.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use eelgrasshold_core::event::{Event, EventKind};
use eelgrasshold_core::gateway::concurrency::{BindingChange, Ticket};
use eelgrasshold_core::gateway::{Admitted, Gateway};
use tokio::sync::Notify;

use super::shared::Shared;

/// Requests that wait, by ticket.
#[derive(Debug, Default)]
pub(super) struct Turns {
    waiting: Mutex<BTreeMap<Ticket, Arc<Notify>>>,
}

/// Registration of a waiting request, which ends when it is dropped.
struct Registration<'a> {
    turns: &'a Turns,
    ticket: Ticket,
    notify: Arc<Notify>,
}

impl Turns {
    fn register(&self, ticket: Ticket) -> Registration<'_> {
        let notify = Arc::new(Notify::new());
        self.waiting().insert(ticket, Arc::clone(&notify));
        Registration {
            turns: self,
            ticket,
            notify,
        }
    }

    /// Wakes the requests whose turn has come. Called after whatever may start one.
    pub(super) fn wake(&self, core: &mut Gateway) {
        let woken = core.pauses.take_woken();
        if woken.is_empty() {
            return;
        }
        let waiting = self.waiting();
        for notify in woken.iter().filter_map(|ticket| waiting.get(ticket)) {
            notify.notify_one();
        }
    }

    fn waiting(&self) -> MutexGuard<'_, BTreeMap<Ticket, Arc<Notify>>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Registration<'_> {
    fn drop(&mut self) {
        self.turns.waiting().remove(&self.ticket);
    }
}

/// Waits until the turn of a request has come, or for `time`.
pub(super) async fn wait(shared: &Shared, request: &Admitted, time: Duration) {
    let Some(ticket) = request.ticket() else {
        return;
    };
    let registration = shared.turns.register(ticket);
    // The turn may have come before the registration.
    if !shared.core().is_waiting(request) {
        return;
    }
    let _ = tokio::time::timeout(time, registration.notify.notified()).await;
}

/// Records that limits begin or end to bind.
pub(super) fn record_changes(shared: &Shared) {
    let changes = shared.core().pauses.take_changes(shared.now());
    for change in changes {
        record_change(shared, &change);
    }
}

fn record_change(shared: &Shared, change: &BindingChange) {
    let kind = if change.begins {
        EventKind::LimitBegun
    } else {
        EventKind::LimitEnded
    };
    let state = &change.state;
    let event = Event::new(kind, "")
        .with("service", change.service.as_str())
        .with("limit", state.limit.unwrap_or_default().floor() as u64)
        .with("in_flight", state.in_flight)
        .with("waiting", state.waiting)
        .with("pause_ms", state.pause);
    shared.timeline.record(event);
}
