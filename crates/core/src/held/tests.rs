use std::time::Duration;

use super::{Held, HoldId, Reservation, SMALL_BYTES, default_capacity};

const MIB: usize = 1 << 20;
const CAPACITY: usize = 16 * MIB;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Opens a hold for an announced body at 0 of which `arrived` bytes have come at `at`.
fn body(held: &mut Held, bytes: usize, arrived: usize, at: u64) -> HoldId {
    let id = held.open(Duration::ZERO, Some(bytes));
    let granted = Reservation::Granted(Vec::new());
    assert_eq!(held.reserve(Duration::ZERO, id, bytes), granted);
    held.record_arrived(ms(at), id, arrived);
    id
}

// Guards against a budget that large bodies use up, so that ordinary requests are refused.
#[test]
fn small_holds_fit_whatever_large_ones_use() {
    let mut held = Held::new(CAPACITY);
    for _ in 0..3 {
        let id = body(&mut held, 4 * MIB, 4 * MIB, 1);
        assert!(held.keep(id));
    }
    let large = held.open(ms(10), None);
    assert_eq!(
        held.reserve(ms(10), large, SMALL_BYTES + 1),
        Reservation::Refused
    );
    let small = held.open(ms(10), None);
    let granted = Reservation::Granted(Vec::new());
    assert_eq!(held.reserve(ms(10), small, SMALL_BYTES), granted);
}

// Guards against evicting a body that is nearly there instead of one that has stopped.
#[test]
fn stalled_hold_is_evicted_before_one_that_is_nearly_done() {
    let mut held = Held::new(CAPACITY);
    let stalled = body(&mut held, 4 * MIB, 4 * MIB - 1, 100);
    let nearly = body(&mut held, 4 * MIB, 4 * MIB - MIB / 2, 1_990);
    let slow = body(&mut held, 4 * MIB, MIB, 1_990);
    let new = held.open(ms(2_000), Some(4 * MIB));
    assert_eq!(
        held.reserve(ms(2_000), new, 4 * MIB),
        Reservation::Granted(vec![slow])
    );
    let next = held.open(ms(2_000), Some(4 * MIB));
    assert_eq!(
        held.reserve(ms(2_000), next, 4 * MIB),
        Reservation::Granted(vec![stalled])
    );
    // The others progress well or have just begun.
    let last = held.open(ms(2_001), Some(4 * MIB));
    assert_eq!(held.reserve(ms(2_001), last, 4 * MIB), Reservation::Refused);
    assert!(held.keep(nearly));
    assert!(!held.keep(stalled), "an evicted hold is gone");
    assert_eq!(held.evictions(), 2);
}

// Guards against taking away the body of a request that may run.
#[test]
fn kept_holds_are_never_evicted() {
    let mut held = Held::new(CAPACITY);
    for _ in 0..3 {
        let id = body(&mut held, 4 * MIB, 4 * MIB, 1);
        assert!(held.keep(id));
    }
    let new = held.open(ms(60_000), Some(4 * MIB));
    assert_eq!(held.reserve(ms(60_000), new, 4 * MIB), Reservation::Refused);
}

// Guards against answers that a caller never reads and that displace others.
#[test]
fn unread_answer_is_evicted_after_a_while() {
    let mut held = Held::new(CAPACITY);
    let kept = body(&mut held, 8 * MIB, 8 * MIB, 1);
    assert!(held.keep(kept));
    let answer = body(&mut held, 4 * MIB, 4 * MIB, 1);
    assert!(held.leave(ms(1_000), answer));
    let new = held.open(ms(1_100), Some(4 * MIB));
    assert_eq!(held.reserve(ms(1_100), new, 4 * MIB), Reservation::Refused);
    assert_eq!(
        held.reserve(ms(1_600), new, 4 * MIB),
        Reservation::Granted(vec![answer])
    );
}

// Guards against a host that refuses the largest permitted request while it holds no other.
#[test]
fn hold_that_is_alone_may_exceed_the_budget() {
    let mut held = Held::new(2 * MIB);
    let id = body(&mut held, 4 * MIB, 0, 0);
    let other = held.open(ms(1), Some(MIB));
    assert_eq!(held.reserve(ms(1), other, MIB), Reservation::Refused);
    held.close(id);
    assert_eq!(held.bytes(), 0);
}

#[test]
fn default_size_is_a_quarter_of_the_memory() {
    assert_eq!(default_capacity(None), 64 * MIB);
    assert_eq!(default_capacity(Some(32)), 16 * MIB);
    assert_eq!(default_capacity(Some(480)), 192 * MIB);
}
