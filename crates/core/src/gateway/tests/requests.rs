use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use super::{ms, upstream};
use crate::gateway::budget::RetryBound;
use crate::gateway::registry::Upstream;
use crate::gateway::routes::{
    BackendService, CallerTeam, EngineProfile, Route, RouteKind, RouteTable,
};
use crate::gateway::upstream_limits::Permit;
use crate::gateway::{Admitted, Gateway, GatewaySettings, Next, Outcome, RequestHead};
use crate::types::{HostId, Now, Refusal, RefusalKind, Run};

const STREAM: RouteKind = RouteKind::Stream { resumable: true };

pub(super) fn route(prefix: &str, kind: RouteKind, attempts: u32) -> Route {
    Route {
        name: prefix.into(),
        host: "h.example".into(),
        path_prefix: prefix.into(),
        kind,
        timeout: ms(4_000),
        target_latency: ms(400),
        target_pause: None,
        attempts,
        priority: 3,
        public: false,
        services: vec![("drafts".into(), 1)],
    }
}

fn table(version: u64) -> Arc<RouteTable> {
    Arc::new(new_table(version))
}

/// The same routes, whose service consists of engines.
pub(super) fn table_with_engine() -> Arc<RouteTable> {
    let mut table = new_table(3);
    let service = BackendService {
        engine: Some(EngineProfile {
            usual_prompt: 100,
            usual_answer: 50,
            ..EngineProfile::default()
        }),
        ..BackendService::default()
    };
    table.services.insert("drafts".into(), service);
    Arc::new(table)
}

fn new_table(version: u64) -> RouteTable {
    let mut table = RouteTable::new(version);
    table.add_route(route("/s/", STREAM, 2));
    table.add_route(route("/safe/", RouteKind::Safe, 2));
    table.add_route(route("/unsafe/", RouteKind::Unsafe, 3));
    let team = CallerTeam { priority: Some(1) };
    table.add_team("shearers".into(), team, vec!["k".into()]);
    table
}

pub(super) fn settings() -> GatewaySettings {
    GatewaySettings {
        host: "edge-1".into(),
        data_centre: "north-1".into(),
        retry_bound: RetryBound {
            window: Duration::from_secs(10),
            ratio: 0.2,
            allowance: 100.0,
        },
        first_start: true,
        pause_control: false,
        cold_bound: None,
        settle_time: Duration::from_secs(3),
    }
}

/// A gateway with the given name, data centre and seed, without upstreams.
pub(super) fn gateway_of(host: &str, data_centre: &str, seed: u64) -> Gateway {
    let settings = GatewaySettings {
        host: host.into(),
        data_centre: data_centre.into(),
        ..settings()
    };
    let mut gateway = Gateway::new(ms(0), settings, seed);
    gateway.set_table(ms(0), table(2));
    gateway
}

/// Admits a request for a path.
pub(super) fn admit(gateway: &mut Gateway, now: Now, path: &str) -> Admitted {
    gateway.admit(now, head(path)).unwrap()
}

pub(super) fn gateway(upstreams: u8) -> Gateway {
    let mut gateway = Gateway::new(ms(0), settings(), 7);
    gateway.set_table(ms(0), table(2));
    gateway
        .registry
        .replace(ms(0), (1..=upstreams).map(upstream).collect(), 1);
    gateway
}

fn head(path: &str) -> RequestHead<'_> {
    RequestHead {
        id: "r",
        host: "h.example",
        path,
        key: Some("k"),
        deadline: Some(ms(3_000)),
        parts: &[],
        prompt_tokens: 100,
        answer_tokens: 50,
        max_answer_tokens: 0,
    }
}

pub(super) fn send(gateway: &mut Gateway, now: Now, request: &mut Admitted) -> String {
    match gateway.next(now, request) {
        Next::Send(upstream, _) => upstream.id,
        Next::Refuse(refusal) => panic!("{refusal:?}"),
        Next::Ask(upstream, _) => panic!("{upstream} names no limit"),
        Next::Wait(_) => panic!("no upstream pauses"),
    }
}

