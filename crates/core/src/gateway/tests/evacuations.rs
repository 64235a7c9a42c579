use std::collections::BTreeSet;

use super::requests::{admit, end, gateway, refused, send};
use super::{ms, upstream};
use crate::gateway::evacuations::{ENDED_RETENTION, EvacuationChange, Evacuations, RESTORE_GRACE};
use crate::gateway::follow::FollowUpdate;
use crate::gateway::notices::Notice;
use crate::gateway::placing::SUBSET_SIZE;
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

/// A set that knows of the evacuation of `a` since 10 ms.
fn known(version: Version, as_of: Version) -> Evacuations {
    let mut known = Evacuations::followed(ms(0), ms(4_000));
    let begun = known.apply(ms(10), &all(&[("a", version)], as_of));
    assert_eq!(begun, [EvacuationChange::Begun("a".into(), version)]);
    known
}

// Guards against evacuations that are missed or kept after lists, single changes and deletions, and with an
// answer older than what is known.
#[test]
fn the_set_follows_lists_changes_and_deletions_in_their_order() {
    let mut known = known(5, 5);
    for old in [all(&[], 4), deleted("a", 4), set("b", 4)] {
        assert!(known.apply(ms(15), &old).is_empty(), "{old:?}");
    }
    assert_eq!(known.confirmed_at(), ms(10));
    known.apply(ms(20), &set("b", 6));
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

// Guards against requests to evacuated data centres while the store fails or has lost its history.
#[test]
fn failures_and_lost_history_leave_the_set_in_force() {
    let mut known = known(3, 5);
    let reason = "refused".to_owned();
    for update in [FollowUpdate::Failed { reason }, FollowUpdate::HistoryGone] {
        assert!(known.apply(ms(20), &update).is_empty());
    }
    assert!(known.expire(ms(3_600_000)).is_empty() && known.is_evacuated("a"));
}

// Guards against an evacuation that ends since the store was restored from a copy of before, and one that
// never ends after that.
#[test]
fn evacuations_that_a_restored_store_has_lost_stay_for_a_while() {
    let restored = |revision| version(2, revision);
    let mut lost = known(version(1, 90), version(1, 95));
    assert!(lost.apply(ms(100), &all(&[], restored(50))).is_empty());
    assert!(lost.apply(ms(900), &all(&[], restored(51))).is_empty());
    let (mut again, mut over) = (lost.clone(), lost.clone());
    assert!(lost.expire(ms(99) + RESTORE_GRACE).is_empty() && lost.is_evacuated("a"));
    let ended = lost.expire(ms(100) + RESTORE_GRACE);
    assert_eq!(ended, [EvacuationChange::Ended("a".into(), restored(51))]);
    again.apply(ms(1_000), &set("a", restored(52)));
    assert!(again.expire(ms(1_000) + RESTORE_GRACE).is_empty());
    over.apply(ms(1_000), &deleted("a", restored(52)));
    assert!(!over.is_evacuated("a"), "its end is certain");
}

// Guards against upstreams that count as cold for good, or not at all, after an evacuation.
#[test]
fn the_end_of_an_evacuation_is_known_for_a_while() {
    let mut known = known(3, 5);
    assert_eq!(known.ended_at("a"), None);
    known.apply(ms(50), &deleted("a", 6));
    known.expire(ms(49) + ENDED_RETENTION);
    assert_eq!(known.ended_at("a"), Some(ms(50)));
    let mut again = known.clone();
    again.apply(ms(60), &set("a", 8));
    assert_eq!(again.ended_at("a"), None, "it is evacuated again");
    known.expire(ms(50) + ENDED_RETENTION);
    known.apply(ms(40_000), &deleted("a", 7));
    assert_eq!(known.ended_at("a"), None, "it was not evacuated");
}

// Guards against a host that serves before it knows what is evacuated, and against one that is never ready
// while the store is down, or without the setting.
#[test]
fn a_host_is_not_ready_before_the_list_or_the_end_of_the_settle_time() {
    assert!(gateway(1).is_ready(), "not followed");
    let mut unread = gateway(1);
    unread.evacuations = Evacuations::followed(ms(0), ms(4_000));
    let mut read = unread.clone();
    unread.expire_evacuations(ms(3_999));
    assert!(!unread.is_ready());
    unread.expire_evacuations(ms(4_000));
    assert!(unread.is_ready());
    read.apply_evacuations(ms(20), &all(&[], 4));
    assert!(read.is_ready());
}

/// A gateway in `north-1` with upstreams, every other one in `north-2`.
fn two_places(upstreams: u8) -> Gateway {
    let mut gateway = gateway(0);
    let place = |n: u8| Upstream {
        data_centre: format!("north-{}", 1 + n % 2),
        ..upstream(n)
    };
    let upstreams = (1..=upstreams).map(place).collect();
    gateway.registry.replace(ms(0), upstreams, 1);
    gateway.set_hosts(1, BTreeSet::from(["edge-1".into()]));
    gateway
}

// Guards against requests to evacuated upstreams, new ones and repeated ones, against a load that only the few
// others of those share that were used first, and against upstreams that get none after the end.
#[test]
fn upstreams_of_evacuated_data_centres_get_no_requests() {
    let mut gateway = two_places(60);
    let used = |gateway: &mut Gateway, from: u64, evacuated| {
        let send = |n| {
            let mut request = admit(gateway, ms(from + n), "/safe/x");
            let Next::Send(chosen, reasons) = gateway.next(ms(from + n), &mut request) else {
                panic!("upstreams take requests");
            };
            assert_eq!((reasons.evacuated, reasons.limited), (evacuated, 0));
            let id = chosen.id;
            end(gateway, ms(from + n), &mut request, &id, Outcome::Answered);
            id
        };
        (0..64).map(send).collect::<BTreeSet<_>>()
    };
    let is_first_place = |id: &String| id[2..].parse::<u8>().unwrap() % 2 == 0;
    assert!(used(&mut gateway, 0, 0).iter().any(is_first_place));
    gateway.apply_evacuations(ms(100), &all(&[("north-1", 3), ("nowhere", 4)], 5));
    let rest = used(&mut gateway, 200, 30);
    assert_eq!(rest.len(), SUBSET_SIZE, "{rest:?}");
    assert!(!rest.iter().any(is_first_place), "{rest:?}");
    for n in 0..10 {
        let mut repeated = admit(&mut gateway, ms(300 + n), "/safe/x");
        let first = send(&mut gateway, ms(300 + n), &mut repeated);
        end(
            &mut gateway,
            ms(300 + n),
            &mut repeated,
            &first,
            Outcome::Full,
        );
        let second = send(&mut gateway, ms(300 + n), &mut repeated);
        assert!(!is_first_place(&second), "{second}");
        end(
            &mut gateway,
            ms(300 + n),
            &mut repeated,
            &second,
            Outcome::Answered,
        );
    }
    gateway.apply_evacuations(ms(400), &deleted("north-1", 6));
    assert!(used(&mut gateway, 10_000, 0).iter().any(is_first_place));
}

// Guards against a request that is written to an upstream whose data centre was evacuated while the connection
// was opened, and against the loss of one of its attempts for it.
#[test]
fn a_request_is_not_sent_to_an_upstream_that_was_evacuated_after_it_was_chosen() {
    let mut gateway = two_places(2);
    gateway.apply_evacuations(ms(1), &all(&[("north-1", 3)], 5));
    let mut request = admit(&mut gateway, ms(2), "/safe/x");
    let Next::Send(chosen, _) = gateway.next(ms(2), &mut request) else {
        panic!("the upstream of north-2 takes requests");
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
    assert_eq!(send(&mut gateway, ms(6), &mut request), "u-2");
    assert_eq!(request.tried.len(), 1);
}

// Guards against requests that wait for upstreams which are evacuated, or are refused without the time to
// come back.
#[test]
fn requests_are_refused_at_once_if_all_data_centres_are_evacuated() {
    let mut gateway = two_places(4);
    let paused = Notice {
        pause: Some(ms(300)),
        ..Notice::default()
    };
    for n in 1..=4 {
        let paused_one = gateway.registry.get(&format!("u-{n}")).unwrap().clone();
        gateway.record_notice(ms(1), &paused_one, ms(0), paused);
    }
    let mut waiting = admit(&mut gateway, ms(2), "/safe/x");
    assert!(matches!(gateway.next(ms(2), &mut waiting), Next::Wait(_)));
    gateway.apply_evacuations(ms(3), &all(&[("north-1", 3), ("north-2", 4)], 5));
    assert!(gateway.is_evacuated("drafts"));
    for path in ["/s/x", "/safe/x", "/unsafe/x"] {
        let mut request = admit(&mut gateway, ms(4), path);
        let refusal = refused(&mut gateway, ms(4), &mut request);
        assert_eq!(
            (refusal.kind, refusal.run),
            (RefusalKind::NoUpstream, Run::NotRun)
        );
        assert!(refusal.retry_after.is_some(), "{path}");
    }
    waiting.may_have_run = true;
    let refusal = refused(&mut gateway, ms(5), &mut waiting);
    assert_eq!(refusal.run, Run::Unknown);
}
