use super::*;
use crate::platform::{Call, Condition, MAX_VALUE_BYTES, Reply};
use crate::types::Now;

fn claim(key: u64, nonce: Nonce) -> Claim {
    Claim {
        key,
        nonce,
        lifetime_s: 600,
    }
}

fn call(effects: &[Effect]) -> Option<&Call> {
    effects.iter().find_map(|e| match e {
        Effect::Call(call) => Some(call),
        _ => None,
    })
}

fn results(effects: &[Effect]) -> Vec<(Nonce, ClaimResult)> {
    let settled = |e: &Effect| match e {
        Effect::Settled { nonce, result, .. } => Some((*nonce, *result)),
        _ => None,
    };
    effects.iter().filter_map(settled).collect()
}

/// A shard that has read an empty object and now writes the claim of key 1 by nonce 7.
fn writing() -> (ShardWriter, Vec<u8>) {
    let mut shard = ShardWriter::new(1);
    shard.claim(Now::ZERO, None, claim(1, 7));
    shard.flush(BATCH_INTERVAL);
    let out = shard.reply(BATCH_INTERVAL, Reply::Missing);
    let Some(Call::Put {
        value, condition, ..
    }) = call(&out)
    else {
        panic!("no write: {out:?}");
    };
    assert_eq!(*condition, Condition::Absent);
    (shard, value.clone())
}

// Guards against one write per request: claims within 50 ms share one conditional update.
#[test]
fn claims_are_collected_into_one_write() {
    let mut shard = ShardWriter::new(1);
    assert_eq!(
        shard.claim(Now::ZERO, None, claim(1, 7)),
        [Effect::FlushAt(BATCH_INTERVAL)]
    );
    assert_eq!(shard.claim(Now::ZERO, None, claim(17, 8)), []);
    assert!(matches!(
        call(&shard.flush(BATCH_INTERVAL)),
        Some(Call::Get { key }) if key == "claims/01"
    ));
    assert!(call(&shard.reply(BATCH_INTERVAL, Reply::Missing)).is_some());
    let out = shard.reply(BATCH_INTERVAL, Reply::Written { version: 3 });
    let granted = [(7, ClaimResult::Granted), (8, ClaimResult::Granted)];
    assert_eq!(results(&out), granted);
}

// Guards against running a request twice: of two claims of one key in one batch, only the first is
// granted.
#[test]
fn second_claim_of_a_key_in_a_batch_is_taken() {
    let mut shard = ShardWriter::new(1);
    shard.claim(Now::ZERO, None, claim(1, 7));
    shard.claim(Now::ZERO, None, claim(1, 8));
    shard.flush(BATCH_INTERVAL);
    let out = shard.reply(BATCH_INTERVAL, Reply::Missing);
    assert_eq!(results(&out), [(8, ClaimResult::Taken)]);
}

// Guards against treating a lost reply as a failed or as a successful write.
#[test]
fn lost_reply_is_settled_by_reading_the_nonce() {
    let (mut shard, written) = writing();
    let out = shard.reply(BATCH_INTERVAL, Reply::Lost);
    assert!(matches!(call(&out), Some(Call::Get { .. })));
    assert_eq!(results(&out), []);
    let mut not_written = shard.clone();
    let read = Reply::Object {
        version: 4,
        value: written,
    };
    let out = shard.reply(BATCH_INTERVAL, read);
    assert_eq!(results(&out), [(7, ClaimResult::Granted)]);
    let out = not_written.reply(BATCH_INTERVAL, Reply::Missing);
    assert_eq!(results(&out), []);
    assert!(matches!(call(&out), Some(Call::Put { .. })));
}

// Guards against two writers that both grant a key: after a conflict the second one reads again.
#[test]
fn conflict_reads_again_and_finds_the_key_taken() {
    let (mut first, written) = writing();
    let out = first.reply(BATCH_INTERVAL, Reply::Conflict { version: 4 });
    assert_eq!(results(&out), []);
    let mut other = Table::decode(&written).unwrap();
    assert!(other.remove(1, 7) && other.insert(&claim(1, 9)));
    assert!(matches!(
        call(&first.flush(2 * BATCH_INTERVAL)),
        Some(Call::Get { .. })
    ));
    let read = Reply::Object {
        version: 4,
        value: other.encode(),
    };
    let out = first.reply(2 * BATCH_INTERVAL, read);
    assert_eq!(results(&out), [(7, ClaimResult::Taken)]);
}

