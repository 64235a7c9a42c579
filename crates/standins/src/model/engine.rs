//! The engine: batch selection, step timing and faults.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::cache::PrefixCache;
use super::{EngineLoad, Job, JobId, Report, Spec};

#[derive(Clone, Debug)]
struct ActiveJob {
    job: Job,
    /// Position in the order of submission.
    order: u64,
    /// Prompt tokens left to prefill; `None` before the job first runs.
    prefill_left: Option<u32>,
    produced: u32,
    /// Whether the job was in the latest batch.
    in_batch: bool,
}

/// A model engine in virtual time. See the [module documentation](super).
#[derive(Clone, Debug)]
pub struct Engine {
    spec: Spec,
    jobs: BTreeMap<JobId, ActiveJob>,
    cache: PrefixCache,
    submitted_jobs: u64,
    /// End of the running step, and the jobs that produce a token at its end.
    step: Option<(Duration, Vec<JobId>)>,
    slowdown: f64,
    stalled_until: Duration,
    up: bool,
    /// Load and time of its change, from the entry that is reported now to the newest.
    load_history: VecDeque<(Duration, EngineLoad)>,
    prefix_lookups: u64,
    prefix_hits: u64,
}

impl Engine {
    /// Creates an idle engine with an empty cache.
    #[must_use]
    pub fn new(spec: Spec) -> Self {
        Self {
            cache: PrefixCache::new(spec.cache_tokens),
            spec,
            jobs: BTreeMap::new(),
            submitted_jobs: 0,
            step: None,
            slowdown: 1.0,
            stalled_until: Duration::ZERO,
            up: true,
            load_history: VecDeque::new(),
            prefix_lookups: 0,
            prefix_hits: 0,
        }
    }

    /// Adds a job, replacing a job with the same id. A crashed engine ignores it.
    pub fn submit(&mut self, now: Duration, job: Job) {
        if !self.up {
            return;
        }
        self.submitted_jobs += 1;
        let active = ActiveJob {
            job,
            order: self.submitted_jobs,
            prefill_left: None,
            produced: 0,
            in_batch: false,
        };
        self.jobs.insert(job.id, active);
        self.begin_step(now);
    }

    /// Drops a job. The end of the running step doesn't change.
    pub fn cancel(&mut self, now: Duration, id: JobId) {
        self.jobs.remove(&id);
        self.record_load(now);
    }

    /// Changes a job's priority from the next step on; no effect on unknown jobs.
    pub fn set_priority(&mut self, id: JobId, priority: u8) {
        if let Some(active) = self.jobs.get_mut(&id) {
            active.job.priority = priority;
        }
    }

    /// End of the running step; `None` if the engine is idle.
    #[must_use]
    pub fn next_at(&self) -> Option<Duration> {
        self.step.as_ref().map(|(at, _)| *at)
    }

    /// Ends the running step if it is due at `now`, and starts the next one. Returns the tokens
    /// produced and the jobs finished.
    pub fn advance(&mut self, now: Duration) -> Vec<Report> {
        let Some((at, ids)) = self.step.take() else {
            return Vec::new();
        };
        if at > now {
            self.step = Some((at, ids));
            return Vec::new();
        }
        let mut reports = Vec::new();
        for id in ids {
            let Some(active) = self.jobs.get_mut(&id) else {
                continue;
            };
            active.produced += 1;
            reports.push(Report::Token(id));
            if active.produced >= active.job.output_tokens {
                self.jobs.remove(&id);
                reports.push(Report::Finished(id));
            }
        }
        self.begin_step(now);
        reports
    }

    /// Load reported at `now`, which is the load [`Spec::load_lag`] earlier.
    #[must_use]
    pub fn load(&self, now: Duration) -> EngineLoad {
        let is_reportable = |at: Duration| at + self.spec.load_lag <= now;
        let latest = self
            .load_history
            .iter()
            .rev()
            .find(|(at, _)| is_reportable(*at));
        latest.map(|(_, load)| *load).unwrap_or_default()
    }

    /// Multiplies the duration of each further step by `factor`; 1 is normal speed.
    pub fn slow_down(&mut self, factor: f64) {
        self.slowdown = factor;
    }

    /// Starts no step before `until`. A running step ends in time.
    pub fn stall(&mut self, until: Duration) {
        self.stalled_until = until;
    }

