//! An engine's bounded cache of prompt blocks, with LRU eviction.

use std::collections::{BTreeMap, VecDeque};

use cardamomvalve::membership::{CacheEvent, Change};
use cardamomvalve::prefix::Key;

/// Maximum number of events retained for routers that fall behind.
const MAX_RETAINED_EVENTS: usize = 100_000;

/// The block cache of one engine and its change events.
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
    /// Creates an empty cache of at most `max_blocks` blocks.
    pub fn new(max_blocks: usize) -> Self {
        Self {
            max_blocks,
            clock: 0,
            last_used: BTreeMap::new(),
            by_last_use: BTreeMap::new(),
            events: VecDeque::new(),
            next_seq: 0,
        }
    }

    /// Counts the leading blocks of `blocks` that are cached.
    pub fn cached_prefix_blocks(&self, blocks: &[Key]) -> usize {
        blocks.iter().take_while(|block| self.last_used.contains_key(block)).count()
    }

    /// Marks `blocks` as used, stores missing ones and evicts the least recently used blocks.
    pub fn access(&mut self, blocks: &[Key]) {
        // Marks in reverse order, so that eviction shortens a prefix from its end.
        for block in blocks.iter().take(self.max_blocks).rev() {
            self.clock += 1;
            match self.last_used.insert(*block, self.clock) {
                Some(previous_use) => {
                    self.by_last_use.remove(&previous_use);
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

    /// Returns the sequence number after the newest event.
    pub fn next_seq(&self) -> u64 {
        self.next_seq
    }

    /// Returns the retained events from sequence number `from` on.
    pub fn events(&self, from: u64) -> Vec<CacheEvent> {
        let first_seq = self.events.front().map_or(self.next_seq, |event| event.seq);
        let skip = from.saturating_sub(first_seq) as usize;
        self.events.iter().skip(skip).copied().collect()
    }
}
