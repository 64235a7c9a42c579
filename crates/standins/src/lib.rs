//! Stand-ins for the external systems that eelgrasshold works with, for tests and examples.
//!
//! The platform, model engines, plain services and stores are HTTP servers on ephemeral loopback
//! ports, with faults that tests switch on. [`fleet`] and [`process`] run the system against them,
//! and [`caller`] and [`load`] send it requests and check the answers.

pub mod caller;
pub mod client;
pub mod engine;
pub mod fleet;
mod http_util;
pub mod load;
pub mod model;
pub mod plain;
pub mod platform;
pub mod process;
pub mod server;
pub mod users;
pub mod weights;
