use super::requests::{admit, end, gateway, refused, send};
use super::{ms, upstream};
use crate::gateway::evacuations::{ENDED_RETENTION, EvacuationChange, Evacuations, RESTORE_GRACE};
use crate::gateway::follow::FollowUpdate;
use crate::gateway::registry::Upstream;
use crate::gateway::{Gateway, Next, Outcome};
use crate::platform::{Change, StoredObject, Version, version};
use crate::types::{RefusalKind, Run};

fn object(name: &str, version: Version) -> StoredObject {
    StoredObject {
        name: name.into(),
        version,
        value: b"{ not json".to_vec(),
    }
}

fn all(names: &[(&str, Version)], as_of: Version) -> FollowUpdate {
    let objects = names.iter().map(|(name, version)| object(name, *version));
    FollowUpdate::All(objects.collect(), as_of)
}

fn set(name: &str, version: Version) -> FollowUpdate {
    FollowUpdate::Changes(vec![Change::Set(object(name, version))], version)
}

fn deleted(name: &str, version: Version) -> FollowUpdate {
    FollowUpdate::Changes(vec![Change::Deleted(name.into())], version)
}

// Guards against evacuations that are missed or kept after lists, single changes and deletions.
#[test]
fn the_set_follows_lists_changes_and_deletions() {
    let mut known = Evacuations::followed(ms(0), ms(4_000));
    let begun = known.apply(ms(10), &all(&[("a", 3)], 5));
    assert_eq!(begun, [EvacuationChange::Begun("a".into(), 3)]);
    let begun = known.apply(ms(20), &set("b", 6));
    assert_eq!(begun, [EvacuationChange::Begun("b".into(), 6)]);
    assert_eq!(known.in_force()["b"].since, ms(20));
    let ended = known.apply(ms(30), &deleted("a", 7));
    assert_eq!(ended, [EvacuationChange::Ended("a".into(), 7)]);
    assert!(!known.is_evacuated("a") && known.is_evacuated("b"));
    // Deleted and written again between two answers.
    let again = vec![Change::Deleted("b".into()), Change::Set(object("b", 8))];
    known.apply(ms(40), &FollowUpdate::Changes(again, 9));
    assert!(known.is_evacuated("b"));
    let ended = known.apply(ms(50), &all(&[], 10));
    assert_eq!(ended, [EvacuationChange::Ended("b".into(), 10)]);
}

// Guards against an evacuation that ends, or comes back, with an answer older than what is known.
#[test]
fn older_updates_change_nothing() {
    let mut known = Evacuations::followed(ms(0), ms(4_000));
    known.apply(ms(10), &all(&[("a", 8)], 8));
    for old in [all(&[], 7), deleted("a", 7), set("b", 6)] {
        assert!(known.apply(ms(20), &old).is_empty(), "{old:?}");
    }
    assert_eq!(known.confirmed_at(), ms(10));
    known.apply(ms(30), &deleted("a", 9));
    known.apply(ms(40), &set("a", 8));
    assert!(!known.is_evacuated("a"));
}

// Guards against requests to evacuated data centres while the store fails or has lost its history.
#[test]
fn failures_and_lost_history_leave_the_set_in_force() {
    let mut known = Evacuations::followed(ms(0), ms(4_000));
    known.apply(ms(10), &all(&[("a", 3)], 5));
    let reason = "refused".to_owned();
    for update in [FollowUpdate::Failed { reason }, FollowUpdate::HistoryGone] {
        assert!(known.apply(ms(20), &update).is_empty());
    }
    assert!(known.expire(ms(3_600_000)).is_empty());
    assert!(known.is_evacuated("a"));
    assert_eq!(known.confirmed_at(), ms(10));
}

// Guards against an evacuation that ends since the store was restored from a copy of before, and one that
// never ends after that.
#[test]
fn evacuations_that_a_restored_store_has_lost_stay_for_a_while() {
    let restored = |revision| version(2, revision);
    let before = |revision| version(1, revision);
    let start = || {
        let mut known = Evacuations::followed(ms(0), ms(4_000));
        known.apply(ms(10), &all(&[("a", before(90))], before(95)));
        known
    };
    let mut known = start();
    assert!(known.apply(ms(100), &all(&[], restored(50))).is_empty());
    assert!(known.apply(ms(900), &all(&[], restored(51))).is_empty());
    assert!(known.expire(ms(99) + RESTORE_GRACE).is_empty());
    assert!(known.is_evacuated("a"));
    let ended = known.expire(ms(100) + RESTORE_GRACE);
    assert_eq!(ended, [EvacuationChange::Ended("a".into(), restored(51))]);

    let mut known = start();
    known.apply(ms(100), &all(&[], restored(50)));
    known.apply(ms(200), &set("a", restored(52)));
    assert!(known.expire(ms(200) + RESTORE_GRACE).is_empty());
    assert!(known.is_evacuated("a"), "it was written again");

    let mut known = start();
    known.apply(ms(100), &all(&[], restored(50)));
    known.apply(ms(200), &deleted("a", restored(52)));
    assert!(!known.is_evacuated("a"), "its end is certain");
}

