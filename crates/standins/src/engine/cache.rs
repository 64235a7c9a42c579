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
    clock: u64,
    /// Last use of each block.
    blocks: BTreeMap<u64, u64>,
    by_use: BTreeMap<u64, u64>,
}

/// What using a prompt did to the cache.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Use {
    /// Blocks at the start of the prompt that were cached before.
    pub(super) hits: usize,
    pub(super) stored: Vec<u64>,
    pub(super) evicted: Vec<u64>,
}

impl BlockCache {
    pub(super) fn new(capacity_blocks: usize) -> Self {
        Self {
            capacity_blocks,
            clock: 0,
            blocks: BTreeMap::new(),
            by_use: BTreeMap::new(),
        }
    }

    /// Looks a prompt up and keeps all its blocks.
    pub(super) fn use_prompt(&mut self, hashes: &[u64]) -> Use {
        let mut used = Use {
            hits: hashes
                .iter()
                .take_while(|hash| self.blocks.contains_key(hash))
                .count(),
            ..Use::default()
        };
        // The first block is touched last, so that a prefix outlives what follows it.
        for hash in hashes.iter().rev() {
            self.touch(*hash, &mut used);
        }
        while self.blocks.len() > self.capacity_blocks {
            let Some((_, oldest)) = self.by_use.pop_first() else {
                break;
            };
            self.blocks.remove(&oldest);
            used.evicted.push(oldest);
        }
        used
    }

    fn touch(&mut self, hash: u64, used: &mut Use) {
        self.clock += 1;
        match self.blocks.insert(hash, self.clock) {
            Some(before) => {
                self.by_use.remove(&before);
            }
            None => used.stored.push(hash),
        }
        self.by_use.insert(self.clock, hash);
    }
}
