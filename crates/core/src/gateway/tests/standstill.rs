//! Requests of a gateway some of whose upstreams stand still.

use super::ms;
use super::requests::{admit, end, gateway, send};
use crate::gateway::silence::Prospect;
use crate::gateway::{Gateway, Outcome};
use crate::types::Now;

const SERVICE: &str = "drafts";

/// Has all upstreams but the first one send something, every 50 ms.
fn others_go_on(gateway: &mut Gateway, from: u64, until: u64) {
    for now in (from..until).step_by(50) {
        for other in ["u-2", "u-3", "u-4"] {
            gateway.record_sign(ms(now), SERVICE, other);
        }
    }
}

/// Sends a request to each of four upstreams, of which the first one stands still from then on.
fn gateway_with_a_silent_upstream() -> Gateway {
    let mut gateway = gateway(4);
    for _ in 0..4 {
        let mut request = admit(&mut gateway, ms(0), "/s/x");
        send(&mut gateway, ms(0), &mut request);
    }
    for upstream in ["u-1", "u-2", "u-3", "u-4"] {
        gateway.record_sign(ms(0), SERVICE, upstream);
    }
    gateway
}

// Guards against requests that are sent to a frozen upstream until the first of them is given up there:
// their callers left, and they went on when it did.
#[test]
fn a_silent_upstream_gets_no_further_requests_while_others_go_on() {
    let mut gateway = gateway_with_a_silent_upstream();
    others_go_on(&mut gateway, 50, 500);
    for _ in 0..12 {
        let mut request = admit(&mut gateway, ms(500), "/s/x");
        assert_ne!(send(&mut gateway, ms(500), &mut request), "u-1");
    }
}

/// When an attempt at the first upstream, sent at `sent_at`, is lost.
fn lost_at(gateway: &mut Gateway, sent_at: Now) -> Option<Now> {
    let request = admit(gateway, sent_at, "/s/x");
    let times = (0..30).map(|n| sent_at + ms(100 * n));
    let lost =
        |now: &Now| gateway.prospect(*now, &request, "u-1", sent_at, false) == Prospect::Lost;
    times.into_iter().find(lost)
}

// Guards against a frozen upstream that is tried again with requests that no other one may run then.
#[test]
fn an_upstream_that_stood_still_is_tried_with_a_request_that_can_be_sent_again() {
    let mut gateway = gateway_with_a_silent_upstream();
    others_go_on(&mut gateway, 50, 2_000);
    assert!(lost_at(&mut gateway, ms(0)).is_some());
    let mut request = admit(&mut gateway, ms(0), "/s/x");
    request.tried.insert("u-1".into());
    end(
        &mut gateway,
        ms(2_000),
        &mut request,
        "u-1",
        Outcome::Silent,
    );
    for n in 0..3 {
        let mut second = admit(&mut gateway, ms(2_300), "/s/x");
        second.tried.insert(format!("u-{}", n + 2));
        assert_ne!(send(&mut gateway, ms(2_300), &mut second), "u-1");
    }
    let trials = (0..12).map(|_| {
        let mut request = admit(&mut gateway, ms(2_300), "/s/x");
        send(&mut gateway, ms(2_300), &mut request)
    });
    assert_eq!(trials.filter(|u| u == "u-1").count(), 1);
}

// Guards against callers that wait at a frozen upstream until they leave, since its entry expired and
// with it what was known of its silence.
#[test]
fn streams_at_an_upstream_that_is_no_longer_listed_are_lost_as_well() {
    let mut gateway = gateway_with_a_silent_upstream();
    others_go_on(&mut gateway, 50, 600);
    gateway.registry.remove(ms(600), "u-1", 9);
    gateway.expire(ms(600));
    others_go_on(&mut gateway, 600, 2_000);
    assert!(lost_at(&mut gateway, ms(0)).is_some());
}

// Guards against callers that left at a second upstream, where their requests waited behind newer ones
// after they had been given up at a frozen one.
#[test]
fn a_request_that_was_given_up_is_most_urgent_when_it_is_sent_again() {
    let mut gateway = gateway(4);
    let mut request = admit(&mut gateway, ms(0), "/s/x");
    let first = send(&mut gateway, ms(0), &mut request);
    assert_eq!(request.send_priority(), 1);
    end(
        &mut gateway,
        ms(1_000),
        &mut request,
        &first,
        Outcome::Silent,
    );
    send(&mut gateway, ms(1_000), &mut request);
    assert_eq!(request.send_priority(), 0);
    let mut refused = admit(&mut gateway, ms(0), "/s/x");
    let first = send(&mut gateway, ms(0), &mut refused);
    end(&mut gateway, ms(100), &mut refused, &first, Outcome::Full);
    send(&mut gateway, ms(100), &mut refused);
    assert_eq!(refused.send_priority(), 1);
}

// Guards against callers that leave a second upstream at which their requests wait unwatched, since no third
// one may run them.
#[test]
fn the_last_attempt_of_a_stream_is_decided_before_its_caller_leaves() {
    let mut gateway = gateway_with_a_silent_upstream();
    others_go_on(&mut gateway, 50, 1_100);
    let mut request = admit(&mut gateway, ms(0), "/s/x");
    request.tried.insert("u-1".into());
    request.record_outcome("u-1", Outcome::Silent);
    let second = send(&mut gateway, ms(1_100), &mut request);
    let patience = request.route.patience();
    let decided = |gateway: &mut Gateway, now| {
        let prospect = gateway.prospect(ms(now), &request, &second, ms(1_100), false);
        !matches!(prospect, Prospect::GoesOn(_))
    };
    let mut decided_at = None;
    for now in (1_100..2_400).step_by(50) {
        for other in ["u-2", "u-3", "u-4"].into_iter().filter(|o| *o != second) {
            gateway.record_sign(ms(now), SERVICE, other);
        }
        if decided_at.is_none() && decided(&mut gateway, now) {
            decided_at = Some(ms(now));
        }
    }
    assert!(
        decided_at.is_some_and(|at| at < request.arrived + patience),
        "{decided_at:?}"
    );
}

// Guards against requests that are lost as soon as they are sent, since no upstream but those that stand
// still may take them.
#[test]
fn a_request_that_is_just_sent_is_not_lost() {
    let mut gateway = gateway_with_a_silent_upstream();
    others_go_on(&mut gateway, 50, 2_000);
    assert!(lost_at(&mut gateway, ms(0)).is_some());
    let mut request = admit(&mut gateway, ms(2_000), "/s/x");
    request
        .tried
        .extend(["u-2", "u-3", "u-4"].map(str::to_owned));
    let mut route = (*request.route).clone();
    route.attempts = 9;
    request.route = route.into();
    assert_eq!(send(&mut gateway, ms(2_000), &mut request), "u-1");
    let prospect = gateway.prospect(ms(2_000), &request, "u-1", ms(2_000), false);
    assert!(matches!(prospect, Prospect::GoesOn(_)), "{prospect:?}");
}
