use std::time::Duration;

use super::{ms, upstream};
use crate::gateway::follow::{Follower, watch_wait};
use crate::gateway::registry::{
    Change, LAPSE_GRACE, PRESUMED_TIME, Registry, RegistryCopy, Upstream, lapse_limit,
};
use crate::platform::{KindCall, KindReply, version};
use crate::types::Now;

fn usable(registry: &Registry) -> usize {
    registry.usable("drafts").count()
}

// Guards against new requests to an upstream that was removed without an announcement.
#[test]
fn a_removed_entry_is_gone_at_once_while_the_store_answers() {
    let mut registry = Registry::default();
    registry.replace(ms(0), vec![upstream(1), upstream(2)], 3);
    assert_eq!(
        registry.remove(ms(1), "u-1", 4),
        Some(Change::Gone("u-1".into()))
    );
    assert_eq!(usable(&registry), 1);
}

// Guards against losing upstreams whose entries lapse during an outage of the store.
#[test]
fn lapsed_entries_stay_usable_until_the_grace_period_after_an_outage() {
    let mut registry = Registry::default();
    registry.replace(ms(0), vec![upstream(1), upstream(2)], 3);
    registry.store_failed(Some(lapse_limit(ms(8_200), SETTLE_TIME)));
    let back = ms(9_000);
    registry.store_answered(back);
    let changes = registry.replace(back, Vec::new(), 9);
    assert_eq!(changes.len(), 2);
    assert_eq!(usable(&registry), 2);
    assert_eq!(
        registry.set(upstream(2)),
        Some(Change::Returned("u-2".into()))
    );
    assert!(registry.expire(back + ms(1_700)).is_empty());
    let gone = registry.expire(back + LAPSE_GRACE);
    assert_eq!(gone, [Change::Gone("u-1".into())]);
    assert_eq!(usable(&registry), 1);
}

// Guards against keeping an upstream as lapsed that was already leaving before the outage.
#[test]
fn a_leaving_upstream_whose_entry_disappears_in_an_outage_is_gone() {
    let mut registry = Registry::default();
    let mut leaving = upstream(1);
    leaving.leaving = true;
    registry.replace(ms(0), vec![leaving], 3);
    registry.store_failed(None);
    assert_eq!(
        registry.remove(ms(1), "u-1", 4),
        Some(Change::Gone("u-1".into()))
    );
}

// Guards against an older entry, from a watch that lags behind a peer's list, that reverts the
// announcement of a leaving upstream.
#[test]
fn an_older_entry_changes_nothing() {
    let mut registry = Registry::default();
    let mut leaving = upstream(1);
    leaving.leaving = true;
    leaving.version = 9;
    registry.set(leaving);
    assert_eq!(registry.set(upstream(1)), None);
    assert_eq!(usable(&registry), 0);
    assert_eq!(registry.revision(), 9);
}

// Guards against requests to a crashed upstream whose address another one has, for as long as its
// entry stays: each of them is misdirected and uses up a retry.
#[test]
fn an_upstream_is_replaced_while_a_newer_one_has_its_address() {
    let mut registry = Registry::default();
    let old = upstream(1);
    let mut new = upstream(2);
    new.address = old.address;
    registry.replace(ms(0), vec![old.clone()], 2);
    assert!(!registry.is_replaced(&old));
    registry.set(new.clone());
    assert!(registry.is_replaced(&old) && !registry.is_replaced(&new));
    // The newer upstream announces that it is leaving, so the owner of the address is unknown.
    let mut leaving = new.clone();
    leaving.leaving = true;
    leaving.version = 5;
    registry.set(leaving);
    assert!(!registry.is_replaced(&old));
    registry.set(Upstream { version: 6, ..new });
    assert!(registry.is_replaced(&old));
    registry.remove(ms(1), "u-2", 7);
    assert!(!registry.is_replaced(&old));
}

/// A copy with the given upstreams, as of a revision.
fn copy(upstreams: &[u8], revision: u64, as_of: u64, is_certain: bool) -> RegistryCopy {
    RegistryCopy {
        upstreams: upstreams.iter().map(|n| upstream(*n)).collect(),
        revision,
        as_of,
        is_certain,
    }
}

// Guards against an upstream that left and comes back from the copy of a host that missed it: the
// revision of the newest entry in a fresh list is below that of the last change the other host saw.
#[test]
fn an_older_copy_with_a_later_change_does_not_bring_an_upstream_back() {
    let mut restarted = Registry::default();
    restarted.replace(ms(0), vec![upstream(1)], 2);
    restarted.set_as_of(ms(0), 20);
    assert!(
        restarted
            .apply_copy(ms(1), copy(&[1, 2], 15, 18, true))
            .is_empty()
    );
    assert_eq!(usable(&restarted), 1);
    let changes = restarted.apply_copy(ms(2), copy(&[1, 3], 22, 22, true));
    assert_eq!(changes, [Change::Joined("u-3".into())]);
    assert_eq!((restarted.revision(), restarted.as_of()), (22, 22));
}

