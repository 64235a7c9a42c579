use std::collections::BTreeMap;

use super::*;
use crate::platform::{Call, Condition, Reply, Version};

/// Simulated platform: objects with versions, and the number of head writes that fail.
#[derive(Default)]
struct Store {
    objects: BTreeMap<String, (Version, Vec<u8>)>,
    version: Version,
    /// Head writes that take effect but whose reply is lost.
    lose_head_writes: u32,
    /// Head writes that are lost before they take effect.
    drop_head_writes: u32,
    head_writes: u32,
}

impl Store {
    fn call(&mut self, call: Call) -> Reply {
        match call {
            Call::Get { key } | Call::Watch { key, .. } => match self.objects.get(&key) {
                Some((version, value)) => Reply::Object {
                    version: *version,
                    value: value.clone(),
                },
                None => Reply::Missing,
            },
            Call::Put {
                key,
                value,
                condition,
            } => self.put(key, value, condition),
            Call::Delete { .. } => Reply::Missing,
        }
    }

    fn put(&mut self, key: String, value: Vec<u8>, condition: Condition) -> Reply {
        let head = key == HEAD_KEY;
        self.head_writes += u32::from(head);
        if head && self.drop_head_writes > 0 {
            self.drop_head_writes -= 1;
            return Reply::Lost;
        }
        let current = self.objects.get(&key).map(|o| o.0);
        let holds = match condition {
            Condition::Absent => current.is_none(),
            Condition::Version(version) => current == Some(version),
        };
        if !holds {
            return Reply::Conflict {
                version: current.unwrap_or(0),
            };
        }
        self.version += 1;
        self.objects.insert(key, (self.version, value));
        if head && self.lose_head_writes > 0 {
            self.lose_head_writes -= 1;
            return Reply::Lost;
        }
        Reply::Written {
            version: self.version,
        }
    }
}

fn with_teams(revision: u64, teams: &[&str]) -> Config {
    let mut cfg = Config {
        revision,
        ..Config::default()
    };
    for team in teams {
        cfg.teams.insert((*team).into(), Team::default());
    }
    cfg
}

/// Runs a publication to its end. `before` is called before each platform call.
fn run(
    store: &mut Store,
    publication: &mut Publication,
    fleet_revision: u64,
    mut before: impl FnMut(&mut Store, &Call),
) -> PublishOutcome {
    let mut out = publication.handle(PublishInput::Start(fleet_revision));
    for _ in 0..1_000 {
        match out.pop().unwrap() {
            PublishOutput::Done(outcome) => return outcome,
            PublishOutput::Platform { id, call } => {
                before(store, &call);
                let reply = store.call(call);
                out = publication.handle(PublishInput::Reply { id, reply });
            }
        }
    }
    panic!("the publication does not end");
}

fn publish(store: &mut Store, base: &Config, next: &Config, number: u64) -> PublishOutcome {
    let mut publication = Publication::new(base.clone(), next.clone(), number);
    run(store, &mut publication, 0, |_, _| {})
}

fn current(store: &Store) -> Config {
    let head = Head::from_bytes(&store.objects[HEAD_KEY].1).unwrap();
    let shards = head.shards.iter();
    let shards = shards.map(|h| (h.clone(), store.objects[&shard_key(h)].1.clone()));
    join(&head, &shards.collect()).unwrap()
}

// Guards against a head that refers to shards that have not been written yet.
#[test]
fn shards_are_written_before_the_head() {
    let mut store = Store::default();
    let next = with_teams(0, &["a", "b", "c"]);
    let mut publication = Publication::new(Config::default(), next, 1);
    let outcome = run(&mut store, &mut publication, 0, |store, call| {
        if let Call::Put { key, value, .. } = call
            && key == HEAD_KEY
        {
            let head = Head::from_bytes(value).unwrap();
            assert!(
                head.shards
                    .iter()
                    .all(|h| store.objects.contains_key(&shard_key(h)))
            );
        }
    });
    assert_eq!(outcome, PublishOutcome::Accepted(1));
    assert_eq!(current(&store), with_teams(1, &["a", "b", "c"]));
}

// Guards against a revision that hosts refuse: after the head has been deleted and created again,
// a higher revision may still be in force.
#[test]
fn revision_is_above_the_highest_in_force() {
    let mut store = Store::default();
    let mut publication = Publication::new(Config::default(), with_teams(0, &["a"]), 1);
    let outcome = run(&mut store, &mut publication, 41, |_, _| {});
    assert_eq!(outcome, PublishOutcome::Accepted(42));
}

