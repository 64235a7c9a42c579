//! Prefix cache of prompt blocks with LRU eviction.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use super::token::CHARS_PER_TOKEN;

/// Size of a prompt block, in characters. The last block of a prompt may be shorter.
pub const BLOCK_CHARS: usize = 256;
/// Size of a prompt block, in tokens.
pub(super) const BLOCK_TOKENS: u32 = (BLOCK_CHARS / CHARS_PER_TOKEN) as u32;

/// Hashes of a prompt's blocks, in the order of the prompt.
///
/// Each hash covers its block and all blocks before it, so prompts share
/// hashes for their common prefix only. The first hash covers the first
/// block's text alone. A last block that is not full is included.
#[must_use]
pub fn block_hashes(prompt: &str) -> Vec<u64> {
    let chars: Vec<char> = prompt.chars().collect();
    let ends = (1..=chars.len().div_ceil(BLOCK_CHARS)).map(|n| (n * BLOCK_CHARS).min(chars.len()));
    ends.map(|end| {
        let mut hasher = DefaultHasher::new();
        chars[..end].iter().collect::<String>().hash(&mut hasher);
        hasher.finish()
    })
    .collect()
}

/// Set of cached block hashes, ordered by last use.
#[derive(Clone, Debug)]
pub(super) struct BlockCache {
    capacity_blocks: usize,
    /// Logical clock, incremented at each use of a block.
    use_counter: u64,
    /// Time of last use, by block hash.
    blocks: BTreeMap<u64, u64>,
    /// Block hash, by time of last use.
    by_last_use: BTreeMap<u64, u64>,
}

/// Effect of one prompt on the cache.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct CacheAccess {
    /// Leading blocks of the prompt that were already cached.
    pub(super) hits: usize,
    pub(super) stored: Vec<u64>,
    pub(super) evicted: Vec<u64>,
}

impl BlockCache {
    pub(super) fn new(capacity_blocks: usize) -> Self {
        Self {
            capacity_blocks,
            use_counter: 0,
            blocks: BTreeMap::new(),
            by_last_use: BTreeMap::new(),
        }
    }

    /// Counts the cached leading blocks of a prompt, caches all its blocks and evicts the excess.
    pub(super) fn lookup_and_insert(&mut self, hashes: &[u64]) -> CacheAccess {
        let mut access = CacheAccess {
            hits: hashes
                .iter()
                .take_while(|hash| self.blocks.contains_key(hash))
                .count(),
            ..CacheAccess::default()
        };
        // The first block is touched last, so that a prefix is evicted after the blocks that depend on it.
        for hash in hashes.iter().rev() {
            self.touch(*hash, &mut access);
        }
        while self.blocks.len() > self.capacity_blocks {
            let Some((_, oldest)) = self.by_last_use.pop_first() else {
                break;
            };
            self.blocks.remove(&oldest);
            access.evicted.push(oldest);
        }
        access
    }

    fn touch(&mut self, hash: u64, access: &mut CacheAccess) {
        self.use_counter += 1;
        match self.blocks.insert(hash, self.use_counter) {
            Some(previous_use) => {
                self.by_last_use.remove(&previous_use);
            }
            None => access.stored.push(hash),
        }
        self.by_last_use.insert(self.use_counter, hash);
    }
}
