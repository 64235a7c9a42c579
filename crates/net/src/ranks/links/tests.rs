use std::time::{Duration, Instant};

use super::{BYPASS_TIME, Responsiveness, UNRESPONSIVE_AFTER};

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against a leader that calls the engines of all ranks from afar after one slow call each:
/// a map that goes to all ranks over a slow link makes many calls fail at once, and the group was
/// held for most of the time.
#[test]
fn calls_that_fail_between_answers_show_no_silence() {
    let start = Instant::now();
    let mut responsiveness = Responsiveness::new(start);
    for n in 1..20 {
        let now = start + ms(n * 500);
        for _ in 0..5 {
            responsiveness.record_failure(now);
        }
        assert!(!responsiveness.is_bypassed(now), "after {n} bursts");
        responsiveness.record_answer(now + ms(1));
    }
}

/// Guards against a process that stands still and costs each call its whole time limit.
#[test]
fn a_process_that_answers_nothing_is_passed_over_for_a_while() {
    let start = Instant::now();
    let mut responsiveness = Responsiveness::new(start);
    responsiveness.record_failure(start + UNRESPONSIVE_AFTER / 2);
    assert!(!responsiveness.is_bypassed(start + UNRESPONSIVE_AFTER / 2));
    let noticed = start + UNRESPONSIVE_AFTER;
    responsiveness.record_failure(noticed);
    assert!(responsiveness.is_bypassed(noticed + BYPASS_TIME / 2));
    assert!(
        !responsiveness.is_bypassed(noticed + BYPASS_TIME),
        "it is tried again"
    );
}
