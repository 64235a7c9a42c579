//! Serving policies: pure functions and small state machines that entry hosts and upstream
//! processes combine. None of them does I/O; the caller passes in the time.

pub mod claims;
pub mod health;
pub mod limits;
pub mod queue;
pub mod retry;
pub mod routing;
pub mod subset;
pub mod suspects;