pub(super) fn refused(gateway: &mut Gateway, now: Now, request: &mut Admitted) -> Refusal {
    match gateway.next(now, request) {
        Next::Refuse(refusal) => refusal,
        Next::Send(upstream, _) => panic!("sent to {}", upstream.id),
        Next::Ask(upstream, _) => panic!("{upstream} names no limit"),
        Next::Wait(_) => panic!("no upstream pauses"),
    }
}

pub(super) fn end(
    gateway: &mut Gateway,
    now: Now,
    request: &mut Admitted,
    id: &str,
    outcome: Outcome,
) {
    request.record_outcome(id, outcome);
    gateway.attempt_ended(now, id, request.work, outcome);
}

// Guards against a host without a configuration that reports an unknown route.
#[test]
fn a_host_without_a_configuration_refuses_as_not_ready() {
    let mut fresh = Gateway::new(ms(0), settings(), 1);
    let refusal = fresh.admit(ms(1), head("/s/x")).unwrap_err();
    assert_eq!(refusal.kind, RefusalKind::NotReady);
    assert!(refusal.retry_after.is_some());
    assert!(!fresh.is_ready());
}

// Guards against a wrong precedence of priorities, teams and time limits.
#[test]
fn team_priority_overrides_the_route_and_the_shorter_deadline_applies() {
    let mut gateway = gateway(1);
    let request = gateway.admit(ms(100), head("/s/x")).unwrap();
    assert_eq!((request.priority, request.deadline), (1, ms(3_100)));
    assert_eq!(request.team.as_deref(), Some("shearers"));
    let unknown = RequestHead {
        key: Some("other"),
        ..head("/s/x")
    };
    let refusal = gateway.admit(ms(100), unknown).unwrap_err();
    assert_eq!(refusal.kind, RefusalKind::UnknownKey);
}

// Guards against a return to an older route table.
#[test]
fn an_older_table_is_ignored() {
    let mut gateway = gateway(1);
    assert!(!gateway.set_table(ms(1), table(1)));
    assert!(gateway.set_table(ms(1), table(9)));
    assert_eq!(gateway.table_version(), 9);
}

// Guards against resending a request that may have run, and against reporting it as not run.
#[test]
fn an_unsafe_request_is_resent_only_if_it_has_not_run() {
    let mut gateway = gateway(4);
    let mut request = gateway.admit(ms(0), head("/unsafe/x")).unwrap();
    let first = send(&mut gateway, ms(0), &mut request);
    end(&mut gateway, ms(1), &mut request, &first, Outcome::Full);
    let second = send(&mut gateway, ms(2), &mut request);
    assert_ne!(first, second);
    end(&mut gateway, ms(3), &mut request, &second, Outcome::Broken);
    let refusal = refused(&mut gateway, ms(4), &mut request);
    assert_eq!(
        (refusal.run, refusal.kind),
        (Run::Unknown, RefusalKind::UpstreamFailed)
    );
    assert_eq!(refusal.retry_after, None);
}

// Guards against more attempts than the route allows.
#[test]
fn a_request_goes_to_no_more_upstreams_than_its_route_allows() {
    let mut gateway = gateway(5);
    let mut request = gateway.admit(ms(0), head("/safe/x")).unwrap();
    for n in 0..2 {
        let id = send(&mut gateway, ms(n), &mut request);
        end(&mut gateway, ms(n), &mut request, &id, Outcome::Failed);
    }
    assert_eq!(refused(&mut gateway, ms(3), &mut request).run, Run::Unknown);
}

// Guards against failed connections that use up the route's attempts, and against endless attempts.
#[test]
fn failed_connections_use_no_attempt_but_are_limited() {
    let mut gateway = gateway(9);
    let mut request = gateway.admit(ms(0), head("/unsafe/x")).unwrap();
    let mut tries = 0;
    let refusal = loop {
        match gateway.next(ms(tries), &mut request) {
            Next::Send(upstream, _) => {
                tries += 1;
                end(
                    &mut gateway,
                    ms(tries),
                    &mut request,
                    &upstream.id,
                    Outcome::Unreachable,
                );
            }
            Next::Refuse(refusal) => break refusal,
            Next::Ask(upstream, _) => panic!("{upstream} names no limit"),
            Next::Wait(_) => panic!("no upstream pauses"),
        }
    };
    assert_eq!((tries, refusal.run), (4, Run::NotRun));
}

