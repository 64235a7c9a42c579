use super::*;

// Guards against a second run of a non-idempotent request that may already have run.
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

// Guards against a dispatch on an expired claim after a pause of the process.
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

// Guards against a dispatch on a claim that was granted after its validity had ended.
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

// Guards against a key that can't be used again although its request was refused as not run.
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

// Guards against a repeated key that runs again or is refused although its answer is stored.
#[test]
fn repeat_of_a_finished_key_is_answered_from_the_stored_answer() {
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
                original: 1,
                ..
            }
        )
    };
    assert!(out.iter().any(replayed), "{out:?}");
}

// Guards against a non-idempotent request that fails because the shard's owner died.
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
