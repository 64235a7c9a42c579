//! Log of cache events, published with a delay and, if configured, with gaps in the numbers.

use std::collections::VecDeque;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::cache::CacheAccess;

/// Events kept for readers; the oldest are dropped first.
const MAX_EVENTS: usize = 4_096;

/// Change of a block in the prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheChange {
    /// The block was added to the cache.
    Stored,
    /// The block was removed to make space.
    Evicted,
}

/// One change of the prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CacheEvent {
    /// Sequence number, from 1 in each epoch. A gap means that events were lost.
    pub seq: u64,
    /// Whether the block was stored or evicted.
    pub change: CacheChange,
    /// Hash of the block, as returned by [`super::block_hashes`].
    pub block: u64,
}

/// Answer of `GET /v1/cache-events?after=SEQ`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CacheEvents {
    /// Incarnation of the engine. With a new epoch the cache is empty and sequence numbers restart.
    pub epoch: u64,
    /// Published events in ascending order of sequence number.
    pub events: Vec<CacheEvent>,
}

/// Recorded events with the times at which they are published.
#[derive(Clone, Debug)]
pub(super) struct CacheLog {
    epoch: u64,
    /// Delay between a change and the publication of its event.
    lag: Duration,
    /// Events whose sequence number is a multiple of this are dropped; 0 drops none.
    gap_every: u64,
    last_seq: u64,
    /// Publication times and events, both ascending.
    events: VecDeque<(Duration, CacheEvent)>,
}

impl CacheLog {
    pub(super) fn new(lag: Duration, gap_every: u64) -> Self {
        Self {
            epoch: 1,
            lag,
            gap_every,
            last_seq: 0,
            events: VecDeque::new(),
        }
    }

    /// Starts a new epoch with an empty log.
    pub(super) fn restart(&mut self) {
        self.epoch += 1;
        self.last_seq = 0;
        self.events.clear();
    }

    pub(super) fn record(&mut self, now: Duration, access: &CacheAccess) {
        for block in &access.stored {
            self.append(now, CacheChange::Stored, *block);
        }
        for block in &access.evicted {
            self.append(now, CacheChange::Evicted, *block);
        }
    }

    /// Events published by `now` with a sequence number above `after`.
    pub(super) fn published_after(&self, now: Duration, after: u64) -> CacheEvents {
        let published = self.events.iter().take_while(|(at, _)| *at <= now);
        CacheEvents {
            epoch: self.epoch,
            events: published
                .map(|(_, event)| *event)
                .filter(|event| event.seq > after)
                .collect(),
        }
    }

    fn append(&mut self, now: Duration, change: CacheChange, block: u64) {
        self.last_seq += 1;
        let seq = self.last_seq;
        if self.gap_every > 0 && seq.is_multiple_of(self.gap_every) {
            return;
        }
        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
        }
        let event = CacheEvent { seq, change, block };
        self.events.push_back((now + self.lag, event));
    }
}
