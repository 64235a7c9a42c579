//! The event loop, and the checks that requests end by their deadlines and that all have ended.

use std::time::Duration;

use eelgrasshold_core::entry::Input;
use eelgrasshold_core::types::{Now, WorkClass};
use rand::Rng;

use super::oracle::Outcome;
use super::platform::Mode;
use super::simulation::{Event, Simulation};
use super::upstreams::UpstreamInput;

/// Time after its deadline within which a request must have ended.
const DEADLINE_SLACK: Duration = Duration::from_secs(1);

impl Simulation {
    pub fn schedule(&mut self, at: Now, event: Event) {
        self.sequence += 1;
        self.queue.insert((at.max(self.now), self.sequence), event);
    }

    pub fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(next) = self.queue.first_entry() {
            let at = next.key().0;
            if at > end {
                break;
            }
            let event = next.remove();
            self.now = at;
            self.handle_event(event);
        }
        self.now = end;
        self.check_deadlines();
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Entry {
                slot,
                incarnation,
                input,
            } => self.entry_input(slot, incarnation, input),
            Event::Arrive { handle } => self.arrive(handle),
            Event::Lists { slot } => self.send_lists(slot),
            Event::ResumeEntry { slot, incarnation } => self.resume_entry(slot, incarnation),
            Event::Upstream {
                slot,
                incarnation,
                input,
            } => self.upstream_input(slot, incarnation, input),
            Event::ResumeUpstream { slot, incarnation } => self.resume_upstream(slot, incarnation),
            Event::EngineUp { slot, incarnation } => {
                if self.upstreams[slot].incarnation == incarnation {
                    self.upstreams[slot].engine_up = true;
                    self.upstream_input(slot, incarnation, UpstreamInput::EngineUp);
                }
            }
            Event::Produce {
                slot,
                incarnation,
                attempt,
            } => self.produce(slot, incarnation, attempt),
            Event::Poison {
                slot,
                incarnation,
                attempt,
            } => self.poison(slot, incarnation, attempt),
            Event::Call {
                entry,
                id,
                call,
                reply_at,
            } => {
                let reply = self.platform.apply(call);
                if let Some(at) = reply_at {
                    let (slot, incarnation) = entry;
                    let input = Input::Platform { id, reply };
                    self.schedule(
                        at,
                        Event::Entry {
                            slot,
                            incarnation,
                            input,
                        },
                    );
                }
            }
            Event::Stop { slot, incarnation } => self.complete_shutdown(slot, incarnation),
            Event::Resend { request, entry } => self.send_request(entry, request),
        }
    }

    /// Schedules new lists of hosts for each entry host, each with a delay of its own.
    pub fn schedule_lists(&mut self) {
        for slot in 0..self.entries.len() {
            let delay = Duration::from_millis(self.rng.random_range(50..5_000));
            self.schedule(self.now + delay, Event::Lists { slot });
        }
    }

    /// Ends outages and message loss and cancels pending pauses, so that all requests can end.
    pub fn clear_faults(&mut self) {
        self.platform.mode = Mode::Up;
        self.lossy = false;
        for entry in &mut self.entries {
            entry.pause_at_dispatch = None;
        }
    }

    fn check_deadlines(&self) {
        for (handle, sub) in &self.oracle.submissions {
            let entry = &self.entries[sub.entry];
            let is_serving =
                entry.incarnation == sub.incarnation && entry.machine.is_some() && !entry.paused;
            let Some(arrived) = sub.arrived.filter(|_| is_serving) else {
                continue;
            };
            let late = self.now > arrived + sub.request.deadline + DEADLINE_SLACK;
            assert!(
                sub.outcome != Outcome::Open || !late,
                "request {handle} got no answer by its deadline"
            );
        }
    }

    pub fn check_all_ended(&self) {
        for (handle, sub) in &self.oracle.submissions {
            assert_ne!(sub.outcome, Outcome::Open, "request {handle} never ended");
        }
        let of_class = |class| {
            let subs = self.oracle.submissions.values();
            subs.filter(move |s| s.request.class == class)
        };
        let finished = |class| {
            of_class(class)
                .filter(|s| s.outcome == Outcome::Finished)
                .count()
        };
        self.trace(|| {
            format!(
                "finished {} of {} drafts and {} of {} calls",
                finished(WorkClass::Idempotent),
                of_class(WorkClass::Idempotent).count(),
                finished(WorkClass::NonIdempotent),
                of_class(WorkClass::NonIdempotent).count()
            )
        });
    }
}
