//! The path through the crate `platform` on loopback: gateways, replicas, the store, a group.

mod answers;
mod cluster;
mod hosts;
mod ranks;
mod store;
