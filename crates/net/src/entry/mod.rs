//! Driver of the entry host: its callers' listener and its client of upstream processes.

mod attempt;
mod driver;
mod flow;
mod kept;
mod serve;

pub use driver::{Callbacks, EntryDriver};
