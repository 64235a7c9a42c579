use std::time::{Duration, Instant};

use super::{Heard, SILENT_AFTER, SILENT_PAUSE};

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against a leader that calls the engines of all ranks from afar after one slow call each:
/// a map that goes to all ranks over a slow link makes many calls fail at once, and the group was
/// held for most of the time.
#[test]
fn calls_that_fail_between_answers_show_no_silence() {
    let start = Instant::now();
    let mut heard = Heard::new(start);
    for n in 1..20 {
        let now = start + ms(n * 500);
        for _ in 0..5 {
            heard.note_failure(now);
        }
        assert!(!heard.is_silent(now), "after {n} bursts");
        heard.note_answer(now + ms(1));
    }
}

/// Guards against a process that stands still and costs each call its whole time limit.
#[test]
fn a_process_that_answers_nothing_is_passed_over_for_a_while() {
    let start = Instant::now();
    let mut heard = Heard::new(start);
    heard.note_failure(start + SILENT_AFTER / 2);
    assert!(!heard.is_silent(start + SILENT_AFTER / 2));
    let noticed = start + SILENT_AFTER;
    heard.note_failure(noticed);
    assert!(heard.is_silent(noticed + SILENT_PAUSE / 2));
    assert!(
        !heard.is_silent(noticed + SILENT_PAUSE),
        "it is tried again"
    );
}
