//! Input and output types of the engine model.

use std::time::Duration;

/// Id of a job, assigned by whoever submits it.
pub type JobId = u64;

/// Capacity and timing of an engine.
#[derive(Clone, Copy, Debug)]
pub struct Spec {
    /// Maximum number of jobs in a batch.
    pub slots: usize,
    /// Duration of a step, without the time for its jobs and their prefill.
    pub step_base: Duration,
    /// Time that each job in the batch adds to a step.
    pub step_per_job: Duration,
    /// Prefill speed, in prompt tokens per second.
    pub prefill_tokens_per_s: u32,
    /// Maximum number of prompt tokens prefilled in one step, over all jobs.
    pub prefill_chunk_tokens: u32,
    /// Speed at which KV caches of paused jobs are restored, in tokens per second.
    pub swap_tokens_per_s: u32,
    /// Capacity of the prefix cache, in tokens.
    pub cache_tokens: u32,
    /// Delay of the reported load behind the actual load.
    pub load_lag: Duration,
}

impl Default for Spec {
    /// 16 slots; 24.5 ms per token for a single job and 32 ms in a full batch.
    fn default() -> Self {
        Self {
            slots: 16,
            step_base: Duration::from_millis(24),
            step_per_job: Duration::from_micros(500),
            prefill_tokens_per_s: 20_000,
            prefill_chunk_tokens: 512,
            swap_tokens_per_s: 200_000,
            cache_tokens: 32_768,
            load_lag: Duration::from_millis(500),
        }
    }
}

/// A prompt and the length of its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Job {
    /// Unique among the engine's jobs.
    pub id: JobId,
    /// Priority from 0 (highest) to 7.
    pub priority: u8,
    /// Hash of the prefix that the prompt shares with others; `None` if it shares none.
    pub prefix: Option<u64>,
    /// Length of the shared prefix, in tokens.
    pub prefix_tokens: u32,
    /// Length of the prompt including the shared prefix, in tokens.
    pub prompt_tokens: u32,
    /// Length of the answer, in tokens. A real scheduler doesn't know it in advance, so code that
    /// schedules jobs must not read it.
    pub output_tokens: u32,
}

/// An event of a job in the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Report {
    /// The job produced a token.
    Token(JobId),
    /// The job finished.
    Finished(JobId),
    /// The engine crashed before the job finished.
    Failed(JobId),
}

/// Load of an engine. The reported one is [`Spec::load_lag`] old.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineLoad {
    /// Number of jobs that have a slot.
    pub running: usize,
    /// Number of jobs without a slot, including paused ones.
    pub waiting: usize,
}
