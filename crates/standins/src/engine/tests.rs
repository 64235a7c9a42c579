use std::time::Duration;

use super::cache::{BlockCache, CacheAccess};
use super::cache_log::CacheLog;
use super::kv::{KvCache, KvStore};
use super::rank::{Armed, Attempt, Map, MapChange, MapId, RankAnswer, RankState};
use super::{BLOCK_CHARS, CacheChange, answer_tokens, block_hashes, length_marker, token};

/// If tokens of different prompts or indices were equal, checks would accept a misrouted or
/// shifted answer.
#[test]
fn tokens_differ_by_prompt_and_index() {
    assert_eq!(token("a", 3), token("a", 3));
    assert_ne!(token("a", 3), token("b", 3));
    assert_ne!(token("a", 3), token("a", 4));
}

/// Guards against a length marker that is ignored or raises the caller's `max_tokens`.
#[test]
fn length_marker_shortens_the_answer() {
    let prompt = format!("{} write", length_marker(5));
    assert_eq!(answer_tokens(&prompt, 100), 5);
    assert_eq!(answer_tokens(&prompt, 3), 3);
    assert_eq!(answer_tokens("write", 100), 100);
}

/// Guards against block hashes that do not depend on the preceding blocks.
#[test]
fn block_hashes_are_shared_by_common_prefixes_only() {
    let block = |c: char| c.to_string().repeat(BLOCK_CHARS);
    let first = block_hashes(&(block('a') + &block('b')));
    let second = block_hashes(&(block('a') + &block('c')));
    let third = block_hashes(&(block('c') + &block('b')));
    assert_eq!(first.len(), 2);
    assert_eq!(first[0], second[0]);
    assert_ne!(first[1], second[1]);
    assert_ne!(first[1], third[1]);
    assert!(block_hashes("").is_empty());
}

/// Guards against a cache without a limit, and against eviction of a prefix before the blocks
/// that depend on it.
#[test]
fn cache_evicts_the_least_recently_used_block() {
    let mut cache = BlockCache::new(3);
    let expected = CacheAccess {
        hits: 0,
        stored: vec![2, 1],
        evicted: vec![],
    };
    assert_eq!(cache.lookup_and_insert(&[1, 2]), expected);
    let expected = CacheAccess {
        hits: 0,
        stored: vec![4, 3],
        evicted: vec![2],
    };
    assert_eq!(cache.lookup_and_insert(&[3, 4]), expected);
    assert_eq!(cache.lookup_and_insert(&[1, 2]).hits, 1);
}

/// Guards against cache events that are published without the lag or without the gaps.
#[test]
fn cache_events_are_delayed_and_have_gaps() {
    let mut log = CacheLog::new(Duration::from_secs(1), 3);
    let access = CacheAccess {
        hits: 0,
        stored: vec![1, 2, 3],
        evicted: vec![4],
    };
    log.record(Duration::from_secs(5), &access);
    assert_eq!(
        log.published_after(Duration::from_millis(5_999), 0).events,
        []
    );
    let published = log.published_after(Duration::from_secs(6), 1);
    let seen: Vec<_> = published
        .events
        .iter()
        .map(|event| (event.seq, event.change, event.block))
        .collect();
    assert_eq!(
        seen,
        [(2, CacheChange::Stored, 2), (4, CacheChange::Evicted, 4)]
    );
    log.restart();
    let restarted = log.published_after(Duration::from_secs(6), 0);
    assert_eq!((restarted.epoch, restarted.events.len()), (2, 0));
}

/// Guards against a KV cache that is used for another prompt or for more
/// tokens than it covers, and against a store without a limit.
#[test]
fn kv_caches_cover_their_own_prompt_only() {
    let mut store = KvStore::default();
    let cache = KvCache {
        prompt: 7,
        tokens: 5,
    };
    store.insert("r", cache);
    assert!(store.covers("r", Some(7), 5));
    assert!(!store.covers("r", Some(7), 6));
    assert!(!store.covers("r", Some(8), 5));
    assert!(!store.covers("other", Some(7), 5));
    for n in 0..64 {
        store.insert(&format!("r{n}"), cache);
    }
    assert_eq!(store.get("r"), None);
}

fn attempt(sequence: u64) -> Attempt {
    Attempt { fence: 1, sequence }
}

fn armed(sequence: u64, step: u64) -> Armed {
    Armed {
        id: MapId {
            version: sequence,
            attempt: attempt(sequence),
        },
        step,
        change: MapChange {
            layers: [(0, serde_json::json!("new"))].into(),
        },
        committed: false,
    }
}

fn rank() -> RankState {
    let mut rank = RankState::default();
    let map = Map {
        id: MapId::default(),
        layers: vec![serde_json::json!("old")],
    };
    assert_eq!(rank.install(map, None), RankAnswer::Installed);
    rank
}

/// Guards against a rank that runs the switch step before the decision, or
/// switches at another step.
#[test]
fn switch_step_is_held_until_the_decision() {
    let mut rank = rank();
    assert_eq!(rank.arm(armed(1, 1)), RankAnswer::Armed(attempt(1)));
    assert_eq!(rank.start_step(), Some(MapId::default()));
    assert_eq!(rank.start_step(), None);
    assert!(rank.is_held());
    let committed = RankAnswer::Decided {
        attempt: attempt(1),
        commit: true,
    };
    assert_eq!(rank.commit(attempt(1)), committed);
    assert_eq!(rank.start_step(), Some(armed(1, 1).id));
    assert_eq!(rank.map.as_ref().unwrap().layers, ["new"]);
    assert_eq!(rank.commit(attempt(1)), committed);
    assert_eq!(rank.arm(armed(2, 1)), RankAnswer::ArmRefused(attempt(2)));
}

/// Guards against an abort that undoes a commit, and against an aborted attempt that can be armed
/// or committed.
#[test]
fn decisions_are_final() {
    let mut rank = rank();
    rank.arm(armed(1, 0));
    let aborted = RankAnswer::Decided {
        attempt: attempt(1),
        commit: false,
    };
    assert_eq!(rank.abort(attempt(1)), aborted);
    assert_eq!(rank.arm(armed(1, 5)), RankAnswer::ArmRefused(attempt(1)));
    assert_eq!(rank.commit(attempt(1)), RankAnswer::Refused);
    rank.arm(armed(2, 5));
    rank.commit(attempt(2));
    assert_eq!(rank.abort(attempt(2)), RankAnswer::Refused);
    let map = Map::default();
    assert_eq!(rank.install(map, None), RankAnswer::Refused);
}
