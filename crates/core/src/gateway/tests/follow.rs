use super::ms;
use crate::gateway::follow::{FollowUpdate, Follower, watch_wait};
use crate::platform::{Change, KindCall, KindReply, StoredObject, version};

fn object(name: &str, version: u64) -> StoredObject {
    StoredObject {
        name: name.into(),
        version,
        value: b"{}".to_vec(),
    }
}

fn page(names: &[&str], more: bool, revision: u64) -> KindReply {
    KindReply::Items {
        items: names.iter().map(|n| object(n, 1)).collect(),
        more,
        revision,
    }
}

fn watched_from(follower: &Follower) -> Option<u64> {
    match follower.next().1 {
        KindCall::Watch { after, .. } => Some(after),
        KindCall::List { .. } => None,
    }
}

// Guards against a list that ends after its first page, and against a change of an object of the first
// page that happens while a later one is read: only a watch from the first page's revision tells it.
#[test]
fn a_list_is_read_page_by_page_and_then_watched_from_its_revision() {
    let mut follower = Follower::new("servers", ms(1_800), 1);
    assert_eq!(
        follower.handle_reply(ms(1), page(&["a", "b"], true, 7)),
        None
    );
    let (_, call) = follower.next();
    assert!(matches!(call, KindCall::List { after: Some(after), .. } if after == "b"));
    let Some(FollowUpdate::All(all, 7)) = follower.handle_reply(ms(2), page(&["c"], false, 8))
    else {
        panic!("the list is complete");
    };
    assert_eq!(all.len(), 3);
    assert_eq!(watched_from(&follower), Some(7));
}

// Guards against a store whose list has no end and fills the memory of its reader.
#[test]
fn a_list_without_end_fails() {
    let mut follower = Follower::new("servers", ms(1_800), 1);
    let mut bytes = 0;
    for n in 0..100 {
        let items = vec![StoredObject {
            value: vec![b' '; 1 << 20],
            ..object(&format!("{n:03}"), 1)
        }];
        let reply = KindReply::Items {
            items,
            more: true,
            revision: 7,
        };
        bytes += 1 << 20;
        if let Some(update) = follower.handle_reply(ms(n), reply) {
            assert!(matches!(update, FollowUpdate::Failed { .. }), "{update:?}");
            break;
        }
    }
    assert!(bytes <= 32 << 20, "{bytes} bytes");
    assert!(matches!(
        follower.next().1,
        KindCall::List { after: None, .. }
    ));
}

// Guards against a store that gives the same page for ever.
#[test]
fn a_list_that_does_not_advance_fails() {
    let mut follower = Follower::new("servers", ms(1_800), 1);
    assert_eq!(
        follower.handle_reply(ms(1), page(&["a", "b"], true, 7)),
        None
    );
    let update = follower.handle_reply(ms(2), page(&["a", "b"], true, 7));
    assert!(
        matches!(update, Some(FollowUpdate::Failed { .. })),
        "{update:?}"
    );
}

// Guards against changes that are lost between two watches.
#[test]
fn a_watch_continues_from_the_revision_of_the_last_reply() {
    let mut follower = Follower::new("servers", ms(1_800), 1);
    follower.handle_reply(ms(1), page(&[], false, 8));
    let changes = vec![Change::Deleted("a".into())];
    let reply = KindReply::Changes {
        changes: changes.clone(),
        revision: 12,
    };
    assert_eq!(
        follower.handle_reply(ms(2), reply),
        Some(FollowUpdate::Changes(changes, 12))
    );
    assert_eq!(watched_from(&follower), Some(12));
}

// Guards against a watch that is renewed across a gap in the history: the store may let it wait for
// the next change, and the changes in the gap are never delivered.
#[test]
fn a_failed_watch_and_a_lost_history_restart_with_a_list() {
    for reply in [
        KindReply::HistoryGone,
        KindReply::Failed {
            reason: "reset".into(),
        },
    ] {
        let mut follower = Follower::new("config", ms(1_800), 1);
        follower.handle_reply(ms(1), page(&[], false, 8));
        assert!(follower.handle_reply(ms(2), reply).is_some());
        assert_eq!(watched_from(&follower), None);
    }
}

// Guards against a watch whose answer was lost and that hides changes for longer than hosts may be
// outdated after a fault.
#[test]
fn a_watch_ends_well_before_the_settle_time() {
    for settle in [ms(500), ms(3_000), ms(5_000)] {
        let wait = watch_wait(settle);
        assert!(wait <= settle.mul_f64(0.7), "{wait:?} of {settle:?}");
        let mut follower = Follower::new("servers", wait, 1);
        follower.handle_reply(ms(1), page(&[], false, 8));
        assert!(matches!(follower.next().1, KindCall::Watch { wait: used, .. } if used == wait));
    }
}

// Guards against all hosts calling a failing store again at once, and against delays that leave a
// host outdated for seconds.
#[test]
fn retry_delays_grow_to_less_than_a_second() {
    let mut follower = Follower::new("config", ms(1_800), 1);
    let mut longest = ms(0);
    for n in 0..20 {
        let now = ms(n * 1_000);
        let reason = "busy".to_owned();
        follower.handle_reply(now, KindReply::Failed { reason });
        let delay = follower.next().0.saturating_sub(now);
        assert!(delay > ms(20), "{delay:?}");
        longest = longest.max(delay);
    }
    assert!(longest > ms(300) && longest < ms(1_000), "{longest:?}");
}

