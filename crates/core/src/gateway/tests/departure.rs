use std::time::Duration;

use super::requests::{admit, end, gateway, refused, send};
use super::{ms, upstream};
use crate::gateway::departure::Departure;
use crate::gateway::notices::Notice;
use crate::gateway::routes::RouteKind;
use crate::gateway::silence::Prospect;
use crate::gateway::{Admitted, Gateway, Next, Outcome};
use crate::types::{Now, Run};

const PATIENCE: Duration = Duration::from_secs(2);

// Guards against a departure that is computed from an attempt: each attempt began the wait anew.
#[test]
fn a_caller_leaves_after_its_last_event_and_not_after_the_last_attempt() {
    let mut departure = Departure::new(ms(1_000), Some(PATIENCE));
    assert_eq!(departure.at(), Some(ms(3_000)));
    assert!(departure.answer_by() < departure.at());
    departure.record_event(ms(2_500));
    assert_eq!(departure.at(), Some(ms(4_500)));
    assert_eq!(departure.left(ms(9_000)), Some(Duration::ZERO));
}

#[test]
fn callers_of_single_answers_leave_at_their_deadline_only() {
    let departure = Departure::new(ms(0), None);
    assert_eq!(departure.left(ms(60_000)), None);
    assert!(departure.allows(ms(60_000), Duration::from_secs(9)));
}

/// Ends a first attempt at `at` and returns when the request was sent once more, if it was.
fn moved_at(gateway: &mut Gateway, at: Now) -> Option<Now> {
    let mut request = admit(gateway, ms(0), "/s/x");
    let first = send(gateway, ms(0), &mut request);
    end(gateway, at, &mut request, &first, Outcome::Silent);
    match gateway.next(at, &mut request) {
        Next::Send(..) => Some(at),
        Next::Refuse(refusal) => {
            assert_eq!(refusal.run, Run::Unknown);
            None
        }
        other => panic!("{other:?}"),
    }
}

// Guards against second attempts that are sent when their callers are about to leave.
#[test]
fn a_request_is_not_sent_again_when_its_caller_is_about_to_leave() {
    assert!(moved_at(&mut gateway(4), ms(1_000)).is_some());
    assert!(moved_at(&mut gateway(4), ms(1_900)).is_none());
    assert!(moved_at(&mut gateway(4), ms(2_500)).is_none());
}

// Guards against second attempts at a service that begins nothing in the time that is left.
#[test]
fn a_request_that_could_not_begin_elsewhere_is_answered_at_once() {
    let mut gateway = gateway(4);
    for n in 0..8 {
        gateway
            .admission
            .record_send(ms(0), "drafts", &format!("w-{n}"), 0);
    }
    let mut request = admit(&mut gateway, ms(600), "/s/x");
    request.tried.insert("u-1".into());
    request.record_outcome("u-1", Outcome::Silent);
    let refusal = refused(&mut gateway, ms(1_600), &mut request);
    assert_eq!(refusal.run, Run::Unknown);
}

// Guards against callers that left at a second upstream which stood still as well.
#[test]
fn a_caller_is_answered_before_it_leaves_a_second_silent_upstream() {
    let mut gateway = gateway(4);
    let mut request = admit(&mut gateway, ms(0), "/s/x");
    let first = send(&mut gateway, ms(0), &mut request);
    end(
        &mut gateway,
        ms(1_000),
        &mut request,
        &first,
        Outcome::Silent,
    );
    let second = send(&mut gateway, ms(1_000), &mut request);
    let times = (1_000..2_000).step_by(10).map(ms);
    let expired = |now: &Now| {
        gateway.prospect(*now, &request, &second, ms(1_000), false) == Prospect::Expired
    };
    let expired_at = times.into_iter().find(expired).unwrap();
    assert!(expired_at < ms(1_960), "{expired_at:?}");
}

