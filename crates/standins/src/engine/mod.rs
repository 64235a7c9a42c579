//! Stand-in for a model engine: completions over HTTP, timed by [`crate::model`].
//!
//! Each token is a function of the prompt and the token's index ([`token`]).
//! A test can therefore check that an answer is complete, belongs to its
//! prompt and was resumed at the right token. Markers in the prompt set the
//! length of the answer ([`length_marker`]) or crash the engine
//! ([`CRASH_MARKER`]).
//!
//! A crashed or killed engine loses its jobs, caches, loaded models and map.

mod cache;
mod cache_log;
mod completions;
mod group;
mod handler;
mod kv;
mod orders;
mod rank;
mod server;
mod state;
mod steps;
mod token;

#[cfg(test)]
mod tests;

pub use cache::{BLOCK_CHARS, block_hashes};
pub use cache_log::{CacheChange, CacheEvent, CacheEvents};
pub use completions::Completion;
pub use group::Group;
pub use kv::KvCache;
pub use orders::{FencedOrder, Loaded, Order, OrderAnswer, Role};
pub use rank::{Armed, Attempt, Map, MapChange, MapId, RankAnswer, RankState, WeightId};
pub use server::{EngineBuilder, ModelEngine};
pub use state::{Counters, Run};
pub use token::{CHARS_PER_TOKEN, CRASH_MARKER, answer_tokens, length_marker, token};