    /// Drops all jobs and the cache, and ignores jobs until [`Engine::restart`]. Returns a
    /// [`Report::Failed`] for each dropped job.
    pub fn crash(&mut self) -> Vec<Report> {
        self.up = false;
        self.step = None;
        self.cache = PrefixCache::new(self.spec.cache_tokens);
        let jobs = std::mem::take(&mut self.jobs);
        jobs.into_keys().map(Report::Failed).collect()
    }

    /// Accepts jobs again after a crash.
    pub fn restart(&mut self) {
        self.up = true;
    }

    /// Number of started jobs with a shared prefix, and how many of them found it in the cache.
    #[must_use]
    pub fn prefix_counts(&self) -> (u64, u64) {
        (self.prefix_lookups, self.prefix_hits)
    }

    /// Starts a step unless one is running or there are no jobs.
    fn begin_step(&mut self, now: Duration) {
        if self.step.is_none() && !self.jobs.is_empty() {
            let batch = self.select_batch();
            let mut duration = Duration::ZERO;
            let mut prefill_budget = self.spec.prefill_chunk_tokens;
            let mut decoding = Vec::new();
            for id in &batch {
                duration += self.swap_in(*id);
                let (tokens, prefill_done) = self.prefill(*id, prefill_budget);
                prefill_budget -= tokens;
                duration += processing_time(tokens, self.spec.prefill_tokens_per_s);
                if prefill_done {
                    decoding.push(*id);
                }
            }
            let size = u32::try_from(batch.len()).unwrap_or(u32::MAX);
            duration += self.spec.step_base + self.spec.step_per_job * size;
            let begin = now.max(self.stalled_until);
            self.step = Some((begin + duration.mul_f64(self.slowdown), decoding));
        }
        self.record_load(now);
    }

    /// Selects the jobs of the next batch by priority, then by age.
    fn select_batch(&mut self) -> Vec<JobId> {
        let mut candidates: Vec<_> = self
            .jobs
            .iter()
            .map(|(id, a)| (a.job.priority, a.order, *id))
            .collect();
        candidates.sort_unstable();
        candidates.truncate(self.spec.slots);
        let batch: Vec<_> = candidates.into_iter().map(|(_, _, id)| id).collect();
        for (id, active) in &mut self.jobs {
            if !batch.contains(id) {
                active.in_batch = false;
            }
        }
        batch
    }

    /// Adds a job to the batch; returns the time to restore its KV cache if it was paused.
    fn swap_in(&mut self, id: JobId) -> Duration {
        let Some(active) = self.jobs.get_mut(&id) else {
            return Duration::ZERO;
        };
        let paused = !active.in_batch && active.prefill_left.is_some();
        active.in_batch = true;
        if !paused {
            return Duration::ZERO;
        }
        let tokens = active.job.prompt_tokens + active.produced;
        processing_time(tokens, self.spec.swap_tokens_per_s)
    }

    /// Prefills up to `budget` tokens; returns their number and whether the prefill is complete.
    fn prefill(&mut self, id: JobId, budget: u32) -> (u32, bool) {
        let Some(active) = self.jobs.get_mut(&id) else {
            return (0, false);
        };
        let job = active.job;
        let left = if let Some(left) = active.prefill_left {
            left
        } else {
            let cached = job.prefix.map_or(0, |p| self.cache.lookup(p));
            self.prefix_lookups += u64::from(job.prefix.is_some());
            self.prefix_hits += u64::from(cached > 0);
            job.prompt_tokens - cached.min(job.prefix_tokens).min(job.prompt_tokens)
        };
        let tokens = left.min(budget);
        active.prefill_left = Some(left - tokens);
        let prefill_done = tokens == left;
        if prefill_done
            && left > 0
            && let Some(prefix) = job.prefix
        {
            self.cache.insert(prefix, job.prefix_tokens);
        }
        (tokens, prefill_done)
    }

    fn record_load(&mut self, now: Duration) {
        let running = self.jobs.len().min(self.spec.slots);
        let load = EngineLoad {
            running,
            waiting: self.jobs.len() - running,
        };
        self.load_history.push_back((now, load));
        // Keeps the newest entry that is old enough to be reported.
        while self.load_history.len() > 1 && self.load_history[1].0 + self.spec.load_lag <= now {
            self.load_history.pop_front();
        }
    }
}

fn processing_time(tokens: u32, tokens_per_s: u32) -> Duration {
    Duration::from_secs_f64(f64::from(tokens) / f64::from(tokens_per_s.max(1)))
}
