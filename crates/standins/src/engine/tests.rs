use super::cache::{BlockCache, Use};
use super::{BLOCK_CHARS, answer_tokens, block_hashes, length_marker, token};

/// Guards against tokens that look alike, so that a crossed or shifted answer would pass a check.
#[test]
fn tokens_differ_by_prompt_and_index() {
    assert_eq!(token("a", 3), token("a", 3));
    assert_ne!(token("a", 3), token("b", 3));
    assert_ne!(token("a", 3), token("a", 4));
}

/// Guards against a length marker that raises the caller's limit or is ignored.
#[test]
fn length_marker_shortens_the_answer() {
    let prompt = format!("{} write", length_marker(5));
    assert_eq!(answer_tokens(&prompt, 100), 5);
    assert_eq!(answer_tokens(&prompt, 3), 3);
    assert_eq!(answer_tokens("write", 100), 100);
}

/// Guards against block hashes that ignore what comes before a block.
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

/// Guards against a cache without limit, or one that evicts a prefix before what follows it.
#[test]
fn cache_evicts_the_least_recently_used_block() {
    let mut cache = BlockCache::new(3);
    let expected = Use {
        hits: 0,
        stored: vec![2, 1],
        evicted: vec![],
    };
    assert_eq!(cache.use_prompt(&[1, 2]), expected);
    let expected = Use {
        hits: 0,
        stored: vec![4, 3],
        evicted: vec![2],
    };
    assert_eq!(cache.use_prompt(&[3, 4]), expected);
    assert_eq!(cache.use_prompt(&[1, 2]).hits, 1);
}
