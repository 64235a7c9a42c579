use std::time::Duration;

use super::*;
use crate::config::{Service, Team};
use crate::platform::{Call, CallId, Reply};
use crate::serving::suspects::Suspect;
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

fn platform_call(out: &[Output]) -> Option<(CallId, Call)> {
    out.iter().find_map(|o| match o {
        Output::Platform { id, call } => Some((*id, call.clone())),
        _ => None,
    })
}

fn shard_timer(out: &[Output]) -> Option<(Now, Timer)> {
    out.iter().find_map(|o| match o {
        Output::SetTimer {
            at,
            timer: timer @ Timer::Shard(_),
        } => Some((*at, *timer)),
        _ => None,
    })
}

/// Answers at `now` the calls that write the claim of a request.
fn grant(entry: &mut Entry, now: Now, asked: &[Output]) -> Vec<Output> {
    let (at, timer) = shard_timer(asked).unwrap();
    let mut out = entry.handle(at, Input::Timer(timer));
    if let Some((id, Call::Get { .. })) = platform_call(&out) {
        let reply = Reply::Missing;
        out = entry.handle(at.max(now), Input::Platform { id, reply });
    }
    let (id, _) = platform_call(&out).unwrap();
    let reply = Reply::Written { version: 1 };
    entry.handle(at.max(now), Input::Platform { id, reply })
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
    let out = grant(&mut entry, Now::ZERO, &out);
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
    let out = admit(&mut entry, WorkClass::NonIdempotent);
    let out = grant(&mut entry, Now::ZERO, &out);
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

// Guards against a claim whose grant comes late and has expired meanwhile.
#[test]
fn claim_granted_too_late_is_not_dispatched_on() {
    let mut entry = entry(2);
    let out = admit(&mut entry, WorkClass::NonIdempotent);
    let out = grant(&mut entry, Now::from_secs(5), &out);
    assert_eq!(dispatched(&out), None);
    assert_eq!(
        refused(&out),
        Some((RefusalKind::ClaimUnavailable, Run::NotRun))
    );
}

// Guards against a key that stays burned after its request was refused as not run.
#[test]
fn refusal_as_not_run_releases_the_key() {
    let mut entry = entry(0);
    let out = admit(&mut entry, WorkClass::NonIdempotent);
    let out = grant(&mut entry, Now::ZERO, &out);
    assert_eq!(refused(&out), Some((RefusalKind::NoUpstream, Run::NotRun)));
    assert!(shard_timer(&out).is_some());
    let again = Input::Request {
        handle: 2,
        request: request(WorkClass::NonIdempotent),
    };
    let (at, timer) = shard_timer(&out).unwrap();
    entry.handle(at, again);
    entry.handle(
        at,
        Input::Upstreams(vec![UpstreamInfo::new("up-0", "drafts")]),
    );
    let out = entry.handle(at, Input::Timer(timer));
    let (id, _) = platform_call(&out).unwrap();
    let reply = Reply::Written { version: 2 };
    let out = entry.handle(at, Input::Platform { id, reply });
    assert!(dispatched(&out).is_some());
}

// Guards against a repeat of a key that this host answered and that runs or is refused again.
#[test]
fn repeat_of_a_finished_key_is_answered_from_the_kept_answer() {
    let mut entry = entry(2);
    let out = admit(&mut entry, WorkClass::NonIdempotent);
    let out = grant(&mut entry, Now::ZERO, &out);
    let (attempt, _) = dispatched(&out).unwrap();
    let finished = Input::Attempt(attempt, AttemptEvent::Finished(Load::default()));
    entry.handle(Now::ZERO, finished);
    let again = Input::Request {
        handle: 2,
        request: request(WorkClass::NonIdempotent),
    };
    let out = entry.handle(Now::ZERO, again);
    let replayed = |o: &Output| {
        matches!(
            o,
            Output::Replay {
                handle: 2,
                of: 1,
                ..
            }
        )
    };
    assert!(out.iter().any(replayed), "{out:?}");
}

// Guards against an engine that runs a request twice because its caller came back.
#[test]
fn repeat_of_a_request_id_takes_the_place_of_the_older_connection() {
    let mut entry = entry(2);
    let (first, _) = dispatched(&admit(&mut entry, WorkClass::Idempotent)).unwrap();
    let mut request = request(WorkClass::Idempotent);
    request.resume_from = 3;
    let out = entry.handle(Now::ZERO, Input::Request { handle: 2, request });
    assert!(out.contains(&Output::Cancel(first)));
    assert_eq!(dispatched(&out).unwrap().1, 3);
    assert_eq!(entry.held(), 1);
}

// Guards against a resumed process that acts on what it knew before the pause.
#[test]
fn paused_process_ends_expired_requests_and_waits_before_it_dispatches() {
    let mut entry = entry(2);
    admit(&mut entry, WorkClass::Idempotent);
    let late = Now::from_secs(31);
    let mut request = request(WorkClass::Idempotent);
    request.id = "r-2".into();
    let out = entry.handle(late, Input::Request { handle: 2, request });
    assert_eq!(
        refused(&out),
        Some((RefusalKind::DeadlineExceeded, Run::Unknown))
    );
    assert_eq!(dispatched(&out), None);
    let at = late + Duration::from_millis(100);
    let out = entry.handle(at, Input::Timer(Timer::Dispatch(2)));
    assert!(dispatched(&out).is_some());
}

// Guards against a request that crashes a third upstream.
#[test]
fn request_that_crashed_two_upstreams_is_refused() {
    let mut entry = entry(4);
    let (first, _) = dispatched(&admit(&mut entry, WorkClass::Idempotent)).unwrap();
    let out = entry.handle(Now::ZERO, Input::Attempt(first, AttemptEvent::Crashed));
    let alone = |o: &Output| matches!(o, Output::Dispatch { alone: true, .. });
    assert!(out.iter().any(alone), "{out:?}");
    let (second, _) = dispatched(&out).unwrap();
    let out = entry.handle(Now::ZERO, Input::Attempt(second, AttemptEvent::Crashed));
    assert_eq!(dispatched(&out), None);
    let out = admit(&mut entry, WorkClass::Idempotent);
    assert_eq!(
        refused(&out),
        Some((RefusalKind::CrashSuspect, Run::NotRun))
    );
}

// Guards against a suspect that runs before the other entry hosts know of its crash.
#[test]
fn suspect_waits_until_other_entry_hosts_know() {
    let mut entry = entry(4);
    let hosts = vec!["entry-1".into(), "entry-2".into()];
    entry.handle(Now::ZERO, Input::EntryHosts(hosts));
    assert_eq!(dispatched(&admit(&mut entry, WorkClass::Idempotent)), None);
    let now = Now::from_millis(100);
    let from = "entry-2".into();
    let message = PeerMessage::AllSuspects(Vec::new());
    let out = entry.handle(now, Input::Peer { from, message });
    let (first, _) = dispatched(&out).unwrap();
    let mut out = entry.handle(now, Input::Attempt(first, AttemptEvent::Crashed));
    for _ in 0..2 {
        assert_eq!(dispatched(&out), None);
        let sent = out.iter().find_map(|o| match o {
            Output::Send {
                message: PeerMessage::Suspects(suspects),
                ..
            } => Some(suspects.clone()),
            _ => None,
        });
        let message = PeerMessage::SuspectsSeen(sent.unwrap());
        let from = "entry-2".into();
        out = entry.handle(now, Input::Peer { from, message });
    }
    assert!(dispatched(&out).is_some());
}

// Guards against a crash that nobody is blamed for because the deadline passed while its
// report was on the way.
#[test]
fn crash_reported_after_the_attempt_was_cancelled_is_attributed() {
    let mut entry = entry(4);
    let (first, _) = dispatched(&admit(&mut entry, WorkClass::Idempotent)).unwrap();
    entry.handle(Now::ZERO, Input::CallerGone(1));
    entry.handle(Now::ZERO, Input::Attempt(first, AttemptEvent::Crashed));
    let out = admit(&mut entry, WorkClass::Idempotent);
    let alone = |o: &Output| matches!(o, Output::Dispatch { alone: true, .. });
    assert!(out.iter().any(alone), "{out:?}");
}

// Guards against a trial at a host that missed a crash which another host knows.
#[test]
fn trial_is_not_started_when_another_host_knows_of_a_second_crash() {
    let mut entry = entry(4);
    admit(&mut entry, WorkClass::Idempotent);
    let hosts = vec!["entry-1".into(), "entry-2".into()];
    entry.handle(Now::ZERO, Input::EntryHosts(hosts));
    let crash = |crash| Suspect {
        fingerprint: 1,
        crash,
        cleared: false,
    };
    let from: HostId = "entry-2".into();
    let message = PeerMessage::AllSuspects(vec![crash(1)]);
    let peer = |message| Input::Peer {
        from: from.clone(),
        message,
    };
    entry.handle(Now::ZERO, peer(message));
    let mut request = request(WorkClass::Idempotent);
    request.id = "r-2".into();
    let out = entry.handle(Now::ZERO, Input::Request { handle: 2, request });
    let sent = out.iter().find_map(|o| match o {
        Output::Send {
            message: PeerMessage::Suspects(suspects),
            ..
        } => Some(suspects.clone()),
        _ => None,
    });
    let mut seen = sent.unwrap();
    seen.push(crash(2));
    let out = entry.handle(Now::ZERO, peer(PeerMessage::SuspectsSeen(seen)));
    assert_eq!(dispatched(&out), None);
    assert_eq!(
        refused(&out),
        Some((RefusalKind::CrashSuspect, Run::NotRun))
    );
}

// Guards against a restarted entry host that runs what the others know as a suspect.
#[test]
fn starting_process_asks_for_suspects_before_it_dispatches() {
    let mut entry = entry(2);
    let hosts = vec!["entry-1".into(), "entry-2".into()];
    let out = entry.handle(Now::ZERO, Input::EntryHosts(hosts));
    let asks = |o: &Output| {
        matches!(
            o,
            Output::Send {
                message: PeerMessage::SuspectsWanted,
                ..
            }
        )
    };
    assert!(out.iter().any(asks));
    let out = admit(&mut entry, WorkClass::Idempotent);
    assert_eq!(dispatched(&out), None);
    let crash = |crash| Suspect {
        fingerprint: 1,
        crash,
        cleared: false,
    };
    let message = PeerMessage::AllSuspects(vec![crash(1), crash(2)]);
    let from = "entry-2".into();
    let out = entry.handle(Now::ZERO, Input::Peer { from, message });
    assert_eq!(
        refused(&out),
        Some((RefusalKind::CrashSuspect, Run::NotRun))
    );
}

// Guards against a non-idempotent request that is given up because the shard's owner died.
#[test]
fn claim_is_made_without_an_owner_that_does_not_answer() {
    let mut entry = entry(2);
    entry.handle(Now::ZERO, Input::EntryHosts(vec!["entry-2".into()]));
    let message = PeerMessage::AllSuspects(Vec::new());
    let from = "entry-2".into();
    entry.handle(Now::ZERO, Input::Peer { from, message });
    let out = admit(&mut entry, WorkClass::NonIdempotent);
    let forwarded = |o: &Output| {
        matches!(
            o,
            Output::Send {
                message: PeerMessage::Claims(_),
                ..
            }
        )
    };
    assert!(out.iter().any(forwarded));
    assert_eq!(shard_timer(&out), None);
    let at = Now::from_secs(2);
    let out = entry.handle(at, Input::Timer(Timer::Claim(1)));
    let out = grant(&mut entry, at, &out);
    assert!(dispatched(&out).is_some());
}
