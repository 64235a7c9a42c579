//! Cache events: published late and with gaps.

use std::collections::VecDeque;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::cache::CacheAccess;

/// Events that are kept for readers.
const MAX_EVENTS: usize = 4_096;

/// What happened to a block.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheChange {
    /// It is cached now.
    Stored,
    /// It is cached no more.
    Evicted,
}

/// A cache event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CacheEvent {
    /// Number; a jump shows that events were lost.
    pub seq: u64,
    /// What happened.
    pub change: CacheChange,
    /// Hash of the block, as of [`super::block_hashes`].
    pub block: u64,
}

/// Answer of `GET /v1/cache-events?after=SEQ`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CacheEvents {
    /// Life of the engine; in a new one the cache is empty and numbers start again.
    pub epoch: u64,
    /// Events in the order of their numbers.
    pub events: Vec<CacheEvent>,
}

/// Events that are published or will be.
#[derive(Clone, Debug)]
pub(super) struct CacheLog {
    epoch: u64,
    lag: Duration,
    /// Each event whose number is a multiple of this is lost; 0 loses none.
    gap_every: u64,
    last_seq: u64,
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

    /// Begins a new life.
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

    /// Published events with a number above `after`.
    pub(super) fn after(&self, now: Duration, after: u64) -> CacheEvents {
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