// Guards against upstreams that count as cold for good, or not at all, after an evacuation.
#[test]
fn the_end_of_an_evacuation_is_known_for_a_while() {
    let mut known = Evacuations::followed(ms(0), ms(4_000));
    known.apply(ms(10), &all(&[("a", 3)], 5));
    assert_eq!(known.ended_at("a"), None);
    known.apply(ms(50), &deleted("a", 6));
    known.expire(ms(49) + ENDED_RETENTION);
    assert_eq!(known.ended_at("a"), Some(ms(50)));
    known.expire(ms(50) + ENDED_RETENTION);
    assert_eq!(known.ended_at("a"), None);
    known.apply(ms(40_000), &deleted("a", 7));
    assert_eq!(known.ended_at("a"), None, "it was not evacuated");
    known.apply(ms(50_000), &set("a", 8));
    known.apply(ms(50_010), &deleted("a", 9));
    known.apply(ms(50_020), &set("a", 10));
    assert_eq!(known.ended_at("a"), None, "it is evacuated again");
}

// Guards against a host that serves before it knows what is evacuated, and against one that is never ready
// while the store is down, or without the setting.
#[test]
fn a_host_is_not_ready_before_the_list_or_the_end_of_the_settle_time() {
    assert!(gateway(1).is_ready(), "not followed");
    let mut unread = gateway(1);
    unread.evacuations = Evacuations::followed(ms(0), ms(4_000));
    let mut read = unread.clone();
    assert!(!unread.is_ready());
    unread.expire_evacuations(ms(3_999));
    assert!(!unread.is_ready());
    unread.expire_evacuations(ms(4_000));
    assert!(unread.is_ready());
    read.apply_evacuations(ms(20), &all(&[], 4));
    assert!(read.is_ready());
}

/// A gateway with two upstreams in each of two data centres: 1 and 2 in `north-1`, 3 and 4 in `north-2`.
fn two_places() -> Gateway {
    let mut gateway = gateway(0);
    let place = |n: u8| Upstream {
        data_centre: format!("north-{}", n.div_ceil(2)),
        ..upstream(n)
    };
    let upstreams = (1..=4).map(place).collect();
    gateway.registry.replace(ms(0), upstreams, 1);
    gateway
}

// Guards against requests to evacuated upstreams, new ones and repeated ones, and against upstreams that get
// none after the end of the evacuation.
#[test]
fn upstreams_of_evacuated_data_centres_get_no_requests() {
    let mut gateway = two_places();
    gateway.apply_evacuations(ms(1), &all(&[("north-1", 3), ("nowhere", 4)], 5));
    for n in 0..20 {
        let mut request = admit(&mut gateway, ms(10 + n), "/safe/x");
        let Next::Send(first, reasons) = gateway.next(ms(10 + n), &mut request) else {
            panic!("upstreams of north-2 take requests");
        };
        assert_eq!(first.data_centre, "north-2");
        assert_eq!((reasons.evacuated, reasons.limited), (2, 0));
        let id = first.id;
        end(&mut gateway, ms(10 + n), &mut request, &id, Outcome::Full);
        let second = send(&mut gateway, ms(11 + n), &mut request);
        assert!(["u-3", "u-4"].contains(&second.as_str()) && second != id);
        end(
            &mut gateway,
            ms(12 + n),
            &mut request,
            &second,
            Outcome::Answered,
        );
    }
    gateway.apply_evacuations(ms(500), &deleted("north-1", 6));
    let used = |n: u64| {
        let mut request = admit(&mut gateway, ms(1_000 + n), "/safe/x");
        send(&mut gateway, ms(1_000 + n), &mut request)
    };
    let used: Vec<String> = (0..4).map(used).collect();
    assert!(used.contains(&"u-1".into()), "{used:?}");
}

// Guards against a request that is written to an upstream whose data centre was evacuated while the connection
// was opened, and against the loss of one of its attempts for it.
#[test]
fn a_request_is_not_sent_to_an_upstream_that_was_evacuated_after_it_was_chosen() {
    let mut gateway = two_places();
    gateway.apply_evacuations(ms(1), &all(&[("north-1", 3)], 5));
    let mut request = admit(&mut gateway, ms(2), "/safe/x");
    let Next::Send(chosen, _) = gateway.next(ms(2), &mut request) else {
        panic!("upstreams of north-2 take requests");
    };
    assert!(gateway.may_send(ms(3), &chosen));
    gateway.apply_evacuations(ms(4), &all(&[("north-2", 7)], 7));
    assert!(!gateway.may_send(ms(5), &chosen));
    end(
        &mut gateway,
        ms(5),
        &mut request,
        &chosen.id,
        Outcome::Moved,
    );
    let next = send(&mut gateway, ms(6), &mut request);
    assert!(["u-1", "u-2"].contains(&next.as_str()), "{next}");
    assert_eq!(request.tried.len(), 1);
}

// Guards against requests that wait for upstreams which are evacuated, or are refused without the time to
// come back.
#[test]
fn requests_are_refused_at_once_if_all_data_centres_are_evacuated() {
    let mut gateway = two_places();
    gateway.apply_evacuations(ms(1), &all(&[("north-1", 3), ("north-2", 4)], 5));
    assert!(gateway.is_evacuated("drafts"));
    for path in ["/s/x", "/safe/x", "/unsafe/x"] {
        let mut request = admit(&mut gateway, ms(2), path);
        let refusal = refused(&mut gateway, ms(2), &mut request);
        assert_eq!(
            (refusal.kind, refusal.run),
            (RefusalKind::NoUpstream, Run::NotRun)
        );
        assert!(refusal.retry_after.is_some(), "{path}");
    }
    let mut request = admit(&mut gateway, ms(3), "/safe/x");
    request.may_have_run = true;
    let refusal = refused(&mut gateway, ms(3), &mut request);
    assert_eq!(refusal.run, Run::Unknown);
}
