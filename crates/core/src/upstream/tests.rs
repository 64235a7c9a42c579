use std::time::Duration;

use super::*;
use crate::types::WorkClass;

fn request(id: &str) -> Request {
    Request {
        id: id.into(),
        service: "drafts".into(),
        team: "classers".into(),
        priority: 4,
        deadline: Duration::from_secs(10),
        class: WorkClass::Idempotent,
        idempotency_key: None,
        fingerprint: 1,
        prefix: None,
        prompt_tokens: 10,
        max_tokens: 10,
        resume_from: 0,
    }
}

fn work(attempt: AttemptId) -> Input {
    Input::Work {
        attempt,
        request: request("r"),
        age: Duration::ZERO,
        alone: false,
    }
}

fn started(out: &[Output]) -> Vec<AttemptId> {
    out.iter()
        .filter_map(|o| {
            if let Output::Start { attempt, .. } = o {
                Some(*attempt)
            } else {
                None
            }
        })
        .collect()
}

#[test]
fn queued_work_starts_when_a_slot_is_free() {
    let mut up = Upstream::new(1);
    assert_eq!(started(&up.handle(Now::ZERO, work(1))), [1]);
    assert_eq!(started(&up.handle(Now::ZERO, work(2))), [0; 0]);
    let out = up.handle(Now::ZERO, Input::Engine(1, EngineEvent::Finished));
    assert_eq!(started(&out), [2]);
}

// Guards against new work on a host that is leaving, and against a drain that ends too early.
#[test]
fn leaving_upstream_bounces_new_work_and_finishes_accepted_work() {
    let mut up = Upstream::new(1);
    up.handle(Now::ZERO, work(1));
    let out = up.handle(Now::ZERO, Input::Leave);
    assert!(!out.iter().any(|o| matches!(o, Output::Drained)));
    let out = up.handle(Now::ZERO, work(2));
    assert!(out.iter().any(|o| matches!(
        o,
        Output::Bounce {
            reason: Bounce::Leaving,
            ..
        }
    )));
    let out = up.handle(Now::ZERO, Input::Engine(1, EngineEvent::Finished));
    assert!(out.iter().any(|o| matches!(o, Output::Drained)));
}

// Guards against work that runs twice because of a late or duplicate dispatch.
#[test]
fn duplicate_and_old_dispatches_are_bounced_as_stale() {
    let mut up = Upstream::new(4);
    up.handle(Now::ZERO, work(1));
    let stale = |out: &[Output]| {
        out.iter().any(|o| {
            matches!(
                o,
                Output::Bounce {
                    reason: Bounce::Stale,
                    ..
                }
            )
        })
    };
    assert!(stale(&up.handle(Now::ZERO, work(1))));
    let age = Duration::from_secs(61);
    assert!(stale(&up.handle(
        Now::ZERO,
        Input::Work {
            attempt: 2,
            request: request("r"),
            age,
            alone: false
        }
    )));
}

#[test]
fn work_whose_deadline_passed_is_not_started() {
    let mut up = Upstream::new(1);
    up.handle(Now::ZERO, work(1));
    up.handle(Now::ZERO, work(2));
    let out = up.handle(Now::from_secs(10), Input::Timer(Timer::Expire));
    assert!(
        out.iter()
            .any(|o| matches!(o, Output::Bounce { attempt: 2, .. }))
    );
}

fn work_for_team(attempt: AttemptId, team: &str, deadline: Duration) -> Input {
    let request = Request {
        team: team.into(),
        deadline,
        max_tokens: 1_000,
        ..request("r")
    };
    Input::Work {
        attempt,
        request,
        age: Duration::ZERO,
        alone: false,
    }
}

fn bounced(out: &[Output]) -> Vec<(AttemptId, Bounce)> {
    out.iter()
        .filter_map(|o| match o {
            Output::Bounce {
                attempt, reason, ..
            } => Some((*attempt, *reason)),
            _ => None,
        })
        .collect()
}

/// Runs an attempt of `tokens` tokens at 30 ms each from `begin` on; returns its end.
fn run(up: &mut Upstream, begin: Now, attempt: AttemptId, tokens: u32) -> Now {
    let mut now = begin;
    for _ in 0..tokens {
        now += Duration::from_millis(30);
        up.handle(now, Input::Engine(attempt, EngineEvent::Tokens(1)));
    }
    up.handle(now, Input::Engine(attempt, EngineEvent::Finished));
    now
}

// Guards against work that waits in the queue although it can't meet its deadline.
#[test]
fn work_that_cannot_meet_its_deadline_is_bounced_at_once() {
    let mut up = Upstream::new(1);
    up.handle(Now::ZERO, work_for_team(1, "a", Duration::from_secs(60)));
    let now = run(&mut up, Now::ZERO, 1, 100);
    up.handle(now, work_for_team(2, "a", Duration::from_secs(60)));
    let out = up.handle(now, work_for_team(3, "a", Duration::from_secs(2)));
    assert_eq!(bounced(&out), [(3, Bounce::Deadline)]);
}

