//! State shared by the engine's handlers, its step task and its handle.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Frame;
use serde::Serialize;
use tokio::sync::{Notify, mpsc};
use tokio::time::Instant;

use super::cache::{BLOCK_TOKENS, BlockCache, block_hashes};
use super::cache_log::CacheLog;
use super::completions::Completion;
use super::kv::{KvCache, KvStore};
use super::orders::{FencedOrder, OrderAnswer, Orders};
use super::server::Settings;
use super::token::{CRASH_MARKER, answer_tokens, prompt_tokens, token};
use crate::http_util::Hangup;
use crate::model::{Engine as Model, Job, JobId, Report};
use crate::server::Control;

/// Entries kept in each log that the handle can read; the oldest are dropped first.
const MAX_LOG_ENTRIES: usize = 16_384;

/// Counters since the start; a crash doesn't reset them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counters {
    /// Completions accepted.
    pub started: u64,
    /// Completions whose last token was produced.
    pub finished: u64,
    /// Completions ended by a `DELETE` or by a closed connection.
    pub cancelled: u64,
    /// Completions ended by a crash or a kill.
    pub failed: u64,
    /// Answer tokens produced.
    pub tokens: u64,
    /// Tokens that had to be prefilled, including resumed answer tokens.
    pub prefilled_tokens: u64,
    /// Tokens whose prefill was saved by the prefix cache or by an imported KV cache.
    pub cached_tokens: u64,
    /// Crashes caused by prompts with a crash marker; kills are not counted.
    pub crashes: u64,
}

/// Record of an accepted completion.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Run {
    /// Value of `x-request-id`.
    pub request_id: String,
    /// Index of the first requested token; above 0 for a resumed answer.
    pub resume_from: u32,
    /// Priority at the start, 0 (highest) to 7.
    pub priority: u8,
}

/// Frame of a streamed answer, or the error that closes its connection.
pub(super) type BodyFrame = Result<Frame<Bytes>, Hangup>;

/// A running or waiting completion.
pub(super) struct RunningCompletion {
    pub(super) request_id: String,
    pub(super) prompt: String,
    /// Index of the next token to send.
    pub(super) next: u32,
    /// Index of the token before which an injected fault cuts the connection.
    cut_at: Option<u32>,
    tx: mpsc::UnboundedSender<BodyFrame>,
}

impl RunningCompletion {
    /// Sends the next token. A failed send means that the client disconnected, in which case the
    /// dropped stream cancels the job.
    fn send_token(&mut self) {
        let data = serde_json::json!({ "token": token(&self.prompt, self.next) });
        let event = format!("id: {}\ndata: {data}\n\n", self.next);
        let _ = self.tx.send(Ok(Frame::data(event.into())));
        self.next += 1;
    }

    /// KV cache of the prompt and the tokens so far; `None` for an empty prompt.
    fn kv(&self) -> Option<KvCache> {
        let prompt = *block_hashes(&self.prompt).last()?;
        let tokens = self.next;
        Some(KvCache { prompt, tokens })
    }

    fn send_done(&self) {
        let _ = self.tx.send(Ok(Frame::data("data: [DONE]\n\n".into())));
    }

    fn hang_up(&self) {
        let _ = self.tx.send(Err(Hangup));
    }
}

/// Injected faults.
#[derive(Debug, Default)]
pub(super) struct Faults {
    pub(super) stalled: bool,
    /// Number of further completions whose connection is cut.
    pub(super) cuts: u32,
    /// Tokens that a cut completion sends before the cut.
    pub(super) cut_after: u32,
    /// Number of further completions that get another request's answer.
    pub(super) mismatched: u32,
}

pub(super) struct State {
    pub(super) model: Model,
    pub(super) jobs: BTreeMap<JobId, RunningCompletion>,
    last_job: JobId,
    cache: BlockCache,
    pub(super) cache_log: CacheLog,
    pub(super) kv: KvStore,
    pub(super) orders: Orders,
    /// Executed orders; a crash doesn't clear them.
    pub(super) order_log: VecDeque<FencedOrder>,
    /// Time until which a crashed or killed engine is down.
    pub(super) down_until: Duration,
    pub(super) faults: Faults,
    pub(super) counters: Counters,
    pub(super) runs: VecDeque<Run>,
    /// Request ids in the order in which they finished.
    pub(super) finished: VecDeque<String>,
}

