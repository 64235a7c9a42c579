//! Policies of serving: pure functions and small structs that the roles combine.

pub mod queue;
