use std::time::Duration;

use eelgrasshold_core::platform::{Call, Condition, MAX_VALUE_BYTES, Reply};

use super::hosts::Hosts;
use super::rate::Rate;
use super::{Host, HostState, Store, WriteError};

/// Guards against versions that repeat after a deletion: a writer that paused
/// over the deletion would then overwrite the new object.
#[test]
fn versions_never_repeat_after_deletion() {
    let mut store = Store::new();
    let first = store.put("a", "1", Condition::Absent).unwrap();
    let other = store.put("b", "1", Condition::Absent).unwrap();
    let deleted = store.delete("a", first).unwrap();
    let second = store.put("a", "2", Condition::Absent).unwrap();
    assert!(first < other && other < deleted && deleted < second);
    assert_eq!(
        store.put("a", "3", Condition::Version(first)),
        Err(WriteError::Conflict { version: second })
    );
    assert_eq!(&store.get("a").unwrap().value[..], b"2");
}

/// Guards against conditional writes that write although the condition fails.
#[test]
fn failed_conditions_write_nothing() {
    let mut store = Store::new();
    let version = store.put("a", "1", Condition::Absent).unwrap();
    let conflict = Err(WriteError::Conflict { version });
    assert_eq!(store.put("a", "2", Condition::Absent), conflict);
    assert_eq!(
        store.put("a", "2", Condition::Version(version + 1)),
        conflict
    );
    assert_eq!(store.delete("a", version + 1), conflict);
    let missing = Err(WriteError::Conflict { version: 0 });
    assert_eq!(store.put("b", "2", Condition::Version(0)), missing);
    assert_eq!(store.delete("b", 0), missing);
    let large = vec![0; MAX_VALUE_BYTES + 1];
    let too_large = Err(WriteError::TooLarge);
    assert_eq!(
        store.put("a", large, Condition::Version(version)),
        too_large
    );
    assert_eq!(store.last_version(), version);
    assert_eq!(&store.get("a").unwrap().value[..], b"1");
}

/// Guards against listings that miss keys or name keys of another prefix.
#[test]
fn listing_keeps_to_the_prefix() {
    let mut store = Store::new();
    for key in ["a", "b/1", "b/2", "b0", "c"] {
        store.put(key, "", Condition::Absent).unwrap();
    }
    let keys: Vec<&str> = store.list("b/").map(|(key, _)| key).collect();
    assert_eq!(keys, ["b/1", "b/2"]);
    assert_eq!(store.list("").count(), 5);
}

/// Guards against watches that miss a deletion, or end at once while there is nothing to see.
#[test]
fn watch_sees_writes_and_deletions() {
    let mut store = Store::new();
    let watch = |after| Call::Watch {
        key: "a".into(),
        after,
    };
    assert_eq!(store.call(&watch(0)), Reply::Unchanged);
    let version = store.put("a", "1", Condition::Absent).unwrap();
    let object = Reply::Object {
        version,
        value: b"1".to_vec(),
    };
    assert_eq!(store.call(&watch(0)), object);
    assert_eq!(store.call(&watch(version)), Reply::Unchanged);
    store.delete("a", version).unwrap();
    assert_eq!(store.call(&watch(version)), Reply::Missing);
    assert_eq!(store.call(&watch(0)), Reply::Unchanged);
}

/// Guards against rates that let more calls through than allowed, or that
/// forget that a waiting watch counts as a call.
#[test]
fn rate_bounds_calls_and_counts_waiting_watches() {
    let mut rate = Rate::new(10);
    let taken = |rate: &mut Rate, s| {
        let now = Duration::from_secs(s);
        (0..100).filter(|_| rate.take(now)).count()
    };
    assert_eq!(taken(&mut rate, 0), 10);
    assert_eq!(taken(&mut rate, 1), 10);
    for _ in 0..4 {
        rate.begin_wait(Duration::from_secs(1));
    }
    assert_eq!(taken(&mut rate, 2), 6);
    for _ in 0..4 {
        rate.end_wait(Duration::from_secs(2));
    }
    assert_eq!(taken(&mut rate, 3), 10);
}

/// Guards against a host list that shows a change at once: membership must
/// not come to rely on that.
#[test]
fn host_list_lags_behind() {
    let host = |name: &str| Host {
        host: name.into(),
        address: "127.0.0.1".into(),
        data_centre: "dc-1".into(),
        state: HostState::Live,
    };
    let mut hosts = Hosts::new(Duration::from_secs(5), vec![host("a")]);
    hosts.set(Duration::from_secs(10), vec![host("b")]);
    hosts.set(Duration::from_secs(11), vec![host("c")]);
    let mut names = |ms| -> Vec<String> {
        let visible = hosts.visible(Duration::from_millis(ms));
        visible.hosts.into_iter().map(|host| host.host).collect()
    };
    assert_eq!(names(14_999), ["a"]);
    assert_eq!(names(15_000), ["b"]);
    assert_eq!(names(16_000), ["c"]);
}
