use std::collections::BTreeMap;

use super::*;
use crate::platform::{Call, Condition, Reply, Version};

/// Objects with versions, and the answers that are to be lost.
#[derive(Default)]
struct Store {
    objects: BTreeMap<String, (Version, Vec<u8>)>,
    version: Version,
    lose_head_writes: u32,
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
        let present = self.objects.get(&key).map(|o| o.0);
        let holds = match condition {
            Condition::Absent => present.is_none(),
            Condition::Version(version) => present == Some(version),
        };
        if !holds {
            return Reply::Conflict {
                version: present.unwrap_or(0),
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

/// Runs a publication to its end. `before` is called before each call with its number.
fn run(
    store: &mut Store,
    publication: &mut Publication,
    fleet: u64,
    mut before: impl FnMut(&mut Store, &Call),
) -> PublishOutcome {
    let mut out = publication.handle(PublishInput::Start(fleet));
    for _ in 0..1_000 {
        match out.pop().unwrap() {
            PublishOutput::Done(how) => return how,
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

fn present(store: &Store) -> Config {
    let head = Head::from_bytes(&store.objects[HEAD_KEY].1).unwrap();
    let shards = head.shards.iter();
    let shards = shards.map(|h| (h.clone(), store.objects[&shard_key(h)].1.clone()));
    join(&head, &shards.collect()).unwrap()
}

// Guards against a head that names shards which aren't there yet.
#[test]
fn shards_are_written_before_the_head() {
    let mut store = Store::default();
    let next = with_teams(0, &["a", "b", "c"]);
    let mut publication = Publication::new(Config::default(), next, 1);
    let how = run(&mut store, &mut publication, 0, |store, call| {
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
    assert_eq!(how, PublishOutcome::Accepted(1));
    assert_eq!(present(&store), with_teams(1, &["a", "b", "c"]));
}

// Guards against a revision that hosts refuse since a higher one is in force after the head was
// deleted and made again.
#[test]
fn revision_is_above_the_highest_in_force() {
    let mut store = Store::default();
    let mut publication = Publication::new(Config::default(), with_teams(0, &["a"]), 1);
    let how = run(&mut store, &mut publication, 41, |_, _| {});
    assert_eq!(how, PublishOutcome::Accepted(42));
}

// Guards against the second of two racing operators undoing the first one's change.
#[test]
fn racing_operator_gets_a_conflict_that_names_the_change() {
    let mut store = Store::default();
    let base = with_teams(1, &["a"]);
    publish(&mut store, &Config::default(), &base, 1);
    let mine = with_teams(0, &["a", "mine"]);
    let mut publication = Publication::new(base.clone(), mine, 2);
    let mut raced = false;
    let how = run(&mut store, &mut publication, 0, |store, call| {
        let writes_head = matches!(call, Call::Put { key, .. } if key == HEAD_KEY);
        if writes_head && !raced {
            raced = true;
            let theirs = with_teams(0, &["a", "theirs"]);
            assert_eq!(
                publish(store, &base, &theirs, 3),
                PublishOutcome::Accepted(2)
            );
        }
    });
    let PublishOutcome::Conflict { revision, changed } = how else {
        panic!("{how:?}");
    };
    assert_eq!((revision, changed.len()), (2, 1));
    assert_eq!(changed[0].path, "teams.theirs");
    assert_eq!(present(&store), with_teams(2, &["a", "theirs"]));
}

// Guards against a base that was already old when the publication began.
#[test]
fn old_base_is_a_conflict() {
    let mut store = Store::default();
    publish(&mut store, &Config::default(), &with_teams(0, &["a"]), 1);
    let how = publish(&mut store, &Config::default(), &with_teams(0, &["b"]), 2);
    assert!(
        matches!(how, PublishOutcome::Conflict { revision: 1, .. }),
        "{how:?}"
    );
}

// Guards against reporting a failure, or publishing twice, when only the answer was lost.
#[test]
fn lost_answer_is_settled_by_reading_back() {
    let mut store = Store {
        lose_head_writes: 1,
        ..Store::default()
    };
    let how = publish(&mut store, &Config::default(), &with_teams(0, &["a"]), 1);
    assert_eq!((how, store.head_writes), (PublishOutcome::Accepted(1), 1));
}

// Guards against giving up a write that was lost before it took effect.
#[test]
fn lost_write_is_sent_again() {
    let mut store = Store::default();
    publish(&mut store, &Config::default(), &with_teams(0, &["a"]), 1);
    store.drop_head_writes = 1;
    let how = publish(
        &mut store,
        &with_teams(1, &["a"]),
        &with_teams(0, &["b"]),
        2,
    );
    assert_eq!((how, store.head_writes), (PublishOutcome::Accepted(2), 3));
}

// Guards against a conflict reported for a write that took effect, whose answer was lost, and on
// top of which another operator published before it was read back.
#[test]
fn lost_answer_is_settled_after_another_publication() {
    let mut store = Store {
        lose_head_writes: 1,
        ..Store::default()
    };
    let mut publication = Publication::new(Config::default(), with_teams(0, &["a"]), 1);
    let mut raced = false;
    let how = run(&mut store, &mut publication, 0, |store, call| {
        if store.head_writes == 1 && !raced && matches!(call, Call::Get { .. }) {
            raced = true;
            let how = publish(store, &with_teams(1, &["a"]), &with_teams(0, &["b"]), 2);
            assert_eq!(how, PublishOutcome::Accepted(2));
        }
    });
    assert_eq!(how, PublishOutcome::Accepted(1));
}

// Guards against calling the outcome certain when every answer was lost.
#[test]
fn publication_without_answers_is_unknown() {
    let mut publication = Publication::new(Config::default(), with_teams(0, &["a"]), 1);
    let mut out = publication.handle(PublishInput::Start(0));
    let mut writes_head = false;
    let how = loop {
        match out.pop().unwrap() {
            PublishOutput::Done(how) => break how,
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
    assert_eq!(how, PublishOutcome::Unavailable { unknown: true });
}

// Guards against an invalid configuration reaching the platform.
#[test]
fn invalid_configuration_is_not_written() {
    let mut store = Store::default();
    let mut next = with_teams(0, &["a"]);
    next.teams.get_mut("a").unwrap().weight = 0;
    let how = publish(&mut store, &Config::default(), &next, 1);
    assert!(matches!(how, PublishOutcome::Refused(_)), "{how:?}");
    assert!(store.objects.is_empty());
}
