//! Stand-ins for outside systems.
