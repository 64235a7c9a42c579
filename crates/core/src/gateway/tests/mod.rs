//! Tests of the gateway's decisions, in virtual time.

mod admission;
mod budget;
mod cold;
mod cold_simulation;
mod departure;
mod follow;
mod forming;
mod late_changes;
mod load_reports;
mod mirror;
mod notices;
mod notices_simulation;
mod pause_control;
mod pause_control_off;
mod pauses;
mod peers;
mod placing;
mod quarantine;
mod registry;
mod requests;
mod silence;
mod sources;
mod split_routes;
mod standstill;
mod stopping;
mod upstream_limits;

use std::net::SocketAddr;
use std::time::Duration;

use super::registry::Upstream;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn address(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n], 8_000))
}

fn upstream(n: u8) -> Upstream {
    Upstream {
        id: format!("u-{n}"),
        service: "drafts".into(),
        address: address(n),
        data_centre: "north-1".into(),
        slots: 4,
        leaving: false,
        born: None,
        warm_up: Some(Duration::ZERO),
        version: u64::from(n) + 1,
    }
}
