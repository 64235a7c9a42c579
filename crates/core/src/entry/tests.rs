use std::time::Duration;

use super::*;
use crate::config::{Service, Team};
use crate::types::{RefusalKind, WorkClass};

fn entry(upstreams: u32) -> Entry {
    let mut cfg = Config {
        revision: 1,
        ..Config::default()
    };
    cfg.services.insert("drafts".into(), Service::default());
    cfg.teams.insert("classers".into(), Team::default());
    let mut entry = Entry::new("entry-1".into(), 7);
    entry.handle(Now::ZERO, Input::Config(Arc::new(cfg)));
    let list = (0..upstreams)
        .map(|n| UpstreamInfo::new(&format!("up-{n}"), "drafts"))
        .collect();
    entry.handle(Now::ZERO, Input::Upstreams(list));
    entry
}

fn request(class: WorkClass) -> Request {
    Request {
        id: "r-1".into(),
        service: "drafts".into(),
        team: "classers".into(),
        priority: 4,
        deadline: Duration::from_secs(30),
        class,
        idempotency_key: None,
        fingerprint: 1,
        prefix: None,
        prompt_tokens: 10,
        max_tokens: 10,
        resume_from: 0,
    }
}

fn dispatched(out: &[Output]) -> Option<(AttemptId, u32)> {
    out.iter().find_map(|o| match o {
        Output::Dispatch {
            attempt,
            resume_from,
            ..
        } => Some((*attempt, *resume_from)),
        _ => None,
    })
}

fn refused(out: &[Output]) -> Option<(RefusalKind, Run)> {
    out.iter().find_map(|o| match o {
        Output::Refuse { refusal, .. } => Some((refusal.kind, refusal.run)),
        _ => None,
    })
}

fn admit(entry: &mut Entry, class: WorkClass) -> Vec<Output> {
    entry.handle(
        Now::ZERO,
        Input::Request {
            handle: 1,
            request: request(class),
        },
    )
}

// Guards against an answer that repeats or skips tokens after an upstream died.
#[test]
fn broken_stream_resumes_at_the_exact_token() {
    let mut entry = entry(2);
    let (first, _) = dispatched(&admit(&mut entry, WorkClass::Idempotent)).unwrap();
    let chunk = |first, count| AttemptEvent::Chunk { first, count };
    entry.handle(Now::ZERO, Input::Attempt(first, chunk(0, 5)));
    let failed = Input::Attempt(first, AttemptEvent::Failed(Run::Unknown));
    let (second, resume_from) = dispatched(&entry.handle(Now::ZERO, failed)).unwrap();
    assert_eq!(resume_from, 5);
    let late = entry.handle(Now::ZERO, Input::Attempt(first, chunk(5, 1)));
    assert_eq!(late, []);
    let out = entry.handle(Now::ZERO, Input::Attempt(second, chunk(4, 3)));
    assert_eq!(out, [Output::Forward { handle: 1, skip: 1 }]);
}

// Guards against a second run of a non-idempotent request whose first run is in doubt.
#[test]
fn non_idempotent_request_is_not_retried_after_an_unknown_outcome() {
    let mut entry = entry(2);
    let out = admit(&mut entry, WorkClass::NonIdempotent);
    assert_eq!(dispatched(&out), None);
    let out = entry.handle(Now::ZERO, Input::Claim(1, ClaimResult::Granted));
    let (attempt, _) = dispatched(&out).unwrap();
    let failed = Input::Attempt(attempt, AttemptEvent::Failed(Run::Unknown));
    let out = entry.handle(Now::ZERO, failed);
    assert_eq!(dispatched(&out), None);
    assert_eq!(
        refused(&out),
        Some((RefusalKind::UpstreamFailed, Run::Unknown))
    );
}

// Guards against a paused process that dispatches after its claim may have expired.
#[test]
fn bounce_after_the_claim_is_too_old_is_not_dispatched_again() {
    let mut entry = entry(2);
    admit(&mut entry, WorkClass::NonIdempotent);
    let out = entry.handle(Now::ZERO, Input::Claim(1, ClaimResult::Granted));
    let (attempt, _) = dispatched(&out).unwrap();
    let bounced = AttemptEvent::Bounced(Bounce::QueueFull, Load::default());
    let out = entry.handle(Now::from_secs(6), Input::Attempt(attempt, bounced));
    assert_eq!(dispatched(&out), None);
    assert_eq!(
        refused(&out),
        Some((RefusalKind::ClaimUnavailable, Run::NotRun))
    );
}

// Guards against a drain that ends while a request is still being answered.
#[test]
fn drain_waits_for_the_last_answer() {
    let mut entry = entry(1);
    let (attempt, _) = dispatched(&admit(&mut entry, WorkClass::Idempotent)).unwrap();
    assert_eq!(entry.handle(Now::ZERO, Input::Drain), []);
    let finished = Input::Attempt(attempt, AttemptEvent::Finished(Load::default()));
    assert!(entry.handle(Now::ZERO, finished).contains(&Output::Drained));
}
