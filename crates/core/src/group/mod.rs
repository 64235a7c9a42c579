//! Expert-parallel model groups: expert maps, map switches, planner leases and placement.
//!
//! Daemons drive two state machines through `handle(now, input) -> outputs`: [`GroupRank`] runs in
//! the process next to a rank's engine, and [`GroupPlanner`] can run in any process of the group.

pub mod bandwidth;
pub mod coordinator;
pub mod fence;
pub mod lease;
pub mod map;
pub mod placement;
pub mod planner;
pub mod popularity;
pub mod switch;

pub use coordinator::GroupPlanner;
pub use switch::GroupRank;
