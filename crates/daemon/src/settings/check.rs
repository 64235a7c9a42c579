//! Validation beyond what the settings types enforce.

use std::net::SocketAddr;

use super::{GatewaySettings, RankSettings, Role, Settings};

const MAX_DRAIN_LIMIT_S: u64 = 3_600;

/// Minimum file descriptors of a gateway: those reserved for listeners, files and control traffic,
/// and a few connections.
const MIN_DESCRIPTORS: usize = 256;

/// Least memory of a gateway's machine, in MiB: the smallest budget of held bytes, and the process itself.
const MIN_MEMORY_MB: usize = 64;
/// Largest budget of held bytes, in MiB.
const MAX_HELD_MIB: usize = 1 << 20;

/// Returns all problems of the settings, each with its JSON path.
pub fn problems(settings: &Settings) -> Vec<String> {
    let mut problems = Vec::new();
    let mut report = |path: &str, reason: &str| problems.push(format!("at `{path}`: {reason}"));
    for (path, name) in [
        ("host", &settings.host),
        ("region", &settings.region),
        ("data_centre", &settings.data_centre),
    ] {
        if name.is_empty() {
            report(path, "must not be empty");
        }
    }
    match (settings.role, &settings.engine) {
        (None, _) => report("role", "must be `entry`, `upstream`, `gateway` or `rank`"),
        (Some(Role::Upstream), None) => report("engine", "the role `upstream` needs an engine"),
        (Some(Role::Rank), None) => report("engine", "the role `rank` needs an engine"),
        (Some(Role::Entry | Role::Gateway), Some(_)) => {
            report(
                "engine",
                "only the roles `upstream` and `rank` have an engine; remove it",
            );
        }
        _ => {}
    }
    match (settings.role, &settings.gateway) {
        (Some(Role::Gateway), None) => {
            report("gateway", "the role `gateway` needs this section");
        }
        (Some(Role::Gateway), Some(gateway)) => gateway_problems(gateway, &mut report),
        (_, Some(_)) => report(
            "gateway",
            "only the role `gateway` has this section; remove it",
        ),
        _ => {}
    }
    if !(0.1..=1e6).contains(&settings.rank.link_mbps) {
        report("rank.link_mbps", "must be 0.1 to 1000000");
    }
    if !(1..=64).contains(&settings.rank.fanout) {
        report("rank.fanout", "must be 1 to 64");
    }
    if settings.role != Some(Role::Rank) && settings.rank != RankSettings::default() {
        report("rank", "only the role `rank` has this section; remove it");
    }
    if !matches!(settings.role, Some(Role::Gateway | Role::Rank)) {
        for path in &settings.unknown {
            report(path, "unknown setting; correct its name or remove it");
        }
    }
    if let Some(engine) = &settings.engine {
        if engine.service.is_empty() {
            report("engine.service", "must name the service");
        }
        if engine.address.ip().is_unspecified() {
            report("engine.address", "must be the address of the engine");
        }
    }
    if settings.role == Some(Role::Upstream) && settings.seeds.is_empty() {
        report(
            "seeds",
            "an upstream process needs the control address of an entry host",
        );
    }
    if !settings.platform_url.starts_with("http://") {
        report("platform_url", "must start with http://");
    }
    if !(1..=MAX_DRAIN_LIMIT_S).contains(&settings.drain_limit_s) {
        report("drain_limit_s", "must be 1 to 3600");
    }
    for (path, address) in [
        ("data_address", settings.data_address),
        ("control_address", settings.control_address),
        ("admin_address", settings.admin_address),
    ] {
        // The role `rank` has no data listener.
        let needed = settings.role != Some(Role::Rank) || path != "data_address";
        if needed && address.ip().is_unspecified() {
            report(
                path,
                "must be set to an address of this host that others can reach",
            );
        }
    }
    let is_exposed = |address: SocketAddr| !address.ip().is_loopback();
    if settings.tls.is_none() && !settings.allow_plain_links {
        let reason = "needs `tls`, or `allow_plain_links` set to true, when it is not loopback";
        for (path, address) in [
            ("control_address", settings.control_address),
            ("admin_address", settings.admin_address),
        ] {
            if is_exposed(address) {
                report(path, reason);
            }
        }
    }
    problems
}

fn gateway_problems(gateway: &GatewaySettings, report: &mut impl FnMut(&str, &str)) {
    if !(0.1..=3_600.0).contains(&gateway.answer_validity_s) {
        report("gateway.answer_validity_s", "must be 0.1 to 3600");
    }
    if !(500..=60_000).contains(&gateway.store_settle_ms) {
        report("gateway.store_settle_ms", "must be 500 to 60000");
    }
    if gateway
        .evacuate_ms
        .is_some_and(|ms| !(500..=60_000).contains(&ms))
    {
        report("gateway.evacuate_ms", "must be 500 to 60000");
    }
    if !(0.0..=10.0).contains(&gateway.retry_ratio) {
        report("gateway.retry_ratio", "must be 0 to 10");
    }
    if !(0.0..=1e6).contains(&gateway.retry_allowance) {
        report("gateway.retry_allowance", "must be 0 to 1000000");
    }
    if !(0.1..=3_600.0).contains(&gateway.retry_window_s) {
        report("gateway.retry_window_s", "must be 0.1 to 3600");
    }
    if !(0.0..=1e6).contains(&gateway.cold_overage.unwrap_or_default()) {
        report("gateway.cold_overage", "must be 0 to 1000000");
    }
    if !(-1e6..=1e6).contains(&gateway.cold_slack.unwrap_or_default()) {
        report("gateway.cold_slack", "must be -1000000 to 1000000");
    }
    if gateway.max_descriptors < MIN_DESCRIPTORS {
        report("gateway.max_descriptors", "must be 256 or more");
    }
    if gateway.memory_mb.is_some_and(|mb| mb < MIN_MEMORY_MB) {
        report("gateway.memory_mb", "must be 64 or more, or left out");
    }
    let most = gateway.memory_mb.map_or(MAX_HELD_MIB, |mb| mb / 2);
    match gateway.held_mib {
        Some(mib) if !(1..=MAX_HELD_MIB).contains(&mib) => {
            report("gateway.held_mib", "must be 1 to 1048576, or left out");
        }
        Some(mib) if mib > most => report(
            "gateway.held_mib",
            "must be at most half of `gateway.memory_mb`; lower it",
        ),
        _ => {}
    }
}
