//! Requests of a route whose services share its traffic.

use std::sync::Arc;
use std::time::Duration;

use super::requests::{admit, end, route, settings};
use super::{address, ms, upstream};
use crate::gateway::registry::Upstream;
use crate::gateway::routes::{CallerTeam, RouteKind, RouteTable};
use crate::gateway::{Gateway, Next, Outcome};
use crate::types::Now;

const SERVICES: [&str; 3] = ["stable", "next", "canary"];
const UPSTREAMS_PER_SERVICE: u8 = 4;
/// Time between two repetitions of a request.
const INTERVAL_MS: u64 = 2_000;
const LENGTH_MS: u64 = 60_000;
const SEEDS: u64 = 100;
/// Interval at which a host decides.
const DECISION_INTERVAL_MS: u64 = 250;

fn gateway(seed: u64) -> Gateway {
    let mut gateway = Gateway::new(ms(0), settings(), seed);
    let mut table = RouteTable::new(2);
    let mut split = route("/unsafe/", RouteKind::Unsafe, 1);
    split.services = SERVICES.map(|s| (s.into(), 1)).into();
    table.add_route(split);
    let team = CallerTeam { priority: Some(1) };
    table.add_team("shearers".into(), team, vec!["k".into()]);
    gateway.set_table(ms(0), Arc::new(table));
    let list = (0..).zip(SERVICES).flat_map(|(n, service)| {
        (0..UPSTREAMS_PER_SERVICE).map(move |m| Upstream {
            service: service.into(),
            address: address(1 + n * UPSTREAMS_PER_SERVICE + m),
            ..upstream(1 + n * UPSTREAMS_PER_SERVICE + m)
        })
    });
    gateway.registry.replace(ms(0), list.collect(), 1);
    gateway
}

/// Plays one request that is repeated and ends each upstream, but for those of a service that answers it.
/// Returns the times of the ends.
fn play(seed: u64, sound_service: Option<&str>) -> Vec<Now> {
    let mut gateway = gateway(seed);
    let mut ends = Vec::new();
    for at in (0..LENGTH_MS).step_by(DECISION_INTERVAL_MS as usize) {
        let now = ms(at);
        gateway.expire(now);
        if !at.is_multiple_of(INTERVAL_MS) {
            continue;
        }
        let mut request = admit(&mut gateway, now, "/unsafe/fatal");
        request.set_content(7);
        if let Next::Send(upstream, _) = gateway.next(now, &mut request) {
            let features = request.features.clone();
            let quarantine = &mut gateway.quarantine;
            let outcome = if sound_service == Some(upstream.service.as_str()) {
                quarantine.record_sound(now, &features);
                Outcome::Answered
            } else {
                ends.push(now);
                quarantine.record_end(now, now, &upstream.id, false, &features);
                Outcome::Broken
            };
            end(&mut gateway, now, &mut request, &upstream.id, outcome);
        }
    }
    ends
}

/// Plays whose request ended upstreams more than three times later than 3 s after the third end, with the
/// number of these times and the seed.
fn late_plays(sound_service: Option<&str>) -> Vec<(usize, u64)> {
    const WINDOW: Duration = Duration::from_secs(3);
    let late = (0..SEEDS).map(|seed| {
        let ends = play(seed, sound_service);
        let is_late = |at: &&Now| **at > ends[2] + WINDOW;
        (ends.iter().filter(is_late).count(), seed)
    });
    late.filter(|(late, _)| *late > 3).collect()
}

// Guards against the ends under one request that each service of its route counts for itself.
#[test]
fn a_repeated_request_on_a_split_route_reaches_upstreams_in_no_more_than_three_retries() {
    let late = late_plays(None);
    let worst = late.iter().max();
    assert!(
        late.is_empty(),
        "{} of {SEEDS} plays, the worst (retries, seed): {worst:?}",
        late.len()
    );
}

// Guards against answers of one version of a service that keep a request in use which ends another one.
#[test]
fn a_request_that_one_service_of_a_route_answers_is_refused_at_those_that_it_ends() {
    let late = late_plays(Some("canary"));
    let worst = late.iter().max();
    assert!(
        late.is_empty(),
        "{} of {SEEDS} plays, the worst (retries, seed): {worst:?}",
        late.len()
    );
}