impl State {
    fn new(settings: &Settings) -> Self {
        Self {
            model: Model::new(settings.spec),
            jobs: BTreeMap::new(),
            last_job: 0,
            cache: BlockCache::new(settings.cache_blocks),
            cache_log: CacheLog::new(settings.event_lag, settings.event_gap_every),
            kv: KvStore::default(),
            orders: Orders::new(settings.honours_fencing),
            order_log: VecDeque::new(),
            down_until: Duration::ZERO,
            faults: Faults::default(),
            counters: Counters::default(),
            runs: VecDeque::new(),
            finished: VecDeque::new(),
        }
    }

    /// Accepts a completion. The receiver gets the frames of its answer until the job ends.
    pub(super) fn submit(
        &mut self,
        now: Duration,
        request_id: &str,
        completion: &Completion,
    ) -> (JobId, mpsc::UnboundedReceiver<BodyFrame>) {
        self.record_run(request_id, completion);
        self.last_job += 1;
        let id = self.last_job;
        let (tx, rx) = mpsc::unbounded_channel();
        let running = RunningCompletion {
            request_id: request_id.to_owned(),
            prompt: completion.prompt.clone(),
            next: completion.resume_from,
            cut_at: self.take_cut(completion.resume_from),
            tx,
        };
        let end = answer_tokens(&completion.prompt, completion.max_tokens);
        if end <= completion.resume_from {
            self.finish(&running);
            return (id, rx);
        }
        let job = Job {
            id,
            priority: completion.priority,
            prefix: None,
            prefix_tokens: 0,
            prompt_tokens: self.tokens_to_prefill(now, request_id, completion),
            output_tokens: end - completion.resume_from,
        };
        self.jobs.insert(id, running);
        self.model.submit(now, job);
        (id, rx)
    }

    /// Drops a job; its stream ends without `[DONE]`.
    pub(super) fn cancel(&mut self, now: Duration, id: JobId) {
        if let Some(running) = self.jobs.remove(&id) {
            self.store_kv(&running);
            running.hang_up();
            self.counters.cancelled += 1;
            self.model.cancel(now, id);
        }
    }

    /// Drops all jobs of a request; returns their number.
    pub(super) fn cancel_request(&mut self, now: Duration, request_id: &str) -> usize {
        let ids = self.jobs_of(request_id);
        for id in &ids {
            self.cancel(now, *id);
        }
        ids.len()
    }

    /// Jobs of a request. There can be several, since an attempt may start before the previous one
    /// is cancelled.
    pub(super) fn jobs_of(&self, request_id: &str) -> Vec<JobId> {
        let matches_id = |running: &RunningCompletion| running.request_id == request_id;
        self.jobs
            .iter()
            .filter(|(_, running)| matches_id(running))
            .map(|(id, _)| *id)
            .collect()
    }

    /// Ends the step that is due at `now`, if any; returns whether a prompt crashed the engine.
    pub(super) fn step(&mut self, now: Duration) -> bool {
        for report in self.model.advance(now) {
            match report {
                Report::Token(id) => {
                    if self.produce_token(id) {
                        return true;
                    }
                }
                Report::Finished(id) => {
                    if let Some(running) = self.jobs.remove(&id) {
                        self.finish(&running);
                    }
                }
                Report::Failed(_) => {}
            }
        }
        false
    }

    /// Discards all jobs, caches and order state, as the end of a process does.
    pub(super) fn reset_after_crash(&mut self, down_until: Duration, settings: &Settings) {
        self.down_until = down_until;
        for running in std::mem::take(&mut self.jobs).into_values() {
            running.hang_up();
            self.counters.failed += 1;
        }
        self.model = Model::new(settings.spec);
        self.cache = BlockCache::new(settings.cache_blocks);
        self.cache_log.restart();
        self.kv = KvStore::default();
        self.orders = Orders::new(settings.honours_fencing);
    }

    /// Executes and logs an order unless its fencing number is below the highest accepted one.
    pub(super) fn execute_order(&mut self, order: &FencedOrder) -> OrderAnswer {
        let answer = self.orders.execute(order.clone());
        if !matches!(answer, OrderAnswer::FenceRefused { .. }) {
            push_bounded(&mut self.order_log, order.clone());
        }
        answer
    }

