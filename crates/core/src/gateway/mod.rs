//! Decisions of an entry host that sends requests directly to upstreams.
//!
//! It is for deployments whose platform stores the configuration and a registry of upstreams, and
//! whose upstreams queue requests, honour priorities and report when they did not run one. Upstream
//! processes and claims of idempotency keys are not needed there: each attempt of a caller has its
//! own id, and an unsafe request that may have run is never sent again.
//!
//! [`Gateway`] holds the state that all requests share. The driver calls it at each step of a
//! request: [`Gateway::admit`], then [`Gateway::next`] for each send, and
//! [`Gateway::attempt_ended`] when an attempt has ended.

pub mod admission;
pub mod budget;
pub mod cold;
pub mod concurrency;
pub mod departure;
pub mod evacuations;
pub mod follow;
pub mod health;
pub mod load_reports;
pub mod mirror;
pub mod notices;
pub mod peers;
pub mod placing;
pub mod quarantine;
pub mod registry;
pub mod retry_after;
pub mod routes;
pub mod silence;
pub mod sources;
mod state;
pub mod stopping;
pub mod upstream_limits;

#[cfg(test)]
mod tests;

pub use state::{Admitted, Gateway, GatewaySettings, Next, Outcome, Reasons, RequestHead};