// Guards against a lost update when two operators publish concurrently from the same base.
#[test]
fn concurrent_operator_gets_a_conflict_that_names_the_change() {
    let mut store = Store::default();
    let base = with_teams(1, &["a"]);
    publish(&mut store, &Config::default(), &base, 1);
    let mine = with_teams(0, &["a", "mine"]);
    let mut publication = Publication::new(base.clone(), mine, 2);
    let mut has_raced = false;
    let outcome = run(&mut store, &mut publication, 0, |store, call| {
        let writes_head = matches!(call, Call::Put { key, .. } if key == HEAD_KEY);
        if writes_head && !has_raced {
            has_raced = true;
            let theirs = with_teams(0, &["a", "theirs"]);
            assert_eq!(
                publish(store, &base, &theirs, 3),
                PublishOutcome::Accepted(2)
            );
        }
    });
    let PublishOutcome::Conflict { revision, changed } = outcome else {
        panic!("{outcome:?}");
    };
    assert_eq!((revision, changed.len()), (2, 1));
    assert_eq!(changed[0].path, "teams.theirs");
    assert_eq!(current(&store), with_teams(2, &["a", "theirs"]));
}

// Guards against publishing over a base that was already outdated at the start.
#[test]
fn outdated_base_is_a_conflict() {
    let mut store = Store::default();
    publish(&mut store, &Config::default(), &with_teams(0, &["a"]), 1);
    let outcome = publish(&mut store, &Config::default(), &with_teams(0, &["b"]), 2);
    assert!(
        matches!(outcome, PublishOutcome::Conflict { revision: 1, .. }),
        "{outcome:?}"
    );
}

// Guards against reporting a failure or publishing twice when only the reply was lost.
#[test]
fn lost_reply_is_resolved_by_reading_the_head() {
    let mut store = Store {
        lose_head_writes: 1,
        ..Store::default()
    };
    let outcome = publish(&mut store, &Config::default(), &with_teams(0, &["a"]), 1);
    assert_eq!(
        (outcome, store.head_writes),
        (PublishOutcome::Accepted(1), 1)
    );
}

// Guards against abandoning a write that was lost before it took effect.
#[test]
fn lost_write_is_repeated() {
    let mut store = Store::default();
    publish(&mut store, &Config::default(), &with_teams(0, &["a"]), 1);
    store.drop_head_writes = 1;
    let outcome = publish(
        &mut store,
        &with_teams(1, &["a"]),
        &with_teams(0, &["b"]),
        2,
    );
    assert_eq!(
        (outcome, store.head_writes),
        (PublishOutcome::Accepted(2), 3)
    );
}

// Guards against reporting a conflict for a write that took effect. Its reply was lost, and another
// operator published on top of it before the head was read back.
#[test]
fn lost_reply_is_resolved_after_another_publication() {
    let mut store = Store {
        lose_head_writes: 1,
        ..Store::default()
    };
    let mut publication = Publication::new(Config::default(), with_teams(0, &["a"]), 1);
    let mut has_raced = false;
    let outcome = run(&mut store, &mut publication, 0, |store, call| {
        if store.head_writes == 1 && !has_raced && matches!(call, Call::Get { .. }) {
            has_raced = true;
            let outcome = publish(store, &with_teams(1, &["a"]), &with_teams(0, &["b"]), 2);
            assert_eq!(outcome, PublishOutcome::Accepted(2));
        }
    });
    assert_eq!(outcome, PublishOutcome::Accepted(1));
}

// Guards against reporting a definite outcome when all replies to head writes were lost.
#[test]
fn publication_without_replies_has_an_unknown_outcome() {
    let mut publication = Publication::new(Config::default(), with_teams(0, &["a"]), 1);
    let mut out = publication.handle(PublishInput::Start(0));
    let mut writes_head = false;
    let outcome = loop {
        match out.pop().unwrap() {
            PublishOutput::Done(outcome) => break outcome,
            PublishOutput::Platform { id, call } => {
                writes_head |= matches!(&call, Call::Put { key, .. } if key == HEAD_KEY);
                let reply = match call {
                    _ if writes_head => Reply::Lost,
                    Call::Get { .. } => Reply::Missing,
                    _ => Reply::Written { version: 1 },
                };
                out = publication.handle(PublishInput::Reply { id, reply });
            }
        }
    };
    assert_eq!(outcome, PublishOutcome::Unavailable { unknown: true });
}

// Guards against writing an invalid configuration to the platform.
#[test]
fn invalid_configuration_is_not_written() {
    let mut store = Store::default();
    let mut next = with_teams(0, &["a"]);
    next.teams.get_mut("a").unwrap().weight = 0;
    let outcome = publish(&mut store, &Config::default(), &next, 1);
    assert!(matches!(outcome, PublishOutcome::Refused(_)), "{outcome:?}");
    assert!(store.objects.is_empty());
}
