//! The cost of each candidate, and the choice.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::manifest::Objective;
use crate::membership;
use crate::prefix::{BLOCK_TOKENS, Key, Prefix};

/// What a token that a server has to store, and another holds, is charged besides its own work, in
/// parts of its computation: it displaces another that may be wanted again. By objective.
const DISPLACEMENT_FACTOR_WASTE: f64 = 8.0;
const DISPLACEMENT_FACTOR_FIRST_TOKEN: f64 = 1.0;
/// The part of the first level's prefill that a server off its homes is charged: a new copy
/// displaces other blocks.
const COPY_CHARGE_RATIO: f64 = 0.5;
/// The part of the second level's prefill that a home is charged when another is that level's own.
const SECOND_LEVEL_CHARGE_RATIO: f64 = 0.25;
/// Milliseconds charged for a server in another availability zone.
const CROSS_ZONE_CHARGE_MS: f64 = 1.0;

/// One backend server as it looks to this daemon now.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// The server.
    pub key: membership::Key,
    /// Hash of its id, the same on every daemon.
    pub hash: u64,
    /// Whether it has a free slot for the request's priority.
    pub free: bool,
    /// Predicted milliseconds until it begins the request's prefill.
    pub wait_ms: f64,
    /// Milliseconds that one prompt token takes to compute.
    pub token_ms: f64,
    /// Leading blocks of the prefix that it is believed to hold.
    pub cached_blocks: usize,
    /// Milliseconds for the import of one block; `None` where it can't.
    pub import_ms: Option<f64>,
    /// Whether it is in this daemon's availability zone.
    pub same_zone: bool,
}

/// What is asked of placement.
#[derive(Debug, Clone, Copy)]
pub struct Query<'a> {
    /// The request's prefix.
    pub prefix: &'a Prefix,
    /// Estimated prompt tokens.
    pub prompt_tokens: u32,
    /// What is minimised first.
    pub objective: Objective,
    /// Servers that may hold a copy of the first level.
    pub max_copies: usize,
    /// Most leading blocks that any engine holds which can export them, a candidate or not.
    pub exportable_blocks: usize,
    /// Whether only servers with a free slot are taken.
    pub free_only: bool,
}

/// One candidate with its cost.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Score {
    /// The server.
    pub key: membership::Key,
    /// Its place among the homes of the first level, from 0.
    pub rank: usize,
    /// Prompt tokens believed cached.
    pub cached_tokens: u32,
    /// Leading blocks to have after an import from the deepest holder; 0 where none is worth it.
    pub import_blocks: usize,
    /// Prompt tokens that its work until the first token is worth, imports included.
    pub work_tokens: u32,
    /// Predicted milliseconds to the first token.
    pub predicted_ms: f64,
    /// The cost that placement minimises, in milliseconds.
    pub cost: f64,
    /// Whether it has a free slot.
    pub free: bool,
}

/// Scores every candidate; the first is the choice. Equal costs go by rank, so the order is the
/// same wherever the inputs are.
pub fn choose(query: Query<'_>, candidates: &[Candidate]) -> Vec<Score> {
    let first = query.prefix.level_key(0);
    let second = query.prefix.level_key(1);
    let ranks = rendezvous_ranks(first, candidates);
    let max_cached_blocks = candidates
        .iter()
        .map(|candidate| candidate.cached_blocks)
        .fold(query.exportable_blocks, usize::max);
    let second_home =
        second.and_then(|level| second_level_home(level, query.max_copies, &ranks, candidates));
    let second_level_uncached =
        query.prefix.level_ends.get(1).is_some_and(|end| max_cached_blocks < *end);
    let mut scored: Vec<Score> = candidates
        .iter()
        .zip(&ranks)
        .filter(|(candidate, _)| candidate.free || !query.free_only)
        .map(|(candidate, rank)| {
            let off_second_level_home =
                second_level_uncached && second_home.is_some_and(|home| home != candidate.key);
            score(query, candidate, *rank, max_cached_blocks, off_second_level_home)
        })
        .collect();
    scored.sort_by(|a, b| a.cost.total_cmp(&b.cost).then(a.rank.cmp(&b.rank)));
    scored
}