    /// Whether a step can run: the engine is not stalled, and the map of the step is decided.
    pub(super) fn can_serve(&self) -> bool {
        !self.faults.stalled && !self.orders.rank.is_held()
    }

    /// Whether the rank can start a step of its group, which also requires a map.
    pub(super) fn can_join_step(&self, now: Duration) -> bool {
        self.can_serve() && now >= self.down_until && self.orders.rank.map.is_some()
    }

    /// KV cache of a request, from its latest running job or else from the store.
    pub(super) fn export_kv(&self, request_id: &str) -> Option<KvCache> {
        let running = self
            .jobs
            .values()
            .rev()
            .find(|r| r.request_id == request_id);
        running
            .and_then(RunningCompletion::kv)
            .or_else(|| self.kv.get(request_id))
    }

    /// Produces a job's next token; returns true if its prompt crashes the engine instead.
    fn produce_token(&mut self, id: JobId) -> bool {
        let Some(running) = self.jobs.get_mut(&id) else {
            return false;
        };
        if running.prompt.contains(CRASH_MARKER) {
            self.counters.crashes += 1;
            return true;
        }
        // The cut replaces a token: a frame sent just before the connection closes could be lost.
        if running.cut_at == Some(running.next) {
            running.hang_up();
            return false;
        }
        running.send_token();
        self.counters.tokens += 1;
        false
    }

    fn finish(&mut self, running: &RunningCompletion) {
        running.send_done();
        self.store_kv(running);
        self.counters.finished += 1;
        push_bounded(&mut self.finished, running.request_id.clone());
    }

    fn store_kv(&mut self, running: &RunningCompletion) {
        if let Some(cache) = running.kv() {
            self.kv.insert(&running.request_id, cache);
        }
    }

    fn record_run(&mut self, request_id: &str, completion: &Completion) {
        self.counters.started += 1;
        let run = Run {
            request_id: request_id.to_owned(),
            resume_from: completion.resume_from,
            priority: completion.priority,
        };
        push_bounded(&mut self.runs, run);
    }

    fn take_cut(&mut self, resume_from: u32) -> Option<u32> {
        if self.faults.cuts == 0 {
            return None;
        }
        self.faults.cuts -= 1;
        Some(resume_from + self.faults.cut_after)
    }

    /// Tokens to prefill: those of the prompt and of the answer before `resume_from`, minus the
    /// cached ones.
    fn tokens_to_prefill(
        &mut self,
        now: Duration,
        request_id: &str,
        completion: &Completion,
    ) -> u32 {
        let hashes = block_hashes(&completion.prompt);
        let access = self.cache.lookup_and_insert(&hashes);
        self.cache_log.record(now, &access);
        let prompt = prompt_tokens(&completion.prompt);
        let total = prompt.saturating_add(completion.resume_from);
        let last = hashes.last().copied();
        let cached = if self.kv.covers(request_id, last, completion.resume_from) {
            total
        } else {
            let hits = u32::try_from(access.hits).unwrap_or(u32::MAX);
            hits.saturating_mul(BLOCK_TOKENS).min(prompt)
        };
        self.counters.cached_tokens += u64::from(cached);
        self.counters.prefilled_tokens += u64::from(total - cached);
        total - cached
    }
}

fn push_bounded<T>(queue: &mut VecDeque<T>, item: T) {
    if queue.len() == MAX_LOG_ENTRIES {
        queue.pop_front();
    }
    queue.push_back(item);
}

/// State with its lock, the settings and the clock.
pub(super) struct Shared {
    state: Mutex<State>,
    pub(super) settings: Settings,
    pub(super) control: Control,
    started: Instant,
    /// Wakes the step task after a change of the jobs, the orders or the faults.
    pub(super) changed: Notify,
}

impl Shared {
    pub(super) fn new(settings: Settings, control: Control) -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::new(State::new(&settings)),
            settings,
            control,
            started: Instant::now(),
            changed: Notify::new(),
        })
    }

    pub(super) fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Converts a time of the model to an instant.
    pub(super) fn instant(&self, at: Duration) -> Instant {
        self.started + at
    }

    /// Locks the state, also after a panic of another holder.
    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