// Guards against a host that is outdated for longer, since it waits after each call that was not answered
// as if the call had taken no time.
#[test]
fn the_delay_after_a_lost_answer_runs_from_the_beginning_of_the_call() {
    let mut follower = Follower::new("servers", ms(1_800), 1);
    for n in 0..20 {
        let began = ms(n * 5_000);
        follower.record_call(began);
        let failed_at = began + ms(1_200);
        let reason = "no answer".to_owned();
        follower.handle_reply(failed_at, KindReply::Failed { reason });
        let delay = follower.next().0.saturating_sub(failed_at);
        assert!(delay > ms(20) && delay < ms(100), "{delay:?}");
    }
}

// Guards against a watch that is made late on a connection which is silent since the last answer, and has
// its whole time there.
#[test]
fn the_time_of_a_watch_runs_from_the_last_answer() {
    let mut follower = Follower::new("config", ms(1_800), 1);
    follower.handle_reply(ms(0), page(&[], false, 1));
    let mut now = ms(0);
    for revision in 2..12 {
        now = now.max(follower.next().0) + ms(20);
        let changes = vec![Change::Deleted("a".into())];
        follower.handle_reply(now, KindReply::Changes { changes, revision });
    }
    let (at, _) = follower.next();
    assert!(at > now + ms(500), "the watch is delayed");
    for begins in [at, now + ms(1_500), now + ms(5_000)] {
        follower.record_call(begins);
        let KindCall::Watch { wait, .. } = follower.next().1 else {
            panic!("a watch follows");
        };
        let latest = now + ms(1_800);
        assert!(
            begins + wait <= latest.max(begins),
            "{wait:?} from {begins:?}"
        );
    }
}

// Guards against requests to upstreams that left: on a silent connection a fault may have ended before the
// call that failed, and as early as the last answer.
#[test]
fn the_first_call_that_fails_may_have_been_made_long_after_the_end_of_the_fault() {
    let failed = || KindReply::Failed {
        reason: "no answer".into(),
    };
    let mut follower = Follower::new("servers", ms(1_800), 1);
    follower.handle_reply(ms(1_000), page(&[], false, 1));
    follower.record_call(ms(1_600));
    follower.handle_reply(ms(3_500), failed());
    assert_eq!(follower.fault_ended_after(), ms(1_000));
    follower.record_call(ms(3_550));
    follower.handle_reply(ms(4_750), failed());
    assert_eq!(follower.fault_ended_after(), ms(3_550));
}

// Guards against one watch of every host per change of a series, and against a delay that makes a
// change late.
#[test]
fn a_series_of_changes_arrives_in_few_watches() {
    let mut follower = Follower::new("servers", ms(1_800), 1);
    follower.handle_reply(ms(0), page(&[], false, 1));
    let (mut now, mut watches) = (ms(0), 0);
    while now < ms(10_000) {
        now = now.max(follower.next().0) + ms(50);
        let changes = vec![Change::Deleted("a".into())];
        let revision = 2 + watches;
        follower.handle_reply(now, KindReply::Changes { changes, revision });
        watches += 1;
    }
    assert!(watches <= 22, "{watches} watches in 10 s");
    assert!(follower.next().0 <= now + ms(600));
}

// Guards against changes that are missed since their revisions, given out again after a restore of the
// store, have passed the one that is watched from.
#[test]
fn a_watch_that_a_restored_store_answers_restarts_with_a_list() {
    let mut follower = Follower::new("servers", ms(1_800), 1);
    follower.handle_reply(ms(1), page(&["a"], false, version(1, 50)));
    let changes = vec![Change::Deleted("b".into())];
    let reply = KindReply::Changes {
        changes,
        revision: version(2, 60),
    };
    let update = follower.handle_reply(ms(2), reply);
    assert_eq!(update, Some(FollowUpdate::HistoryGone));
    assert_eq!(watched_from(&follower), None);
    let list = page(&["c"], false, version(2, 20));
    assert!(!follower.is_outdated(&list));
    follower.handle_reply(ms(3), list);
    assert_eq!(watched_from(&follower), Some(version(2, 20)));
}

// Guards against a list with objects from before and after a restore of the store.
#[test]
fn a_list_that_a_restore_interrupts_is_read_anew() {
    let mut follower = Follower::new("servers", ms(1_800), 1);
    follower.handle_reply(ms(1), page(&["a"], true, version(1, 50)));
    let update = follower.handle_reply(ms(2), page(&["b"], false, version(2, 20)));
    assert_eq!(update, Some(FollowUpdate::HistoryGone));
    let (_, call) = follower.next();
    assert!(matches!(call, KindCall::List { after: None, .. }));
}

// Guards against a copy of a host that has not heard of the restore of the store yet.
#[test]
fn what_was_said_before_a_restore_is_outdated() {
    let mut follower = Follower::new("servers", ms(1_800), 1);
    follower.handle_reply(ms(1), page(&["a"], false, version(2, 20)));
    assert!(follower.is_outdated(&page(&["a"], false, version(1, 90))));
    let reply = KindReply::Changes {
        changes: Vec::new(),
        revision: version(1, 90),
    };
    assert!(follower.is_outdated(&reply));
}
