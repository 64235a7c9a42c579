//! Admin interface of a daemon: health, metrics, status, configuration, event timeline and drain.

mod routes;
mod status;

#[cfg(test)]
mod tests;

pub use routes::{Admin, filter_query, parse_filter};
pub use status::{MemberStatus, Status};
