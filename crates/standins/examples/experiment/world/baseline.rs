//! Baselines: an entry host without policies and a plain FIFO in front of an engine.

use std::collections::{BTreeMap, VecDeque};

use eelgrasshold_core::entry::{AttemptEvent, Output, Timer, UpstreamInfo};
use eelgrasshold_core::types::{
    AttemptId, Load, Now, Refusal, RefusalKind, Request, RequestHandle, Run,
};
use eelgrasshold_core::upstream;

use super::Routing;

/// Attempts of a request for the baseline that always retries.
const MAX_ATTEMPTS: u32 = 4;

/// Entry host that routes in turn or to the fewest own requests. It retries
/// never, or as often as [`MAX_ATTEMPTS`] lets it.
pub struct PlainEntry {
    routing: Routing,
    id: u64,
    upstreams: Vec<(UpstreamInfo, u32)>,
    turn: usize,
    sent: u64,
    attempts: BTreeMap<AttemptId, (RequestHandle, usize)>,
    /// Present attempt of each request, attempts so far, and tokens passed on.
    requests: BTreeMap<RequestHandle, (AttemptId, u32, u32)>,
}

impl PlainEntry {
    pub fn new(routing: Routing, id: u64, upstreams: Vec<UpstreamInfo>) -> Self {
        Self {
            routing,
            id,
            // Entry hosts that all began at the same upstream would load it together.
            turn: id as usize,
            upstreams: upstreams.into_iter().map(|u| (u, 0)).collect(),
            sent: 0,
            attempts: BTreeMap::new(),
            requests: BTreeMap::new(),
        }
    }

    pub fn request(&mut self, now: Now, handle: RequestHandle, request: &Request) -> Vec<Output> {
        let at = now + request.deadline;
        let timer = Timer::Deadline(handle);
        vec![self.dispatch(handle, 1, 0), Output::SetTimer { at, timer }]
    }

    fn dispatch(&mut self, handle: RequestHandle, attempts: u32, next_token: u32) -> Output {
        self.turn += 1;
        let turn = self.turn % self.upstreams.len();
        let order = (0..self.upstreams.len()).map(|n| (turn + n) % self.upstreams.len());
        let chosen = match self.routing {
            Routing::LeastOutstanding | Routing::RetryAlways => {
                order.min_by_key(|u| self.upstreams[*u].1)
            }
            _ => Some(turn),
        };
        let chosen = chosen.unwrap_or(turn);
        self.sent += 1;
        let attempt = (self.id << 40) | self.sent;
        self.upstreams[chosen].1 += 1;
        self.attempts.insert(attempt, (handle, chosen));
        self.requests
            .insert(handle, (attempt, attempts, next_token));
        Output::Dispatch {
            handle,
            attempt,
            upstream: self.upstreams[chosen].0.clone(),
            resume_from: next_token,
            alone: false,
        }
    }

    pub fn attempt(&mut self, attempt: AttemptId, event: AttemptEvent) -> Vec<Output> {
        let Some((handle, _)) = self.attempts.get(&attempt).copied() else {
            return Vec::new();
        };
        match event {
            AttemptEvent::Accepted(_) => Vec::new(),
            AttemptEvent::Chunk { first, count } => {
                if let Some((_, _, next_token)) = self.requests.get_mut(&handle) {
                    *next_token = first + count;
                }
                vec![Output::Forward { handle, skip: 0 }]
            }
            AttemptEvent::Finished(_) => {
                self.end(attempt);
                vec![Output::Finish { handle }]
            }
            _ => {
                let (_, attempts, next_token) =
                    self.requests.get(&handle).copied().unwrap_or_default();
                self.end(attempt);
                if self.routing == Routing::RetryAlways && attempts < MAX_ATTEMPTS {
                    return vec![self.dispatch(handle, attempts + 1, next_token)];
                }
                vec![refuse(handle, RefusalKind::UpstreamFailed)]
            }
        }
    }

    pub fn deadline(&mut self, handle: RequestHandle) -> Vec<Output> {
        let Some((attempt, ..)) = self.requests.get(&handle).copied() else {
            return Vec::new();
        };
        self.end(attempt);
        let refusal = refuse(handle, RefusalKind::DeadlineExceeded);
        vec![Output::Cancel(attempt), refusal]
    }

    fn end(&mut self, attempt: AttemptId) {
        if let Some((handle, upstream)) = self.attempts.remove(&attempt) {
            self.requests.remove(&handle);
            self.upstreams[upstream].1 -= 1;
        }
    }
}

fn refuse(handle: RequestHandle, kind: RefusalKind) -> Output {
    let refusal = Refusal::unknown(kind, "baseline");
    Output::Refuse { handle, refusal }
}

/// Plain FIFO in front of an engine.
pub struct Fifo {
    concurrency: usize,
    waiting: VecDeque<AttemptId>,
    running: Vec<AttemptId>,
    engine_up: bool,
}

impl Fifo {
    pub fn new(concurrency: usize) -> Self {
        Self {
            concurrency,
            waiting: VecDeque::new(),
            running: Vec::new(),
            engine_up: true,
        }
    }

    pub fn load(&self) -> Load {
        Load {
            in_flight: self.running.len() as u32,
            queued: self.waiting.len() as u32,
            ..Load::default()
        }
    }

    pub fn handle(&mut self, input: &upstream::Input) -> Vec<upstream::Output> {
        let mut out = Vec::new();
        match *input {
            upstream::Input::Work { attempt, .. } if !self.engine_up => {
                out.push(upstream::Output::Bounce {
                    attempt,
                    reason: upstream::Bounce::EngineDown,
                    load: self.load(),
                });
            }
            upstream::Input::Work { attempt, .. } => self.waiting.push_back(attempt),
            upstream::Input::EngineDown => {
                self.engine_up = false;
                let lost = self.running.drain(..).chain(self.waiting.drain(..));
                out.extend(lost.map(|attempt| upstream::Output::Fail {
                    attempt,
                    run: Run::Unknown,
                }));
            }
            upstream::Input::EngineUp => self.engine_up = true,
            upstream::Input::Cancel(attempt) => {
                self.waiting.retain(|a| *a != attempt);
                if self.end(attempt) {
                    out.push(upstream::Output::Stop(attempt));
                }
            }
            upstream::Input::Engine(attempt, upstream::EngineEvent::Finished) => {
                self.end(attempt);
            }
            upstream::Input::Engine(attempt, upstream::EngineEvent::Failed(run)) => {
                self.end(attempt);
                out.push(upstream::Output::Fail { attempt, run });
            }
            _ => {}
        }
        while self.running.len() < self.concurrency {
            let Some(attempt) = self.waiting.pop_front() else {
                break;
            };
            self.running.push(attempt);
            let priority = 0;
            out.push(upstream::Output::Start { attempt, priority });
        }
        out
    }

    fn end(&mut self, attempt: AttemptId) -> bool {
        let before = self.running.len();
        self.running.retain(|a| *a != attempt);
        self.running.len() < before
    }
}
