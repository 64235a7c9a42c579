use std::time::Duration;

use eelgrasshold_core::platform::{Call, Condition, MAX_VALUE_BYTES, Reply};

use super::hosts::DelayedHostList;
use super::rate::RateLimit;
use super::{Host, HostState, Store, WriteError};

/// Guards against versions that are reused after a deletion: a writer that was
/// paused during the deletion would then overwrite the new object.
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

/// Guards against writes and deletions that take effect although their condition fails.
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

/// Guards against listings that omit keys or include keys with another prefix.
#[test]
fn listing_contains_only_keys_with_the_prefix() {
    let mut store = Store::new();
    for key in ["a", "b/1", "b/2", "b0", "c"] {
        store.put(key, "", Condition::Absent).unwrap();
    }
    let keys: Vec<&str> = store.list("b/").map(|(key, _)| key).collect();
    assert_eq!(keys, ["b/1", "b/2"]);
    assert_eq!(store.list("").count(), 5);
}

/// Guards against watches that miss a deletion, or end immediately without a change.
#[test]
fn watch_ends_on_writes_and_deletions() {
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

/// Guards against limits that admit more calls than allowed, or that do not
/// count waiting watches.
#[test]
fn rate_limit_bounds_calls_and_counts_waiting_watches() {
    let mut limit = RateLimit::new(10);
    let admitted = |limit: &mut RateLimit, s| {
        let now = Duration::from_secs(s);
        (0..100).filter(|_| limit.try_acquire(now)).count()
    };
    assert_eq!(admitted(&mut limit, 0), 10);
    assert_eq!(admitted(&mut limit, 1), 10);
    for _ in 0..4 {
        limit.begin_wait(Duration::from_secs(1));
    }
    assert_eq!(admitted(&mut limit, 2), 6);
    for _ in 0..4 {
        limit.end_wait(Duration::from_secs(2));
    }
    assert_eq!(admitted(&mut limit, 3), 10);
}

/// Guards against a host list that shows changes immediately: membership code
/// could then depend on it, although real platforms show them late.
#[test]
fn host_list_changes_after_the_lag() {
    let host = |name: &str| Host {
        host: name.into(),
        address: "127.0.0.1".into(),
        data_centre: "dc-1".into(),
        state: HostState::Live,
    };
    let mut hosts = DelayedHostList::new(Duration::from_secs(5), vec![host("a")]);
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
