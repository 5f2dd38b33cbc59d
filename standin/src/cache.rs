//! An engine's cache of prompt blocks: limited, least recently used first out.

use std::collections::{BTreeMap, VecDeque};

use cardamomvalve::membership::{CacheEvent, Change};
use cardamomvalve::prefix::Key;

/// Events that are kept for routers that ask late.
const MAX_RETAINED_EVENTS: usize = 100_000;

/// The cache of one engine, and its events.
#[derive(Debug)]
pub struct Cache {
    max_blocks: usize,
    clock: u64,
    last_used: BTreeMap<Key, u64>,
    by_last_use: BTreeMap<u64, Key>,
    events: VecDeque<CacheEvent>,
    next_seq: u64,
}

impl Cache {
    /// An empty cache of at most `limit` blocks.
    pub fn new(limit: usize) -> Self {
        Self {
            max_blocks: limit,
            clock: 0,
            last_used: BTreeMap::new(),
            by_last_use: BTreeMap::new(),
            events: VecDeque::new(),
            next_seq: 0,
        }
    }

    /// How many leading blocks of `blocks` are held.
    pub fn cached_prefix_blocks(&self, blocks: &[Key]) -> usize {
        blocks.iter().take_while(|block| self.last_used.contains_key(block)).count()
    }

    /// Uses `blocks`: those that are not held are stored, and the least recently used go.
    pub fn access(&mut self, blocks: &[Key]) {
        // The first blocks are touched last, so that a prefix goes from its end.
        for block in blocks.iter().take(self.max_blocks).rev() {
            self.clock += 1;
            match self.last_used.insert(*block, self.clock) {
                Some(before) => {
                    self.by_last_use.remove(&before);
                }
                None => self.record_event(Change::Stored, *block),
            }
            self.by_last_use.insert(self.clock, *block);
        }
        while self.last_used.len() > self.max_blocks {
            let Some((_, block)) = self.by_last_use.pop_first() else {
                return;
            };
            self.last_used.remove(&block);
            self.record_event(Change::Evicted, block);
        }
    }

    fn record_event(&mut self, change: Change, block: Key) {
        self.events.push_back(CacheEvent { seq: self.next_seq, change, block: block.0 });
        self.next_seq += 1;
        if self.events.len() > MAX_RETAINED_EVENTS {
            self.events.pop_front();
        }
    }

    /// The sequence number after the newest event.
    pub fn next_seq(&self) -> u64 {
        self.next_seq
    }

    /// Events from sequence number `from`, as far as they are kept.
    pub fn events(&self, from: u64) -> Vec<CacheEvent> {
        let first = self.events.front().map_or(self.next_seq, |event| event.seq);
        let skip = from.saturating_sub(first) as usize;
        self.events.iter().skip(skip).copied().collect()
    }
}
