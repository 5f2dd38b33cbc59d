//! Reports of engines about their state and cache.

use serde::{Deserialize, Serialize};

use crate::prefix;
use crate::prelude::*;

/// Change of one cached block.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Change {
    /// The block was stored.
    Stored,
    /// The block was evicted.
    Evicted,
}

/// Change of the cache of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number, from 0 for each incarnation and without gaps.
    pub seq: u64,
    /// Kind of change.
    pub change: Change,
    /// Key of the block.
    pub block: u64,
}

impl CacheEvent {
    /// Returns the key of the block.
    pub fn key(&self) -> prefix::Key {
        prefix::Key(self.block)
    }
}

/// State of an engine, and its cache events from the requested sequence number on.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Incarnation, which changes with each start of the engine.
    pub incarnation: String,
    /// Requested sequence number.
    pub from: u64,
    /// Whether the engine is draining.
    #[serde(default)]
    pub leaving: bool,
    /// Version of the engine's software; `None` for an engine that does not state it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub software: Option<String>,
    /// Loaded weights versions by model.
    pub weights: BTreeMap<String, BTreeSet<String>>,
    /// Running requests.
    pub running: u32,
    /// Queued requests.
    pub waiting: u32,
    /// Prompt tokens not computed yet, over all its requests.
    pub queued_tokens: u64,
    /// Prompt tokens computed per second.
    pub prefill_tokens_per_s: u32,
    /// Milliseconds per block imported from another engine; `None` for an engine without import.
    #[serde(default)]
    pub import_ms: Option<f64>,
    /// Sequence number after the newest event.
    pub next_seq: u64,
    /// Events from the requested number on that the engine still keeps.
    pub events: Vec<CacheEvent>,
}
