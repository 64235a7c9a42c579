//! Prefix cache with a token limit and LRU eviction.

use std::collections::BTreeMap;

#[derive(Clone, Debug, Default)]
pub struct PrefixCache {
    capacity_tokens: u32,
    used_tokens: u32,
    /// Logical clock, incremented at each use of a prefix.
    use_counter: u64,
    /// Tokens and time of last use, by prefix.
    entries: BTreeMap<u64, (u32, u64)>,
    /// Prefix, by time of last use.
    by_last_use: BTreeMap<u64, u64>,
}

impl PrefixCache {
    pub fn new(capacity_tokens: u32) -> Self {
        Self {
            capacity_tokens,
            ..Self::default()
        }
    }

    /// Number of cached tokens of a prefix, 0 if it is not cached. Counts as a use.
    pub fn lookup(&mut self, prefix: u64) -> u32 {
        let Some((tokens, last_use)) = self.entries.get_mut(&prefix) else {
            return 0;
        };
        self.use_counter += 1;
        self.by_last_use.remove(last_use);
        *last_use = self.use_counter;
        self.by_last_use.insert(self.use_counter, prefix);
        *tokens
    }

    /// Caches a prefix and evicts others as needed. No effect if the prefix exceeds the capacity or
    /// is cached already with at least as many tokens.
    pub fn insert(&mut self, prefix: u64, tokens: u32) {
        if tokens > self.capacity_tokens || self.lookup(prefix) >= tokens {
            return;
        }
        self.remove(prefix);
        while self.used_tokens + tokens > self.capacity_tokens {
            let Some((_, oldest)) = self.by_last_use.pop_first() else {
                break;
            };
            if let Some((freed, _)) = self.entries.remove(&oldest) {
                self.used_tokens -= freed;
            }
        }
        self.use_counter += 1;
        self.entries.insert(prefix, (tokens, self.use_counter));
        self.by_last_use.insert(self.use_counter, prefix);
        self.used_tokens += tokens;
    }

    fn remove(&mut self, prefix: u64) {
        if let Some((tokens, last_use)) = self.entries.remove(&prefix) {
            self.used_tokens -= tokens;
            self.by_last_use.remove(&last_use);
        }
    }
}
