use std::time::Duration;

use super::*;
use crate::platform::{Call, CallId, Condition, Reply};

const DURATION: Duration = Duration::from_secs(10);

fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn lease(holder: &str) -> Lease {
    Lease::new(LeaseSettings {
        key: lease_key("drafts"),
        holder: holder.into(),
        incarnation: 1,
        duration: DURATION,
        poll_every: s(2),
    })
}

fn record(holder: &str, number: u64, write: u64) -> Vec<u8> {
    let record = LeaseRecord {
        holder: holder.into(),
        incarnation: 1,
        number,
        write,
        duration_ms: 10_000,
    };
    serde_json::to_vec(&record).expect("a record")
}

fn object(version: u64, value: Vec<u8>) -> Reply {
    Reply::Object { version, value }
}

/// Identifier, record and condition of a write.
fn put(call: Option<(CallId, Call)>) -> (CallId, LeaseRecord, Condition) {
    match call {
        Some((
            id,
            Call::Put {
                value, condition, ..
            },
        )) => {
            let record = serde_json::from_slice(&value).expect("a record");
            (id, record, condition)
        }
        other => panic!("expected a write, got {other:?}"),
    }
}

fn get(call: Option<(CallId, Call)>) -> CallId {
    match call {
        Some((id, Call::Get { .. })) => id,
        other => panic!("expected a read, got {other:?}"),
    }
}

/// A lease that was acquired from a missing object, with a write sent at 20 s.
fn held() -> Lease {
    let mut lease = lease("a");
    let id = get(lease.tick(s(1)));
    assert!(lease.reply(s(1), id, Reply::Missing).is_none());
    let id = get(lease.tick(s(20)));
    let (id, record, condition) = put(lease.reply(s(20), id, Reply::Missing));
    assert_eq!((record.number, condition), (1, Condition::Absent));
    assert!(
        lease
            .reply(s(21), id, Reply::Written { version: 5 })
            .is_none()
    );
    lease
}

// Guards against a holder that counts the duration from the reply, or uses all of it.
#[test]
fn lease_ends_early_and_counts_from_before_the_write() {
    let lease = held();
    assert_eq!(lease.held(s(27)), Some(1));
    assert_eq!(lease.held(s(28)), None);
}

// Guards against a paused holder that acts on the lease it held before the pause.
#[test]
fn paused_holder_does_not_act_on_its_expired_lease() {
    let mut lease = held();
    assert_eq!(lease.held(s(500)), None);
    let id = get(lease.tick(s(500)));
    let reply = object(9, record("b", 2, 1));
    assert!(lease.reply(s(500), id, reply).is_none());
    assert_eq!(lease.held(s(500)), None);
}

// Guards against a candidate that takes a lease which is being renewed.
#[test]
fn renewed_lease_is_not_taken() {
    let mut lease = lease("b");
    for version in 1..20 {
        let at = s(version * 9);
        let id = get(lease.tick(at));
        let reply = object(version, record("a", 1, version));
        assert!(lease.reply(at, id, reply).is_none(), "taken at {at:?}");
    }
}

// Guards against a new holder without a higher number, and against a write without a condition.
#[test]
fn lease_without_renewal_is_taken_with_the_next_number() {
    let mut lease = lease("b");
    let id = get(lease.tick(s(0)));
    assert!(
        lease
            .reply(s(0), id, object(3, record("a", 7, 1)))
            .is_none()
    );
    let id = get(lease.tick(s(10)));
    let (_, record, condition) = put(lease.reply(s(10), id, object(3, record("a", 7, 1))));
    assert_eq!((record.number, condition), (8, Condition::Version(3)));
}

// Guards against a lost reply that counts as a failure, or as a success without reading back.
#[test]
fn lost_reply_is_resolved_by_reading_back() {
    for (holder, number) in [("b", Some(8)), ("c", None)] {
        let mut lease = lease("b");
        let id = get(lease.tick(s(0)));
        lease.reply(s(0), id, object(3, record("a", 7, 1)));
        let id = get(lease.tick(s(10)));
        let (id, written, _) = put(lease.reply(s(10), id, object(3, record("a", 7, 1))));
        let id = get(lease.reply(s(11), id, Reply::Lost));
        assert_eq!(lease.held(s(11)), None, "held before the read");
        let found = object(4, record(holder, 8, written.write));
        lease.reply(s(12), id, found);
        assert_eq!(lease.held(s(13)), number, "{holder} wrote it");
        assert_eq!(
            lease.held(s(18)),
            None,
            "the duration counts from the write"
        );
    }
}

// Guards against orders below a number that engines have seen after the object was recreated.
#[test]
fn lease_is_taken_again_above_a_number_that_ranks_have_seen() {
    let mut lease = held();
    lease.observe_number(40);
    assert_eq!(lease.held(s(22)), None);
    let id = get(lease.tick(s(22)));
    let (_, record, _) = put(lease.reply(s(22), id, object(5, record("a", 1, 1))));
    assert!(record.number > 40, "{}", record.number);
}
