//! Decisions of an entry host that passes requests straight to upstreams.
//!
//! It serves deployments whose platform keeps the configuration and a registry of upstreams, and
//! whose upstreams queue, honour priorities and say when they did not run a request. The hop
//! through an upstream process and the claims of idempotency keys are then needless: each attempt
//! of a caller has an id of its own, and one that may have run is never sent again.
//!
//! [`Gateway`] holds what is shared by all requests. A driver asks it at each step of a request:
//! [`Gateway::admit`], then [`Gateway::next`] for each send, and [`Gateway::attempt_ended`] for each end.

pub mod budget;
pub mod follow;
pub mod peers;
pub mod placing;
pub mod registry;
pub mod returning;
pub mod routes;
mod state;
pub mod trust;

#[cfg(test)]
mod tests;

pub use state::{Admitted, Gateway, GatewaySettings, Next, Outcome, Reasons, RequestHead};