// Guards against streams that must not run twice, whose callers left an upstream that stood still.
#[test]
fn a_caller_is_answered_before_it_leaves_whatever_its_request_allows() {
    let mut gateway = gateway(4);
    let mut request = admit(&mut gateway, ms(0), "/s/x");
    let first = send(&mut gateway, ms(0), &mut request);
    request.route = {
        let mut route = (*request.route).clone();
        route.kind = RouteKind::Stream { resumable: false };
        route.into()
    };
    let prospect =
        |gateway: &mut Gateway, now| gateway.prospect(now, &request, &first, ms(0), false);
    assert!(matches!(prospect(&mut gateway, ms(1_500)), Prospect::GoesOn(at) if at < ms(1_960)));
    assert_eq!(prospect(&mut gateway, ms(1_960)), Prospect::Expired);
}

// Guards against first sends whose upstream has no time left to begin: their outcome is unknown.
#[test]
fn a_request_is_not_sent_for_the_first_time_when_its_caller_is_about_to_leave() {
    let mut gateway = gateway(4);
    let mut request = admit(&mut gateway, ms(0), "/s/x");
    let refusal = refused(&mut gateway, ms(1_900), &mut request);
    assert_eq!(refusal.run, Run::NotRun);
}

/// Has an upstream pause for 200 ms.
fn pause(gateway: &mut Gateway, now: Now, n: u8) {
    let notice = Notice {
        leaving: false,
        pause: Some(ms(200)),
    };
    gateway.record_notice(now, &upstream(n), now, notice);
}

// Guards against streams that are cut although their callers would wait for the end of a pause.
#[test]
fn a_stream_waits_for_the_end_of_a_pause_in_the_time_since_its_last_event() {
    let mut gateway = gateway(2);
    let mut request = admit(&mut gateway, ms(0), "/s/x");
    let first = send(&mut gateway, ms(0), &mut request);
    request.departure.record_event(ms(1_600));
    end(
        &mut gateway,
        ms(1_650),
        &mut request,
        &first,
        Outcome::Broken,
    );
    pause(&mut gateway, ms(1_650), if first == "u-1" { 2 } else { 1 });
    let next = gateway.next(ms(1_650), &mut request);
    assert!(matches!(next, Next::Wait(_)), "{next:?}");
}

/// Whether the attempt at an upstream that is silent from `silent_from` on is lost by `until`, while
/// others go on.
fn is_lost(
    gateway: &mut Gateway,
    request: &Admitted,
    upstream: &str,
    (silent_from, until): (u64, u64),
    has_begun: bool,
) -> bool {
    for now in (silent_from..until).step_by(50) {
        for other in ["u-1", "u-2", "u-3", "u-4"] {
            if other != upstream {
                gateway.record_sign(ms(now), "drafts", other);
            }
        }
        let sent_at = ms(silent_from);
        if gateway.prospect(ms(now), request, upstream, sent_at, has_begun) == Prospect::Lost {
            return true;
        }
    }
    false
}

// Guards against streams that are cut for the silence of their upstream although they must not run twice.
#[test]
fn a_stream_that_must_not_run_twice_is_not_given_up_for_silence() {
    let is_given_up = |has_begun| {
        let mut gateway = gateway(4);
        let mut request = admit(&mut gateway, ms(0), "/s/x");
        let first = send(&mut gateway, ms(0), &mut request);
        let mut route = (*request.route).clone();
        route.kind = RouteKind::Stream { resumable: false };
        request.route = route.into();
        is_lost(&mut gateway, &request, &first, (0, 1_900), has_begun)
    };
    assert_eq!([false, true].map(is_given_up), [false, false]);
}

// Guards against resumed streams that are cut early although they can't be resumed once more.
#[test]
fn a_resumed_stream_is_not_given_up_for_silence_at_its_last_upstream() {
    let mut gateway = gateway(4);
    let mut request = admit(&mut gateway, ms(0), "/s/x");
    let first = send(&mut gateway, ms(0), &mut request);
    request.departure.record_event(ms(500));
    end(&mut gateway, ms(500), &mut request, &first, Outcome::Broken);
    let second = send(&mut gateway, ms(500), &mut request);
    assert!(!is_lost(
        &mut gateway,
        &request,
        &second,
        (500, 2_400),
        false
    ));
}
