//! Validation beyond what the settings types enforce.

use std::net::SocketAddr;
use std::ops::RangeInclusive;

use super::number::Number;
use super::{GatewaySettings, RankSettings, Role, Settings};

/// A day, in seconds and in milliseconds.
const MAX_SECONDS: f64 = 86_400.0;
const MAX_MILLIS: f64 = 1_000.0 * MAX_SECONDS;
/// Longest retry window in seconds, since the time of each request in it is kept.
const MAX_RETRY_WINDOW_S: f64 = 3_600.0;
/// Largest ratio, and largest number of requests.
const MAX_REQUESTS: f64 = 1e6;
/// Minimum file descriptors of a gateway: those reserved for listeners, files and control traffic,
/// and a few connections.
const MIN_DESCRIPTORS: f64 = 256.0;
/// Largest number of file descriptors, far below that of permits of a semaphore.
const MAX_DESCRIPTORS: f64 = (1 << 30) as f64;
/// Least memory of a gateway's machine, in MiB: the smallest budget of held bytes, and the process itself.
const MIN_MEMORY_MB: f64 = 64.0;
/// Most memory of a machine and largest budget of held bytes, in MiB.
const MAX_MEMORY_MB: f64 = (1 << 30) as f64;
const MAX_HELD_MIB: f64 = (1 << 20) as f64;

/// Settings that are numbers, with the range of each.
fn ranges(settings: &Settings) -> Vec<(&'static str, Number, RangeInclusive<f64>)> {
    let rank = &settings.rank;
    let mut ranges = vec![
        ("drain_limit_s", settings.drain_limit_s, 0.0..=MAX_SECONDS),
        ("rank.link_mbps", rank.link_mbps, 0.1..=1e6),
        ("rank.fanout", rank.fanout, 1.0..=64.0),
    ];
    if let Some(g) = &settings.gateway {
        ranges.extend([
            (
                "gateway.answer_validity_s",
                g.answer_validity_s,
                0.0..=MAX_SECONDS,
            ),
            (
                "gateway.store_settle_ms",
                g.store_settle_ms,
                0.0..=MAX_MILLIS,
            ),
            ("gateway.evacuate_ms", g.evacuate_ms, 0.0..=MAX_MILLIS),
            ("gateway.retry_ratio", g.retry_ratio, 0.0..=MAX_REQUESTS),
            (
                "gateway.retry_allowance",
                g.retry_allowance,
                0.0..=MAX_REQUESTS,
            ),
            (
                "gateway.retry_window_s",
                g.retry_window_s,
                0.0..=MAX_RETRY_WINDOW_S,
            ),
            ("gateway.cold_overage", g.cold_overage, 0.0..=MAX_REQUESTS),
            (
                "gateway.cold_slack",
                g.cold_slack,
                -MAX_REQUESTS..=MAX_REQUESTS,
            ),
            ("gateway.sidecar_port", g.sidecar_port, 1.0..=65_535.0),
            (
                "gateway.max_descriptors",
                g.max_descriptors,
                MIN_DESCRIPTORS..=MAX_DESCRIPTORS,
            ),
            (
                "gateway.memory_mb",
                g.memory_mb,
                MIN_MEMORY_MB..=MAX_MEMORY_MB,
            ),
            ("gateway.held_mib", g.held_mib, 1.0..=MAX_HELD_MIB),
        ]);
    }
    ranges
}

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
    for (path, number, range) in ranges(settings) {
        let wrong = number.given().filter(|n| !range.contains(n));
        if let Some(wrong) = wrong {
            let (least, most) = (range.start(), range.end());
            report(path, &format!("must be {least} to {most}, is {wrong:?}"));
        }
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

/// Returns what is told to operators of settings that are valid, each with its JSON path.
pub fn notes(settings: &Settings) -> Vec<String> {
    let Some(gateway) = &settings.gateway else {
        return Vec::new();
    };
    let validity = gateway.answer_validity_s.seconds();
    let window = gateway.retry_window_s.seconds();
    let settle_time = gateway.store_settle_ms.millis();
    let evacuation = gateway.evacuate_ms.millis();
    let used = [
        (
            "answer_validity_s",
            validity,
            Some(gateway.answer_validity()),
        ),
        ("store_settle_ms", settle_time, Some(gateway.settle_time())),
        ("evacuate_ms", evacuation, gateway.evacuate_within()),
        ("retry_window_s", window, Some(gateway.retry_bound().window)),
    ];
    let differ = used.into_iter().filter_map(|(name, given, used)| {
        let (given, used) = (given?, used?);
        (given != used).then(|| format!("at `gateway.{name}`: {given:?} counts as {used:?}"))
    });
    differ.collect()
}

fn gateway_problems(gateway: &GatewaySettings, report: &mut impl FnMut(&str, &str)) {
    let port = gateway.sidecar_port.given().unwrap_or_default();
    if port.fract() != 0.0 {
        let reason = format!("must be a whole number, is {port:?}");
        report("gateway.sidecar_port", &reason);
    }
    if let (Some(held), Some(memory)) = (gateway.held_mib.given(), gateway.memory_mb.given())
        && held > (memory / 2.0).floor()
    {
        report(
            "gateway.held_mib",
            "must be at most half of `gateway.memory_mb`; lower it",
        );
    }
}
