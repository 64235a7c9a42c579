//! Decision logic of the eelgrasshold load balancer, free of I/O.
//!
//! Each role is a state machine driven as `handle(now, input) -> outputs`.
//! Timers that a machine requested come back as inputs, messages to send are
//! outputs, and all randomness comes from a generator seeded at construction, so
//! a harness can run any number of machines in virtual time over any transport.

pub mod config;
pub mod entry;
pub mod event;
pub mod fleet;
pub mod gateway;
pub mod group;
pub mod held;
pub mod platform;
pub mod ranks;
pub mod rendezvous;
pub mod serving;
pub mod types;
pub mod upstream;
