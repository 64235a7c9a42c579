//! Shared parts of the drivers: monotonic clock, timers and event timeline.

mod clock;
mod timeline;
mod timers;

#[cfg(test)]
mod tests;

pub use clock::Clock;
pub use timeline::Timeline;
pub use timers::Timers;