// Guards against requests that wait forever while the platform is down, and against retries
// without back-off.
#[test]
fn outage_settles_claims_as_unavailable_and_backs_off() {
    let mut shard = ShardWriter::new(1);
    let mut now = Now::ZERO;
    for expected_ms in [50, 100, 200, 400, 800, 1_600, 1_600] {
        let out = shard.claim(now, None, claim(1, 7));
        let wait = Duration::from_millis(expected_ms);
        assert_eq!(out, [Effect::FlushAt(now + wait)]);
        now += wait;
        shard.flush(now);
        let out = shard.reply(now, Reply::Unavailable);
        assert_eq!(results(&out), [(7, ClaimResult::Unavailable)]);
    }
}

// Guards against a key that stays claimed although its request certainly did not run, and against
// a release by a request that doesn't hold the key.
#[test]
fn key_is_released_only_by_its_holder_and_can_be_claimed_again() {
    let (mut shard, _) = writing();
    shard.reply(BATCH_INTERVAL, Reply::Written { version: 3 });
    shard.release(BATCH_INTERVAL, 1, 99);
    assert_eq!(shard.flush(2 * BATCH_INTERVAL), []);
    shard.release(2 * BATCH_INTERVAL, 1, 7);
    shard.claim(2 * BATCH_INTERVAL, None, claim(1, 8));
    let out = shard.flush(3 * BATCH_INTERVAL);
    assert!(matches!(
        call(&out),
        Some(Call::Put {
            condition: Condition::Version(3),
            ..
        })
    ));
    let out = shard.reply(3 * BATCH_INTERVAL, Reply::Written { version: 4 });
    assert_eq!(results(&out), [(8, ClaimResult::Granted)]);
}

// Guards against a claim that expires early because a new writer resets the clock.
#[test]
fn claims_expire_by_the_time_that_has_passed_at_the_writers() {
    let mut table = Table::default();
    table.advance(Duration::from_millis(1));
    assert!(table.insert(&claim(1, 7)));
    let mut table = Table::decode(&table.encode()).unwrap();
    table.advance(Duration::from_millis(599_999));
    assert_eq!(table.holder(1), Some(7));
    table.advance(Duration::from_secs(1));
    assert_eq!(table.holder(1), None);
}

// Guards against an object above the platform's size limit, which could not be updated any more.
#[test]
fn full_object_refuses_claims_below_the_size_limit() {
    let mut table = Table::default();
    for key in 0..MAX_RECORDS as u64 {
        assert!(table.insert(&claim(key, 1)));
    }
    assert!(!table.insert(&claim(u64::MAX, 1)));
    let value = table.encode();
    assert!(value.len() <= MAX_VALUE_BYTES, "{}", value.len());
    assert_eq!(Table::decode(&value), Some(table));
}

// Guards against overwriting an object that another program or version wrote.
#[test]
fn unreadable_object_is_not_overwritten() {
    let mut shard = ShardWriter::new(1);
    shard.claim(Now::ZERO, None, claim(1, 7));
    shard.flush(BATCH_INTERVAL);
    let read = Reply::Object {
        version: 1,
        value: b"{}".to_vec(),
    };
    let out = shard.reply(BATCH_INTERVAL, read);
    assert_eq!(call(&out), None);
    assert!(out.contains(&Effect::Unreadable));
    assert_eq!(results(&out), [(7, ClaimResult::Unavailable)]);
}

// Guards against a lifetime that ends while an upstream process may still start the work.
#[test]
fn claim_outlives_the_last_start_that_it_covers() {
    assert_eq!(lifetime_s(600, Duration::from_secs(30)), 600);
    assert_eq!(lifetime_s(1, Duration::from_secs(30)), 96);
}

