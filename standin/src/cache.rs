//! An engine's cache of prompt blocks: limited, least recently used first out.

use std::collections::{BTreeMap, VecDeque};

use cardamomvalve::membership::{CacheEvent, Change};
use cardamomvalve::prefix::Key;

/// Events that are kept for routers that ask late.
const MAX_EVENTS: usize = 100_000;

/// The cache of one engine, and its events.
#[derive(Debug)]
pub struct Cache {
    limit: usize,
    clock: u64,
    used: BTreeMap<Key, u64>,
    order: BTreeMap<u64, Key>,
    events: VecDeque<CacheEvent>,
    next_seq: u64,
}

impl Cache {
    /// An empty cache of at most `limit` blocks.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            clock: 0,
            used: BTreeMap::new(),
            order: BTreeMap::new(),
            events: VecDeque::new(),
            next_seq: 0,
        }
    }

    /// How many leading blocks of `blocks` are held.
    pub fn depth(&self, blocks: &[Key]) -> usize {
        blocks.iter().take_while(|block| self.used.contains_key(block)).count()
    }

    /// Uses `blocks`: those that are not held are stored, and the least recently used go.
    pub fn use_blocks(&mut self, blocks: &[Key]) {
        // The first blocks are touched last, so that a prefix goes from its end.
        for block in blocks.iter().take(self.limit).rev() {
            self.clock += 1;
            match self.used.insert(*block, self.clock) {
                Some(before) => {
                    self.order.remove(&before);
                }
                None => self.note(Change::Stored, *block),
            }
            self.order.insert(self.clock, *block);
        }
        while self.used.len() > self.limit {
            let Some((_, block)) = self.order.pop_first() else {
                return;
            };
            self.used.remove(&block);
            self.note(Change::Evicted, block);
        }
    }

    fn note(&mut self, change: Change, block: Key) {
        self.events.push_back(CacheEvent { seq: self.next_seq, change, block: block.0 });
        self.next_seq += 1;
        if self.events.len() > MAX_EVENTS {
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