// Guards against another attempt when all upstreams of a group wait for the same rank, and against
// callers that retry before the group can have formed again.
#[test]
fn a_stalled_group_refuses_at_once_with_a_longer_retry_after_than_full_upstreams() {
    let mut gateway = gateway(4);
    let mut retry_delays = Vec::new();
    for outcome in [Outcome::Stalled, Outcome::Full] {
        let mut request = gateway.admit(ms(0), head("/s/x")).unwrap();
        let id = send(&mut gateway, ms(0), &mut request);
        end(&mut gateway, ms(1), &mut request, &id, outcome);
        if outcome == Outcome::Full {
            let id = send(&mut gateway, ms(1), &mut request);
            end(&mut gateway, ms(2), &mut request, &id, outcome);
        }
        let refusal = refused(&mut gateway, ms(2), &mut request);
        assert_eq!(refusal.run, Run::NotRun);
        retry_delays.push(refusal.retry_after.unwrap());
    }
    assert!(retry_delays[0] > retry_delays[1], "{retry_delays:?}");
    assert!(
        retry_delays[0] <= ms(1_000),
        "more than a third of the time left: {retry_delays:?}"
    );
}

// Guards against work that accumulates on one upstream while others are free.
#[test]
fn requests_are_balanced_and_failing_upstreams_are_ejected() {
    let mut gateway = gateway(4);
    let mut sent = Vec::new();
    for _ in 0..40 {
        let mut request = gateway.admit(ms(0), head("/s/x")).unwrap();
        sent.push(send(&mut gateway, ms(0), &mut request));
    }
    for n in 1..=4 {
        let id = format!("u-{n}");
        assert_eq!(sent.iter().filter(|s| **s == id).count(), 10);
    }
    let request = gateway.admit(ms(0), head("/s/x")).unwrap();
    gateway.attempt_ended(ms(10), "u-2", request.work, Outcome::Broken);
    for _ in 0..8 {
        let mut request = gateway.admit(ms(20), head("/s/x")).unwrap();
        assert_ne!(send(&mut gateway, ms(20), &mut request), "u-2");
    }
}

// Guards against an upstream that never answers and still gets as many requests as the others,
// because timeouts do not count against it.
#[test]
fn an_upstream_with_timed_out_requests_gets_fewer() {
    let mut gateway = gateway(4);
    for n in 0..10 {
        gateway.attempt_ended(ms(n), "u-3", 0.0, Outcome::TimedOut);
    }
    let mut sent = Vec::new();
    for _ in 0..40 {
        let mut request = gateway.admit(ms(20), head("/s/x")).unwrap();
        sent.push(send(&mut gateway, ms(20), &mut request));
    }
    let sent_to_failing = sent.iter().filter(|s| *s == "u-3").count();
    assert!(sent_to_failing <= 4, "{sent_to_failing} of 40");
}

// Guards against requests that are refused although an upstream without a limit can take them.
#[test]
fn an_upstream_at_its_limit_leaves_requests_to_others() {
    let mut gateway = gateway(2);
    gateway.record_limit(ms(0), "u-1", ms(0), Some(1.0), false);
    let mut sent = [0, 0];
    for n in 0..20 {
        let mut request = gateway.admit(ms(n * 50), head("/safe/x")).unwrap();
        match send(&mut gateway, ms(n * 50), &mut request).as_str() {
            "u-1" => sent[0] += 1,
            _ => sent[1] += 1,
        }
    }
    assert!(sent[0] <= 2 && sent[1] >= 18, "{sent:?}");
}

// Guards against requests that wait, or that are told that they may have run, when all upstreams have
// reached their limits.
#[test]
fn what_no_upstream_can_take_is_refused_until_one_can() {
    let mut gateway = gateway(1);
    gateway.record_limit(ms(0), "u-1", ms(0), Some(0.5), false);
    let mut request = gateway.admit(ms(1_000), head("/unsafe/x")).unwrap();
    let refusal = refused(&mut gateway, ms(1_000), &mut request);
    assert_eq!(refusal.run, Run::NotRun);
    assert_eq!(refusal.kind, RefusalKind::Overloaded);
    let after = refusal.retry_after.unwrap();
    assert!(after > ms(0) && after <= ms(1_000), "{after:?}");
    let mut later = gateway.admit(ms(6_000), head("/unsafe/x")).unwrap();
    assert_eq!(send(&mut gateway, ms(6_000), &mut later), "u-1");
}