// Guards against an entry that lapsed at one host and is taken from there as a present one.
#[test]
fn a_copy_has_no_lapsed_entries_and_says_that_some_may_be_missing() {
    let mut cut = Registry::default();
    cut.replace(ms(0), vec![upstream(1), upstream(2)], 3);
    cut.store_failed(None);
    cut.remove(ms(1), "u-1", 4);
    let copy = cut.copy().unwrap();
    assert_eq!(copy.upstreams, [upstream(2)]);
    assert!(!copy.is_certain);
}

// Guards against requests to an upstream that is gone by a host that the store does not answer, while
// another host is answered and says so.
#[test]
fn an_entry_that_is_missing_from_a_certain_copy_is_gone() {
    for (is_certain, left) in [(true, 1), (false, 2)] {
        let mut cut = Registry::default();
        cut.replace(ms(0), vec![upstream(1), upstream(2)], 3);
        cut.store_failed(None);
        cut.apply_copy(ms(1), copy(&[2], 9, 9, is_certain));
        assert_eq!(usable(&cut), left);
        assert!(!cut.store_answers());
    }
}

/// An upstream whose entry has a revision of an era.
fn of_era(n: u8, era: u64, revision: u64) -> Upstream {
    Upstream {
        version: version(era, revision),
        ..upstream(n)
    }
}

/// A registry of upstreams 1 and 2 as of revision 40 of the first era.
fn before_restore() -> Registry {
    let mut registry = Registry::default();
    registry.set_as_of(ms(0), version(1, 40));
    let listed = vec![of_era(1, 1, 30), of_era(2, 1, 31)];
    registry.replace(ms(0), listed, version(1, 31));
    registry
}

fn restore(registry: &mut Registry, now: Now, era: u64, listed: Vec<Upstream>) -> Vec<Change> {
    assert!(registry.set_as_of(now, version(era, 20)));
    registry.replace(now, listed, version(era, 19))
}

// Guards against an upstream that leaves after a restore of the store and gets requests on: its entry
// has a lower revision than the one from before.
#[test]
fn entries_of_a_restored_store_count_although_their_revisions_are_lower() {
    let mut registry = before_restore();
    for era in [2, 3] {
        let listed = vec![of_era(1, era, 10), of_era(2, era, 11)];
        restore(&mut registry, ms(1_000 * era), era, listed);
        assert_eq!(usable(&registry), 2);
        let mut leaving = of_era(1, era, 22);
        leaving.leaving = true;
        assert_eq!(registry.set(leaving), Some(Change::Leaving("u-1".into())));
        // An answer from before the restore arrives late.
        assert_eq!(registry.set(of_era(1, era - 1, 90)), None);
        assert_eq!(usable(&registry), 1);
        registry.set(of_era(1, era, 23));
    }
}

// Guards against upstreams that are given up since a restored store does not list them yet.
#[test]
fn upstreams_that_a_restored_store_misses_lapse_as_in_an_outage() {
    let mut registry = before_restore();
    let changes = restore(&mut registry, ms(1_000), 2, vec![of_era(1, 2, 10)]);
    assert_eq!(changes, [Change::Lapsed("u-2".into())]);
    assert_eq!(usable(&registry), 2);
    assert_eq!(
        registry.expire(ms(1_000) + LAPSE_GRACE),
        [Change::Gone("u-2".into())]
    );
}

// Guards against requests to an upstream that had left and that a restored store lists again.
#[test]
fn an_upstream_that_left_before_a_restore_is_not_used_again() {
    for is_listed in [true, false] {
        let mut registry = before_restore();
        if is_listed {
            let mut leaving = of_era(2, 1, 41);
            leaving.leaving = true;
            registry.set(leaving);
        } else {
            registry.remove(ms(10), "u-2", version(1, 41));
        }
        let listed = vec![of_era(1, 2, 10), of_era(2, 2, 11)];
        restore(&mut registry, ms(1_000), 2, listed.clone());
        assert_eq!(usable(&registry), 1);
        registry.replace(ms(2_000), listed.clone(), version(2, 19));
        assert_eq!(usable(&registry), 1, "listed once more");
        // It may be alive after all.
        let mut written = registry.clone();
        written.set(of_era(2, 2, 25));
        assert_eq!(usable(&written), 2);
        registry.expire(ms(1_000) + PRESUMED_TIME);
        assert_eq!(usable(&registry), 2);
    }
}

