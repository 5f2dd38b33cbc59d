//! What an engine reports of itself.

use serde::{Deserialize, Serialize};

use crate::prefix;
use crate::prelude::*;

/// What happened to one cached block.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Change {
    /// It is now held.
    Stored,
    /// It is no longer held.
    Evicted,
}

/// One cache event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Counts the engine's events from 0, without gaps.
    pub seq: u64,
    /// What happened.
    pub change: Change,
    /// The block's key.
    pub block: u64,
}

impl CacheEvent {
    /// The block's key.
    pub fn key(&self) -> prefix::Key {
        prefix::Key(self.block)
    }
}

/// An engine's state and its cache events since the sequence number asked for.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Changes at every start of the engine.
    pub incarnation: String,
    /// The sequence number that was asked for.
    pub from: u64,
    /// Whether the engine is leaving.
    #[serde(default)]
    pub leaving: bool,
    /// Weights versions that it serves, by model.
    pub weights: BTreeMap<String, BTreeSet<String>>,
    /// Requests it generates for.
    pub running: u32,
    /// Requests it has queued.
    pub waiting: u32,
    /// Prompt tokens still to be computed for the requests it has.
    pub queued_tokens: u64,
    /// Prompt tokens that it computes in a second.
    pub prefill_tokens_per_s: u32,
    /// Milliseconds in which it imports one block from another engine; `None` where it can't.
    #[serde(default)]
    pub import_ms: Option<f64>,
    /// The sequence number after the newest event.
    pub next_seq: u64,
    /// Events from the number asked for, as far as they are still kept.
    pub events: Vec<CacheEvent>,
}
