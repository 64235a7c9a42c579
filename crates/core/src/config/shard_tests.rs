use super::*;
use crate::platform::MAX_VALUE_BYTES;

fn large_config() -> Config {
    let mut cfg = Config {
        revision: 12,
        ..Config::default()
    };
    for n in 0..4_300 {
        let team = Team {
            weight: n % 9 + 1,
            requests_per_s: Some(f64::from(n) + 0.25),
        };
        cfg.teams.insert(format!("team-with-a-long-name-{n}"), team);
    }
    for n in 0..14 {
        cfg.services
            .insert(format!("model-{n}"), Service::default());
        let group = Group {
            service: format!("model-{n}"),
            ranks: 32,
            layers: 58,
            experts_per_layer: 256,
            slots_per_rank: 9,
            expert_bytes: 1 << 25,
        };
        cfg.groups.insert(format!("model-{n}-a"), group);
    }
    cfg
}

// Guards against objects above the platform's size limit with the number of teams and models that
// is expected in two years.
#[test]
fn teams_and_models_expected_in_two_years_fit() {
    let cfg = large_config();
    let split = split(&cfg).unwrap();
    let largest = split.shards.values().map(Vec::len).max().unwrap();
    assert!(largest < MAX_VALUE_BYTES.min(MAX_SHARD_BYTES));
    assert!(split.head.to_bytes().unwrap().len() < MAX_VALUE_BYTES);
    assert_eq!(join(&split.head, &split.shards).unwrap(), cfg);
}

// Guards against replicating the whole configuration when one team changes.
#[test]
fn change_of_one_team_changes_one_shard() {
    let mut cfg = large_config();
    let before = split(&cfg).unwrap();
    cfg.teams.get_mut("team-with-a-long-name-7").unwrap().weight = 99;
    let after = split(&cfg).unwrap();
    let new = after
        .shards
        .keys()
        .filter(|h| !before.shards.contains_key(*h));
    assert_eq!(new.count(), 1);
}

// Guards against shards above the platform's size limit when entries are large.
#[test]
fn large_entries_get_more_buckets_or_are_refused() {
    let mut cfg = Config::default();
    let call = |bytes: usize| IdempotentCall {
        method: "POST".into(),
        path_prefix: format!("/{}", "p".repeat(bytes)),
    };
    for n in 0..200 {
        let service = Service {
            idempotent: vec![call(400_000)],
            ..Service::default()
        };
        cfg.services.insert(format!("s-{n}"), service);
    }
    let many = split(&cfg).unwrap();
    assert!(many.shards.values().all(|s| s.len() <= MAX_SHARD_BYTES));
    cfg.services.get_mut("s-0").unwrap().idempotent = vec![call(MAX_SHARD_BYTES)];
    assert!(matches!(split(&cfg), Err(ShardError::TooLarge { .. })));
}

// Guards against applying an incomplete, altered or invalid configuration.
#[test]
fn missing_altered_and_invalid_content_is_refused_whole() {
    let cfg = large_config();
    let valid = split(&cfg).unwrap();
    let hash = valid.head.shards[3].clone();

    let mut shards = valid.shards.clone();
    shards.remove(&hash);
    let error = join(&valid.head, &shards).unwrap_err();
    assert_eq!(error.to_string(), format!("shard {hash} is missing"));

    shards.insert(hash.clone(), b"{}".to_vec());
    let error = join(&valid.head, &shards).unwrap_err();
    assert!(matches!(error, ShardError::WrongHash { hash: named, .. } if named == hash));

    let mut invalid = cfg;
    invalid
        .teams
        .get_mut("team-with-a-long-name-1")
        .unwrap()
        .weight = 0;
    let split = split(&invalid).unwrap();
    let error = join(&split.head, &split.shards).unwrap_err().to_string();
    assert!(
        error.contains("teams.team-with-a-long-name-1.weight"),
        "{error}"
    );
}

// Guards against two shards with the same entry, one of which would silently override the other.
#[test]
fn entry_in_two_shards_is_refused() {
    let mut shards = std::collections::BTreeMap::new();
    for weight in [1, 2] {
        let mut fragment = Fragment::default();
        let team = Team {
            weight,
            requests_per_s: None,
        };
        fragment.teams.insert("a".into(), team);
        let content = serde_json::to_vec(&fragment).unwrap();
        shards.insert(shard_hash(&content), content);
    }
    let head = Head {
        revision: 1,
        shards: shards.keys().cloned().collect(),
        ..Head::default()
    };
    let error = join(&head, &shards).unwrap_err();
    assert_eq!(error.to_string(), "`a` is in two shards");
}

// Guards against a diff that omits a change, or that lists a whole entry instead of the changed
// value.
#[test]
fn diff_names_each_changed_value() {
    let before = large_config();
    let mut after = before.clone();
    after.revision += 1;
    after
        .teams
        .get_mut("team-with-a-long-name-0")
        .unwrap()
        .weight = 5;
    after.teams.remove("team-with-a-long-name-1");
    after.services.get_mut("model-3").unwrap().concurrency = 8;
    after.teams.insert("new".into(), Team::default());
    let lines: Vec<String> = diff(&before, &after)
        .iter()
        .map(ToString::to_string)
        .collect();
    let expected = [
        "~ services.model-3.concurrency: 16 -> 8",
        r#"+ teams.new: {"requests_per_s":null,"weight":1}"#,
        "~ teams.team-with-a-long-name-0.weight: 1 -> 5",
        r#"- teams.team-with-a-long-name-1: {"requests_per_s":1.25,"weight":2}"#,
    ];
    assert_eq!(lines, expected);
    assert_eq!(diff(&before, &before), []);
}
