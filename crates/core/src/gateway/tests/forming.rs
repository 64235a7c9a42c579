//! Tests of a group that forms after all of its ranks restarted, with callers that retry once.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use super::{ms, upstream};
use crate::gateway::budget::RetryBound;
use crate::gateway::routes::{
    BackendService, CallerTeam, EngineProfile, ExpertLayout, Route, RouteKind, RouteTable,
};
use crate::gateway::{Gateway, GatewaySettings, Next, Outcome, RequestHead};
use crate::types::{Now, RefusalKind};

const RANKS: u8 = 12;
const FORMS_AT: Now = ms(1_400);
const ANSWER_DURATION: Now = ms(150);
const ARRIVAL_INTERVAL_MS: u64 = 25;
const REQUESTS: u64 = 80;

fn engine() -> EngineProfile {
    EngineProfile {
        slots: 12,
        memory_tokens: 400_000,
        step: ms(5),
        step_per_request: ms(0),
        step_per_1k_context: ms(0),
        prompt_tokens_per_s: 70_000.0,
        prompt_tokens_per_step: 512,
        steps_per_pass: 6,
        usual_prompt: 700,
        usual_answer: 150,
        report_lag: ms(200),
        experts: Some(ExpertLayout {
            sets: 3,
            experts: 96,
            slots_per_rank: 11,
            spare: 4,
            share: 0.85,
            expert_mb: 2_200.0,
            link_mbps: 44_000.0,
            form_time: ms(600),
        }),
    }
}

fn gateway(engine: Option<EngineProfile>) -> Gateway {
    let settings = GatewaySettings {
        host: "edge-1".into(),
        data_centre: "north-1".into(),
        retry_bound: RetryBound {
            window: ms(10_000),
            ratio: 0.2,
            allowance: 100.0,
        },
        first_start: false,
        pause_control: false,
        cold_bound: None,
        settle_time: Duration::from_secs(3),
    };
    let mut table = RouteTable::new(2);
    table.add_route(Route {
        name: "s".into(),
        host: "h.example".into(),
        path_prefix: "/s/".into(),
        kind: RouteKind::Stream { resumable: true },
        timeout: ms(8_000),
        target_latency: ms(400),
        target_pause: None,
        attempts: 2,
        priority: 1,
        public: true,
        services: vec![("drafts".into(), 1)],
    });
    let service = BackendService {
        engine,
        ..BackendService::default()
    };
    table.services.insert("drafts".into(), service);
    table.add_team("shearers".into(), CallerTeam { priority: None }, vec![]);
    let mut gateway = Gateway::new(ms(0), settings, 7);
    gateway.set_hosts(7, BTreeSet::new());
    gateway.set_table(ms(0), Arc::new(table));
    let list = (1..=RANKS).map(upstream).collect();
    gateway.registry.replace(ms(0), list, 99);
    gateway
}

fn head() -> RequestHead<'static> {
    RequestHead {
        parts: &[],
        id: "r",
        host: "h.example",
        path: "/s/x",
        key: None,
        deadline: Some(ms(7_000)),
        prompt_tokens: 700,
        answer_tokens: 150,
        max_answer_tokens: 0,
    }
}

struct CallerStats {
    served: usize,
    refused_twice: usize,
    sends_while_forming: usize,
}

