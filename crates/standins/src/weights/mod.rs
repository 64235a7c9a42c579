//! Stand-in for the weight store: downloads over HTTP that share one rate limit.

mod rate;
mod server;

#[cfg(test)]
mod tests;

pub use server::{Counters, WeightStore, WeightStoreBuilder, content};
