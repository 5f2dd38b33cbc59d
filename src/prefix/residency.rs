//! Which backend server is believed to hold which blocks.
//!
//! Beliefs come from cache events and from answers; both may be late or lost, so they only move
//! estimates. An entry counts only for the incarnation that it was learnt from.

use std::collections::{BTreeMap, BTreeSet};

use super::Key;
use crate::membership;

/// How many leading blocks of a prefix each server is believed to hold.
pub type Depth = BTreeMap<membership::Key, usize>;

/// Beliefs about a server are dropped once this part of them, as a divisor, may be wrong.
const CLEAR_THRESHOLD_DIVISOR: u64 = 4;

/// Beliefs about the caches of all servers, bounded in entries.
#[derive(Debug, Default)]
pub struct Residency {
    servers_by_block: BTreeMap<Key, Vec<membership::Key>>,
    blocks_by_server: BTreeMap<membership::Key, BTreeSet<Key>>,
    /// Events of each server that were lost since its beliefs were last dropped.
    lost_events: BTreeMap<membership::Key, u64>,
    entries: usize,
    max_entries: usize,
}

impl Residency {
    /// An empty table of at most `max_entries` entries of (block, server).
    pub fn new(max_entries: usize) -> Self {
        Self { max_entries, ..Self::default() }
    }

    /// Number of (block, server) entries.
    pub fn len(&self) -> usize {
        self.entries
    }

    /// Whether no entry is held.
    pub fn is_empty(&self) -> bool {
        self.entries == 0
    }

    /// Notes that `server` holds `block`. Ignored when the table is full.
    pub fn insert(&mut self, server: membership::Key, block: Key) {
        if self.entries >= self.max_entries {
            return;
        }
        if self.blocks_by_server.entry(server).or_default().insert(block) {
            self.servers_by_block.entry(block).or_default().push(server);
            self.entries += 1;
        }
    }

    /// Notes that `server` no longer holds `block`.
    pub fn remove(&mut self, server: membership::Key, block: Key) {
        let Some(held) = self.blocks_by_server.get_mut(&server) else {
            return;
        };
        if !held.remove(&block) {
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

    /// Drops all that is believed of `server`: it restarted, left, or its events have a gap.
    pub fn clear(&mut self, server: membership::Key) {
        let held = self.blocks_by_server.get(&server).cloned().unwrap_or_default();
        for block in held {
            self.remove(server, block);
        }
        self.blocks_by_server.remove(&server);
        self.lost_events.remove(&server);
    }

    /// Notes that `count` events of `server` were lost: each may have been an eviction. Once they
    /// could have touched a quarter of what is believed, all of it is dropped; until then a wrong
    /// belief costs one computation, and a dropped one costs many.
    pub fn record_lost_events(&mut self, server: membership::Key, count: u64) {
        let lost = self.lost_events.entry(server).or_insert(0);
        *lost = lost.saturating_add(count);
        let held = self.blocks_by_server.get(&server).map_or(0, BTreeSet::len) as u64;
        if lost.saturating_mul(CLEAR_THRESHOLD_DIVISOR) >= held {
            self.clear(server);
        }
    }

    /// How far what is believed of `server` can be trusted, from 0 to 1: the part that no lost event
    /// can have touched.
    pub fn confidence(&self, server: membership::Key) -> f64 {
        let held = self.blocks_by_server.get(&server).map_or(0, BTreeSet::len) as f64;
        let lost = self.lost_events.get(&server).copied().unwrap_or(0) as f64;
        if held == 0.0 { 0.0 } else { (1.0 - lost / held).max(0.0) }
    }

    /// How many leading blocks of `blocks` each server holds; servers with none are left out.
    pub fn depth(&self, blocks: &[Key]) -> Depth {
        let mut depth = Depth::new();
        for (index, block) in blocks.iter().enumerate() {
            let Some(holders) = self.servers_by_block.get(block) else {
                break;
            };
            let mut reached = false;
            for holder in holders {
                if index == 0 || depth.get(holder) == Some(&index) {
                    depth.insert(*holder, index + 1);
                    reached = true;
                }
            }
            if !reached {
                break;
            }
        }
        depth
    }
}
