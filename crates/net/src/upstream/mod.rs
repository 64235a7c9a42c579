//! Driver of the process next to an upstream: passes dispatched work to its engine.

mod driver;
mod engine;
mod work;

pub use driver::UpstreamDriver;
pub use engine::{Engine, EngineError};
