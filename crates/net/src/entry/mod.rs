//! Driver of the entry host: serves callers and sends their requests to upstream processes.

mod attempt;
mod driver;
mod request_task;
mod serve;
mod stored;

pub use driver::{Callbacks, EntryDriver};