// Guards against a host that can't reach the restored store and goes on with what was before, and
// against one that the copy of such a host leads back.
#[test]
fn a_copy_from_after_a_restore_replaces_one_from_before() {
    let mut cut = before_restore();
    cut.store_failed(None);
    let mut after = before_restore();
    restore(&mut after, ms(1_000), 2, vec![of_era(1, 2, 10)]);
    let changes = cut.apply_copy(ms(1_500), after.copy().unwrap());
    assert_eq!(changes, [Change::Lapsed("u-2".into())]);
    assert_eq!(cut.as_of(), version(2, 20));
    let before = before_restore().copy().unwrap();
    assert!(after.apply_copy(ms(1_500), before).is_empty());
    assert_eq!(after.as_of(), version(2, 20));
}

/// Time after the end of a fault of the store, or of the path to it, after which a host is held to the
/// limit on requests to upstreams that have left.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Time after [`watch_wait`] after which a watch counts as lost.
const WATCH_MARGIN: Duration = Duration::from_millis(700);
const EXPIRY_INTERVAL: Duration = Duration::from_millis(250);

// Guards against requests to an upstream that is removed from the registry while the answer to a watch is lost.
#[test]
fn an_upstream_that_is_removed_while_a_watch_is_lost_is_gone_after_the_settle_time() {
    let wait = watch_wait(SETTLE_TIME);
    let mut registry = Registry::default();
    registry.replace(ms(0), vec![upstream(1), upstream(2)], 3);
    registry.set_as_of(ms(0), 3);
    let mut follower = Follower::new("servers", wait, 1);
    let list = |revision| KindReply::Items {
        items: Vec::new(),
        more: false,
        revision,
    };
    follower.handle_reply(ms(0), list(3));
    let unanswered = KindReply::Failed {
        reason: "no answer".into(),
    };
    follower.handle_reply(wait + WATCH_MARGIN, unanswered);
    // The watch began with the list.
    registry.store_failed(Some(lapse_limit(ms(0), SETTLE_TIME)));
    let (listed_at, call) = follower.next();
    assert!(matches!(call, KindCall::List { .. }));
    follower.handle_reply(listed_at, list(4));
    registry.store_answered(listed_at);
    registry.set_as_of(listed_at, 4);
    registry.replace(listed_at, vec![upstream(2)], 3);
    let mut now = listed_at;
    while usable(&registry) > 1 {
        now += EXPIRY_INTERVAL;
        registry.expire(now);
    }
    assert!(now <= SETTLE_TIME, "still used until {now:?}");
}

/// Time after which a list counts as lost.
const LIST_TIMEOUT: Duration = Duration::from_millis(1_200);

// Guards against upstreams that are given up at the end of an outage, before they can have registered again.
#[test]
fn lapsed_entries_stay_usable_after_an_outage_in_which_answers_were_lost() {
    let mut registry = Registry::default();
    registry.replace(ms(0), vec![upstream(1), upstream(2)], 3);
    let mut follower = Follower::new("servers", watch_wait(SETTLE_TIME), 1);
    for _ in 0..10 {
        let (called_at, _) = follower.next();
        follower.record_call(called_at);
        let reason = "no answer".to_owned();
        follower.handle_reply(called_at + LIST_TIMEOUT, KindReply::Failed { reason });
        registry.store_failed(Some(lapse_limit(called_at, SETTLE_TIME)));
    }
    let (back, _) = follower.next();
    registry.store_answered(back);
    registry.replace(back, Vec::new(), 9);
    registry.expire(back + ms(1_450));
    assert_eq!(usable(&registry), 2);
}

// Guards against upstreams that are given up by a host that others answer for the store: the last call of its
// own may have failed long before.
#[test]
fn lapsed_entries_stay_usable_for_the_grace_period_after_the_answer_of_a_host() {
    let mut registry = Registry::default();
    registry.replace(ms(0), vec![upstream(1)], 2);
    registry.store_failed(Some(lapse_limit(ms(1_000), SETTLE_TIME)));
    let back = ms(4_500);
    registry.host_answered(back);
    registry.replace(back, Vec::new(), 9);
    assert!(registry.expire(back + ms(1_700)).is_empty());
    registry.expire(back + LAPSE_GRACE);
    assert_eq!(usable(&registry), 0);
}

// Guards against an entry without a cold time that reaches other hosts as one of a warm upstream, and against a
// copy that hosts of earlier versions can't decode: they expect a plain duration.
#[test]
fn copies_tell_an_unreported_cold_time_from_none_left() {
    for (warm_up, plain) in [
        (None, Duration::MAX),
        (Some(Duration::ZERO), Duration::ZERO),
        (Some(ms(1_500)), ms(1_500)),
    ] {
        let sent = Upstream {
            warm_up,
            ..upstream(1)
        };
        let value = serde_json::to_value(&sent).unwrap();
        assert_eq!(value["warm_up"], serde_json::to_value(plain).unwrap());
        assert_eq!(serde_json::from_value::<Upstream>(value).unwrap(), sent);
    }
}
