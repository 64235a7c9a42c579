//! Order of work in front of an upstream, and whether new work is worth queueing.
//!
//! - [`Policy`] holds the settings.
//! - [`LengthEstimates`] learns how long the answers of each team and service are.
//! - [`FairQueue`] holds waiting work and picks the next by weighted fair shares.
//! - [`Levels`] holds running work and its feedback levels, by tokens produced.
//! - [`admission`] predicts waits and decides whether a deadline can be met.

pub mod admission;
mod fair;
mod item;
mod lengths;
mod levels;
mod policy;
mod waits;

#[cfg(test)]
mod tests;

pub use fair::FairQueue;
pub use item::Item;
pub use lengths::LengthEstimates;
pub use levels::{Level, Levels, Running};
pub use policy::{Policy, PolicyBuilder};
pub use waits::WaitCorrections;
