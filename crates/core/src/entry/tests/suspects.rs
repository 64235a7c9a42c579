use super::*;

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

// Guards against a suspect that runs before the other entry hosts have acknowledged its crash.
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

// Guards against a crash that is not attributed because its attempt was cancelled while the report
// was on the way.
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

// Guards against a trial that starts on a host that has missed a crash known to another host.
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

// Guards against a restarted entry host that runs a request which the others know as a suspect.
#[test]
fn starting_process_requests_suspects_before_it_dispatches() {
    let mut entry = entry(2);
    let hosts = vec!["entry-1".into(), "entry-2".into()];
    let out = entry.handle(Now::ZERO, Input::EntryHosts(hosts));
    let requests_suspects = |o: &Output| {
        matches!(
            o,
            Output::Send {
                message: PeerMessage::SuspectsWanted,
                ..
            }
        )
    };
    assert!(out.iter().any(requests_suspects));
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
