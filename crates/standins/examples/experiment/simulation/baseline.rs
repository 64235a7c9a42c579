//! Baselines: an entry host without the core's policies, and a FIFO queue in front of an engine.

use std::collections::{BTreeMap, VecDeque};

use eelgrasshold_core::entry::{AttemptEvent, Output, Timer, UpstreamInfo};
use eelgrasshold_core::types::{
    AttemptId, Load, Now, Refusal, RefusalKind, Request, RequestHandle, Run,
};
use eelgrasshold_core::upstream;

use super::Routing;

/// Limit of attempts per request with [`Routing::RetryAlways`].
const MAX_ATTEMPTS: u32 = 4;

/// Entry host that routes round-robin or to the upstream with its fewest open requests.
///
/// It retries only with [`Routing::RetryAlways`], up to [`MAX_ATTEMPTS`].
pub struct BaselineEntry {
    routing: Routing,
    id: u64,
    /// Each upstream with the number of open requests of this host.
    upstreams: Vec<(UpstreamInfo, u32)>,
    /// Position of the last request in round-robin order.
    cursor: usize,
    attempt_count: u64,
    /// Request and upstream of each open attempt.
    attempts: BTreeMap<AttemptId, (RequestHandle, usize)>,
    /// Current attempt of each open request, number of attempts, and tokens forwarded.
    requests: BTreeMap<RequestHandle, (AttemptId, u32, u32)>,
}

impl BaselineEntry {
    pub fn new(routing: Routing, id: u64, upstreams: Vec<UpstreamInfo>) -> Self {
        Self {
            routing,
            id,
            // Entry hosts start at different upstreams, so that none gets the first request of all.
            cursor: id as usize,
            upstreams: upstreams.into_iter().map(|u| (u, 0)).collect(),
            attempt_count: 0,
            attempts: BTreeMap::new(),
            requests: BTreeMap::new(),
        }
    }

    pub fn on_request(
        &mut self,
        now: Now,
        handle: RequestHandle,
        request: &Request,
    ) -> Vec<Output> {
        let at = now + request.deadline;
        let timer = Timer::Deadline(handle);
        vec![self.dispatch(handle, 1, 0), Output::SetTimer { at, timer }]
    }

    fn dispatch(&mut self, handle: RequestHandle, attempts: u32, next_token: u32) -> Output {
        self.cursor += 1;
        let cursor = self.cursor % self.upstreams.len();
        let candidates = (0..self.upstreams.len()).map(|n| (cursor + n) % self.upstreams.len());
        let target = match self.routing {
            Routing::LeastOutstanding | Routing::RetryAlways => {
                candidates.min_by_key(|u| self.upstreams[*u].1)
            }
            _ => Some(cursor),
        };
        let target = target.unwrap_or(cursor);
        self.attempt_count += 1;
        let attempt = (self.id << 40) | self.attempt_count;
        self.upstreams[target].1 += 1;
        self.attempts.insert(attempt, (handle, target));
        self.requests
            .insert(handle, (attempt, attempts, next_token));
        Output::Dispatch {
            handle,
            attempt,
            upstream: self.upstreams[target].0.clone(),
            resume_from: next_token,
            alone: false,
        }
    }

    pub fn on_attempt_event(&mut self, attempt: AttemptId, event: AttemptEvent) -> Vec<Output> {
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
                self.remove_attempt(attempt);
                vec![Output::Finish { handle }]
            }
            _ => {
                let (_, attempts, next_token) =
                    self.requests.get(&handle).copied().unwrap_or_default();
                self.remove_attempt(attempt);
                if self.routing == Routing::RetryAlways && attempts < MAX_ATTEMPTS {
                    return vec![self.dispatch(handle, attempts + 1, next_token)];
                }
                vec![refuse(handle, RefusalKind::UpstreamFailed)]
            }
        }
    }

    pub fn on_deadline(&mut self, handle: RequestHandle) -> Vec<Output> {
        let Some((attempt, ..)) = self.requests.get(&handle).copied() else {
            return Vec::new();
        };
        self.remove_attempt(attempt);
        let refusal = refuse(handle, RefusalKind::DeadlineExceeded);
        vec![Output::Cancel(attempt), refusal]
    }

    fn remove_attempt(&mut self, attempt: AttemptId) {
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

/// FIFO queue in front of an engine, without admission control or priorities.
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
                let failed = self.running.drain(..).chain(self.waiting.drain(..));
                out.extend(failed.map(|attempt| upstream::Output::Fail {
                    attempt,
                    run: Run::Unknown,
                }));
            }
            upstream::Input::EngineUp => self.engine_up = true,
            upstream::Input::Cancel(attempt) => {
                self.waiting.retain(|a| *a != attempt);
                if self.remove_running(attempt) {
                    out.push(upstream::Output::Stop(attempt));
                }
            }
            upstream::Input::Engine(attempt, upstream::EngineEvent::Finished) => {
                self.remove_running(attempt);
            }
            upstream::Input::Engine(attempt, upstream::EngineEvent::Failed(run)) => {
                self.remove_running(attempt);
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

    /// Returns false if the attempt was not running.
    fn remove_running(&mut self, attempt: AttemptId) -> bool {
        let before = self.running.len();
        self.running.retain(|a| *a != attempt);
        self.running.len() < before
    }
}
