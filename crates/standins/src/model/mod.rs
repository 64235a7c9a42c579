//! Timing model of a model engine with continuous batching, in virtual time and without I/O.
//!
//! The engine works in steps. In a step, each job in the batch produces one
//! token, or has a part of its prompt prefilled if its prefill is incomplete.
//! The duration of a step grows with its batch and with the number of tokens
//! that it prefills. When there are more jobs than slots, those with the best
//! priority run and the rest are paused. Resuming a paused job takes time, as
//! its KV cache has to be restored.
//!
//! The caller advances the engine to [`Engine::next_at`] again and again:
//!
//! ```
//! use std::time::Duration;
//! use eelgrasshold_standins::model::{Engine, Job, Report, Spec};
//!
//! let mut engine = Engine::new(Spec::default());
//! let job = Job { id: 1, priority: 4, prefix: None, prefix_tokens: 0, prompt_tokens: 20, output_tokens: 2 };
//! engine.submit(Duration::ZERO, job);
//! let mut reports = Vec::new();
//! while let Some(at) = engine.next_at() {
//!     reports.extend(engine.advance(at));
//! }
//! assert_eq!(reports.last(), Some(&Report::Finished(1)));
//! ```

mod cache;
mod engine;
mod spec;

#[cfg(test)]
mod tests;

pub use engine::Engine;
pub use spec::{EngineLoad, Job, JobId, Report, Spec};
