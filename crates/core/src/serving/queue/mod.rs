//! Scheduling and admission of work at an upstream.
//!
//! - [`Policy`] holds the settings.
//! - [`LengthEstimates`] estimates the answer lengths of each team and service.
//! - [`FairQueue`] holds queued work and selects the next item by weighted fair shares.
//! - [`Levels`] holds running work and its priority levels, by tokens produced.
//! - [`admission`] predicts waits and decides whether a deadline can be met.
//! - [`WaitCorrections`] corrects predicted waits by the actual ones of each team.

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