// Guards against one host that owns most shards, and against moving all shards when a host fails.
#[test]
fn owners_are_balanced_and_stay_when_another_host_fails() {
    let hosts: Vec<HostId> = (0..6).map(|n| format!("entry-{n}")).collect();
    let owners: Vec<_> = (0..SHARDS).map(|s| owner(s, &hosts).unwrap()).collect();
    for host in &hosts {
        assert!(owners.iter().filter(|o| **o == host).count() <= 6);
    }
    for shard in 0..SHARDS {
        let before = owners[usize::from(shard)];
        if before != &hosts[5] {
            assert_eq!(owner(shard, &hosts[..5]), Some(before));
        }
    }
    assert_eq!(owner(0, &[]), None);
}

/// Simulates `hosts` hosts that all write all shards, for 10 s at 3,500 claims per second, with a
/// platform that replies after 5 ms. Returns the numbers of claims, grants and writes.
fn simulate_peak_load(hosts: usize) -> (u64, u64, u32) {
    let step = Duration::from_millis(1);
    let mut shards: Vec<Vec<ShardWriter>> = (0..hosts)
        .map(|_| (0..SHARDS).map(ShardWriter::new).collect())
        .collect();
    let mut objects = vec![(0, Vec::new()); usize::from(SHARDS)];
    let mut events: Vec<(Now, usize, usize, Option<Call>)> = Vec::new();
    let (mut claims, mut puts, mut granted) = (0_u64, 0, 0);
    for now in (0..11_000).map(|ms| step * ms) {
        let mut effects = Vec::new();
        while now < Now::from_secs(10) && claims * 1_000 < now.as_millis() as u64 * 3_500 {
            claims += 1;
            let key = hash(&["key", &claims.to_string()]);
            let (writer, shard) = (claims as usize % hosts, usize::from(shard_of(key)));
            let out = shards[writer][shard].claim(now, None, claim(key, claims));
            effects.push((writer, shard, out));
        }
        let (ready, later) = events.into_iter().partition(|(at, ..)| *at <= now);
        events = later;
        for (_, writer, shard, call) in ready {
            let shard_writer = &mut shards[writer][shard];
            let out = match call {
                None => shard_writer.flush(now),
                Some(call) => {
                    shard_writer.reply(now, apply_call(&mut objects[shard], call, &mut puts))
                }
            };
            effects.push((writer, shard, out));
        }
        for (writer, shard, out) in effects {
            for effect in out {
                match effect {
                    Effect::FlushAt(at) => events.push((at, writer, shard, None)),
                    Effect::Call(call) => events.push((now + 5 * step, writer, shard, Some(call))),
                    Effect::Settled { result, .. } => {
                        granted += u64::from(result == ClaimResult::Granted);
                    }
                    Effect::Unreadable => panic!("a shard wrote what it can't read"),
                }
            }
        }
    }
    (claims, granted, puts)
}

fn apply_call(object: &mut (u64, Vec<u8>), call: Call, writes: &mut u32) -> Reply {
    match call {
        Call::Put {
            value, condition, ..
        } => {
            *writes += 1;
            let holds = match condition {
                Condition::Absent => object.0 == 0,
                Condition::Version(version) => object.0 == version,
            };
            if !holds {
                return Reply::Conflict { version: object.0 };
            }
            *object = (object.0 + 1, value);
            Reply::Written { version: object.0 }
        }
        _ if object.0 == 0 => Reply::Missing,
        _ => Reply::Object {
            version: object.0,
            value: object.1.clone(),
        },
    }
}

// Guards against more writes than the platform allows at peak load, and against claims that are
// never granted while two hosts write the same shards.
#[test]
fn writes_stay_within_the_limit_at_peak_load() {
    let (claims, granted, writes) = simulate_peak_load(1);
    println!("one owner: {writes} writes in 10 s for {claims} claims");
    assert_eq!(granted, claims);
    assert!(writes <= 3_200, "{writes}");
    let (claims, granted, writes) = simulate_peak_load(2);
    println!("two owners: {writes} writes in 10 s for {claims} claims, {granted} granted");
    assert_eq!(granted, claims);
}