fn score(
    query: Query<'_>,
    candidate: &Candidate,
    rank: usize,
    max_cached_blocks: usize,
    off_second_level_home: bool,
) -> Score {
    let cached_tokens =
        (candidate.cached_blocks as u32).saturating_mul(BLOCK_TOKENS).min(query.prompt_tokens);
    let missing_blocks = max_cached_blocks.saturating_sub(candidate.cached_blocks);
    let block_ms = f64::from(BLOCK_TOKENS) * candidate.token_ms;
    let import_ms = candidate.import_ms.filter(|ms| *ms < block_ms && missing_blocks > 0);
    let imported_blocks = if import_ms.is_some() { missing_blocks } else { 0 };
    let computed_tokens =
        (query.prompt_tokens - cached_tokens).saturating_sub(imported_blocks as u32 * BLOCK_TOKENS);
    let work_ms = f64::from(computed_tokens) * candidate.token_ms
        + imported_blocks as f64 * import_ms.unwrap_or_default();
    let predicted_ms = candidate.wait_ms + work_ms;
    let displacement = match query.objective {
        Objective::WastedRecomputation => DISPLACEMENT_FACTOR_WASTE,
        Objective::TimeToFirstToken => DISPLACEMENT_FACTOR_FIRST_TOKEN,
    };
    let mut cost = predicted_ms + block_tokens(missing_blocks) * candidate.token_ms * displacement;
    let levels = &query.prefix.level_ends;
    if rank >= query.max_copies && candidate.cached_blocks == 0 {
        let first = levels.first().copied().unwrap_or(0);
        cost += block_tokens(first) * candidate.token_ms * COPY_CHARGE_RATIO;
    }
    if off_second_level_home && let [first, second, ..] = levels[..] {
        cost += block_tokens(second - first) * candidate.token_ms * SECOND_LEVEL_CHARGE_RATIO;
    }
    if !candidate.same_zone {
        cost += CROSS_ZONE_CHARGE_MS;
    }
    Score {
        key: candidate.key,
        rank,
        cached_tokens,
        import_blocks: if imported_blocks > 0 { max_cached_blocks } else { 0 },
        work_tokens: (work_ms / candidate.token_ms) as u32,
        predicted_ms,
        cost,
        free: candidate.free,
    }
}

fn block_tokens(blocks: usize) -> f64 {
    blocks as f64 * f64::from(BLOCK_TOKENS)
}

/// The place of each candidate in the rendezvous order of `level`.
fn rendezvous_ranks(level: Option<Key>, candidates: &[Candidate]) -> Vec<usize> {
    let seed = level.map_or(0, |key| key.0);
    let mut order: Vec<(u64, usize)> = candidates
        .iter()
        .enumerate()
        .map(|(index, candidate)| (rendezvous_weight(seed, candidate.hash), index))
        .collect();
    order.sort_unstable_by(|a, b| b.cmp(a));
    let mut ranks = vec![0; candidates.len()];
    for (rank, (_, index)) in order.into_iter().enumerate() {
        ranks[index] = rank;
    }
    ranks
}

/// The home of the second level among the homes of the first.
fn second_level_home(
    level: Key,
    copies: usize,
    ranks: &[usize],
    candidates: &[Candidate],
) -> Option<membership::Key> {
    candidates
        .iter()
        .zip(ranks)
        .filter(|(_, rank)| **rank < copies)
        .max_by_key(|(candidate, _)| rendezvous_weight(level.0, candidate.hash))
        .map(|(candidate, _)| candidate.key)
}

fn rendezvous_weight(seed: u64, hash: u64) -> u64 {
    xxh3_64_with_seed(&hash.to_le_bytes(), seed)
}
