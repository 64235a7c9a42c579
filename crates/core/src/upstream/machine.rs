//! The queue and the running work of one upstream.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::{Bounce, EngineEvent, Input, Output, Timer};
use crate::event::{Event, EventKind};
use crate::types::{AttemptId, Load, Now, Request, Run};

/// A dispatch older than this is refused: its sender was paused.
const MAX_DISPATCH_AGE: Duration = Duration::from_secs(60);
/// Work that waits at most.
const MAX_QUEUED: usize = 1_024;

#[derive(Clone, Debug)]
struct Waiting {
    attempt: AttemptId,
    request: Request,
    deadline: Now,
}

/// State machine of the process next to an upstream.
#[derive(Clone, Debug)]
pub struct Upstream {
    concurrency: usize,
    queue: VecDeque<Waiting>,
    running: BTreeMap<AttemptId, Request>,
    leaving: bool,
    engine_up: bool,
    expire_at: Option<Now>,
}

impl Upstream {
    /// A machine that lets the engine run `concurrency` requests at once.
    #[must_use]
    pub fn new(concurrency: usize) -> Self {
        Self {
            concurrency: concurrency.max(1),
            queue: VecDeque::new(),
            running: BTreeMap::new(),
            leaving: false,
            engine_up: true,
            expire_at: None,
        }
    }

    /// Load as it is sent back with answers.
    #[must_use]
    pub fn load(&self) -> Load {
        Load {
            in_flight: u32::try_from(self.running.len()).unwrap_or(u32::MAX),
            queued: u32::try_from(self.queue.len()).unwrap_or(u32::MAX),
            queued_tokens: self
                .queue
                .iter()
                .map(|w| u64::from(w.request.max_tokens))
                .sum(),
            predicted_wait_ms: 0,
        }
    }

    /// Takes an input at the time `now` and returns what the driver shall do.
    pub fn handle(&mut self, now: Now, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        match input {
            Input::Work {
                attempt,
                request,
                age,
            } => {
                self.accept(now, attempt, request, age, &mut out);
            }
            Input::Cancel(attempt) => self.cancel(attempt, &mut out),
            Input::Engine(attempt, event) => self.engine(attempt, event, &mut out),
            Input::EngineDown => self.engine_down(&mut out),
            Input::EngineUp => self.engine_up = true,
            Input::Leave => self.leaving = true,
            Input::Timer(Timer::Expire) => self.expire_at = None,
        }
        self.expire(now, &mut out);
        self.start(&mut out);
        self.set_timer(&mut out);
        if self.leaving && self.queue.is_empty() && self.running.is_empty() {
            out.push(Output::Drained);
        }
        out
    }

    fn accept(
        &mut self,
        now: Now,
        attempt: AttemptId,
        request: Request,
        age: Duration,
        out: &mut Vec<Output>,
    ) {
        if let Some(reason) = self.reason_to_bounce(attempt, age) {
            out.push(Output::Bounce {
                attempt,
                reason,
                load: self.load(),
            });
            return;
        }
        let event = Event::new(EventKind::WorkQueued, format!("attempt {attempt}"));
        out.push(Output::Event(event.about_request(request.id.clone())));
        let deadline = now + request.deadline;
        self.queue.push_back(Waiting {
            attempt,
            request,
            deadline,
        });
    }

    fn reason_to_bounce(&self, attempt: AttemptId, age: Duration) -> Option<Bounce> {
        let seen =
            self.running.contains_key(&attempt) || self.queue.iter().any(|w| w.attempt == attempt);
        if seen || age > MAX_DISPATCH_AGE {
            return Some(Bounce::Stale);
        }
        if self.leaving {
            return Some(Bounce::Leaving);
        }
        if !self.engine_up {
            return Some(Bounce::EngineDown);
        }
        (self.queue.len() >= MAX_QUEUED).then_some(Bounce::QueueFull)
    }

    fn cancel(&mut self, attempt: AttemptId, out: &mut Vec<Output>) {
        self.queue.retain(|w| w.attempt != attempt);
        if let Some(request) = self.running.remove(&attempt) {
            out.push(Output::Stop(attempt));
            let event = Event::new(EventKind::WorkCancelled, format!("attempt {attempt}"));
            out.push(Output::Event(event.about_request(request.id)));
        }
    }

    fn engine(&mut self, attempt: AttemptId, event: EngineEvent, out: &mut Vec<Output>) {
        let kind = match event {
            EngineEvent::Tokens(_) => return,
            EngineEvent::Finished => EventKind::WorkFinished,
            EngineEvent::Failed(_) => EventKind::WorkFailed,
        };
        let Some(request) = self.running.remove(&attempt) else {
            return;
        };
        if let EngineEvent::Failed(run) = event {
            out.push(Output::Fail { attempt, run });
        }
        let event = Event::new(kind, format!("attempt {attempt}"));
        out.push(Output::Event(event.about_request(request.id)));
    }

    fn engine_down(&mut self, out: &mut Vec<Output>) {
        self.engine_up = false;
        for attempt in std::mem::take(&mut self.running).into_keys() {
            out.push(Output::Fail {
                attempt,
                run: Run::Unknown,
            });
        }
        let load = self.load();
        for waiting in std::mem::take(&mut self.queue) {
            let attempt = waiting.attempt;
            out.push(Output::Bounce {
                attempt,
                reason: Bounce::EngineDown,
                load,
            });
        }
    }

    fn expire(&mut self, now: Now, out: &mut Vec<Output>) {
        let load = self.load();
        self.queue.retain(|w| {
            let live = w.deadline > now;
            if !live {
                let attempt = w.attempt;
                out.push(Output::Bounce {
                    attempt,
                    reason: Bounce::Deadline,
                    load,
                });
            }
            live
        });
    }

    fn start(&mut self, out: &mut Vec<Output>) {
        while self.running.len() < self.concurrency {
            let Some(next) = self.queue.pop_front() else {
                return;
            };
            let attempt = next.attempt;
            out.push(Output::Start {
                attempt,
                priority: next.request.priority,
            });
            let event = Event::new(EventKind::WorkStarted, format!("attempt {attempt}"));
            out.push(Output::Event(event.about_request(next.request.id.clone())));
            self.running.insert(attempt, next.request);
        }
    }

    fn set_timer(&mut self, out: &mut Vec<Output>) {
        let Some(at) = self.queue.iter().map(|w| w.deadline).min() else {
            return;
        };
        if self.expire_at.is_none_or(|t| t > at) {
            self.expire_at = Some(at);
            out.push(Output::SetTimer {
                at,
                timer: Timer::Expire,
            });
        }
    }
}
