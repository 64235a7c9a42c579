//! What every driver needs around a state machine: a clock, timers and the event timeline.

mod clock;
mod timeline;
mod timers;

#[cfg(test)]
mod tests;

pub use clock::Clock;
pub use timeline::Timeline;
pub use timers::Timers;
