//! Expert-parallel model groups: maps, switches, leases and placement.
//!
//! Two machines form the interface for the daemons: [`GroupRank`] is the
//! process next to a rank, and [`GroupPlanner`] can be run by any process of
//! the group. Both are driven as `handle(now, input) -> outputs`.

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
