//! Sizes and speeds of an engine, its jobs and its reports.

use std::time::Duration;

/// Id of a job, chosen by the owner.
pub type JobId = u64;

/// Sizes and speeds of an engine.
#[derive(Clone, Copy, Debug)]
pub struct Spec {
    /// Jobs in a batch at most.
    pub slots: usize,
    /// Time of a step with an empty batch.
    pub step_base: Duration,
    /// Time that each job in the batch adds to a step.
    pub step_per_job: Duration,
    /// Prompt tokens that are prefilled in a second.
    pub prefill_tokens_per_s: u32,
    /// Prompt tokens that are prefilled in one step at most.
    pub prefill_chunk_tokens: u32,
    /// Tokens of paused KV cache that are brought back in a second.
    pub swap_tokens_per_s: u32,
    /// Tokens that the prefix cache holds.
    pub cache_tokens: u32,
    /// Age of the load that the engine reports.
    pub load_lag: Duration,
}

impl Default for Spec {
    /// 16 slots, 24.5 ms a token for a job that runs alone, and 32 ms in a full batch.
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

/// A prompt and the answer that the model will give to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Job {
    /// Id, unique among the engine's jobs.
    pub id: JobId,
    /// Priority, 0 (highest) to 7.
    pub priority: u8,
    /// Hash of the prompt's shared prefix.
    pub prefix: Option<u64>,
    /// Tokens of the prompt that belong to the shared prefix.
    pub prefix_tokens: u32,
    /// Tokens of the prompt, with those of the prefix.
    pub prompt_tokens: u32,
    /// Tokens of the answer, which the engine's owner must not use for decisions.
    pub output_tokens: u32,
}

/// What an engine says about a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Report {
    /// The job produced a token.
    Token(JobId),
    /// The job finished.
    Finished(JobId),
    /// The engine died while it had the job.
    Failed(JobId),
}

/// Load as the engine reports it, `Spec::load_lag` old.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineLoad {
    /// Jobs in the batch.
    pub running: usize,
    /// Jobs that wait or are paused.
    pub waiting: usize,
}
