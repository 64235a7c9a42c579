use std::time::Duration;

use crate::gateway::follow::FollowUpdate;
use crate::gateway::mirror::Mirror;
use crate::platform::{Change, KindCall, KindReply, StoredObject, version};

const KIND: &str = "servers";

fn object(name: &str, version: u64) -> StoredObject {
    StoredObject {
        name: name.into(),
        version,
        value: Vec::new(),
    }
}

fn set(name: &str, version: u64) -> Change {
    Change::Set(object(name, version))
}

fn watch(mirror: &Mirror, after: u64) -> Option<KindReply> {
    mirror.answer(&KindCall::Watch {
        kind: KIND.into(),
        after,
        wait: Duration::from_secs(1),
    })
}

fn changes(changes: Vec<Change>, revision: u64) -> KindReply {
    KindReply::Changes { changes, revision }
}

fn listed(objects: Vec<StoredObject>, revision: u64) -> Mirror {
    let mut mirror = Mirror::default();
    mirror.apply(KIND, &FollowUpdate::All(objects, revision));
    mirror
}

#[test]
fn a_copy_tells_what_changed_after_a_revision() {
    let mut mirror = listed(vec![object("a", 2)], 4);
    assert_eq!(watch(&mirror, 4), None);
    assert_eq!(watch(&mirror, 3), Some(KindReply::HistoryGone));
    mirror.apply(KIND, &FollowUpdate::Changes(vec![set("b", 6)], 6));
    let deleted = Change::Deleted("a".into());
    mirror.apply(KIND, &FollowUpdate::Changes(vec![deleted.clone()], 9));
    assert_eq!(
        watch(&mirror, 4),
        Some(changes(vec![set("b", 6), deleted.clone()], 9))
    );
    assert_eq!(watch(&mirror, 6), Some(changes(vec![deleted], 9)));
    assert_eq!(watch(&mirror, 9), None);
}

/// Guards against a large configuration that is sent once for each of its versions in a series.
#[test]
fn only_the_last_change_of_an_object_is_told() {
    let mut mirror = listed(vec![object("a", 2)], 4);
    for version in 5..20 {
        let update = FollowUpdate::Changes(vec![set("a", version)], version);
        mirror.apply(KIND, &update);
    }
    assert_eq!(watch(&mirror, 4), Some(changes(vec![set("a", 19)], 19)));
}

/// Guards against an entry that stays with the followers of a copy because it disappeared between
/// two lists.
#[test]
fn a_new_list_tells_what_disappeared() {
    let mut mirror = listed(vec![object("a", 2), object("b", 3)], 4);
    mirror.apply(
        KIND,
        &FollowUpdate::All(vec![object("b", 3), object("c", 8)], 9),
    );
    let expected = vec![Change::Deleted("a".into()), set("c", 8)];
    assert_eq!(watch(&mirror, 4), Some(changes(expected, 9)));
}

/// Guards against what has left coming back by a list that was read before.
#[test]
fn an_older_list_changes_nothing() {
    let mut mirror = listed(vec![object("a", 2)], 4);
    let deleted = Change::Deleted("a".into());
    mirror.apply(KIND, &FollowUpdate::Changes(vec![deleted], 9));
    mirror.apply(KIND, &FollowUpdate::All(vec![object("a", 2)], 4));
    assert_eq!(mirror.revision(KIND), Some(9));
    let list = KindCall::List {
        kind: KIND.into(),
        after: None,
        stale: false,
    };
    let Some(KindReply::Items { items, .. }) = mirror.answer(&list) else {
        panic!("a list was read");
    };
    assert!(items.is_empty());
}

#[test]
fn a_follower_that_is_far_behind_lists_again() {
    let mut mirror = listed(Vec::new(), 1);
    for version in 2..200 {
        let update = FollowUpdate::Changes(vec![set(&format!("o-{version}"), version)], version);
        mirror.apply(KIND, &update);
    }
    assert_eq!(watch(&mirror, 1), Some(KindReply::HistoryGone));
    assert!(matches!(
        watch(&mirror, 190),
        Some(KindReply::Changes { .. })
    ));
}

// Guards against copies that keep what a restored store has lost, and that followers go back to.
#[test]
fn a_list_of_a_restored_store_replaces_the_copy() {
    let mut mirror = listed(vec![object("a", version(1, 30))], version(1, 40));
    let restored = FollowUpdate::All(vec![object("b", version(2, 9))], version(2, 10));
    mirror.apply(KIND, &restored);
    assert_eq!(mirror.revision(KIND), Some(version(2, 10)));
    assert_eq!(watch(&mirror, version(1, 40)), Some(KindReply::HistoryGone));
    let before = FollowUpdate::All(vec![object("a", version(1, 30))], version(1, 90));
    mirror.apply(KIND, &before);
    assert_eq!(mirror.revision(KIND), Some(version(2, 10)));
    assert_eq!(watch(&mirror, version(2, 10)), None);
}
