//! KV caches of single requests, which can be moved between engines.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

/// KV caches of ended requests that are kept; the oldest are dropped first.
const MAX_CACHES: usize = 64;

/// Body of `GET` and `PUT /v1/kv/{id}`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KvCache {
    /// Hash of the complete prompt: the last of [`super::block_hashes`].
    pub prompt: u64,
    /// Number of answer tokens that the cache covers.
    pub tokens: u32,
}

/// KV caches by request id, dropped in the order of insertion.
#[derive(Clone, Debug, Default)]
pub(super) struct KvStore {
    caches: BTreeMap<String, KvCache>,
    insertion_order: VecDeque<String>,
}

impl KvStore {
    pub(super) fn get(&self, id: &str) -> Option<KvCache> {
        self.caches.get(id).copied()
    }

    pub(super) fn insert(&mut self, id: &str, cache: KvCache) {
        if self.caches.insert(id.to_owned(), cache).is_none() {
            self.insertion_order.push_back(id.to_owned());
        }
        if self.insertion_order.len() > MAX_CACHES
            && let Some(oldest) = self.insertion_order.pop_front()
        {
            self.caches.remove(&oldest);
        }
    }

    /// Whether a request can skip its prefill: its cache is for the same prompt and covers all
    /// tokens before `resume_from`.
    pub(super) fn covers(&self, id: &str, prompt: Option<u64>, resume_from: u32) -> bool {
        self.get(id)
            .is_some_and(|cache| Some(cache.prompt) == prompt && cache.tokens >= resume_from)
    }
}
