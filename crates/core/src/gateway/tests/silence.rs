use std::time::Duration;

use super::ms;
use crate::gateway::departure::Departure;
use crate::gateway::silence::{Liveness, Prospect, Signs, StreamAttempt};
use crate::types::Now;

const PATIENCE: Duration = Duration::from_secs(2);

/// An attempt at `u-1`. A stream that has begun had its last event with the last sign of `u-1`.
fn attempt(sent_at: Now, has_begun: bool) -> StreamAttempt<'static> {
    let served_at = if has_begun {
        sent_at.max(ms(1_000))
    } else {
        sent_at
    };
    StreamAttempt {
        service: "drafts",
        upstream: "u-1",
        sent_at,
        has_begun,
        patience: PATIENCE,
        departure: Departure::new(served_at, Some(PATIENCE)),
    }
}

/// When an attempt is lost, if it is looked at whenever it asks for that.
fn lost_at(signs: &mut Signs, attempt: StreamAttempt<'_>) -> Now {
    let mut now = attempt.sent_at.max(ms(1_000));
    while let Prospect::GoesOn(next) = signs.prospect(now, attempt) {
        assert!(next > now && next < ms(60_000));
        now = next;
    }
    now
}

/// Signs of `u-1` until 1 s and of `u-2` until `others_until`.
fn signs(others_until: u64) -> Signs {
    let mut signs = Signs::default();
    for upstream in ["u-1", "u-2"] {
        signs.record_send(ms(0), "drafts", upstream, true);
        signs.record_begin(upstream);
    }
    for now in (100..=1_000).step_by(50) {
        signs.record(ms(now), "drafts", "u-1");
    }
    for now in (1_000..=others_until).step_by(50) {
        signs.record(ms(now), "drafts", "u-2");
    }
    signs
}

// Guards against callers that give up at an upstream that stands still while others go on.
#[test]
fn streams_at_a_silent_upstream_are_lost_before_their_callers_give_up() {
    for (sent_at, has_begun) in [(ms(0), true), (ms(0), false), (ms(1_700), false)] {
        let attempt = attempt(sent_at, has_begun);
        let mut known = signs(5_000);
        let lost_at = lost_at(&mut known, attempt);
        assert_eq!(known.prospect(lost_at, attempt), Prospect::Lost);
        let leaves_at = if has_begun {
            ms(3_000)
        } else {
            sent_at + PATIENCE
        };
        assert!(lost_at >= ms(1_300), "{lost_at:?}");
        assert!(lost_at + ms(400) < leaves_at, "{lost_at:?}");
    }
}

// Guards against callers without an event that wait where the streams of others were lost.
#[test]
fn all_streams_at_an_upstream_are_lost_together() {
    let mut known = signs(5_000);
    let lost_at = lost_at(&mut known, attempt(ms(0), true));
    let new = attempt(ms(900), false);
    assert_eq!(known.prospect(lost_at, new), Prospect::Lost);
    let Prospect::GoesOn(next) = signs(5_000).prospect(ms(1_000), new) else {
        panic!("no stream is lost yet");
    };
    assert!(next <= lost_at + ms(200), "{next:?}");
    known.record(lost_at, "drafts", "u-1");
    assert_ne!(known.prospect(lost_at, new), Prospect::Lost);
}

// Guards against work that is given up because its upstream is silent while the whole group waits, or
// because this host was paused and reads what waited for it.
#[test]
fn streams_go_on_while_no_upstream_shows_that_others_do() {
    let attempt = attempt(ms(0), true);
    let mut group_waits = signs(1_000);
    assert_ne!(group_waits.prospect(ms(60_000), attempt), Prospect::Lost);
    let mut paused = signs(1_000);
    for n in 0..20 {
        paused.record(ms(6_000 + n), "drafts", "u-2");
    }
    assert_ne!(paused.prospect(ms(6_020), attempt), Prospect::Lost);
}

// Guards against slow streams that are cut, and against a late answer to one request that does not
// count for the others.
#[test]
fn any_part_of_an_answer_keeps_all_streams_of_its_upstream() {
    let mut signs = signs(5_000);
    signs.record(ms(4_000), "drafts", "u-1");
    let begun = attempt(ms(4_000), true);
    let next = Prospect::GoesOn(ms(5_000));
    assert_eq!(signs.prospect(ms(4_900), begun), next);
}

// Guards against callers that give up at one rank after another one has reported the stall.
#[test]
fn streams_at_a_silent_rank_are_lost_once_another_reports_a_stall() {
    let mut signs = signs(1_000);
    let begun = attempt(ms(0), true);
    signs.record_stall(ms(2_500), "other");
    assert_ne!(signs.prospect(ms(2_500), begun), Prospect::Lost);
    signs.record_stall(ms(1_400), "drafts");
    assert_ne!(signs.prospect(ms(2_500), begun), Prospect::Lost);
    signs.record_stall(ms(2_500), "drafts");
    assert_eq!(signs.prospect(ms(2_500), begun), Prospect::Lost);
}

// Guards against an upstream that counts as silent for the time in which nothing was asked of it.
#[test]
fn an_idle_upstream_is_not_silent() {
    let mut signs = signs(9_000);
    signs.record_send(ms(8_000), "drafts", "u-1", true);
    let new = attempt(ms(8_000), false);
    assert_ne!(signs.prospect(ms(9_400), new), Prospect::Lost);
}

