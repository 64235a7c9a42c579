//! Stand-in for the weight store: downloads that share one rate.

mod rate;
mod server;

#[cfg(test)]
mod tests;

pub use server::{Counters, WeightStore, WeightStoreBuilder, content};
