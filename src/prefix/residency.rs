//! Blocks that each backend server is believed to hold.
//!
//! Entries come from cache events and from answers. Because both may be late or lost, entries only
//! affect estimates. An entry is valid only for the incarnation that it was learnt from.

use std::collections::{BTreeMap, BTreeSet};

use super::Key;
use crate::membership;

/// Number of leading blocks of a prefix that each server is believed to hold.
pub type Depth = BTreeMap<membership::Key, usize>;

/// A server's entries are dropped once one in this many of them may be wrong.
const CLEAR_THRESHOLD_DIVISOR: u64 = 4;

/// Entries for the caches of all servers, bounded in number.
#[derive(Debug, Default)]
pub struct Residency {
    servers_by_block: BTreeMap<Key, Vec<membership::Key>>,
    blocks_by_server: BTreeMap<membership::Key, BTreeSet<Key>>,
    /// Number of lost events of each server since its entries were last dropped.
    lost_events: BTreeMap<membership::Key, u64>,
    entries: usize,
    max_entries: usize,
}

impl Residency {
    /// Creates an empty table of at most `max_entries` entries of (block, server).
    pub fn new(max_entries: usize) -> Self {
        Self { max_entries, ..Self::default() }
    }

    /// Returns the number of (block, server) entries.
    pub fn len(&self) -> usize {
        self.entries
    }

    /// Returns whether the table has no entries.
    pub fn is_empty(&self) -> bool {
        self.entries == 0
    }

    /// Records that `server` holds `block`. Does nothing if the table is full.
    pub fn insert(&mut self, server: membership::Key, block: Key) {
        if self.entries >= self.max_entries {
            return;
        }
        if self.blocks_by_server.entry(server).or_default().insert(block) {
            self.servers_by_block.entry(block).or_default().push(server);
            self.entries += 1;
        }
    }

    /// Records that `server` no longer holds `block`.
    pub fn remove(&mut self, server: membership::Key, block: Key) {
        let Some(blocks) = self.blocks_by_server.get_mut(&server) else {
            return;
        };
        if !blocks.remove(&block) {
            return;
        }
        self.entries -= 1;
        let Some(holders) = self.servers_by_block.get_mut(&block) else {
            return;
        };
        holders.retain(|holder| *holder != server);
        if holders.is_empty() {
            self.servers_by_block.remove(&block);
        }
    }

    /// Drops all entries of `server`, after it restarted or left, or its events had a gap.
    pub fn clear(&mut self, server: membership::Key) {
        let blocks = self.blocks_by_server.get(&server).cloned().unwrap_or_default();
        for block in blocks {
            self.remove(server, block);
        }
        self.blocks_by_server.remove(&server);
        self.lost_events.remove(&server);
    }

    /// Records that `count` events of `server` were lost. Each may have been an eviction. Drops all
    /// entries of the server once a quarter of them may be wrong. Until then they are kept, since a
    /// wrong entry costs one computation, and a dropped one costs many.
    pub fn record_lost_events(&mut self, server: membership::Key, count: u64) {
        let lost = self.lost_events.entry(server).or_insert(0);
        *lost = lost.saturating_add(count);
        let entries = self.blocks_by_server.get(&server).map_or(0, BTreeSet::len) as u64;
        if lost.saturating_mul(CLEAR_THRESHOLD_DIVISOR) >= entries {
            self.clear(server);
        }
    }

    /// Returns the confidence in the entries of `server`, from 0 to 1: the share of them that lost
    /// events can't have made wrong.
    pub fn confidence(&self, server: membership::Key) -> f64 {
        let entries = self.blocks_by_server.get(&server).map_or(0, BTreeSet::len) as f64;
        let lost = self.lost_events.get(&server).copied().unwrap_or(0) as f64;
        if entries == 0.0 { 0.0 } else { (1.0 - lost / entries).max(0.0) }
    }

    /// Returns how many leading blocks of `blocks` each server holds, omitting servers with none.
    pub fn depth(&self, blocks: &[Key]) -> Depth {
        let mut depth = Depth::new();
        for (index, block) in blocks.iter().enumerate() {
            let Some(holders) = self.servers_by_block.get(block) else {
                break;
            };
            let mut extended = false;
            for holder in holders {
                if index == 0 || depth.get(holder) == Some(&index) {
                    depth.insert(*holder, index + 1);
                    extended = true;
                }
            }
            if !extended {
                break;
            }
        }
        depth
    }
}
