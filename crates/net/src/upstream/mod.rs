//! Driver of the process next to an upstream: its data listener and its engine client.

mod driver;
mod engine;
mod work;

pub use driver::UpstreamDriver;
pub use engine::{Engine, EngineError};
