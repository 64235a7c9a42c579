//! Simulated engines of the upstream processes.

use std::time::Duration;

use eelgrasshold_core::entry::AttemptEvent;
use eelgrasshold_core::types::AttemptId;
use eelgrasshold_core::upstream::Upstream;
use rand::Rng;

use super::caller::{answer_tokens, is_poison};
use super::simulation::{Event, Simulation};
use super::upstreams::UpstreamInput;

/// Largest number of requests that an engine runs at once.
pub const CONCURRENCY: usize = 2;

/// Work that an engine runs: index of the next token, and the end of the answer.
#[derive(Clone, Copy)]
pub struct Task {
    next: u32,
    end: u32,
}

impl Simulation {
    pub fn start(&mut self, slot: usize, attempt: AttemptId) {
        let conn = &self.connections[&attempt];
        let (handle, fingerprint, decided, age) =
            (conn.handle, conn.fingerprint, conn.decided, conn.age);
        let next = conn.resume_from;
        let leaving_at = self.upstreams[slot].leaving_at;
        self.oracle
            .started(handle, attempt, self.now, (decided, age), leaving_at);
        let task = Task {
            next,
            end: answer_tokens(fingerprint),
        };
        let process = &mut self.upstreams[slot];
        let incarnation = process.incarnation;
        process.tasks.insert(attempt, task);
        assert!(
            process.tasks.len() <= CONCURRENCY,
            "the engine runs too much at once"
        );
        let load = process
            .machine
            .as_ref()
            .map(Upstream::load)
            .unwrap_or_default();
        self.send_to_entry(attempt, AttemptEvent::Accepted(load));
        let token_interval = Duration::from_millis(self.rng.random_range(5..150));
        if is_poison(fingerprint) {
            self.schedule(
                self.now + token_interval,
                Event::Poison {
                    slot,
                    incarnation,
                    attempt,
                },
            );
        } else {
            self.schedule(
                self.now + token_interval,
                Event::Produce {
                    slot,
                    incarnation,
                    attempt,
                },
            );
        }
    }

    /// An engine produces the next chunk of an answer. Occasionally a chunk is repeated or missing,
    /// or the work fails.
    pub fn produce(&mut self, slot: usize, incarnation: u64, attempt: AttemptId) {
        let chance = self.rng.random_range(0..200);
        let token_interval = Duration::from_millis(self.rng.random_range(5..150));
        let max_count = self.rng.random_range(1..=3);
        let process = &mut self.upstreams[slot];
        let Some(task) = process
            .tasks
            .get_mut(&attempt)
            .filter(|_| process.incarnation == incarnation)
        else {
            return;
        };
        if chance == 0 {
            process.tasks.remove(&attempt);
            self.upstream_input(slot, incarnation, UpstreamInput::Failed(attempt));
            return;
        }
        // A chunk may also repeat the last token of the one before it.
        let first = task
            .next
            .saturating_sub(u32::from(chance == 3 && task.next > 0));
        let count = max_count.min(task.end.saturating_sub(first));
        task.next = first + count;
        let done = task.next >= task.end;
        let copies = match chance {
            1 if !done => 0,
            2 => 2,
            _ => 1,
        };
        if done {
            process.tasks.remove(&attempt);
        } else {
            self.schedule(
                self.now + token_interval,
                Event::Produce {
                    slot,
                    incarnation,
                    attempt,
                },
            );
        }
        for _ in 0..copies {
            self.upstream_input(
                slot,
                incarnation,
                UpstreamInput::Chunk {
                    attempt,
                    first,
                    count,
                },
            );
        }
        if done {
            self.upstream_input(slot, incarnation, UpstreamInput::Done(attempt));
        }
    }

    pub fn poison(&mut self, slot: usize, incarnation: u64, attempt: AttemptId) {
        let process = &self.upstreams[slot];
        if process.incarnation == incarnation && process.tasks.contains_key(&attempt) {
            let conn = self.connections.get_mut(&attempt);
            conn.expect("a connection for each attempt").crashed_engine = true;
            self.crash_engine(slot);
        }
    }

    pub fn crash_engine(&mut self, n: usize) {
        let slot = n % self.upstreams.len();
        let process = &mut self.upstreams[slot];
        if process.machine.is_none() || !process.engine_up {
            return;
        }
        process.engine_up = false;
        process.tasks.clear();
        let incarnation = process.incarnation;
        self.upstream_input(slot, incarnation, UpstreamInput::EngineDown);
        let at = self.now + Duration::from_secs(1);
        self.schedule(at, Event::EngineUp { slot, incarnation });
    }
}