// Guards against requests that are sent to an upstream which is silent while others go on: their
// callers left before the silence was long enough to give up the attempt.
#[test]
fn a_silent_upstream_is_suspect_before_its_streams_are_lost() {
    let known = signs(5_000);
    let liveness = |now| known.liveness(ms(now), "drafts", "u-1", false);
    assert_eq!(liveness(1_200), Liveness::Likely);
    assert_eq!(liveness(1_400), Liveness::Suspect);
    let group_waits = signs(1_000);
    let liveness = group_waits.liveness(ms(60_000), "drafts", "u-1", false);
    assert_eq!(liveness, Liveness::Likely);
    let idle = known.liveness(ms(1_400), "drafts", "u-1", true);
    assert_eq!(idle, Liveness::Likely);
}

// Guards against an upstream that stands still and gets several requests each time it is tried again.
#[test]
fn an_upstream_that_stood_still_gets_one_request_at_a_time_until_it_is_heard_of() {
    let mut known = signs(2_500);
    let lost_at = lost_at(&mut known, attempt(ms(0), true));
    let later = lost_at + ms(2_000);
    let idle = known.liveness(later, "drafts", "u-1", true);
    assert_eq!(idle, Liveness::Unknown);
    known.record_send(later, "drafts", "u-1", true);
    let tried = known.liveness(later, "drafts", "u-1", false);
    assert_eq!(tried, Liveness::Suspect);
    for n in 0..10 {
        known.record(later + ms(50 * n), "drafts", "u-2");
    }
    let trial = attempt(later, false);
    assert_ne!(known.prospect(later + ms(400), trial), Prospect::Lost);
    assert_eq!(known.prospect(later + ms(500), trial), Prospect::Lost);
    known.record_send(later + ms(900), "drafts", "u-1", true);
    known.record(later + ms(1_000), "drafts", "u-1");
    let heard = known.liveness(later + ms(1_000), "drafts", "u-1", false);
    assert_eq!(heard, Liveness::Likely);
}

// Guards against callers that left at the second upstream: it had a quarter of their patience left.
#[test]
fn a_stream_without_an_event_is_lost_with_half_of_its_callers_patience_left() {
    let sent_at = ms(1_000);
    let lost_at = lost_at(&mut signs(5_000), attempt(sent_at, false));
    assert!(lost_at <= sent_at + PATIENCE / 2, "{lost_at:?}");
}

// Guards against callers that leave a rank which fell silent when less than half of their patience was left.
#[test]
fn a_stream_at_an_upstream_that_falls_silent_late_is_decided_before_its_caller_leaves() {
    for silent_from in [1_000, 1_200, 1_500] {
        let mut signs = Signs::default();
        for upstream in ["u-1", "u-2"] {
            signs.record_send(ms(0), "drafts", upstream, true);
        }
        for now in (50..=5_000).step_by(50) {
            signs.record(ms(now), "drafts", "u-2");
            if now <= silent_from {
                signs.record(ms(now), "drafts", "u-1");
            }
        }
        let lost_at = lost_at(&mut signs, attempt(ms(0), false));
        assert!(lost_at < PATIENCE, "{silent_from}: {lost_at:?}");
    }
}

// Guards against callers that left an upstream which fell silent late in their patience: the wait for a
// sign began anew with each sign.
#[test]
fn a_silent_upstream_is_given_up_before_the_callers_of_its_queue_leave() {
    let sent_at = ms(100);
    for until in (200..=1_700).step_by(100) {
        let mut known = Signs::default();
        known.record_send(ms(0), "drafts", "u-1", true);
        known.record_send(ms(0), "drafts", "u-2", true);
        known.record_begin("u-1");
        for now in (100..=until).step_by(50) {
            known.record(ms(now), "drafts", "u-1");
        }
        for now in (100..=5_000).step_by(50) {
            known.record(ms(now), "drafts", "u-2");
        }
        let attempt = attempt(sent_at, false);
        let mut now = sent_at;
        let end = loop {
            match known.prospect(now, attempt) {
                Prospect::GoesOn(next) => now = next.max(now + ms(1)),
                end => break end,
            }
        };
        assert!(now + ms(50) < sent_at + PATIENCE, "{until}: {now:?}");
        let early = now < ms(until) + PATIENCE / 2;
        assert!(early || until <= 300, "{until}: {end:?} at {now:?}");
    }
}

// Guards against callers that leave where no upstream shows that others go on.
#[test]
fn callers_are_answered_before_they_leave_where_all_upstreams_are_silent() {
    let mut all_silent = signs(1_000);
    let new = attempt(ms(900), false);
    assert_ne!(all_silent.prospect(ms(2_800), new), Prospect::Expired);
    assert_eq!(all_silent.prospect(ms(2_850), new), Prospect::Expired);
}

// Guards against upstreams that are taken for silent, and ejected, since they work more slowly than others.
#[test]
fn requests_that_wait_at_a_slow_upstream_are_not_lost_between_its_signs() {
    let mut signs = Signs::default();
    for upstream in ["u-1", "u-2", "u-3"] {
        signs.record_send(ms(0), "drafts", upstream, true);
        signs.record_begin(upstream);
    }
    let waiting = attempt(ms(0), false);
    for now in (50..1_900).step_by(10) {
        for upstream in ["u-2", "u-3"] {
            signs.record(ms(now), "drafts", upstream);
        }
        if now % 400 == 0 {
            signs.record(ms(now), "drafts", "u-1");
        }
        let prospect = signs.prospect(ms(now), waiting);
        assert_ne!(prospect, Prospect::Lost, "at {now} ms");
    }
}
