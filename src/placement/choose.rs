//! Cost of each candidate server, and the order of candidates by cost.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::manifest::Objective;
use crate::membership;
use crate::prefix::{BLOCK_TOKENS, Key, Prefix};

/// Charge, by objective, for each token that the server must store while another server holds it,
/// as a multiple of the time to compute it. It displaces a cached token that may be needed again.
const DISPLACEMENT_FACTOR_WASTE: f64 = 8.0;
const DISPLACEMENT_FACTOR_FIRST_TOKEN: f64 = 1.0;
/// Charge for a server that is not a home of the first level and holds none of it, as a fraction
/// of the level's prefill time. A new copy displaces other blocks.
const COPY_CHARGE_RATIO: f64 = 0.5;
/// Charge for a server that is not the home of the second level while no server holds that level,
/// as a fraction of the level's prefill time.
const SECOND_LEVEL_CHARGE_RATIO: f64 = 0.25;
/// Charge for a server in another availability zone, in milliseconds.
const CROSS_ZONE_CHARGE_MS: f64 = 1.0;

/// State of one backend server, as known to this daemon.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Key of the server on this daemon.
    pub key: membership::Key,
    /// Hash of the server's id, equal on all daemons.
    pub id_hash: u64,
    /// Whether the server has a free slot for the request's priority.
    pub has_free_slot: bool,
    /// Predicted milliseconds until the server begins the request's prefill.
    pub wait_ms: f64,
    /// Milliseconds to compute one prompt token.
    pub token_ms: f64,
    /// Number of leading blocks of the prefix that the server is believed to hold.
    pub cached_blocks: usize,
    /// Milliseconds to import one block; `None` if the server can't import blocks.
    pub import_ms: Option<f64>,
    /// Whether the server is in this daemon's availability zone.
    pub same_zone: bool,
}

/// Input of a placement decision, besides the candidates.
#[derive(Debug, Clone, Copy)]
pub struct Query<'a> {
    /// Prefix of the request.
    pub prefix: &'a Prefix,
    /// Estimated number of prompt tokens.
    pub prompt_tokens: u32,
    /// Objective to minimise first.
    pub objective: Objective,
    /// Maximum number of servers that hold a copy of the first level (its homes).
    pub max_copies: usize,
    /// Maximum number of leading blocks that an engine can export, candidate or not.
    pub exportable_blocks: usize,
    /// Whether to leave out servers without a free slot.
    pub free_only: bool,
}

/// Cost of one candidate, with the figures behind it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Score {
    /// Key of the server on this daemon.
    pub key: membership::Key,
    /// Rank of the server in the rendezvous order of the first level, from 0.
    pub rank: usize,
    /// Number of prompt tokens that are believed cached on the server.
    pub cached_tokens: u32,
    /// Number of leading blocks after an import from the server with the most; 0 if none pays off.
    pub import_blocks: usize,
    /// Work until the first token, imports included, as a number of computed prompt tokens.
    pub work_tokens: u32,
    /// Predicted TTFT in milliseconds.
    pub predicted_ms: f64,
    /// Predicted TTFT plus all charges, in milliseconds. Placement minimises it.
    pub cost: f64,
    /// Whether the server has a free slot.
    pub has_free_slot: bool,
}

/// Scores the candidates and sorts them by ascending cost; the first is the choice. Equal costs are
/// sorted by rank, which gives daemons with equal inputs the same order.
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
        .filter(|(candidate, _)| candidate.has_free_slot || !query.free_only)
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
        has_free_slot: candidate.has_free_slot,
    }
}

fn block_tokens(blocks: usize) -> f64 {
    blocks as f64 * f64::from(BLOCK_TOKENS)
}

/// Returns the rank of each candidate in the rendezvous order of `level`.
fn rendezvous_ranks(level: Option<Key>, candidates: &[Candidate]) -> Vec<usize> {
    let seed = level.map_or(0, |key| key.0);
    let mut order: Vec<(u64, usize)> = candidates
        .iter()
        .enumerate()
        .map(|(index, candidate)| (rendezvous_weight(seed, candidate.id_hash), index))
        .collect();
    order.sort_unstable_by(|a, b| b.cmp(a));
    let mut ranks = vec![0; candidates.len()];
    for (rank, (_, index)) in order.into_iter().enumerate() {
        ranks[index] = rank;
    }
    ranks
}

/// Returns the home of the second level, which is one of the homes of the first level.
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
        .max_by_key(|(candidate, _)| rendezvous_weight(level.0, candidate.id_hash))
        .map(|(candidate, _)| candidate.key)
}

fn rendezvous_weight(seed: u64, hash: u64) -> u64 {
    xxh3_64_with_seed(&hash.to_le_bytes(), seed)
}
