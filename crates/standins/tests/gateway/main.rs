//! Integration tests of gateways and rank sidecars against stand-ins for replicas, the object
//! store and a group of ranks, all on loopback.

mod answers;
mod cluster;
mod crashes;
mod crowded_ends;
mod departures;
mod draining;
mod endless;
mod faulty;
mod hosts;
mod invalid_heads;
mod late_ends;
mod limits;
mod notices;
mod pause_control;
mod ranks;
mod restored;
mod silent_channels;
mod stalls;
mod stopping;
mod store;
mod store_path;
