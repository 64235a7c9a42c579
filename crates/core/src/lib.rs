//! Decisions of the eelgrasshold load balancer, without input or output.
//!
//! Each role is a plain struct that is driven as `handle(now, input) -> outputs`.
//! Timers are inputs that the machine asked for, sends are outputs, and all
//! randomness comes from a generator seeded at construction, so a harness can
//! run any number of machines in virtual time over any transport.

pub mod config;
pub mod entry;
pub mod event;
pub mod fleet;
pub mod gateway;
pub mod group;
pub mod platform;
pub mod ranks;
mod rendezvous;
pub mod serving;
pub mod types;
pub mod upstream;
