//! The queue of what is to happen.

use std::time::Duration;

use eelgrasshold_core::entry::Input;
use eelgrasshold_core::types::{Now, WorkClass};
use rand::Rng;

use super::oracle::Outcome;
use super::platform::Mode;
use super::upstreams::UpInput;
use super::world::{Event, World};

/// Time after its deadline by which a request must have ended.
const DEADLINE_SLACK: Duration = Duration::from_secs(1);

impl World {
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
            self.happen(event);
        }
        self.now = end;
        self.check_deadlines();
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Entry { slot, life, input } => self.entry_input(slot, life, input),
            Event::Arrive { handle } => self.arrive(handle),
            Event::Lists { slot } => self.tell_lists(slot),
            Event::ResumeEntry { slot, life } => self.resume_entry(slot, life),
            Event::Upstream { slot, life, input } => self.upstream_input(slot, life, input),
            Event::ResumeUpstream { slot, life } => self.resume_upstream(slot, life),
            Event::EngineUp { slot, life } => {
                if self.upstreams[slot].life == life {
                    self.upstreams[slot].engine_up = true;
                    self.upstream_input(slot, life, UpInput::EngineUp);
                }
            }
            Event::Produce {
                slot,
                life,
                attempt,
            } => self.produce(slot, life, attempt),
            Event::Poison {
                slot,
                life,
                attempt,
            } => self.poison(slot, life, attempt),
            Event::Call {
                entry,
                id,
                call,
                reply_at,
            } => {
                let reply = self.platform.apply(call);
                if let Some(at) = reply_at {
                    let (slot, life) = entry;
                    let input = Input::Platform { id, reply };
                    self.schedule(at, Event::Entry { slot, life, input });
                }
            }
            Event::Stop { slot, life } => self.planned_stop(slot, life),
            Event::Again { request, entry } => self.send_request(entry, request),
        }
    }

    /// Changes of the fleet reach each entry host after a time of their own.
    pub fn spread_lists(&mut self) {
        for slot in 0..self.entries.len() {
            let delay = Duration::from_millis(self.rng.random_range(50..5_000));
            self.schedule(self.now + delay, Event::Lists { slot });
        }
    }

    /// Ends outages and lets nobody pause again, so that everything in flight can end.
    pub fn heal(&mut self) {
        self.platform.mode = Mode::Up;
        self.lossy = false;
        for entry in &mut self.entries {
            entry.freeze = None;
        }
    }

    fn check_deadlines(&self) {
        for (handle, sub) in &self.oracle.submissions {
            let entry = &self.entries[sub.entry];
            let served = entry.life == sub.life && entry.machine.is_some() && !entry.paused;
            let Some(arrived) = sub.arrived.filter(|_| served) else {
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
