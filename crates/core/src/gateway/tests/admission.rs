use std::time::Duration;

use super::ms;
use crate::gateway::admission::Admission;

const PATIENCE: Duration = Duration::from_secs(2);
const PRIORITY: u8 = 1;

/// An admission after ten seconds at the given number of first events a second.
fn at_rate(per_s: u64) -> Admission {
    let mut admission = Admission::default();
    for n in 0..10 * per_s {
        let (at, id) = (ms(n * 1_000 / per_s), format!("old-{n}"));
        admission.record_send(at, "drafts", &id, PRIORITY);
        admission.record_begin(at, "drafts", &id);
    }
    admission
}

fn send(admission: &mut Admission, at: u64, count: usize) {
    for n in 0..count {
        let id = format!("{at}-{n}");
        admission.record_send(ms(at), "drafts", &id, PRIORITY);
    }
}

fn admits(admission: &Admission, at: u64) -> bool {
    admission.admits(ms(at), "drafts", PRIORITY, PATIENCE, PATIENCE)
}

// Guards against requests that wait at overloaded upstreams until their callers leave.
#[test]
fn what_could_not_begin_in_time_is_refused() {
    let mut admission = at_rate(20);
    send(&mut admission, 10_000, 14);
    assert!(
        !admits(&admission, 10_500),
        "they take 0.9 s at 16 a second"
    );
    admission.record_end("drafts", "10000-0");
    for n in 1..8 {
        let id = format!("10000-{n}");
        admission.record_begin(ms(10_600), "drafts", &id);
    }
    assert!(admits(&admission, 10_600), "six more take 0.3 s");
}

// Guards against refusals in a burst at upstreams that are free.
#[test]
fn a_burst_is_admitted_while_nothing_has_waited_for_long() {
    let mut admission = at_rate(2);
    send(&mut admission, 10_000, 40);
    assert!(admits(&admission, 10_400));
    assert!(!admits(&admission, 10_600));
}

// Guards against a few requests at a slow upstream that keep the host from using the others.
#[test]
fn a_few_waiting_requests_refuse_nothing() {
    let mut admission = Admission::default();
    send(&mut admission, 10_000, 3);
    assert!(admits(&admission, 11_900));
    assert!(admission.admits(ms(11_900), "bids", PRIORITY, PATIENCE, PATIENCE));
}

// Guards against urgent requests that are refused because others wait, though they begin first.
#[test]
fn only_requests_that_are_as_urgent_count() {
    let mut admission = at_rate(20);
    send(&mut admission, 10_000, 30);
    assert!(!admits(&admission, 10_500));
    assert!(admission.admits(ms(10_500), "drafts", PRIORITY - 1, PATIENCE, PATIENCE));
}

// Guards against requests that are sent with less of their callers' time left than they wait at the upstream.
#[test]
fn a_request_has_to_begin_in_the_time_that_its_caller_has_left() {
    let mut admission = at_rate(20);
    send(&mut admission, 10_000, 9);
    let admits = |left| admission.admits(ms(10_500), "drafts", PRIORITY, PATIENCE, ms(left));
    assert!(admits(700), "they take 0.62 s at 14.5 a second");
    assert!(!admits(500));
}
