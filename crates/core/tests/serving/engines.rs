//! Engines next to upstream processes.

use std::time::Duration;

use eelgrasshold_core::entry::AttemptEvent;
use eelgrasshold_core::types::AttemptId;
use eelgrasshold_core::upstream::Upstream;
use rand::Rng;

use super::caller::{answer_tokens, is_poison};
use super::upstreams::UpInput;
use super::world::{Event, World};

/// Requests that an engine runs at once.
pub const CONCURRENCY: usize = 2;

/// Work that an engine runs: the next token and the number of all.
#[derive(Clone, Copy)]
pub struct Task {
    next: u32,
    end: u32,
}

impl World {
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
        let life = process.life;
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
        self.tell_entry(attempt, AttemptEvent::Accepted(load));
        let pace = Duration::from_millis(self.rng.random_range(5..150));
        if is_poison(fingerprint) {
            self.schedule(
                self.now + pace,
                Event::Poison {
                    slot,
                    life,
                    attempt,
                },
            );
        } else {
            self.schedule(
                self.now + pace,
                Event::Produce {
                    slot,
                    life,
                    attempt,
                },
            );
        }
    }

    /// An engine goes on with its work; now and then a chunk comes twice, is missing, or the
    /// work breaks.
    pub fn produce(&mut self, slot: usize, life: u64, attempt: AttemptId) {
        let chance = self.rng.random_range(0..200);
        let pace = Duration::from_millis(self.rng.random_range(5..150));
        let most = self.rng.random_range(1..=3);
        let process = &mut self.upstreams[slot];
        let Some(task) = process
            .tasks
            .get_mut(&attempt)
            .filter(|_| process.life == life)
        else {
            return;
        };
        if chance == 0 {
            process.tasks.remove(&attempt);
            self.upstream_input(slot, life, UpInput::Broke(attempt));
            return;
        }
        // A chunk may also repeat the token before it.
        let first = task
            .next
            .saturating_sub(u32::from(chance == 3 && task.next > 0));
        let count = most.min(task.end.saturating_sub(first));
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
                self.now + pace,
                Event::Produce {
                    slot,
                    life,
                    attempt,
                },
            );
        }
        for _ in 0..copies {
            self.upstream_input(
                slot,
                life,
                UpInput::Chunk {
                    attempt,
                    first,
                    count,
                },
            );
        }
        if done {
            self.upstream_input(slot, life, UpInput::Done(attempt));
        }
    }

    pub fn poison(&mut self, slot: usize, life: u64, attempt: AttemptId) {
        let process = &self.upstreams[slot];
        if process.life == life && process.tasks.contains_key(&attempt) {
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
        let life = process.life;
        self.upstream_input(slot, life, UpInput::EngineDown);
        let at = self.now + Duration::from_secs(1);
        self.schedule(at, Event::EngineUp { slot, life });
    }
}
