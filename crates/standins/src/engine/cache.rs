//! Prefix cache: blocks of prompts, the least recently used one goes first.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use super::token::CHARS_PER_TOKEN;

/// Characters of a prompt in a block.
pub const BLOCK_CHARS: usize = 256;
/// Tokens of a block.
pub(super) const BLOCK_TOKENS: u32 = (BLOCK_CHARS / CHARS_PER_TOKEN) as u32;

/// Hashes of a prompt's blocks. Each covers its block and all before it; the
/// first is the hash of the first block's text alone. A last block that is
/// not full counts.
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

/// Cached blocks by their use.
#[derive(Clone, Debug)]
pub(super) struct BlockCache {
    capacity_blocks: usize,
    use_counter: u64,
    /// Last use of each block.
    blocks: BTreeMap<u64, u64>,
    by_last_use: BTreeMap<u64, u64>,
}

/// What using a prompt did to the cache.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct CacheAccess {
    /// Blocks at the start of the prompt that were cached before.
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

    /// Looks a prompt up and keeps all its blocks.
    pub(super) fn lookup_and_insert(&mut self, hashes: &[u64]) -> CacheAccess {
        let mut access = CacheAccess {
            hits: hashes
                .iter()
                .take_while(|hash| self.blocks.contains_key(hash))
                .count(),
            ..CacheAccess::default()
        };
        // The first block is touched last, so that a prefix outlives what follows it.
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
