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
fn leaving_upstream_bounces_new_work_and_finishes_the_old() {
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

// Guards against a late duplicate of a dispatch running the work twice.
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
            age
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