/// Simulates callers that retry once, after the time in Retry-After.
fn simulate_callers(gateway: &mut Gateway) -> CallerStats {
    let mut stats = CallerStats {
        served: 0,
        refused_twice: 0,
        sends_while_forming: 0,
    };
    // Callers by time and number, with whether they were refused before.
    let mut due: BTreeMap<(Now, u64), bool> = (0..REQUESTS)
        .map(|n| ((ms(n * ARRIVAL_INTERVAL_MS), n), false))
        .collect();
    let mut running: BTreeMap<(Now, u64), (String, f64)> = BTreeMap::new();
    while let Some(((now, n), refused_before)) = due.pop_first() {
        while let Some(entry) = running.first_entry().filter(|e| e.key().0 <= now) {
            let ((at, _), (id, work)) = entry.remove_entry();
            gateway.attempt_ended(at, &id, work, Outcome::Answered);
        }
        let mut request = gateway.admit(now, head()).unwrap();
        loop {
            match gateway.next(now, &mut request) {
                Next::Ask(upstream, _) => panic!("{upstream} names no limit"),
                Next::Wait(_) => panic!("no upstream pauses"),
                Next::Send(upstream, _) if now < FORMS_AT => {
                    stats.sends_while_forming += 1;
                    request.record_outcome(&upstream.id, Outcome::Full);
                    gateway.attempt_ended(now, &upstream.id, request.work, Outcome::Full);
                }
                Next::Send(upstream, _) => {
                    stats.served += 1;
                    running.insert((now + ANSWER_DURATION, n), (upstream.id, request.work));
                    break;
                }
                Next::Refuse(refusal) if refused_before => {
                    assert_ne!(refusal.kind, RefusalKind::DeadlineExceeded);
                    stats.refused_twice += 1;
                    break;
                }
                Next::Refuse(refusal) => {
                    let after = refusal.retry_after.expect("the request has not run");
                    due.insert((now + after, n), true);
                    break;
                }
            }
        }
    }
    stats
}

/// Guards against callers that retry while the group still forms. Its ranks refuse as full ones do;
/// with the short Retry-After of 0.25 to 0.7 s, callers would be refused again and give up, and
/// their retries would exhaust the budget.
#[test]
fn callers_return_after_the_group_has_formed() {
    let stats = simulate_callers(&mut gateway(Some(engine())));
    // The first refusals may still be due to load.
    assert!(stats.refused_twice <= 3, "{}", stats.refused_twice);
    assert_eq!(stats.served + stats.refused_twice, REQUESTS as usize);
    let arrivals = FORMS_AT.as_millis() as usize / ARRIVAL_INTERVAL_MS as usize;
    assert!(stats.sends_while_forming <= arrivals + 6);
}

/// Sends a new request that every upstream refuses as full; returns its Retry-After.
fn refuse(gateway: &mut Gateway, now: Now) -> Duration {
    let mut request = gateway.admit(now, head()).unwrap();
    loop {
        match gateway.next(now, &mut request) {
            Next::Send(upstream, _) => {
                request.record_outcome(&upstream.id, Outcome::Full);
                gateway.attempt_ended(now, &upstream.id, request.work, Outcome::Full);
            }
            Next::Refuse(refusal) => return refusal.retry_after.unwrap(),
            Next::Ask(upstream, _) => panic!("{upstream} names no limit"),
            Next::Wait(_) => panic!("no upstream pauses"),
        }
    }
}

fn start_request(gateway: &mut Gateway, now: Now) {
    let mut request = gateway.admit(now, head()).unwrap();
    assert!(matches!(gateway.next(now, &mut request), Next::Send(..)));
}

/// Guards against the long Retry-After for upstreams that are merely full and have capacity again
/// soon.
#[test]
fn ungrouped_or_busy_upstreams_get_the_short_retry_after() {
    let mut plain = gateway(None);
    let mut busy = gateway(Some(engine()));
    start_request(&mut busy, ms(0));
    for gateway in [&mut plain, &mut busy] {
        for n in 0..20 {
            assert!(refuse(gateway, ms(n)) <= ms(700));
        }
    }
}

/// Guards against the long Retry-After once the group has formed, while its first answers still
/// run.
#[test]
fn a_group_that_runs_a_request_has_formed() {
    let mut gateway = gateway(Some(engine()));
    for n in 0..5 {
        refuse(&mut gateway, ms(n));
    }
    assert!(refuse(&mut gateway, ms(10)) > ms(1_000));
    start_request(&mut gateway, ms(20));
    refuse(&mut gateway, ms(30));
    assert!(refuse(&mut gateway, ms(40)) <= ms(700));
}
