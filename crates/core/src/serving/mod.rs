//! Policies of serving: pure functions and small structs that the roles combine.

pub mod claims;
pub mod health;
pub mod limits;
pub mod queue;
pub mod retry;
pub mod routing;
pub mod subset;
pub mod suspects;
