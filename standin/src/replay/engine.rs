//! A fake engine in virtual time: prefill in chunks by priority, decode under continuous
//! batching, a block cache with limited memory, crashes to a cold start.

use std::collections::BTreeMap;
use std::time::Duration;

use cardamomvalve::manifest::Priority;
use cardamomvalve::prefix::{BLOCK_TOKENS, Key};

use crate::cache::Cache;

/// Microseconds for one prompt token.
pub const TOKEN_US: u64 = 125;
/// Prompt tokens computed between two looks at what is most urgent.
const CHUNK_TOKENS: u32 = 2_048;
/// Microseconds in which one block is imported from another engine.
pub const IMPORT_US: u64 = 8_000;
/// The part of an import's time that it takes from the engine that exports.
const EXPORT_PART: u64 = 10;
/// Blocks that the cache holds; 40,960 tokens.
pub const CACHE_BLOCKS: usize = 160;
/// Microseconds of one decode step, and more of it for each sequence.
const STEP_US: (u64, u64) = (8_000, 250);
/// Sequences that are generated for at a time.
const MAX_RUNNING: u32 = 64;

/// One attempt that an engine was given.
#[derive(Debug, Clone)]
pub struct Job {
    /// The request, by its place in the trace.
    pub request: usize,
    /// The attempt's number.
    pub attempt: u32,
    /// The daemon that sent it, and its incarnation.
    pub from: (usize, u64),
    /// Its class.
    pub priority: Priority,
    /// The prompt's blocks.
    pub blocks: Vec<Key>,
    /// Prompt tokens.
    pub tokens: u32,
    /// Answer tokens.
    pub answer_tokens: u32,
    /// Leading blocks that are imported before the rest is computed.
    pub import_blocks: usize,
}

/// A prefill that waits or is under way.
#[derive(Debug)]
struct Prefill {
    job: Job,
    /// Tokens still to be computed, once its cached blocks were looked up.
    remaining: Option<u32>,
    cached_blocks: usize,
    imported_blocks: usize,
}

/// What a prefill found and did.
#[derive(Debug, Clone)]
pub struct Computed {
    /// The attempt.
    pub job: Job,
    /// Leading blocks that were cached.
    pub cached_blocks: usize,
    /// Blocks that were imported.
    pub imported_blocks: usize,
}

/// One engine.
#[derive(Debug)]
pub struct Engine {
    /// Its availability zone.
    pub zone: usize,
    /// Counts its starts.
    pub incarnation: u64,
    /// Whether it runs.
    pub up: bool,
    /// Its cache.
    pub cache: Cache,
    /// Sequences that it generates for.
    pub running: u32,
    prefills: BTreeMap<(Priority, u64), Prefill>,
    current: Option<(Priority, u64)>,
    arrivals: u64,
    /// Time that exports take from the next chunk.
    export_debt: Duration,
}

impl Engine {
    /// An engine with an empty cache.
    pub fn new(zone: usize) -> Self {
        Self {
            zone,
            incarnation: 0,
            up: true,
            cache: Cache::new(CACHE_BLOCKS),
            running: 0,
            prefills: BTreeMap::new(),
            current: None,
            arrivals: 0,
            export_debt: Duration::ZERO,
        }
    }

    /// Crashes it; returns the attempts that waited. It comes back cold.
    pub fn crash(&mut self) -> Vec<Job> {
        let waiting = std::mem::take(&mut self.prefills);
        *self = Self { incarnation: self.incarnation + 1, up: false, ..Self::new(self.zone) };
        waiting.into_values().map(|prefill| prefill.job).collect()
    }

    /// Takes an attempt. Returns the time until the chunk that begins now ends, if one does.
    pub fn push(&mut self, job: Job) -> Option<Duration> {
        self.arrivals += 1;
        let place = (job.priority, self.arrivals);
        self.prefills
            .insert(place, Prefill { job, remaining: None, cached_blocks: 0, imported_blocks: 0 });
        self.next_chunk()
    }

    /// Begins the next chunk of the most urgent prefill, if none is under way.
    pub fn next_chunk(&mut self) -> Option<Duration> {
        if self.current.is_some() || self.running >= MAX_RUNNING {
            return None;
        }
        let (place, prefill) = self.prefills.first_key_value()?;
        let place = *place;
        let cached = self.cache.cached_prefix_blocks(&prefill.job.blocks);
        let prefill = self.prefills.get_mut(&place)?;
        let mut import_us = 0;
        if prefill.remaining.is_none() {
            let held = cached.max(prefill.job.import_blocks);
            prefill.cached_blocks = cached;
            prefill.imported_blocks = held - cached;
            import_us = prefill.imported_blocks as u64 * IMPORT_US;
            prefill.remaining = Some(prefill.job.tokens.saturating_sub(held as u32 * BLOCK_TOKENS));
        }
        let chunk = prefill.remaining.unwrap_or(0).min(CHUNK_TOKENS);
        self.current = Some(place);
        // Sequences under way slow the prefill a little.
        let micros = u64::from(chunk) * TOKEN_US * (100 + u64::from(self.running)) / 100;
        let debt = std::mem::take(&mut self.export_debt);
        Some(Duration::from_micros(micros + import_us) + debt)
    }

    /// Exports up to `blocks` of the leading blocks; returns how many it held.
    pub fn export(&mut self, blocks: &[Key]) -> usize {
        let held = self.cache.cached_prefix_blocks(blocks);
        self.export_debt += Duration::from_micros(held as u64 * IMPORT_US / EXPORT_PART);
        held
    }

    /// Ends the chunk under way; the prefill that it completes, if it does.
    pub fn end_chunk(&mut self) -> Option<Computed> {
        let place = self.current.take()?;
        let prefill = self.prefills.get_mut(&place)?;
        let remaining = prefill.remaining.as_mut()?;
        *remaining = remaining.saturating_sub(CHUNK_TOKENS);
        if *remaining > 0 {
            return None;
        }
        let prefill = self.prefills.remove(&place)?;
        self.cache.access(&prefill.job.blocks);
        self.running += 1;
        Some(Computed {
            job: prefill.job,
            cached_blocks: prefill.cached_blocks,
            imported_blocks: prefill.imported_blocks,
        })
    }

    /// Time for one answer token with the sequences that run now.
    pub fn step(&self) -> Duration {
        Duration::from_micros(STEP_US.0 + STEP_US.1 * u64::from(self.running))
    }

    /// Prompt tokens still to be computed, as the engine itself would report them.
    pub fn queued_tokens(&self) -> u64 {
        self.prefills
            .values()
            .map(|prefill| match prefill.remaining {
                Some(remaining) => u64::from(remaining),
                None => self.uncached(&prefill.job),
            })
            .sum()
    }

    /// Requests that wait for their prefill.
    pub fn waiting(&self) -> u32 {
        self.prefills.len() as u32
    }

    fn uncached(&self, job: &Job) -> u64 {
        let cached = self.cache.cached_prefix_blocks(&job.blocks) as u32 * BLOCK_TOKENS;
        u64::from(job.tokens.saturating_sub(cached))
    }

    /// Milliseconds until a request of `priority` would begin here, exactly.
    pub fn wait_ms(&self, priority: Priority) -> f64 {
        let ahead: u64 = self
            .prefills
            .iter()
            .filter(|((other, _), _)| *other <= priority)
            .map(|(_, prefill)| match prefill.remaining {
                Some(remaining) => u64::from(remaining),
                None => self.uncached(&prefill.job),
            })
            .sum();
        (ahead * TOKEN_US) as f64 / 1_000.0
    }
}