// Guards against work that is started although it can no longer meet its deadline.
#[test]
fn queued_work_is_bounced_once_it_can_no_longer_meet_its_deadline() {
    let policy = Policy::builder().concurrency(1);
    let mut up = Upstream::with_policy(policy.max_wait(Duration::from_secs(2)).build());
    let mut now = Now::ZERO;
    for attempt in 1..20 {
        up.handle(now, work_for_team(attempt, "a", Duration::from_secs(60)));
        now = run(&mut up, now, attempt, 20);
    }
    up.handle(now, work_for_team(20, "a", Duration::from_secs(60)));
    let out = up.handle(now, work_for_team(21, "b", Duration::from_secs(3)));
    assert_eq!(bounced(&out), []);
    let at = out
        .iter()
        .find_map(|o| match o {
            Output::SetTimer { at, .. } => Some(*at),
            _ => None,
        })
        .unwrap();
    assert!(at < now + Duration::from_secs(3));
    let out = up.handle(at, Input::Timer(Timer::Expire));
    assert_eq!(bounced(&out), [(21, Bounce::Deadline)]);
}

// Guards against long work that keeps the highest engine priority and blocks short work.
#[test]
fn running_work_loses_priority_as_it_produces_tokens() {
    let mut up = Upstream::new(1);
    up.handle(Now::ZERO, work_for_team(1, "a", Duration::from_secs(60)));
    let tokens = Input::Engine(1, EngineEvent::Tokens(128));
    let out = up.handle(Now::from_secs(1), tokens);
    assert!(matches!(
        out[..],
        [Output::Reprioritize {
            attempt: 1,
            priority: 2
        }]
    ));
}

// Guards against cancelled work that still counts as running and blocks the queue.
#[test]
fn cancelled_work_frees_its_slot() {
    let mut up = Upstream::new(1);
    up.handle(Now::ZERO, work_for_team(1, "a", Duration::from_secs(60)));
    up.handle(Now::ZERO, work_for_team(2, "a", Duration::from_secs(60)));
    let out = up.handle(Now::ZERO, Input::Cancel(1));
    assert!(out.iter().any(|o| matches!(o, Output::Stop(1))));
    assert_eq!(started(&out), [2]);
}

// Guards against queued work that waits for slots by a replaced policy.
#[test]
fn new_policy_starts_queued_work_at_once() {
    let mut up = Upstream::new(1);
    up.handle(Now::ZERO, work(1));
    up.handle(Now::ZERO, work(2));
    let policy = Policy::builder().concurrency(2);
    let out = up.handle(Now::ZERO, Input::Policy(policy.build()));
    assert_eq!(started(&out), [2]);
}

fn suspect(attempt: AttemptId) -> Input {
    Input::Work {
        attempt,
        request: request("suspect"),
        age: Duration::ZERO,
        alone: true,
    }
}

// Guards against a crash that can't be attributed because a suspect ran beside other work.
#[test]
fn suspect_runs_alone_and_new_work_is_bounced_meanwhile() {
    let mut up = Upstream::new(4);
    assert_eq!(started(&up.handle(Now::ZERO, work(1))), [1]);
    assert_eq!(started(&up.handle(Now::ZERO, suspect(2))), [0; 0]);
    let quarantined = |out: &[Output]| {
        let reason = |o: &Output| {
            matches!(
                o,
                Output::Bounce {
                    reason: Bounce::Quarantined,
                    ..
                }
            )
        };
        out.iter().any(reason)
    };
    assert!(quarantined(&up.handle(Now::ZERO, work(3))));
    let out = up.handle(Now::ZERO, Input::Engine(1, EngineEvent::Finished));
    assert_eq!(started(&out), [2]);
    assert!(quarantined(&up.handle(Now::ZERO, work(4))));
    up.handle(Now::ZERO, Input::Engine(2, EngineEvent::Finished));
    assert_eq!(started(&up.handle(Now::ZERO, work(5))), [5]);
}

// Guards against a suspect that keeps an upstream in quarantine for ever.
#[test]
fn suspect_that_expires_or_is_cancelled_ends_the_quarantine() {
    let mut up = Upstream::new(4);
    up.handle(Now::ZERO, work(1));
    up.handle(Now::ZERO, suspect(2));
    up.handle(Now::ZERO, Input::Cancel(2));
    assert_eq!(started(&up.handle(Now::ZERO, work(3))), [3]);
    up.handle(Now::ZERO, suspect(4));
    let out = up.handle(Now::from_secs(10), Input::Timer(Timer::Expire));
    assert!(
        out.iter()
            .any(|o| matches!(o, Output::Bounce { attempt: 4, .. }))
    );
    assert_eq!(started(&up.handle(Now::from_secs(10), work(5))), [5]);
}