// Guards against a permit that is lost since another request was denied one meanwhile.
#[test]
fn a_permit_is_used_although_another_request_was_denied() {
    let mut gateway = gateway(1);
    let hosts: BTreeSet<HostId> = (1..=9).map(|n| format!("edge-{n}")).collect();
    gateway.limits.set_hosts(&hosts, 0);
    gateway.record_limit(ms(0), "u-1", ms(0), Some(1.0), false);
    let mut requests = [(); 2].map(|()| gateway.admit(ms(0), head("/safe/x")).unwrap());
    let wait = Duration::from_secs(1);
    for (request, permit) in requests
        .iter_mut()
        .zip([Permit::Granted, Permit::Denied { wait }])
    {
        let Next::Ask(upstream, accountant) = gateway.next(ms(1), request) else {
            panic!("no question");
        };
        gateway.permit_answered(ms(2), request, &upstream, &accountant, Some(permit));
    }
    assert_eq!(send(&mut gateway, ms(3), &mut requests[0]), "u-1");
    let refusal = refused(&mut gateway, ms(3), &mut requests[1]);
    assert_eq!(refusal.kind, RefusalKind::Overloaded);
}

// Guards against a request that is sent to an upstream of which the host learned, while the connection was
// opened, that it leaves or is gone.
#[test]
fn a_request_is_not_sent_to_an_upstream_that_left_after_it_was_chosen() {
    type Leave = fn(&mut Gateway, &Upstream);
    let leaves: [(&str, Leave); 3] = [
        ("leaving", |gateway, chosen| {
            let leaving = Upstream {
                leaving: true,
                version: 9,
                ..chosen.clone()
            };
            gateway.registry.set(leaving);
        }),
        ("removed", |gateway, chosen| {
            gateway.registry.remove(ms(2), &chosen.id, 9);
        }),
        ("restarted", |gateway, chosen| {
            let restarted = Upstream {
                born: Some(7),
                version: 9,
                ..chosen.clone()
            };
            gateway.registry.set(restarted);
        }),
    ];
    for (how, leave) in leaves {
        let mut gateway = gateway_of("edge-1", "north-1", 1);
        gateway.registry.replace(ms(0), vec![upstream(1)], 1);
        let mut request = admit(&mut gateway, ms(1), "/safe/x");
        let Next::Send(chosen, _) = gateway.next(ms(1), &mut request) else {
            panic!("an upstream is usable");
        };
        assert!(gateway.may_send(ms(2), &chosen), "{how}");
        leave(&mut gateway, &chosen);
        assert!(!gateway.may_send(ms(400), &chosen), "{how}");
    }
}

// Guards against a request that is given up since the entry of its upstream lapsed.
#[test]
fn a_request_is_sent_to_an_upstream_whose_entry_lapsed_after_it_was_chosen() {
    let mut gateway = gateway_of("edge-1", "north-1", 1);
    gateway.registry.replace(ms(0), vec![upstream(1)], 1);
    let mut request = admit(&mut gateway, ms(1), "/safe/x");
    let Next::Send(chosen, _) = gateway.next(ms(1), &mut request) else {
        panic!("an upstream is usable");
    };
    gateway.registry.store_failed(None);
    gateway.registry.remove(ms(2), &chosen.id, 9);
    assert!(gateway.may_send(ms(400), &chosen));
}

// Guards against a request that counts as sound since a second upstream supplied the short rest of a stream
// under which the first one ended.
#[test]
fn the_rest_of_a_stream_shows_a_request_to_be_sound_only_if_it_is_the_longer_part() {
    let mut gateway = gateway(2);
    let mut stream = admit(&mut gateway, ms(0), "/s/x");
    assert!(stream.is_shown_sound(1));
    stream.record_break(4);
    assert!(!stream.is_shown_sound(4));
    assert!(stream.is_shown_sound(5));
    let mut plain = admit(&mut gateway, ms(0), "/safe/x");
    plain.record_break(0);
    assert!(plain.is_shown_sound(0), "an answer in one piece is whole");
}
